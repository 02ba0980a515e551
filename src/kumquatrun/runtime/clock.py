"""Clocks: the time source of all modules that wait or measure time."""

import asyncio
from typing import Protocol


class Clock(Protocol):
    """Monotonic time in seconds; tests pause and advance it."""

    def now_s(self) -> float:
        """Return the current monotonic time in seconds."""
        ...


class LoopClock:
    """Reads the clock of the running event loop.

    The loop's clock is the only time source of the daemons, so that a test
    that replaces the loop's time controls every timer at once.
    """

    def now_s(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()
