"""Decides what one entry admits of an account while no control leader responds.

Answers the load of a leader change: all entries decide by themselves, and
together they must keep the rate of the account, whatever their number. The
share of one entry shrinks with that number and becomes smaller than a request,
so a request larger than the level is admitted with the probability that the
level covers it. The entries then admit the sum of their levels in the mean.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.gateway.routing.configuration import GatewayAccount
from kumquatrun.runtime.clock import Clock

# Fraction of the rate that all entries together admit without a leader. If only
# some entries are cut off, the others may still use the whole rate.
RATE_FRACTION = 0.6
# Fraction of the burst that they admit at once; the leader may have granted a
# burst just before.
BURST_FRACTION = 0.25
# Number of bursts that may wait for a leader, over all entries. Callers spread
# unevenly over the entries, so it is more than a leader grants at once.
WAITING_BURSTS = 4


@dataclass
class _Level:
    tokens: float
    refilled_at_s: float


class LocalShares:
    """The share of one entry in the rate of each account.

    Parameters
    ----------
    clock
        Source of time.
    entries
        Returns the number of entries that share a rate.
    rng
        Source of the admissions that a level covers in part.
    """

    def __init__(
        self, clock: Clock, entries: Callable[[], int], rng: random.Random
    ) -> None:
        self._clock = clock
        self._entries = entries
        self._rng = rng
        self._levels: dict[str, _Level] = {}

    def admits(self, account: GatewayAccount, amount: float) -> bool:
        """Deduct a request from the share of this entry, if it is covered.

        A level that covers a request in part is spent whatever the outcome, or
        repeated requests would get more than the level.
        """
        level = self._refill(account)
        if level.tokens >= amount:
            level.tokens -= amount
            return True
        is_admitted = self._rng.random() * amount < level.tokens
        level.tokens = 0.0
        return is_admitted

    def may_wait(
        self, account: GatewayAccount, amount: float, waiting: float
    ) -> bool:
        """Return whether a request may join those that wait for a leader.

        A new leader grants little more at once than the burst. One request may
        wait on each entry, however small the share of an entry is.
        """
        share = account.burst * WAITING_BURSTS / max(1, self._entries())
        return not waiting or waiting + amount <= share

    def retry_after_s(self, account: GatewayAccount, amount: float) -> float:
        """Return when the share of this entry covers a request."""
        missing = max(0.0, amount - self._refill(account).tokens)
        return missing / self._rate_per_s(account)

    def _refill(self, account: GatewayAccount) -> _Level:
        now_s = self._clock.now_s()
        capacity = account.burst * BURST_FRACTION / max(1, self._entries())
        level = self._levels.get(account.name)
        if level is None:
            level = _Level(capacity, now_s)
            self._levels[account.name] = level
        gained = self._rate_per_s(account) * (now_s - level.refilled_at_s)
        level.tokens = min(capacity, level.tokens + gained)
        level.refilled_at_s = now_s
        return level

    def _rate_per_s(self, account: GatewayAccount) -> float:
        return account.rate_per_s * RATE_FRACTION / max(1, self._entries())
