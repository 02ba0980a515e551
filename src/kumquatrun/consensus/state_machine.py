"""What a replica needs of the state that its log changes."""

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state that the log's commands change."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        ...
