"""In-memory log of one replica with its commit index and memberships."""

from collections.abc import Sequence

from kumquatrun.consensus.consensus_messages import EntryKind, LogEntry
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_types import SnapshotMeta

MAX_BATCH_ENTRIES = 1024


class LogInvariantError(AssertionError):
    """Raised if an invariant of the log is violated; the replica must stop."""


class EntryLog:
    """Log entries after ``base_index``.

    Of the entry at ``base_index`` only the term is kept.

    Attributes
    ----------
    base_index, base_term
        Index and term of the entry before the first one in memory.
    commit_index
        Last index known to be committed.
    saved_index
        Last index that is durable in storage.
    snapshot_meta
        Position of the newest stored snapshot, not before the base.
    """

    def __init__(
        self,
        snapshot_meta: SnapshotMeta,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        self._entries: list[LogEntry] = []
        self.reset(snapshot_meta)
        self._truncated_from = None
        self.append(entries)
        self._taken_index = self.last_index
        self.mark_saved()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the newest membership."""
        return self._memberships[-1][0]

    @property
    def committed_membership(self) -> Membership:
        """Return the newest committed membership."""
        return self.membership_at(self.commit_index)

    def membership_at(self, index: int) -> Membership:
        """Return the newest membership at or before ``index``."""
        return [
            membership
            for start_index, membership in self._memberships
            if start_index <= index
        ][-1]

    def set_base_members(self, members: Membership) -> None:
        """Set the membership before the first entry."""
        self._memberships[0] = (self.base_index, members)

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, or None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> Sequence[LogEntry]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        first_index = self.base_index + 1
        return self._entries[
            max(0, first - first_index) : max(0, last - first_index + 1)
        ]

    def batch_from(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first``, limited in number and size.

        Contains at least one entry if there is any.
        """
        batch: list[LogEntry] = []
        size = 0
        start = first - self.base_index - 1
        # ``islice`` would have to step over all entries before ``start``.
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            # 64 bytes account for the other fields of the entry on the wire.
            size += len(entry.data) + 64
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that follow the last one.

        Raises
        ------
        LogInvariantError
            If the first entry does not follow the last one.
        """
        if entries and entries[0].index != self.last_index + 1:
            raise LogInvariantError(
                f'entry {entries[0].index} does not follow {self.last_index}',
            )
        self._entries.extend(entries)
        self._memberships.extend(
            (entry.index, Membership.decode(entry.data))
            for entry in entries
            if entry.kind is EntryKind.MEMBERS
        )

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones.

        Raises
        ------
        LogInvariantError
            If the entry is committed.
        """
        if index <= self.commit_index:
            raise LogInvariantError(
                f'entry {index} is committed: commit index {self.commit_index}',
            )
        del self._entries[index - self.base_index - 1 :]
        self._memberships = [
            self._memberships[0],
            *(row for row in self._memberships[1:] if row[0] < index),
        ]
        if self._taken_index >= index:
            previous = self._truncated_from
            self._truncated_from = (
                index if previous is None else min(previous, index)
            )
        self.saved_index = min(self.saved_index, index - 1)
        self._taken_index = min(self._taken_index, index - 1)

    def find_new(self, entries: Sequence[LogEntry]) -> Sequence[LogEntry]:
        """Return ``entries`` from the first one that is not in the log."""
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def last_index_before_term_at(self, index: int) -> int:
        """Return the last index whose term differs from that of ``index``.

        The search ends at the commit index. A follower reports the result if
        its entry at ``index`` conflicts with that of the leader, so that the
        leader skips the conflicting term in one step.
        """
        term = self.term_at(index)
        while index > self.commit_index and self.term_at(index) == term:
            index -= 1
        return index

    def commit_to(self, index: int) -> None:
        """Advance the commit index; a smaller index has no effect.

        Raises
        ------
        LogInvariantError
            If the log does not reach ``index``.
        """
        if index > self.last_index:
            raise LogInvariantError(
                f'commit index {index} beyond the last entry {self.last_index}',
            )
        self.commit_index = max(self.commit_index, index)

    def take_unsaved(self) -> tuple[int | None, tuple[LogEntry, ...]]:
        """Return the index to truncate storage from, and entries to append.

        The index is None if nothing is to be truncated.
        """
        entries = self.entries_between(self._taken_index + 1, self.last_index)
        truncated_from = self._truncated_from
        self._truncated_from = None
        self._taken_index = self.last_index
        return truncated_from, tuple(entries)

    def mark_saved(self) -> None:
        """Record that the entries returned by ``take_unsaved`` are durable."""
        self.saved_index = self._taken_index

    def count_up_to(self, last: int, max_entries: int, max_bytes: int) -> int:
        """Count the entries back from ``last`` that fit both limits."""
        count = 0
        size_bytes = 0
        first = max(self.base_index + 1, last + 1 - max_entries)
        for entry in reversed(self.entries_between(first, last)):
            size_bytes += len(entry.data)
            if size_bytes > max_bytes:
                break
            count += 1
        return count

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        members = self.membership_at(index)
        later = [row for row in self._memberships if row[0] > index]
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self._memberships = [(index, members), *later]

    def reset(self, snapshot_meta: SnapshotMeta) -> None:
        """Remove all entries and start after a snapshot."""
        index = snapshot_meta.last_index
        self.snapshot_meta = snapshot_meta
        self.base_index = index
        self.base_term = snapshot_meta.last_term
        self._entries.clear()
        self._memberships = [(index, Membership(snapshot_meta.members))]
        self.commit_index = index
        self.saved_index = index
        self._taken_index = index
        self._truncated_from: int | None = None
