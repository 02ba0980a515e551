"""Retry budget, backoff and deadlines."""

import random
from collections import deque
from dataclasses import dataclass

BUDGET_RATIO = 0.1
BUDGET_WINDOW_S = 10.0
# Minimum number of retries per window. In a small fleet, one lost host can hold
# half of the open requests, far more than a tenth of the recent ones. Ten
# retries per second and entry are too few to overload the remaining hosts.
BUDGET_FLOOR = 100


class RetryBudget:
    """Limits retries to ``floor`` or a ratio of recent requests, if larger."""

    def __init__(
        self,
        ratio: float = BUDGET_RATIO,
        window_s: float = BUDGET_WINDOW_S,
        floor: int = BUDGET_FLOOR,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.floor = floor
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a first attempt."""
        self._expire(now_s)
        self._requests.append(now_s)

    def take(self, now_s: float) -> bool:
        """Count a retry and return True, or return False if none is left."""
        self._expire(now_s)
        limit = max(self.floor, self._ratio * len(self._requests))
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()


@dataclass(frozen=True, kw_only=True)
class Backoff:
    """Exponential backoff with full jitter."""

    base_s: float = 0.02
    factor: float = 2
    max_s: float = 1

    def delay_s(self, retry: int, rng: random.Random) -> float:
        """Return the delay before retry number ``retry``, counted from 0."""
        limit_s = min(self.max_s, self.base_s * self.factor**retry)
        return rng.uniform(0, limit_s)


@dataclass(frozen=True)
class Deadline:
    """A point in time, in the clock's seconds."""

    at_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the time left, at least 0."""
        return max(0, self.at_s - now_s)

    def allows(self, delay_s: float, now_s: float) -> bool:
        """Return whether time is left after waiting ``delay_s``."""
        return now_s + delay_s < self.at_s
