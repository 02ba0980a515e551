"""Register of the configuration document in force, with its revision."""

import zlib
from typing import Any

from kumquatrun.commands import inflate
from kumquatrun.document import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    Document,
    digest_document,
    document_delta,
    encode_delta,
    parse_document,
)
from kumquatrun.errors import RevisionConflictError


class DocumentRegister:
    """Document, revision, digest and bytes; revision 0 is the empty one."""

    def __init__(self) -> None:
        self.revision = 0
        self.digest = ''
        self.document: Document = EMPTY_DOCUMENT
        # Kept compressed: the bytes are read rarely and are tens of times
        # smaller than the text at the design size.
        self.compressed = zlib.compress(b'')

    def replace(self, expected_revision: int, content: bytes) -> list[Any]:
        """Take a new document; return the feed row of the change.

        Raises
        ------
        RevisionConflictError
            If another revision is in force than expected.
        DocumentError
            If the document is refused.
        """
        if expected_revision != self.revision:
            raise RevisionConflictError(
                f'expected revision {expected_revision}, the current one is '
                f'{self.revision}',
            )
        document = parse_document(content)
        delta = encode_delta(document_delta(self.document, document))
        self.document = document
        self.digest = digest_document(content)
        self.compressed = zlib.compress(content, 1)
        self.revision += 1
        return [self.revision, self.digest, expected_revision, delta]

    def content(self) -> bytes:
        """Return the bytes of the document in force."""
        return inflate(self.compressed, MAX_DOCUMENT_BYTES)

    def summary(self) -> str:
        """Return a short form for the audit trail."""
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

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        revision, digest, compressed = content
        self.revision = revision
        self.digest = digest
        self.compressed = compressed
        self.document = EMPTY_DOCUMENT
        if revision:
            self.document = parse_document(self.content())
