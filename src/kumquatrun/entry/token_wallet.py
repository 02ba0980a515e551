"""An entry's share of the account budgets: reserve, consume, settle.

A wallet holds tokens that the control state has granted to one incarnation of
the entry. Tokens are reserved when a request is admitted and consumed as they
are streamed; unused ones become idle again when it ends. Reports return tokens
that were idle for 1 s, so that other entries can get them.

The wallet does not know the lease: its user checks ``lease_valid`` before each
``reserve`` and ``consume``, and calls ``clear`` when the lease ends.
"""

import math
from dataclasses import dataclass, field

from result import Err, Ok, Result

from kumquatrun.peer.node_messages import BudgetReport, GrantTokens
from kumquatrun.runtime.invariants import check_invariant

# Tokens that stay idle during two periods of this length are returned, that is
# between 1 s and 1.5 s after they became idle.
_IDLE_PERIOD_S = 0.5
# Demand is averaged over about this time.
_DEMAND_PERIOD_S = 1.0
# Tokens for the demand of this time are prefetched, so that most requests need
# not wait for a grant to be committed. More are requested when half of them is
# left.
_PREFETCH_S = 0.5
_REFILL_SHARE = 0.5
# Another request is expected soon if the demand exceeds the tokens of the last
# request by this factor, which stands for one request now and an equal one a
# demand period ago.
_FREQUENT_REQUESTS = 1 + math.exp(-1)
# Shortest time between two prefetches of an account, so that two requests that
# run out of tokens together cause only one prefetch.
_PREFETCH_INTERVAL_S = 0.1
# A grant request without a reply is abandoned after this time, so that its
# tokens are not lost to the account. The time exceeds the timeout of a call
# that requests a grant.
_ABANDON_S = 5.0


@dataclass(frozen=True, kw_only=True)
class Shortage:
    """Why a reservation or consumption was refused.

    ``cause`` is ``over_rate`` or ``lease_lost``.
    """

    account: str
    missing_tokens: int
    cause: str = 'over_rate'


@dataclass(eq=False, kw_only=True)
class Reservation:
    """Tokens reserved for one request."""

    account: str
    reserved_tokens: int
    consumed_tokens: int = 0
    closed: bool = False

    @property
    def open_tokens(self) -> int:
        """Return the tokens that are reserved and not consumed yet."""
        return self.reserved_tokens - self.consumed_tokens


@dataclass
class _Balance:
    idle_tokens: int = 0
    consumed_tokens: int = 0
    needed_tokens: int = 0
    demand_tokens: float = 0
    demand_at_s: float = 0
    last_request_tokens: int = 0
    last_prefetch_s: float = -math.inf
    # Smallest idle amounts of the previous and the current idle period.
    min_idle_tokens: tuple[int, int] = (0, 0)
    period_start_s: float = -math.inf
    reservations: set[Reservation] = field(default_factory=set)

    def add_demand(self, tokens: int, now_s: float) -> None:
        self.demand_tokens = self.recent_demand_tokens(now_s) + tokens
        self.demand_at_s = now_s
        self.last_request_tokens = tokens

    def recent_demand_tokens(self, now_s: float) -> float:
        """Return the decayed demand, about the tokens per demand period."""
        passed_s = max(0, now_s - self.demand_at_s)
        return self.demand_tokens * math.exp(-passed_s / _DEMAND_PERIOD_S)

    def deduct_idle(self, tokens: int) -> None:
        self.idle_tokens -= tokens
        previous, present = self.min_idle_tokens
        self.min_idle_tokens = (previous, min(present, self.idle_tokens))

    def prefetch_target(self, now_s: float) -> int:
        """Return how many idle tokens to hold for the recent demand.

        The result is enough for at least one request if requests arrive within
        about a demand period; tokens for rarer requests would be returned
        unused.
        """
        demand = self.recent_demand_tokens(now_s)
        prefetch = int(demand * _PREFETCH_S / _DEMAND_PERIOD_S)
        if demand > self.last_request_tokens * _FREQUENT_REQUESTS:
            return max(prefetch, self.last_request_tokens)
        return prefetch

    def start_prefetch(self, needed_tokens: int, now_s: float) -> int:
        """Return how many tokens to prefetch, 0 if none or too soon."""
        target = self.prefetch_target(now_s)
        available = 0 if needed_tokens else self.idle_tokens
        if available > target * _REFILL_SHARE or target == available:
            return 0
        if now_s - self.last_prefetch_s < _PREFETCH_INTERVAL_S:
            return 0
        self.last_prefetch_s = now_s
        return target - available

    def remove_surplus(self, now_s: float) -> int:
        """Remove and return the tokens idle during the last two periods.

        While there is demand, tokens that would be prefetched again at once
        are kept.
        """
        if now_s - self.period_start_s < _IDLE_PERIOD_S:
            return 0
        retained = 0
        if now_s - self.demand_at_s < 2 * _IDLE_PERIOD_S:
            retained = int(self.prefetch_target(now_s) * _REFILL_SHARE) + 1
        surplus = max(0, min(self.min_idle_tokens) - retained)
        self.idle_tokens -= surplus
        self.min_idle_tokens = (
            self.min_idle_tokens[1] - surplus,
            self.idle_tokens,
        )
        self.period_start_s = now_s
        return surplus


