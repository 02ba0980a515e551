"""Reserves tokens of client accounts for requests.

The token wallet decides whether tokens are available. This module is its only
user: it requests more tokens from the control leader, and a request waits here
until its tokens are granted.
"""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass

from kumquatrun.entry.token_wallet import Reservation, TokenWallet
from kumquatrun.errors import (
    KumquatrunError,
    NotFoundError,
    RateLimitedError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.node_messages import BudgetReport, GrantTokens
from kumquatrun.runtime.clock import Clock

GRANT_TIMEOUT_S = 1.0
# Longest time that a request waits for tokens before it is refused.
MAX_WAIT_S = 2.0
# Longest time that a request waits while no leader answers. It covers a call to
# a leader that stopped answering (1 s) and the election of its successor (about
# 1 s), so that a leader change causes no refusal of a request whose account is
# within its rate.
MAX_UNREACHABLE_WAIT_S = 3.5
MIN_GRANT_INTERVAL_S = 0.02
UNREACHABLE_INTERVAL_S = 0.1
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class _GrantResult:
    """Result of a grant request; ``failure`` is empty after a reply."""

    retry_after_s: float
    failure: str = ''


class BudgetClient:
    """Reserves, consumes and settles tokens of client accounts.

    Requests of one account wait for tokens in the order of their arrival, so
    that small requests cannot starve a large one.
    """

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._session = session
        self._clock = clock
        self._max_wait_s = max_wait_s
        record = session.record
        self.wallet = TokenWallet(record.host_id, record.incarnation)
        self._had_lease = session.lease_valid()
        # Tokens used beyond a reservation and not charged yet, by account.
        self._overused_tokens: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        # Why the last call to the leader failed, by account.
        self._failures: dict[str, str] = {}
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._grant_tasks: dict[str, asyncio.Task[_GrantResult]] = {}

    async def reserve(self, account: str, tokens: int) -> Reservation:
        """Reserve tokens; waits a bounded time for a grant.

        Raises
        ------
        RateLimitedError
            If the tokens are not available in time; ``cause`` says why.
        """
        lock = self._locks[account]
        if not lock.locked():
            reservation = self._try_reserve(account, tokens)
            if reservation is not None:
                self._prefetch(account)
                return reservation
        self._waiting[account] += tokens
        try:
            return await self._reserve_in_order(account, tokens)
        finally:
            self._waiting[account] -= tokens

    def consume(self, reservation: Reservation, tokens: int) -> None:
        """Record consumed tokens of a reservation.

        If the request uses more tokens than it reserved, the excess is charged
        to idle tokens, and to later grants if there are none.
        """
        outcome = self.wallet.consume(reservation, tokens)
        if outcome.is_ok() or outcome.unwrap_err().cause != 'over_rate':
            return
        missing = outcome.unwrap_err().missing_tokens
        self._overused_tokens[reservation.account] += missing
        self.wallet.consume(reservation, tokens - missing)

    def settle(self, reservation: Reservation) -> None:
        """Return the unused tokens of a reservation to the wallet."""
        self.wallet.settle(reservation)

    def take_reports(self) -> tuple[BudgetReport, ...]:
        """Return what was consumed and returned since the last report."""
        return self.wallet.take_reports(self._clock.now_s())

    def sync_session(self) -> None:
        """Clear the wallet if the lease ended or the incarnation changed."""
        incarnation = self._session.record.incarnation
        has_lease = self._session.lease_valid()
        if incarnation != self.wallet.incarnation:
            self.wallet.clear(incarnation)
        elif self._had_lease and not has_lease:
            self.wallet.clear()
        self._had_lease = has_lease

    async def _reserve_in_order(self, account: str, tokens: int) -> Reservation:
        began_s = self._clock.now_s()
        await self._acquire_lock(account, tokens)
        try:
            return await self._wait_for_tokens(account, tokens, began_s)
        finally:
            self._locks[account].release()

    async def _acquire_lock(self, account: str, tokens: int) -> None:
        lock = self._locks[account]
        waits_s = (self._max_wait_s, MAX_UNREACHABLE_WAIT_S - self._max_wait_s)
        for wait_s in waits_s:
            try:
                async with asyncio.timeout(wait_s):
                    await lock.acquire()
            except TimeoutError:
                # After a failed call, the first request in the queue waits for
                # a leader and not for tokens, so this request waits longer.
                if not self._failures.get(account):
                    break
            else:
                return
        result = _GrantResult(
            DEFAULT_RETRY_AFTER_S, self._failures.get(account, '')
        )
        raise _refusal(account, tokens, result, DEFAULT_RETRY_AFTER_S)

    async def _wait_for_tokens(
        self,
        account: str,
        tokens: int,
        began_s: float,
    ) -> Reservation:
        while True:
            reservation = self._try_reserve(account, tokens)
            if reservation is not None:
                return reservation
            result = await self._request_grant(account)
            reservation = self._try_reserve(account, tokens)
            if reservation is not None:
                return reservation
            wait_s = self._expected_wait_s(account, tokens, result)
            limit_s = self._max_wait_s
            if result.failure:
                limit_s = MAX_UNREACHABLE_WAIT_S
            if self._clock.now_s() + wait_s >= began_s + limit_s:
                raise _refusal(account, tokens, result, wait_s)
            await asyncio.sleep(wait_s)

    def _expected_wait_s(
        self,
        account: str,
        tokens: int,
        result: _GrantResult,
    ) -> float:
        # The leader's reply covers the tokens of all waiting requests; this
        # request, the first in the queue, needs only its own share of them.
        idle_tokens = self.wallet.idle_tokens(account)
        all_missing = max(1, self._waiting[account] - idle_tokens)
        own_share = min(1, (tokens - idle_tokens) / all_missing)
        return max(MIN_GRANT_INTERVAL_S, result.retry_after_s * own_share)

    def _try_reserve(self, account: str, tokens: int) -> Reservation | None:
        self.sync_session()
        if not self._session.lease_valid():
            raise RateLimitedError(
                'the lease ended while the request waited for tokens',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
                cause='lease_lost',
            )
        self._charge_overuse(account)
        now_s = self._clock.now_s()
        return self.wallet.reserve(account, tokens, now_s).unwrap_or(None)

    def _charge_overuse(self, account: str) -> None:
        tokens = min(
            self._overused_tokens[account], self.wallet.idle_tokens(account)
        )
        if tokens > 0:
            now_s = self._clock.now_s()
            charge = self.wallet.reserve(account, tokens, now_s).unwrap()
            self.wallet.consume(charge, tokens)
            self.wallet.settle(charge)
            self._overused_tokens[account] -= tokens

    def _grant_request_for_all(self, account: str) -> GrantTokens | None:
        """Return a grant request for what all waiting requests lack."""
        now_s = self._clock.now_s()
        needed = self._waiting[account] - self.wallet.idle_tokens(account)
        return self.wallet.grant_request(account, now_s, max(0, needed))

    def _prefetch(self, account: str) -> None:
        if account not in self._grant_tasks:
            request = self.wallet.grant_request(account, self._clock.now_s())
            if request is not None:
                self._start_grant_request(request)

    async def _request_grant(self, account: str) -> _GrantResult:
        # A pending grant request was sent before this request needed tokens, so
        # its amount does not include them.
        while account in self._grant_tasks:
            await asyncio.wait([self._grant_tasks[account]])
        request = self._grant_request_for_all(account)
        if request is None:
            return _GrantResult(MIN_GRANT_INTERVAL_S)
        return await asyncio.shield(self._start_grant_request(request))

    def _start_grant_request(
        self, request: GrantTokens
    ) -> asyncio.Task[_GrantResult]:
        account = request.account
        task = asyncio.create_task(self._call_leader(request))
        self._grant_tasks[account] = task
        task.add_done_callback(lambda _: self._grant_tasks.pop(account, None))
        return task

    async def _call_leader(self, request: GrantTokens) -> _GrantResult:
        call = self._session.control.call
        try:
            reply = await call(request, GRANT_TIMEOUT_S)
        except NotFoundError as error:
            self.wallet.abandon_grant(request)
            return _GrantResult(MAX_UNREACHABLE_WAIT_S, error.detail)
        except KumquatrunError as error:
            self.wallet.abandon_grant(request)
            self._failures[request.account] = error.detail
            return _GrantResult(UNREACHABLE_INTERVAL_S, error.detail)
        self._failures.pop(request.account, None)
        self.sync_session()
        self.wallet.add_grant(request.account, reply.granted_tokens, request)
        return _GrantResult(reply.retry_after_s)


def _refusal(
    account: str,
    tokens: int,
    result: _GrantResult,
    wait_s: float,
) -> RateLimitedError:
    if not result.failure:
        return _over_rate(account, tokens, wait_s)
    return RateLimitedError(
        f'the control leader granted no tokens: {result.failure}',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
        cause='budget_unreachable',
    )


def _over_rate(
    account: str,
    tokens: int,
    retry_after_s: float,
) -> RateLimitedError:
    return RateLimitedError(
        f'account {account} has fewer than {tokens} tokens left',
        retry_after_s=retry_after_s,
        cause='over_rate',
    )
