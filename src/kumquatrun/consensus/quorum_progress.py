"""What a leader knows about one other replica."""

from collections import deque
from dataclasses import dataclass, field

from kumquatrun.consensus.quorum_types import SnapshotMeta

MAX_BATCHES_IN_FLIGHT = 4


@dataclass
class SnapshotTransfer:
    """Snapshot transfer to one replica; one chunk is in flight at a time."""

    meta: SnapshotMeta
    offset: int
    sent_s: float


@dataclass
class Progress:
    """Replication state of one disk.

    While ``probing``, the last matching index is not known and entries are
    sent only with heartbeats and after rejections. ``address`` is set while
    the disk is not in the membership yet.
    """

    disk_id: str
    next_index: int
    last_reply_s: float
    address: str = ''
    match_index: int = 0
    acked_round: int = 0
    probing: bool = True
    transfer: SnapshotTransfer | None = None
    in_flight: deque[int] = field(default_factory=deque)

    @property
    def may_send(self) -> bool:
        """Return whether another batch may be sent."""
        return not self.probing and len(self.in_flight) < MAX_BATCHES_IN_FLIGHT

    def record_sent(self, last_index: int) -> None:
        """Record a batch that ends at ``last_index``."""
        if not self.probing:
            self.next_index = last_index + 1
            self.in_flight.append(last_index)

    def record_match(self, index: int) -> None:
        """Record that the replica's log matches up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def record_rejection(self, last_possible_index: int) -> bool:
        """Step back after a rejection.

        Returns false if the rejection is outdated, or if the replica denies
        entries that it acknowledged before.
        """
        if last_possible_index < self.match_index:
            return False
        self.next_index = max(
            self.match_index + 1,
            min(self.next_index, last_possible_index + 1),
        )
        self.probing = True
        self.in_flight.clear()
        return True
