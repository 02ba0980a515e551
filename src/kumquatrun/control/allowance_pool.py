"""Rate limits of all accounts, kept in the memory of the control leader.

Each request of a limited account takes its tokens from this pool, so that all
entries share one bucket per account. The pool lasts for one leadership term; a
new leader starts with part of each burst.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatrun.control.configuration_register import AccountAllowance
from kumquatrun.peer.messages import message

# Fraction of the burst that a new leader starts with: its predecessor may have
# granted a whole burst just before.
INITIAL_FILL_RATIO = 0.5


@message
class TakeAllowance:
    """Requests tokens for several requests of one account, in order."""

    account: str
    amounts: tuple[float, ...]


@message
class AllowanceReply:
    """Grants the first ``granted`` requests.

    ``retry_after_s`` is the time after which the next request can be granted.
    """

    granted: int
    retry_after_s: float = 0.0


@dataclass
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    refilled_at_s: float

    def fill(self, now_s: float) -> None:
        gained = self.rate_per_s * max(0.0, now_s - self.refilled_at_s)
        self.level = min(self.burst, self.level + gained)
        self.refilled_at_s = now_s

    def shortfall(self, amount: float) -> float:
        """Return how many tokens are missing to admit a request.

        A request larger than the burst is admitted by a full bucket, whose
        level then becomes negative.
        """
        return min(float(amount), self.burst) - self.level


class AllowancePool:
    """Token buckets of the limited accounts."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._version = -1

    def configure(
        self,
        version: int,
        allowances: Iterable[AccountAllowance],
        now_s: float,
    ) -> None:
        """Apply the limits of a configuration; keeps the levels."""
        if version == self._version:
            return
        self._version = version
        previous_buckets = self._buckets
        self._buckets = {}
        for row in allowances:
            burst = float(row.burst_tokens)
            bucket = previous_buckets.get(row.name)
            if bucket is None:
                level = burst * INITIAL_FILL_RATIO
            else:
                bucket.fill(now_s)
                level = min(bucket.level, burst)
            self._buckets[row.name] = _Bucket(
                row.rate_tokens_per_s,
                burst,
                level,
                now_s,
            )

    def take(self, request: TakeAllowance, now_s: float) -> AllowanceReply:
        """Grant as many requests as the account's bucket admits.

        Requests of an account that has no limit, or is not known here yet,
        are all granted: keys are validated elsewhere.
        """
        bucket = self._buckets.get(request.account)
        if bucket is None:
            return AllowanceReply(granted=len(request.amounts))
        bucket.fill(now_s)
        for granted, amount in enumerate(request.amounts):
            shortfall = bucket.shortfall(amount)
            if shortfall > 0:
                wait_s = shortfall / max(1.0, bucket.rate_per_s)
                return AllowanceReply(granted=granted, retry_after_s=wait_s)
            bucket.level -= amount
        return AllowanceReply(granted=len(request.amounts))
