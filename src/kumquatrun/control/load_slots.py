"""Load slots: limit the adapter loads in flight on all hosts together.

The table is soft state of the leader. A new leader starts with an empty one, so
more than ``limit`` loads can be in flight for the duration of one load; they
then take proportionally longer. Waiting for the old slots to expire instead
would delay every load after each leader change.
"""

import heapq
import itertools
from dataclasses import dataclass

MAX_LOADS_IN_FLIGHT = 8
SLOT_DURATION_S = 6.0


@dataclass(frozen=True, order=True)
class SlotTicket:
    """A waiting request for a slot; the smallest one is served first."""

    rank: float
    number: int
    host_id: str
    adapter: str


@dataclass(frozen=True)
class LoadSlot:
    """A granted slot; it expires at ``ends_at_s``."""

    slot_id: str
    ticket: SlotTicket
    ends_at_s: float


class LoadSlots:
    """Grants slots first to the loads with the most waiting requests.

    Parameters
    ----------
    prefix
        Distinguishes the slots of this leader from those of earlier ones.
    limit
        Largest number of loads in flight.
    """

    def __init__(self, prefix: str, limit: int = MAX_LOADS_IN_FLIGHT) -> None:
        self._prefix = prefix
        self._limit = limit
        self._numbers = itertools.count(1)
        self._waiting: list[SlotTicket] = []
        self._granted: dict[str, LoadSlot] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of granted slots."""
        return len(self._granted)

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._waiting)

    def enqueue(
        self,
        host_id: str,
        adapter: str,
        waiting_requests: int,
    ) -> SlotTicket:
        """Add a ticket; loads with more waiting requests go first."""
        ticket = SlotTicket(
            -float(waiting_requests),
            next(self._numbers),
            host_id,
            adapter,
        )
        heapq.heappush(self._waiting, ticket)
        return ticket

    def withdraw(self, ticket: SlotTicket) -> None:
        """Remove a ticket that no call waits for."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
            heapq.heapify(self._waiting)

    def release(self, slot_id: str) -> None:
        """Free a slot; unknown slots are ignored."""
        self._granted.pop(slot_id, None)

    def grant_next(self, now_s: float) -> list[LoadSlot]:
        """Free expired slots and grant as many as the limit allows."""
        ended = [
            slot_id
            for slot_id, slot in self._granted.items()
            if slot.ends_at_s <= now_s
        ]
        for slot_id in ended:
            self.release(slot_id)
        granted = []
        while self._waiting and len(self._granted) < self._limit:
            ticket = heapq.heappop(self._waiting)
            granted.append(self._grant(ticket, now_s))
        return granted

    def _grant(self, ticket: SlotTicket, now_s: float) -> LoadSlot:
        granted = LoadSlot(
            f'{self._prefix}-{ticket.number}',
            ticket,
            now_s + SLOT_DURATION_S,
        )
        self._granted[granted.slot_id] = granted
        return granted