class TokenWallet:
    """Tokens of all accounts at one incarnation of an entry."""

    def __init__(self, host_id: str, incarnation: str) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._balances: dict[str, _Balance] = {}
        self._last_number = 0
        # Grant requests without a reply: number to account and send time.
        self._pending_grants: dict[int, tuple[str, float]] = {}

    @property
    def incarnation(self) -> str:
        """Return the incarnation that the tokens were granted to."""
        return self._incarnation

    def idle_tokens(self, account: str) -> int:
        """Return the tokens that may be reserved now."""
        balance = self._balances.get(account)
        return balance.idle_tokens if balance else 0

    def reserve(
        self,
        account: str,
        tokens: int,
        now_s: float,
    ) -> Result[Reservation, Shortage]:
        """Reserve tokens for a request.

        After a shortage, send a ``grant_request``, add the grant and reserve
        again; refuse the request if the grant is smaller than needed. After a
        success, send a ``grant_request`` too, if there is one, so that later
        requests need not wait.
        """
        _check_amount(tokens)
        balance = self._balances.setdefault(account, _Balance())
        missing = tokens - balance.idle_tokens
        if missing > 0:
            balance.needed_tokens = missing
            return Err(Shortage(account=account, missing_tokens=missing))
        # An earlier reservation that lacked tokens was refused or a grant was
        # requested for it.
        balance.needed_tokens = 0
        balance.add_demand(tokens, now_s)
        balance.deduct_idle(tokens)
        reservation = Reservation(account=account, reserved_tokens=tokens)
        balance.reservations.add(reservation)
        return Ok(reservation)

    def consume(
        self,
        reservation: Reservation,
        tokens: int,
    ) -> Result[int, Shortage]:
        """Record tokens before they are forwarded; return the open tokens.

        A reservation that is too small is extended from the idle tokens. On
        a shortage nothing is recorded and the tokens must not be forwarded.
        """
        _check_amount(tokens)
        account = reservation.account
        if reservation.closed:
            return Err(
                Shortage(
                    account=account,
                    missing_tokens=tokens,
                    cause='lease_lost',
                ),
            )
        balance = self._balances[account]
        missing = tokens - reservation.open_tokens
        if missing > balance.idle_tokens:
            shortfall = missing - balance.idle_tokens
            return Err(Shortage(account=account, missing_tokens=shortfall))
        if missing > 0:
            balance.deduct_idle(missing)
            reservation.reserved_tokens += missing
        reservation.consumed_tokens += tokens
        check_invariant(
            reservation.open_tokens >= 0 and balance.idle_tokens >= 0,
            'consumed_within_reserved',
        )
        balance.consumed_tokens += tokens
        return Ok(reservation.open_tokens)

    def settle(self, reservation: Reservation) -> None:
        """End a reservation; its open tokens become idle."""
        if reservation.closed:
            return
        reservation.closed = True
        balance = self._balances[reservation.account]
        balance.reservations.discard(reservation)
        balance.idle_tokens += reservation.open_tokens

    def wanted(self, account: str, now_s: float) -> int:
        """Return how many tokens to request now, 0 for none.

        The result is the amount that the last reservation lacked, which is
        then reset to 0, plus the prefetch for the recent demand.
        """
        balance = self._balances.setdefault(account, _Balance())
        needed = balance.needed_tokens
        balance.needed_tokens = 0
        return needed + balance.start_prefetch(needed, now_s)

    def grant_request(
        self,
        account: str,
        now_s: float,
        needed_tokens: int | None = None,
    ) -> GrantTokens | None:
        """Return the request for needed and prefetched tokens.

        By default, ``needed_tokens`` is the amount that the last reservation
        lacked. The result is None if no tokens are needed and enough are idle.
        """
        balance = self._balances.setdefault(account, _Balance())
        if needed_tokens is None:
            needed_tokens = balance.needed_tokens
        balance.needed_tokens = 0
        prefetch = balance.start_prefetch(needed_tokens, now_s)
        if needed_tokens + prefetch == 0:
            return None
        self._last_number += 1
        self._pending_grants[self._last_number] = (account, now_s)
        return GrantTokens(
            host_id=self._host_id,
            incarnation=self._incarnation,
            account=account,
            wanted_tokens=needed_tokens + prefetch,
            needed_tokens=needed_tokens,
            number=self._last_number,
        )

    def add_grant(
        self,
        account: str,
        tokens: int,
        request: GrantTokens | None = None,
    ) -> bool:
        """Add granted tokens; return False if the reply came too late.

        Pass the request that the grant belongs to. Without it, a grant to an
        earlier incarnation cannot be recognised and would be spent wrongly.
        """
        _check_amount(tokens)
        if request and self._pending_grants.pop(request.number, None) is None:
            return False
        balance = self._balances.setdefault(account, _Balance())
        balance.idle_tokens += tokens
        return True

    def abandon_grant(self, request: GrantTokens) -> None:
        """Abandon a grant request whose call failed."""
        if request.number in self._pending_grants:
            self._pending_grants[request.number] = (request.account, -math.inf)

    def take_reports(self, now_s: float) -> tuple[BudgetReport, ...]:
        """Return the tokens consumed and given back since the last call.

        The caller sends each result under one sequence number until it is
        acknowledged, and only then calls this method again.
        """
        abandoned = self._remove_abandoned(now_s)
        reports = []
        for account, balance in self._balances.items():
            report = BudgetReport(
                account=account,
                consumed_tokens=balance.consumed_tokens,
                returned_tokens=balance.remove_surplus(now_s),
                abandoned_grants=tuple(abandoned.get(account, ())),
            )
            balance.consumed_tokens = 0
            if report != BudgetReport(account=account):
                reports.append(report)
        return tuple(reports)

    def clear(self, incarnation: str | None = None) -> None:
        """Drop all tokens and close all reservations after the lease ended.

        Pass the incarnation under which the entry registers again. Without
        one, the dropped tokens are reported as consumed, because the control
        state still counts them as outstanding.
        """
        for balance in self._balances.values():
            dropped = balance.idle_tokens
            for reservation in balance.reservations:
                reservation.closed = True
                dropped += reservation.open_tokens
            balance.reservations.clear()
            balance.idle_tokens = 0
            balance.min_idle_tokens = (0, 0)
            balance.consumed_tokens += dropped
        for number, (account, _) in self._pending_grants.items():
            self._pending_grants[number] = (account, -math.inf)
        if incarnation is not None:
            self._incarnation = incarnation
            self._balances.clear()
            self._pending_grants.clear()

    def _remove_abandoned(self, now_s: float) -> dict[str, list[int]]:
        abandoned: dict[str, list[int]] = {}
        for number, (account, sent_s) in list(self._pending_grants.items()):
            if now_s - sent_s >= _ABANDON_S:
                del self._pending_grants[number]
                abandoned.setdefault(account, []).append(number)
        return abandoned


def _check_amount(tokens: int) -> None:
    if tokens < 0:
        raise ValueError(f'a token amount must not be negative: {tokens}')
