"""Takes the tokens of a request from its account's allowance.

The tokens come from the fleet-wide budget that the control leader keeps. While
no leader answers, an entry admits its equal share of the rate, so that a
change of leader refuses no account that is within its rate.
"""

from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.budget_client import BudgetClient
from kumquatrun.clock import Clock
from kumquatrun.errors import RateLimitedError
from kumquatrun.gateway.configuration import GatewayAccount

# Part of the equal share that an entry admits without a leader. The others
# may still get grants for the whole rate if only this entry is cut off.
UNLED_PART = 0.6
OVER_RATE = 'over_rate'


@dataclass
class _UnledBucket:
    level_tokens: float
    filled_at_s: float


class Allowances:
    """Charges requests to accounts.

    Parameters
    ----------
    budgets
        Client of the fleet-wide budgets.
    clock
        Source of time.
    entries
        Returns how many entries share a rate while no leader answers.
    """

    def __init__(
        self,
        budgets: BudgetClient,
        clock: Clock,
        entries: Callable[[], int],
    ) -> None:
        self._budgets = budgets
        self._clock = clock
        self._entries = entries
        self._unled: dict[str, _UnledBucket] = {}

    async def charge(self, account: GatewayAccount, amount: int) -> None:
        """Take ``amount`` from the account's allowance.

        Raises
        ------
        RateLimitedError
            If the account is over its rate.
        """
        if account.rate_per_s <= 0:
            return
        try:
            reservation = await self._budgets.reserve(account.name, amount)
        except RateLimitedError as error:
            if error.cause == OVER_RATE:
                raise
            self._charge_unled(account, amount, error)
            return
        self._budgets.consume(reservation, amount)
        self._budgets.settle(reservation)

    def _charge_unled(
        self,
        account: GatewayAccount,
        amount: int,
        error: RateLimitedError,
    ) -> None:
        now_s = self._clock.now_s()
        rate_per_s = account.rate_per_s * UNLED_PART / max(1, self._entries())
        # One request of any size fits into a full bucket.
        size = max(rate_per_s, float(amount))
        bucket = self._unled.setdefault(
            account.name,
            _UnledBucket(size, now_s),
        )
        gained = rate_per_s * (now_s - bucket.filled_at_s)
        bucket.level_tokens = min(size, bucket.level_tokens + gained)
        bucket.filled_at_s = now_s
        if bucket.level_tokens < amount:
            missing = amount - bucket.level_tokens
            raise RateLimitedError(
                f'account {account.name} has used its share of the rate '
                f'without a leader: {error.detail}',
                retry_after_s=missing / rate_per_s,
                cause=error.cause,
            )
        bucket.level_tokens -= amount
