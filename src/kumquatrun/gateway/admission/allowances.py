"""Charges requests to the rate allowances of their accounts.

The control leader keeps the allowances. While no leader responds, each entry
admits what its share of the rate covers, see ``local_share``, and requests
beyond it wait for the leader: most leader changes end before a caller would
return.
"""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite

from kumquatrun.control.allowance_pool import AllowanceReply, TakeAllowance
from kumquatrun.errors import KumquatrunError, RateLimitedError
from kumquatrun.gateway.admission.local_share import LocalShares
from kumquatrun.gateway.routing.configuration import GatewayAccount
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.membership.share_source import ShareSource
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Maximum wait for tokens to accrue; a request with a longer wait is refused.
MAX_TOKEN_WAIT_S = 0.3
# A leader that does not respond within this time is treated as unreachable.
CALL_TIMEOUT_S = 0.3
# Time after which a request that waits for the leader is charged to the share.
SHARE_DELAY_S = 0.1
# Time after a failed call before the leader is called again.
LEADER_RETRY_DELAY_S = 0.5
# Longest wait for a leader.
MAX_LEADER_WAIT_S = 2.5
# Time after the return of a leader in which requests wait longer for tokens:
# those that waited for the leader take the first ones.
LEADER_RETURN_S = 1.5
# Maximum wait for tokens then. A longer one would only make the requests of an
# account late that asks for more than its rate.
RETURN_TOKEN_WAIT_S = 0.75
# A request waits for a leader during this fraction of its time at most, so that
# the rest is enough to serve it.
LEADER_WAIT_FRACTION = 0.5


