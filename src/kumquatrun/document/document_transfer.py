"""Transfer of documents in operator calls, compressed if large.

A document of the design size, 130,000 adapters, exceeds the frame limit of
the peer protocol. Compressed, it is much smaller than the limit.
"""

import zlib
from collections.abc import Mapping
from typing import Any

from kumquatrun.document.document import MAX_DOCUMENT_BYTES
from kumquatrun.peer.compression import inflate

COMPRESS_FROM_BYTES = 64 * 1024
_PLAIN = 'content'
_COMPRESSED = 'content_zlib'


def pack_content(content: bytes) -> dict[str, bytes]:
    """Return the field that carries the bytes of a document."""
    if len(content) < COMPRESS_FROM_BYTES:
        return {_PLAIN: content}
    return {_COMPRESSED: zlib.compress(content)}


def unpack_content(fields: Mapping[str, Any]) -> bytes:
    """Return the bytes of a document.

    Raises
    ------
    ValueError
        If the field is missing, damaged or too large.
    """
    if _COMPRESSED in fields:
        return inflate(fields[_COMPRESSED], MAX_DOCUMENT_BYTES)
    if _PLAIN in fields:
        return fields[_PLAIN]
    raise ValueError(f'neither {_PLAIN} nor {_COMPRESSED} is given')


def unpack_arguments(arguments: Mapping[str, Any]) -> dict[str, Any]:
    """Return the arguments of a call with the document in ``content``."""
    rest = {
        name: value for name, value in arguments.items() if name != _COMPRESSED
    }
    return {**rest, _PLAIN: unpack_content(arguments)}
