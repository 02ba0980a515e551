"""Charges requests to the rate allowances of their accounts.

The control leader keeps the allowances. While no leader responds, each entry
admits a fraction of its equal share of the rate, so that accounts within their
rate are not refused because the leader changes.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.control.allowance_pool import AllowanceReply, TakeAllowance
from kumquatrun.errors import KumquatrunError, RateLimitedError
from kumquatrun.gateway.routing.configuration import GatewayAccount
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Maximum wait for tokens to accrue; a request with a longer wait is refused.
MAX_TOKEN_WAIT_S = 0.3
# A leader that does not respond within this time is treated as unreachable.
CALL_TIMEOUT_S = 0.3
# Time after a failed call during which requests are charged locally.
LEADER_RETRY_DELAY_S = 0.5
# Fraction of its equal share that an entry admits without a leader. If only
# this entry is cut off, the other entries may still use the whole rate.
LEADERLESS_FRACTION = 0.6
# Minimum delay before the next batch if the leader did not grant a whole batch.
MIN_BATCH_DELAY_S = 0.01


@dataclass(eq=False)
class _PendingCharge:
    amount: float
    deadline_s: float
    future: asyncio.Future


@dataclass
class _LocalBucket:
    level: float
    refilled_at_s: float


class Allowances:
    """Charges requests to account allowances.

    Parameters
    ----------
    leader
        Connection to the control leader.
    clock
        Source of time.
    entries
        Returns the number of entries that share a rate while no leader
        responds.
    """

    def __init__(
        self,
        leader: LeaderClient,
        clock: Clock,
        entries: Callable[[], int],
    ) -> None:
        self._leader = leader
        self._clock = clock
        self._entries = entries
        self._pending: dict[str, deque[_PendingCharge]] = {}
        self._request_tasks: dict[str, asyncio.Task] = {}
        self._local_buckets: dict[str, _LocalBucket] = {}
        self._leaderless_until_s = float('-inf')
        self._has_leader = True

    async def charge(self, account: GatewayAccount, amount: float) -> None:
        """Deduct ``amount`` from the account's allowance.

        Raises
        ------
        RateLimitedError
            If the account exceeds its rate.
        """
        if account.rate_per_s <= 0:
            return
        now_s = self._clock.now_s()
        if now_s < self._leaderless_until_s:
            self._charge_locally(account, amount)
            return
        pending = _PendingCharge(
            amount,
            now_s + MAX_TOKEN_WAIT_S,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.setdefault(account.name, deque()).append(pending)
        self._start_requesting(account.name)
        refusal: RateLimitedError | None = await pending.future
        if refusal is None:
            return
        if refusal.cause == 'no_leader':
            self._charge_locally(account, amount)
            return
        raise refusal

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._request_tasks.values():
            task.cancel()

    def _start_requesting(self, account: str) -> None:
        if account not in self._request_tasks:
            task = asyncio.create_task(self._request_pending(account))
            self._request_tasks[account] = task

    async def _request_pending(self, account: str) -> None:
        """Charge all waiting requests in batches until none is left."""
        queue = self._pending[account]
        try:
            while queue:
                await self._request_batch(account, queue)
        finally:
            del self._request_tasks[account]

    async def _request_batch(
        self, account: str, queue: deque[_PendingCharge]
    ) -> None:
        while queue and queue[0].future.done():
            queue.popleft()
        batch = tuple(queue)
        if not batch:
            return
        request = TakeAllowance(
            account=account,
            amounts=tuple(row.amount for row in batch),
        )
        try:
            reply = await self._leader.call(request, CALL_TIMEOUT_S)
        except KumquatrunError as error:
            self._leaderless_until_s = (
                self._clock.now_s() + LEADER_RETRY_DELAY_S
            )
            self._record_leader_state(is_reachable=False, reason=error.detail)
            _refuse(queue, len(batch), error.detail, 'no_leader', None)
            return
        self._record_leader_state(is_reachable=True)
        for _ in range(reply.granted):
            _resolve(queue.popleft(), None)
        if reply.granted < len(batch):
            await self._wait_or_refuse(account, queue, reply)

    def _record_leader_state(
        self, *, is_reachable: bool, reason: str = ''
    ) -> None:
        """Log when the leader is lost and when it responds again."""
        if is_reachable == self._has_leader:
            return
        self._has_leader = is_reachable
        if is_reachable:
            log_event(log, 'allowances_led')
        else:
            log_event(log, 'allowances_unled', reason=reason)

    async def _wait_or_refuse(
        self,
        account: str,
        queue: deque[_PendingCharge],
        reply: AllowanceReply,
    ) -> None:
        ready_s = self._clock.now_s() + reply.retry_after_s
        while queue and queue[0].deadline_s < ready_s:
            detail = f'account {account} lacks {queue[0].amount} tokens'
            _refuse(queue, 1, detail, 'over_rate', reply.retry_after_s)
        if queue:
            await asyncio.sleep(max(MIN_BATCH_DELAY_S, reply.retry_after_s))

    def _charge_locally(self, account: GatewayAccount, amount: float) -> None:
        now_s = self._clock.now_s()
        rate_per_s = (
            account.rate_per_s * LEADERLESS_FRACTION / max(1, self._entries())
        )
        # A full bucket admits one request of any size.
        capacity = max(rate_per_s, float(amount))
        bucket = self._local_buckets.setdefault(
            account.name,
            _LocalBucket(capacity, now_s),
        )
        gained = rate_per_s * (now_s - bucket.refilled_at_s)
        bucket.level = min(capacity, bucket.level + gained)
        bucket.refilled_at_s = now_s
        if bucket.level < amount:
            raise RateLimitedError(
                f'account {account.name} has used its share of the rate on '
                'this host while no control leader responds',
                retry_after_s=(amount - bucket.level) / rate_per_s,
                cause='no_leader',
            )
        bucket.level -= amount


def _refuse(
    queue: deque[_PendingCharge],
    count: int,
    detail: str,
    cause: str,
    retry_after_s: float | None,
) -> None:
    for _ in range(count):
        error = RateLimitedError(
            detail,
            retry_after_s=retry_after_s,
            cause=cause,
        )
        _resolve(queue.popleft(), error)


def _resolve(pending: _PendingCharge, refusal: RateLimitedError | None) -> None:
    if not pending.future.done():
        pending.future.set_result(refusal)
