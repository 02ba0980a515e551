"""Data classes shared by the quorum log, its storage and its driver."""

from dataclasses import dataclass, field
from typing import Any

from kumquatrun.consensus.consensus_messages import Ballot, LogEntry, Member


@dataclass(frozen=True)
class Identity:
    """Replica id and disk identity."""

    replica_id: str
    disk_id: str


@dataclass(frozen=True)
class Timing:
    """Time limits and batch sizes of the consensus protocol.

    Election timeouts are between ``election_min_s`` and ``election_max_s``.
    For ``election_min_s`` after a message of a leader, votes are refused.
    After ``election_max_s`` without a majority, a leader steps down. A joining
    disk that has not replied for ``join_silence_s`` is dropped, so that the
    recorded disk of the same replica id receives entries again if it returns.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1
    join_silence_s: float = 10
    # 64 KiB take 35 ms on the 15 Mbit/s link between the regions, so a chunk
    # delays a heartbeat by less than a heartbeat interval.
    chunk_bytes: int = 64 * 1024
    append_bytes: int = 64 * 1024
    max_uncommitted_entries: int = 16 * 1024
    max_learner_lag_entries: int = 1000


@dataclass(frozen=True)
class HardState:
    """Term and vote; made durable before any message that depends on them."""

    term: int = 0
    voted_for: str = ''


@dataclass(frozen=True)
class ReplicaMeta:
    """Durable metadata of a replica besides log and snapshot.

    ``promised`` and ``accepted`` are its votes in the formation of the group,
    see ``FormationState``.
    """

    disk_id: str
    hard_state: HardState = field(default_factory=HardState)
    initial: tuple[Member, ...] = ()
    formed: bool = False
    promised: Ballot = field(default_factory=Ballot)
    accepted: Ballot = field(default_factory=Ballot)


@dataclass(frozen=True)
class SnapshotMeta:
    """Log position of a snapshot, and the membership at this position."""

    last_index: int = 0
    last_term: int = 0
    members: tuple[Member, ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """State of the state machine at a log position."""

    meta: SnapshotMeta
    content: bytes


@dataclass(frozen=True)
class StoredState:
    """Content of the storage when a replica starts."""

    meta: ReplicaMeta | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Envelope:
    """A message and its receiver."""

    receiver: str
    message: Any


@dataclass(frozen=True)
class ChunkToSend:
    """A chunk of the newest stored snapshot that the driver is to send."""

    receiver: str
    meta: SnapshotMeta
    offset: int
    round_number: int
    term: int


@dataclass(frozen=True)
class Output:
    """Work for the driver, to be done in the order of the fields.

    ``messages_before_sync`` may be sent before the sync. All replies and
    ``messages_after_sync`` may be sent only after it.
    """

    messages_before_sync: tuple[Envelope | ChunkToSend, ...] = ()
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    messages_after_sync: tuple[Envelope | ChunkToSend, ...] = ()

    @property
    def needs_sync(self) -> bool:
        """Return whether the output contains anything to make durable."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.truncate_from is not None
            or self.entries,
        )


@dataclass(frozen=True)
class Barrier:
    """A read barrier.

    A read is allowed once a majority has confirmed the heartbeat round
    ``round_number`` and the entry at ``index`` is applied.
    """

    term: int
    round_number: int
    index: int


@dataclass(frozen=True)
class MembershipChange:
    """Requested membership change of one replica.

    ``action`` is ``add_learner``, ``promote`` or ``remove``.
    """

    action: str
    replica_id: str
    disk_id: str = ''
    address: str = ''


@dataclass(frozen=True)
class AppliedCommand:
    """Log entry of a committed command, and the result of applying it."""

    entry: LogEntry
    result: bytes


@dataclass(frozen=True)
class FlushResult:
    """Result of a flush: messages to send and applied commands."""

    messages: tuple[Envelope, ...]
    applied: tuple[AppliedCommand, ...]
