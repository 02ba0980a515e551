"""Reads request bodies within limits of size, time and memory."""

import asyncio

from aiohttp import web

from kumquatrun.errors import (
    DeadlineExceededError,
    InvalidRequestError,
    NoCapacityError,
    Outcome,
    RequestTooLargeError,
)

# Limit of all bodies together: a quarter of the 256 MB that a node may use
# (design page, section 1.5).
MAX_BODIES_BYTES = 64 * 1024 * 1024
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyMemory:
    """Limits the total memory of all request bodies.

    Bodies are kept until their request ends, because a retry needs them.
    """

    def __init__(self, limit_bytes: int = MAX_BODIES_BYTES) -> None:
        self.used_bytes = 0
        self._limit_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> None:
        """Count bytes of a body as used.

        Raises
        ------
        NoCapacityError
            If all bodies together would exceed the limit.
        """
        if self.used_bytes + size_bytes > self._limit_bytes:
            raise NoCapacityError('open request bodies reach the memory limit')
        self.used_bytes += size_bytes

    def free(self, size_bytes: int) -> None:
        """Count bytes of a body as free."""
        self.used_bytes -= size_bytes


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    timeout_s: float,
    memory: BodyMemory,
) -> bytes:
    """Read the body of a request; the caller frees its bytes in ``memory``.

    Raises
    ------
    RequestTooLargeError
        If the body has more than ``max_bytes``.
    InvalidRequestError
        If the body is compressed or incomplete.
    DeadlineExceededError
        If the body did not arrive in time; the outcome is ``not_run``.
    """
    if request.headers.get('Content-Encoding', 'identity') != 'identity':
        raise InvalidRequestError('compressed bodies are not supported')
    if (request.content_length or 0) > max_bytes:
        raise RequestTooLargeError(f'the body has more than {max_bytes} bytes')
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(_CONTINUE)
        request.writer.output_size = 0
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_limited(request, max_bytes, memory)
    except TimeoutError:
        raise DeadlineExceededError(
            f'the body did not arrive within {timeout_s} s',
            outcome=Outcome.NOT_RUN,
        ) from None


async def _read_limited(
    request: web.BaseRequest,
    max_bytes: int,
    memory: BodyMemory,
) -> bytes:
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            memory.reserve(len(chunk))
            body += chunk
            if len(body) > max_bytes:
                raise RequestTooLargeError(
                    f'the body has more than {max_bytes} bytes',
                )
    except (web.RequestPayloadError, ValueError) as error:
        memory.free(len(body))
        raise InvalidRequestError(f'malformed body: {error}') from None
    except BaseException:
        memory.free(len(body))
        raise
    return bytes(body)
