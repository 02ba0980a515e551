"""Follower side of the quorum log: log matching and snapshots."""

from dataclasses import dataclass

from kumquatrun.consensus.consensus_messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from kumquatrun.consensus.quorum_election import Election
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_types import Identity, Snapshot, SnapshotMeta


@dataclass(frozen=True)
class AppendResult:
    """Result of an append request, as reported in the reply."""

    success: bool
    match_index: int


def accept_entries(log: EntryLog, request: AppendRequest) -> AppendResult:
    """Append the entries of a request if the log matches up to them."""
    is_before_base = request.prev_index <= log.base_index
    if (
        not is_before_base
        and log.term_at(request.prev_index) != request.prev_term
    ):
        return AppendResult(
            success=False,
            match_index=_last_possible_match(log, request.prev_index),
        )
    new_entries = log.find_new(request.entries)
    if new_entries:
        if new_entries[0].index <= log.last_index:
            log.truncate_from(new_entries[0].index)
        log.append(new_entries)
    match_index = request.prev_index + len(request.entries)
    log.commit_to(min(request.commit_index, max(match_index, 0)))
    return AppendResult(success=True, match_index=match_index)


def _last_possible_match(log: EntryLog, prev_index: int) -> int:
    if prev_index > log.last_index:
        return log.last_index
    return log.last_index_before_term_at(prev_index)


class SnapshotReceiver:
    """Collects the chunks of one snapshot in order.

    Chunks of different leaders are never combined, because two replicas can
    encode the same state differently.
    """

    def __init__(self) -> None:
        self._source: tuple[int, SnapshotMeta] | None = None
        self._content = bytearray()

    def accept(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk; return the snapshot if it is complete, else None."""
        meta = SnapshotMeta(chunk.last_index, chunk.last_term, chunk.members)
        source = (chunk.term, meta)
        if source != self._source:
            self._source = source
            self._content = bytearray()
        if chunk.offset == len(self._content):
            self._content += chunk.data
        if len(self._content) < chunk.total_bytes:
            return None
        content = bytes(self._content)
        self._source = None
        self._content = bytearray()
        return Snapshot(meta, content)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next chunk."""
        return len(self._content)


class Follower:
    """Processes the messages of a leader."""

    def __init__(
        self,
        identity: Identity,
        entries: EntryLog,
        election: Election,
    ) -> None:
        self._identity = identity
        self._log = entries
        self._election = election
        self._receiver = SnapshotReceiver()
        self._received_snapshot: Snapshot | None = None

    def take_received_snapshot(self) -> Snapshot | None:
        """Return the newly received snapshot, if any, and clear it."""
        snapshot = self._received_snapshot
        self._received_snapshot = None
        return snapshot

    def on_append_request(
        self,
        request: AppendRequest,
        now_s: float,
    ) -> AppendReply:
        """Append entries; reject a request of an outdated leader."""
        result = AppendResult(success=False, match_index=0)
        if request.term >= self._election.term:
            self._election.record_leader_contact(
                request.term, request.sender, now_s
            )
            result = self._accept_entries(request)
        return AppendReply(
            term=self._election.term,
            sender=self._identity.replica_id,
            disk_id=self._identity.disk_id,
            success=result.success,
            match_index=result.match_index,
            round_number=request.round_number,
        )

    def on_snapshot_chunk(
        self,
        chunk: SnapshotChunk,
        now_s: float,
    ) -> SnapshotReply:
        """Add a snapshot chunk; reject a chunk of an outdated leader."""
        installed = False
        if chunk.term >= self._election.term:
            self._election.record_leader_contact(
                chunk.term, chunk.sender, now_s
            )
            installed = self._accept_chunk(chunk)
        return SnapshotReply(
            term=self._election.term,
            sender=self._identity.replica_id,
            disk_id=self._identity.disk_id,
            last_index=chunk.last_index,
            next_offset=self._receiver.next_offset,
            installed=installed,
            round_number=chunk.round_number,
        )

    def _accept_entries(self, request: AppendRequest) -> AppendResult:
        return accept_entries(self._log, request)

    def _accept_chunk(self, chunk: SnapshotChunk) -> bool:
        if self._log.commit_index >= chunk.last_index:
            return True
        if self._log.term_at(chunk.last_index) == chunk.last_term:
            # The log already holds all entries that the snapshot covers.
            # Replacing the log by the snapshot would lose later entries that
            # this replica may have acknowledged.
            self._log.commit_to(chunk.last_index)
            return True
        snapshot = self._receiver.accept(chunk)
        if snapshot is None:
            return False
        self._log.reset(snapshot.meta)
        self._received_snapshot = snapshot
        return True
