"""Fencing numbers of the orders to one engine."""

# Largest integer that every JSON parser reads exactly.
MAX_FENCING_NUMBER = 2**53 - 1


class OrderFence:
    """Gives each process of an engine a higher number than the one before.

    An engine that has accepted an order with the number of its own process
    refuses late orders for earlier processes. The number is the start time of
    the process, in Unix milliseconds, so an agent that starts again does not
    fall below the numbers of the agent before it.
    """

    def __init__(self) -> None:
        self._started_ms: int | None = None
        self._number = 0

    def number_of(self, started_ms: int) -> int:
        """Return the number for orders to the process with this start time."""
        if started_ms != self._started_ms:
            self._started_ms = started_ms
            self._number = max(started_ms, self._number + 1)
        return self._number

    def raise_number(self) -> None:
        """Raise the number after a refusal for a higher one.

        Only agents on this host give orders to the engine. An earlier one had
        a higher number if the clock was set back since.
        """
        self._number = min(MAX_FENCING_NUMBER, 2 * self._number)
