"""Where events of a stream end, and how it resumes after a failure."""

import re
from collections.abc import Callable

from kumquatrun.agent.sse import EventSplitter

# Maximum size of one event of a resumable stream.
MAX_EVENT_BYTES = 64 * 1024
_EVENT_ID = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)
EVENT_STREAM = 'text/event-stream'
# An event ends with a blank line. A line feed and a carriage return are the
# start of a blank line whose line feed is missing.
_EVENT_ENDS = (b'\n\n', b'\n\r\n', b'\r\r')
_LONGEST_EVENT_END = max(map(len, _EVENT_ENDS))


class EventBoundary:
    """Tells whether a stream ends at the end of an event; stores no event.

    Parameters
    ----------
    on_event
        Called once, when received bytes end with the end of an event.
    """

    def __init__(self, on_event: Callable[[], None]) -> None:
        self._tail = b''
        self._on_event: Callable[[], None] | None = on_event

    @property
    def is_empty(self) -> bool:
        """Return whether no bytes were received."""
        return not self._tail

    @property
    def is_at_end(self) -> bool:
        """Return whether the last received event is complete."""
        return self._tail.endswith(_EVENT_ENDS)

    def add(self, received: bytes) -> None:
        """Add received bytes."""
        self._tail = (self._tail + received)[-_LONGEST_EVENT_END:]
        if self._on_event is not None and self.is_at_end:
            self._on_event()
            self._on_event = None


class ResumableStream:
    """Forwards complete events and records the id of the last one.

    Attributes
    ----------
    last_event_id
        Id of the last forwarded event that had one.
    """

    def __init__(self, last_event_id: str = '') -> None:
        self.last_event_id = last_event_id
        self._splitter = EventSplitter(MAX_EVENT_BYTES)

    def feed(self, received: bytes) -> bytes:
        """Return the events that are now complete.

        Raises
        ------
        BackendError
            If an event is too large.
        """
        events = self._splitter.feed(received)
        for event in events:
            found = _EVENT_ID.search(event)
            if found:
                self.last_event_id = found[1].decode('latin-1')
        return b''.join(events)

    def take_rest(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        return self._splitter.take_rest()

    def drop_incomplete_event(self) -> None:
        """Drop the start of an event that a failed backend server sent.

        Keeps ``last_event_id``.
        """
        self._splitter = EventSplitter(MAX_EVENT_BYTES)
