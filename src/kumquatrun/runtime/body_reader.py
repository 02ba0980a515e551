"""Reads an HTTP body into memory, up to a size limit."""

import asyncio

from aiohttp.streams import StreamReader


class BodyTooLargeError(ValueError):
    """A body is larger than the limit of its reader."""


async def read_received(
    stream: StreamReader, deadline_s: float | None = None
) -> bytes:
    """Return the next bytes of a body; empty at its end.

    What has arrived is returned also after the deadline: a process that stood
    still until then has not read it yet.

    Raises
    ------
    TimeoutError
        If nothing has arrived by ``deadline_s``, in the clock of the loop.
    """
    try:
        async with asyncio.timeout_at(deadline_s):
            return await stream.readany()
    except TimeoutError:
        received = stream.read_nowait()
        if not received and not stream.is_eof():
            raise
        return received


async def read_body(
    stream: StreamReader,
    limit_bytes: int,
    deadline_s: float | None = None,
) -> bytes:
    """Return the whole body.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than ``limit_bytes``.
    TimeoutError
        If the rest of it has not arrived by ``deadline_s``.
    """
    chunks = []
    size_bytes = 0
    while True:
        chunk = await read_received(stream, deadline_s)
        if not chunk and stream.is_eof():
            return b''.join(chunks)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(
                f'body above {limit_bytes} bytes, {size_bytes} bytes received',
            )
        chunks.append(chunk)
