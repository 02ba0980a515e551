"""A follower's part of the quorum log: log matching and snapshots."""

from dataclasses import dataclass

from kumquatrun.consensus_messages import AppendRequest, SnapshotChunk
from kumquatrun.quorum_entries import EntryLog
from kumquatrun.quorum_types import Snapshot, SnapshotMeta


@dataclass(frozen=True)
class AppendResult:
    """Whether entries were accepted, and the index that the reply names."""

    success: bool
    match_index: int


def accept_entries(log: EntryLog, request: AppendRequest) -> AppendResult:
    """Append the entries of a request if the log matches before them."""
    is_known = request.prev_index <= log.base_index
    if not is_known and log.term_at(request.prev_index) != request.prev_term:
        return AppendResult(
            success=False,
            match_index=_last_possible_match(log, request.prev_index),
        )
    new = log.find_new(request.entries)
    if new:
        if new[0].index <= log.last_index:
            log.truncate_from(new[0].index)
        log.append(new)
    match_index = request.prev_index + len(request.entries)
    log.commit_to(min(request.commit_index, max(match_index, 0)))
    return AppendResult(success=True, match_index=match_index)


def _last_possible_match(log: EntryLog, prev_index: int) -> int:
    if prev_index > log.last_index:
        return log.last_index
    return log.last_index_before_term_at(prev_index)


class SnapshotReceiver:
    """Collects the chunks of one snapshot in order."""

    def __init__(self) -> None:
        self._meta: SnapshotMeta | None = None
        self._content = bytearray()

    def accept(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk; returns the snapshot when it is complete."""
        meta = SnapshotMeta(chunk.last_index, chunk.last_term, chunk.members)
        if meta != self._meta:
            self._meta = meta
            self._content = bytearray()
        if chunk.offset == len(self._content):
            self._content += chunk.data
        if len(self._content) < chunk.total_bytes:
            return None
        content = bytes(self._content)
        self._meta = None
        self._content = bytearray()
        return Snapshot(meta, content)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next chunk."""
        return len(self._content)
