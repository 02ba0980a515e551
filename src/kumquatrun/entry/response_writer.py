"""Writes an agent's response to the caller and counts its tokens."""

from typing import Protocol

from kumquatrun.peer.request_messages import StoredAnswer

# A response that is not an event stream is buffered up to this size, so that
# a failure can still lead to a typed error or a retry.
MAX_BUFFERED_BYTES = 64 * 1024
EVENT_STREAM = 'text/event-stream'
_EVENT_END = b'\n\n'
_NEWLINE = 0x0A


class Sink(Protocol):
    """The caller's connection."""

    async def start(self, status: int, content_type: str) -> None:
        """Send the head of a response of unknown length."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send part of the body; waits while the caller reads slowly."""
        ...

    def write_now(self, chunk: bytes) -> bool:
        """Send part of the body without waiting; False if not possible."""
        ...

    async def finish(self) -> None:
        """End the body."""
        ...

    async def send(self, answer: StoredAnswer) -> None:
        """Send a complete response."""
        ...


class EventCounter:
    """Counts the server-sent events of a stream, one per output token."""

    def __init__(self) -> None:
        self.events = 0
        self._ends_with_newline = False

    def add(self, chunk: bytes) -> None:
        """Count the events that end in ``chunk``."""
        if not chunk:
            return
        self.events += chunk.count(_EVENT_END)
        if self._ends_with_newline and chunk[0] == _NEWLINE:
            self.events += 1
        # The last newline of a complete delimiter does not begin the next
        # delimiter.
        self._ends_with_newline = chunk[-1] == _NEWLINE and not chunk.endswith(
            _EVENT_END
        )


class ResponseWriter:
    """Writes one response to the caller.

    Parameters
    ----------
    sink
        The caller's connection.
    max_stored_bytes
        Largest body that is stored for ``stored_answer``; 0 if no response has
        to be stored.
    """

    def __init__(self, sink: Sink, max_stored_bytes: int = 0) -> None:
        self.is_started = False
        self.status = 0
        self.is_event_stream = False
        self.body_bytes = 0
        self.counter = EventCounter()
        self._sink = sink
        self._content_type = ''
        self._buffered = bytearray()
        self._is_writing = False
        self._max_stored_bytes = max_stored_bytes
        self._stored_body: bytearray | None = bytearray()

    def set_head(self, status: int, content_type: str) -> None:
        """Set the head of a response; drops the buffer of a failed attempt."""
        self.status = status
        self._content_type = content_type
        self.is_event_stream = content_type.startswith(EVENT_STREAM)
        self.counter = EventCounter()
        self._buffered.clear()
        self._stored_body = bytearray()

    async def write(self, chunk: bytes) -> None:
        """Send or buffer part of the body."""
        self._is_writing = True
        if self.is_started:
            await self._sink.write(chunk)
        else:
            await self._buffer_chunk(chunk)
        self._is_writing = False
        self._count(chunk)

    def write_now(self, chunk: bytes) -> bool:
        """Send part of the body without waiting; False if not possible."""
        if self._is_writing or not self.is_started:
            return False
        if not self._sink.write_now(chunk):
            return False
        self._count(chunk)
        return True

    async def finish(self) -> None:
        """Send what is buffered and end the body."""
        if self.is_started:
            await self._sink.finish()
            return
        answer = StoredAnswer(
            status=self.status,
            content_type=self._content_type,
            body=bytes(self._buffered),
        )
        self.is_started = True
        await self._sink.send(answer)

    async def send_stored(self, answer: StoredAnswer) -> None:
        """Send a stored response."""
        self.status = answer.status
        self.is_started = True
        await self._sink.send(answer)

    def stored_answer(self) -> StoredAnswer | None:
        """Return the response if it is small enough to be stored."""
        if self._stored_body is None:
            return None
        return StoredAnswer(
            status=self.status,
            content_type=self._content_type,
            body=bytes(self._stored_body),
        )

    async def _start(self) -> None:
        self.is_started = True
        await self._sink.start(self.status, self._content_type)
        buffered = bytes(self._buffered)
        self._buffered.clear()
        await self._sink.write(buffered)

    async def _buffer_chunk(self, chunk: bytes) -> None:
        self._buffered += chunk
        if self.is_event_stream or len(self._buffered) > MAX_BUFFERED_BYTES:
            await self._start()

    def _count(self, chunk: bytes) -> None:
        self.body_bytes += len(chunk)
        if self.is_event_stream:
            self.counter.add(chunk)
        if self._stored_body is None:
            return
        if len(self._stored_body) + len(chunk) > self._max_stored_bytes:
            self._stored_body = None
        else:
            self._stored_body += chunk
