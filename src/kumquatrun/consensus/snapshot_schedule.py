"""When a replica takes a snapshot: after so many entries or bytes."""

# A new snapshot restarts a transfer, which might then never end.
LIMIT_FACTOR_WHILE_SENDING = 4


class SnapshotSchedule:
    """Counts what was applied since the newest snapshot.

    Parameters
    ----------
    max_entries, max_bytes
        Limits after which a snapshot is due.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._size_bytes = 0

    def record(self, size_bytes: int) -> None:
        """Count an entry that was applied."""
        self._size_bytes += size_bytes

    def reset(self) -> None:
        """Begin after a new snapshot."""
        self._size_bytes = 0

    def is_due(self, entries: int, *, is_sending: bool) -> bool:
        """Return whether to take a snapshot that covers ``entries`` more.

        ``is_sending`` says that the present one is on its way to a replica.
        """
        factor = LIMIT_FACTOR_WHILE_SENDING if is_sending else 1
        return (
            entries >= factor * self._max_entries
            or self._size_bytes >= factor * self._max_bytes
        )
