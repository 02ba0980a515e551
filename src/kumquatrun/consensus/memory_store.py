"""``Storage`` in memory, for tests and for hosts without a disk."""

from collections.abc import Sequence
from dataclasses import replace

from kumquatrun.consensus.consensus_messages import LogEntry
from kumquatrun.consensus.quorum_types import ReplicaMeta, Snapshot, StoredState


class MemoryStorage:
    """Keeps written entries apart from durable ones until the sync."""

    def __init__(self) -> None:
        self.durable = StoredState()
        self.sync_count = 0
        self._written: list[LogEntry] = []

    def load(self) -> StoredState:
        """Return the durable state; what was only written is lost."""
        self._written = []
        meta = self.durable.snapshot.meta if self.durable.snapshot else None
        first = meta.last_index + 1 if meta else 1
        entries = [
            entry for entry in self.durable.entries if entry.index >= first
        ]
        return replace(self.durable, entries=tuple(entries))

    def load_meta(self) -> ReplicaMeta | None:
        """Return the stored facts without the log, None if there are none."""
        return self.durable.meta

    def save_meta(self, meta: ReplicaMeta) -> None:
        """Store disk identity, term and vote."""
        self.durable = replace(self.durable, meta=meta)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries; lost on a crash before the sync."""
        self._written.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        self._written = [
            entry for entry in self._written if entry.index < index
        ]
        kept = [entry for entry in self.durable.entries if entry.index < index]
        self.durable = replace(self.durable, entries=tuple(kept))

    def sync(self) -> None:
        """Make all written entries durable."""
        self.sync_count += 1
        self._persist(len(self._written))

    def crash(self, kept_entries: int = 0) -> None:
        """Lose written entries, except for the first ``kept_entries``.

        An operating system may have written any number of them on its own.
        """
        self._persist(kept_entries)
        self._written = []

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Store a snapshot and drop entries before ``first_kept``."""
        kept = [
            entry for entry in self.durable.entries if entry.index >= first_kept
        ]
        self.durable = replace(
            self.durable, snapshot=snapshot, entries=tuple(kept)
        )

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot from the leader and drop all entries."""
        self._written = []
        self.durable = replace(self.durable, snapshot=snapshot, entries=())

    def read_chunk(
        self,
        last_index: int,
        offset: int,
        size_bytes: int,
    ) -> tuple[bytes, int] | None:
        """Return part of the newest snapshot and its total size."""
        snapshot = self.durable.snapshot
        if snapshot is None or snapshot.meta.last_index != last_index:
            return None
        chunk = snapshot.content[offset : offset + size_bytes]
        return chunk, len(snapshot.content)

    def close(self) -> None:
        """Nothing to release."""

    def _persist(self, count: int) -> None:
        entries = (*self.durable.entries, *self._written[:count])
        self._written = self._written[count:]
        self.durable = replace(self.durable, entries=entries)
