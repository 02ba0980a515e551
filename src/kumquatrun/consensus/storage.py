"""Interface of the durable storage of a replica."""

from collections.abc import Sequence
from typing import Protocol

from kumquatrun.consensus.consensus_messages import LogEntry
from kumquatrun.consensus.quorum_types import (
    ReplicaMeta,
    Snapshot,
    StoredState,
)


class Storage(Protocol):
    """Durable state of one replica.

    ``append`` becomes durable with ``sync``; all other changes are durable
    when the method returns.
    """

    def load(self) -> StoredState:
        """Return the stored state, after making it durable.

        Entries that were written but not synced before a crash are either made
        durable or discarded. No entries may be written before the first
        ``load``, nor after ``close`` until ``load`` is called again.
        """
        ...

    def load_meta(self) -> ReplicaMeta | None:
        """Return the stored metadata without the log, or None if missing."""
        ...

    def save_meta(self, meta: ReplicaMeta) -> None:
        """Store disk identity, term, vote and initial membership."""
        ...

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries that follow the last one."""
        ...

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        ...

    def sync(self) -> None:
        """Make all written entries durable."""
        ...

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Store a snapshot; entries before ``first_kept`` may be dropped."""
        ...

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot from the leader and drop all entries."""
        ...

    def read_chunk(
        self,
        last_index: int,
        offset: int,
        size_bytes: int,
    ) -> tuple[bytes, int] | None:
        """Return a part of the newest snapshot, and the snapshot's size.

        Returns None if the newest snapshot does not end at ``last_index``.
        """
        ...

    def close(self) -> None:
        """Close all files."""
        ...
