"""Relays a stream of events so that it can continue after a break."""

import re

from kumquatrun.agent.sse import EventSplitter

# Largest event of a stream that may be resumed.
MAX_EVENT_BYTES = 64 * 1024
_EVENT_ID = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


class ResumableStream:
    """Passes whole events on and remembers the last one.

    Attributes
    ----------
    last_event_id
        Id of the last event that was passed on.
    """

    def __init__(self, last_event_id: str = '') -> None:
        self.last_event_id = last_event_id
        self._splitter = EventSplitter(MAX_EVENT_BYTES)

    def feed(self, received: bytes) -> bytes:
        """Return the whole events that are complete now.

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
        """Return what follows the last whole event, at the end of a run."""
        return self._splitter.take_rest()

    def restart(self) -> None:
        """Drop a part of an event whose backend server broke off."""
        self._splitter = EventSplitter(MAX_EVENT_BYTES)