@dataclass(eq=False)
class _PendingCharge:
    account: GatewayAccount
    amount: float
    # End of the wait for tokens.
    deadline_s: float
    # End of the wait for a leader.
    leader_deadline_s: float
    future: asyncio.Future
    # Whether it waited for a leader that did not respond.
    missed_leader: bool = False


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
    rng
        Source of randomness for the shares without a leader.
    """

    def __init__(
        self,
        leader: LeaderClient,
        clock: Clock,
        entries: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        self._leader = leader
        self._clock = clock
        self._shares = LocalShares(clock, entries, rng or random.Random())
        self._pending: dict[str, deque[_PendingCharge]] = {}
        self._request_tasks: dict[str, asyncio.Task] = {}
        self._leaderless_until_s = float('-inf')
        self._has_leader = True

    @property
    def shares(self) -> ShareSource:
        """Return the shares that this entry renews with its lease."""
        return self._shares

    async def charge(
        self,
        account: GatewayAccount,
        amount: float,
        deadline_s: float = float('inf'),
    ) -> None:
        """Deduct ``amount`` from the account's allowance.

        ``deadline_s`` is the deadline of the request.

        Raises
        ------
        RateLimitedError
            If the account exceeds its rate, or no leader responds in time.
        """
        if account.rate_per_s <= 0:
            return
        self._shares.record_demand(account, amount)
        now_s = self._clock.now_s()
        if self._is_leaderless(account, now_s):
            if self._shares.admits(account, amount):
                return
            waiting = self._waiting_amount(account)
            if not self._shares.may_wait(account, amount, waiting):
                raise self._leaderless_refusal(account, amount)
        wait_s = min(
            MAX_LEADER_WAIT_S, LEADER_WAIT_FRACTION * (deadline_s - now_s)
        )
        pending = _PendingCharge(
            account,
            amount,
            now_s + MAX_TOKEN_WAIT_S,
            now_s + wait_s,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.setdefault(account.name, deque()).append(pending)
        self._start_requesting(account.name)
        refusal: RateLimitedError | None = await pending.future
        if refusal is not None:
            raise refusal

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._request_tasks.values():
            task.cancel()

    def _is_leaderless(self, account: GatewayAccount, now_s: float) -> bool:
        """Return whether others already try whether the leader responds."""
        is_tried = account.name in self._request_tasks
        return now_s < self._leaderless_until_s or (
            is_tried and not self._has_leader
        )

    def _token_wait_s(self, pending: _PendingCharge, now_s: float) -> float:
        """Return how long a request can wait now for tokens to accrue."""
        wait_s = pending.deadline_s - now_s
        has_returned = now_s - self._shares.regained_at_s < LEADER_RETURN_S
        if has_returned or pending.missed_leader:
            longest_s = pending.leader_deadline_s - now_s
            wait_s = max(wait_s, min(RETURN_TOKEN_WAIT_S, longest_s))
        return max(0.0, wait_s)

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
        batch = tuple(row for row in queue if not row.future.done())
        queue.clear()
        queue.extend(batch)
        if not batch:
            return
        now_s = self._clock.now_s()
        request = TakeAllowance(
            account=account,
            amounts=tuple(row.amount for row in batch),
            max_waits_s=tuple(self._token_wait_s(row, now_s) for row in batch),
        )
        loop = asyncio.get_running_loop()
        late = loop.call_later(SHARE_DELAY_S, self._charge_locally, queue)
        try:
            reply = await self._leader.call(request, CALL_TIMEOUT_S)
        except KumquatrunError as error:
            self._leaderless_until_s = (
                self._clock.now_s() + LEADER_RETRY_DELAY_S
            )
            self._record_leader_state(is_reachable=False, reason=error.detail)
            self._charge_locally(queue)
            await asyncio.sleep(LEADER_RETRY_DELAY_S)
            self._refuse_overdue(queue)
            return
        finally:
            late.cancel()
        self._record_leader_state(is_reachable=True)
        for pending, max_wait_s, wait_s in zip(
            batch, request.max_waits_s, _waits_of(reply, batch), strict=True
        ):
            if pending not in queue:
                # Charged to the share while the leader was slow.
                continue
            queue.remove(pending)
            if wait_s <= max_wait_s:
                _grant_after(pending, wait_s)
            else:
                _resolve(pending, _over_rate(pending, wait_s))

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

    def _charge_locally(self, queue: deque[_PendingCharge]) -> None:
        """Admit what the share of this entry covers; the rest waits."""
        for pending in tuple(queue):
            if pending.future.done():
                continue
            if self._shares.admits(pending.account, pending.amount):
                queue.remove(pending)
                _resolve(pending, None)
            else:
                pending.missed_leader = True

    def _refuse_overdue(self, queue: deque[_PendingCharge]) -> None:
        """Refuse the requests that can't wait for a leader any longer."""
        now_s = self._clock.now_s()
        for pending in tuple(queue):
            if now_s < pending.leader_deadline_s:
                continue
            queue.remove(pending)
            _resolve(
                pending,
                self._leaderless_refusal(pending.account, pending.amount),
            )

    def _waiting_amount(self, account: GatewayAccount) -> float:
        queue = self._pending.get(account.name, ())
        return sum(row.amount for row in queue if not row.future.done())

    def _leaderless_refusal(
        self, account: GatewayAccount, amount: float
    ) -> RateLimitedError:
        return RateLimitedError(
            f'account {account.name} has used its share of the rate on this '
            'host, and no control leader responds',
            retry_after_s=self._shares.retry_after_s(account, amount),
            cause='no_leader',
        )


def _waits_of(
    reply: AllowanceReply, batch: tuple[_PendingCharge, ...]
) -> tuple[float, ...]:
    """Return how long each request must wait, infinity if it is refused."""
    if reply.waits_s:
        return reply.waits_s
    # A leader of an earlier version grants no request that waits.
    refused = len(batch) - reply.granted
    return (0.0,) * reply.granted + (float('inf'),) * refused


def _grant_after(pending: _PendingCharge, wait_s: float) -> None:
    if wait_s <= 0:
        _resolve(pending, None)
        return
    loop = asyncio.get_running_loop()
    loop.call_later(wait_s, _resolve, pending, None)


def _over_rate(pending: _PendingCharge, wait_s: float) -> RateLimitedError:
    return RateLimitedError(
        f'account {pending.account.name} lacks {pending.amount} tokens',
        retry_after_s=wait_s if isfinite(wait_s) else None,
        cause='over_rate',
    )


def _resolve(pending: _PendingCharge, refusal: RateLimitedError | None) -> None:
    if not pending.future.done():
        pending.future.set_result(refusal)
