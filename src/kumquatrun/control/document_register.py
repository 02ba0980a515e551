"""Register of the configuration document in force, with its revision."""

import zlib
from typing import Any

from kumquatrun.document.document import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    BaseDocument,
    Document,
    digest_document,
    document_delta,
    encode_delta,
    parse_document,
)
from kumquatrun.errors import RevisionConflictError
from kumquatrun.peer.compression import inflate

# A delta of more adapters than this is larger than the compressed document.
_MAX_DELTA_ADAPTERS = 5000


class DocumentRegister:
    """Document in force with its revision; revision 0 is the empty document."""

    def __init__(self) -> None:
        self.revision = 0
        self.digest = ''
        self.document: Document = EMPTY_DOCUMENT
        self._content = b''
        # Compressed content for snapshots and the feed, made at first use.
        self._compressed: bytes | None = None

    def replace(self, expected_revision: int, content: bytes) -> list[Any]:
        """Replace the document; return the feed row of the change.

        Raises
        ------
        RevisionConflictError
            If another revision is in force than expected.
        DocumentError
            If the document is invalid.
        """
        if expected_revision != self.revision:
            raise RevisionConflictError(
                f'expected revision {expected_revision}, the current one is '
                f'{self.revision}',
            )
        document = parse_document(
            content,
            BaseDocument(self.document, self._content),
        )
        delta = document_delta(self.document, document)
        self.document = document
        self.digest = digest_document(content)
        self._content = content
        self._compressed = None
        self.revision += 1
        row = [self.revision, self.digest, expected_revision]
        if (
            len(delta.adapters) + len(delta.removed_adapters)
            > _MAX_DELTA_ADAPTERS
        ):
            return [*row, None, self.compressed]
        return [*row, encode_delta(delta), None]

    def content(self) -> bytes:
        """Return the bytes of the document in force."""
        return self._content

    @property
    def compressed(self) -> bytes:
        """Return the compressed content."""
        if self._compressed is None:
            self._compressed = zlib.compress(self._content, 1)
        return self._compressed

    def summary(self) -> str:
        """Return a summary for the audit trail."""
        document = self.document
        return (
            f'revision {self.revision}, digest {self.digest[:16]}, '
            f'{len(document.accounts)} accounts, '
            f'{len(document.services)} services, '
            f'{len(document.adapters)} adapters, '
            f'{len(document.routes)} routes'
        )

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [self.revision, self.digest, self.compressed]

    def restore(self, snapshot: Any) -> None:
        """Replace the register with a snapshot."""
        revision, digest, compressed = snapshot
        self.revision = revision
        self.digest = digest
        self._compressed = compressed
        content = inflate(compressed, MAX_DOCUMENT_BYTES)
        base = BaseDocument(self.document, self._content)
        self.document = EMPTY_DOCUMENT
        if revision:
            self.document = parse_document(content, base)
        self._content = content
