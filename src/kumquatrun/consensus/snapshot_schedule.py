"""Decides when a replica takes a snapshot."""

# A new snapshot restarts a transfer that is under way. Under load the transfer
# might otherwise never finish.
LIMIT_FACTOR_WHILE_SENDING = 4


class SnapshotSchedule:
    """Counts the bytes applied since the newest snapshot.

    Parameters
    ----------
    max_entries, max_bytes
        A snapshot is due when one of these limits is reached.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._size_bytes = 0

    def add_entry(self, size_bytes: int) -> None:
        """Add the size of an applied entry."""
        self._size_bytes += size_bytes

    def reset(self) -> None:
        """Reset the count after a snapshot."""
        self._size_bytes = 0

    def is_due(self, entry_count: int, *, is_sending: bool) -> bool:
        """Return whether to take a snapshot.

        ``entry_count`` is the number of entries applied since the newest
        snapshot, and ``is_sending`` whether that snapshot is being sent to a
        replica.
        """
        factor = LIMIT_FACTOR_WHILE_SENDING if is_sending else 1
        return (
            entry_count >= factor * self._max_entries
            or self._size_bytes >= factor * self._max_bytes
        )
