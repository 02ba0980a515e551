"""Bounds of the bytes of an answer that are not its body."""

from aiohttp.streams import StreamReader

# All that comes before the end of the head: the head itself, interim answers
# and late answers to earlier requests.
MAX_HEAD_BYTES = 64 * 1024
# Chunk sizes, chunk extensions and trailers: a fixed part and a part for each
# byte of the body, since a chunk may hold a single byte.
MAX_FRAMING_BYTES = 16 * 1024
MAX_FRAMING_PER_BODY_BYTE = 16


class ResponseSize:
    """Counts the bytes that arrive after one request.

    The parser bounds each line that it stores, but not the number of answers
    before the awaited one, nor the bytes that it skips.

    Attributes
    ----------
    received_bytes
        All bytes since the request was sent.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self._head_bytes = 0
        self._body: StreamReader | None = None

    def add(self, size_bytes: int) -> None:
        """Count bytes that arrived."""
        self.received_bytes += size_bytes

    def end_head(self, body: StreamReader) -> None:
        """Record that the head is complete; its body may have begun."""
        self._body = body
        self._head_bytes = self.received_bytes - body.total_bytes

    def excess(self) -> str:
        """Return which bound is exceeded, or an empty text."""
        if self._body is None:
            if self.received_bytes > MAX_HEAD_BYTES:
                return f'no head within {MAX_HEAD_BYTES} bytes'
            return ''
        body_bytes = self._body.total_bytes
        framing_bytes = self.received_bytes - self._head_bytes - body_bytes
        limit_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        if framing_bytes > limit_bytes:
            return f'framing of the body above {limit_bytes} bytes'
        return ''
