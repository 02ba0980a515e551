"""Interface of the state machine that a replica drives."""

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state that is changed by the commands of the log."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Serialize the whole state."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        ...
