"""Reads an HTTP body into memory, up to a size limit."""

from aiohttp.streams import StreamReader


class BodyTooLargeError(ValueError):
    """A body is larger than the limit of its reader."""


async def read_body(stream: StreamReader, limit_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than ``limit_bytes``.
    """
    chunks = []
    size_bytes = 0
    while True:
        chunk = await stream.readany()
        if not chunk and stream.is_eof():
            return b''.join(chunks)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(
                f'body above {limit_bytes} bytes, {size_bytes} bytes received',
            )
        chunks.append(chunk)
