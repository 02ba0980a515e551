"""Data classes that pass between the quorum log, its store and its driver."""

from dataclasses import dataclass, field
from typing import Any

from kumquatrun.consensus.consensus_messages import LogEntry, Member


@dataclass(frozen=True)
class Identity:
    """Replica id and disk identity of a replica."""

    replica_id: str
    disk_id: str


@dataclass(frozen=True)
class Timing:
    """Time limits and batch sizes of the consensus protocol.

    ``election_min_s`` is also the time after hearing a leader during which
    votes are refused; ``election_max_s`` is the time after which a leader
    without a majority steps down. A joining disk that is silent for
    ``join_silence_s`` is forgotten, so that the recorded disk of the same
    replica id gets entries again if it returns.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1
    join_silence_s: float = 10
    # 64 KiB take 35 ms on the 15 Mbit/s link between the regions, so that a
    # chunk delays a heartbeat by less than one heartbeat interval.
    chunk_bytes: int = 64 * 1024
    append_bytes: int = 64 * 1024
    max_uncommitted_entries: int = 16 * 1024
    max_learner_lag_entries: int = 1000


@dataclass(frozen=True)
class HardState:
    """Term and vote; durable before any message that depends on them."""

    term: int = 0
    voted_for: str = ''


@dataclass(frozen=True)
class ReplicaMeta:
    """Durable facts of a data folder besides log and snapshot."""

    disk_id: str
    hard_state: HardState = field(default_factory=HardState)
    initial: tuple[Member, ...] = ()
    formed: bool = False


@dataclass(frozen=True)
class SnapshotMeta:
    """Position and membership that a snapshot covers."""

    last_index: int = 0
    last_term: int = 0
    members: tuple[Member, ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """State machine content at a log position."""

    meta: SnapshotMeta
    content: bytes


@dataclass(frozen=True)
class StoredState:
    """What a store holds when a replica starts."""

    meta: ReplicaMeta | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Envelope:
    """A message with its receiver."""

    receiver: str
    message: Any


@dataclass(frozen=True)
class ChunkToSend:
    """Asks the driver to send one chunk of the newest stored snapshot."""

    receiver: str
    meta: SnapshotMeta
    offset: int
    round_number: int
    term: int


@dataclass(frozen=True)
class Output:
    """What the driver must do, in the order of the fields.

    ``messages_before_sync`` may be sent before the sync;
    ``messages_after_sync`` and all replies only after it.
    """

    messages_before_sync: tuple[Envelope | ChunkToSend, ...] = ()
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    messages_after_sync: tuple[Envelope | ChunkToSend, ...] = ()

    @property
    def needs_sync(self) -> bool:
        """Return whether anything must become durable."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.truncate_from is not None
            or self.entries,
        )


@dataclass(frozen=True)
class Barrier:
    """A read barrier: leadership round and index to wait for."""

    term: int
    round_number: int
    index: int


@dataclass(frozen=True)
class MembershipChange:
    """One change of one replica.

    ``action`` is ``add_learner``, ``promote`` or ``remove``.
    """

    action: str
    replica_id: str
    disk_id: str = ''
    address: str = ''


@dataclass(frozen=True)
class AppliedCommand:
    """A committed command and its result."""

    entry: LogEntry
    result: bytes


@dataclass(frozen=True)
class FlushResult:
    """What a flush produced: messages to send and applied commands."""

    messages: tuple[Envelope, ...]
    applied: tuple[AppliedCommand, ...]
