"""Bounded decompression of data from other processes."""

import zlib


def inflate(compressed: bytes, limit_bytes: int) -> bytes:
    """Decompress, refusing content larger than ``limit_bytes``.

    Raises
    ------
    ValueError
        If the content is damaged or too large.
    """
    decoder = zlib.decompressobj()
    try:
        content = decoder.decompress(compressed, limit_bytes)
    except zlib.error as error:
        raise ValueError(f'damaged compressed data: {error}') from error
    if not decoder.eof:
        raise ValueError(
            f'compressed data is truncated or exceeds {limit_bytes} bytes'
        )
    return content
