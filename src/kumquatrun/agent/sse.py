"""Server-sent events: splitting a byte stream into whole events."""

import re
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

from kumquatrun.agent.json_content import json_object
from kumquatrun.errors import BackendError

MAX_EVENT_BYTES = 1024 * 1024
_END_OF_EVENT = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# Most bytes of an incomplete event delimiter at the end of earlier reads.
_LONGEST_PARTIAL_END = 3


class EventSplitter:
    """Splits received bytes into whole events.

    The delimiter of an event may be split over two reads, so a single line end
    at the end of the buffer stays there until the next read.

    Parameters
    ----------
    max_event_bytes
        Largest incomplete event that is buffered.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()

    @property
    def is_empty(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._buffer.strip()

    def take_rest(self) -> bytes:
        """Return the buffered incomplete event and clear the buffer."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def feed(self, received: bytes) -> list[bytes]:
        """Add bytes; returns the complete events with their delimiters.

        Raises
        ------
        BackendError
            If an incomplete event is larger than ``max_event_bytes``.
        """
        if self._is_one_event(received):
            return [received]
        buffer = self._buffer
        # Earlier reads had no event delimiter; searching them again would take
        # time that grows with the square of the event size.
        unsearched = max(0, len(buffer) - _LONGEST_PARTIAL_END)
        buffer += received
        ends = [
            match.end() for match in _END_OF_EVENT.finditer(buffer, unsearched)
        ]
        events = [
            bytes(buffer[start:end]) for start, end in pairwise((0, *ends))
        ]
        if ends:
            del buffer[: ends[-1]]
        if len(buffer) > self._max_event_bytes:
            raise BackendError(f'event exceeds {self._max_event_bytes} bytes')
        return events

    def _is_one_event(self, received: bytes) -> bool:
        # Fast path: a token usually arrives as one event in one read.
        return (
            not self._buffer
            and b'\r' not in received
            and received.find(b'\n\n') == len(received) - 2
            and len(received) > 2
        )


def event_json(event: bytes) -> dict[str, Any] | None:
    """Return the JSON object in an event's data, None if it has none."""
    lines: Iterable[bytes] = event.splitlines()
    text = b'\n'.join(
        line[len(b'data:') :].strip()
        for line in lines
        if line.startswith(b'data:')
    )
    return json_object(text)
