"""Heads of the responses of backend servers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from aiohttp.streams import StreamReader

BODYLESS_STATUSES = frozenset((204, 304))

RawHeaders = tuple[tuple[bytes, bytes], ...]


class Framing(StrEnum):
    """What marks the end of a response body."""

    EMPTY = 'empty'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    # The end of the connection.
    CLOSE = 'close'


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response, with its body stream."""

    status: int
    reason: str
    headers: RawHeaders
    body: StreamReader
    framing: Framing
    keeps_alive: bool

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode('latin-1')
        return ''


def framing_of(message: Any, *, has_response_body: bool) -> Framing:
    """Return the framing of a response that aiohttp has parsed.

    ``has_response_body`` is false for the response to a HEAD request.
    """
    length = message.headers.get('Content-Length')
    is_bodyless = message.code in BODYLESS_STATUSES or length == '0'
    if is_bodyless or not has_response_body:
        return Framing.EMPTY
    if message.chunked:
        return Framing.CHUNKS
    return Framing.CLOSE if length is None else Framing.LENGTH
