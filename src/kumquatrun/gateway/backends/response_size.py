"""Limits on the bytes of a response other than its body."""

from aiohttp.streams import StreamReader

# Maximum bytes up to the end of the head: the head itself, interim responses
# and late responses to earlier requests.
MAX_HEAD_BYTES = 64 * 1024
# Limit on the bytes of chunk sizes, chunk extensions and trailers: a constant
# plus an amount for each byte of the body, since a chunk may contain a single
# byte.
MAX_FRAMING_BYTES = 16 * 1024
MAX_FRAMING_PER_BODY_BYTE = 16


class ResponseSize:
    """Counts the bytes received after one request.

    The parser limits each line that it stores, but neither the number of
    responses before the awaited one nor the bytes that it skips.

    Attributes
    ----------
    received_bytes
        Number of bytes received since the request was sent.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self._head_bytes = 0
        self._body: StreamReader | None = None

    def add(self, size_bytes: int) -> None:
        """Add received bytes to the count."""
        self.received_bytes += size_bytes

    def end_head(self, body: StreamReader) -> None:
        """Record the end of the head; part of the body may have arrived."""
        self._body = body
        self._head_bytes = self.received_bytes - body.total_bytes

    def exceeded_limit(self) -> str:
        """Return which limit is exceeded, or an empty string."""
        if self._body is None:
            if self.received_bytes > MAX_HEAD_BYTES:
                return f'no response head within {MAX_HEAD_BYTES} bytes'
            return ''
        body_bytes = self._body.total_bytes
        framing_bytes = self.received_bytes - self._head_bytes - body_bytes
        limit_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        if framing_bytes > limit_bytes:
            return f'body framing exceeds {limit_bytes} bytes'
        return ''
