"""Reserves tokens of client accounts for requests.

All use of the token wallet is here: the wallet decides, this module asks the
control leader for more tokens and makes requests wait for them.
"""

import asyncio
from dataclasses import dataclass

from kumquatrun.clock import Clock
from kumquatrun.control_api import NodeSession
from kumquatrun.errors import KumquatrunError, RateLimitedError
from kumquatrun.messages import BudgetReport, GrantReply
from kumquatrun.token_wallet import Reservation, TokenWallet

# Covers a call to a leader that went silent (1 s) and the election of its
# successor (about 1 s): a leader change must not refuse an account that is
# within its rate.
GRANT_TIMEOUT_S = 3.5
# Bounds how long a request may wait for tokens before it is refused.
MAX_WAIT_S = 2.0
MIN_ASK_INTERVAL_S = 0.02
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Charge:
    """A reservation together with the wallet's incarnation."""

    account: str
    reservation: Reservation
    incarnation: str


def make_wallet(session: NodeSession) -> TokenWallet:
    """Return an empty token wallet for the host's incarnation."""
    record = session.record
    return TokenWallet(record.host_id, record.incarnation)


class BudgetClient:
    """Reserves, consumes and settles tokens of client accounts."""

    def __init__(
        self,
        wallet: TokenWallet,
        session: NodeSession,
        clock: Clock,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._wallet = wallet
        self._session = session
        self._clock = clock
        self._max_wait_s = max_wait_s
        self._incarnation = session.record.incarnation
        self._asking: dict[str, asyncio.Task] = {}

    async def reserve(self, account: str, tokens: int) -> Charge:
        """Reserve tokens; waits a bounded time for a grant.

        Raises
        ------
        RateLimitedError
            If the tokens are not available in time; ``cause`` names why.
        """
        deadline_s = self._clock.now_s() + self._max_wait_s
        while True:
            charge = self._try_reserve(account, tokens)
            if charge is not None:
                return charge
            retry_after_s = await self._ask(account)
            wait_s = max(MIN_ASK_INTERVAL_S, retry_after_s)
            charge = self._try_reserve(account, tokens)
            if charge is not None:
                return charge
            if self._clock.now_s() + wait_s >= deadline_s:
                raise RateLimitedError(
                    f'account {account} has no {tokens} tokens left',
                    retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
                    cause='over_rate',
                )
            await asyncio.sleep(wait_s)

    def consume(self, charge: Charge, tokens: int) -> None:
        """Record consumed tokens of a reservation."""
        if tokens > 0 and charge.incarnation == self._incarnation:
            self._wallet.consume(charge.reservation, tokens)

    def settle(self, charge: Charge) -> None:
        """Return the rest of a reservation."""
        if charge.incarnation == self._incarnation:
            self._wallet.settle(charge.reservation)

    def take_reports(self) -> tuple[BudgetReport, ...]:
        """Return what was consumed and returned since the last report."""
        return tuple(self._wallet.take_reports(self._clock.now_s()))

    def follow_session(self) -> None:
        """Empty the wallet when the host has a new incarnation."""
        incarnation = self._session.record.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._wallet.clear(incarnation)

    def _try_reserve(self, account: str, tokens: int) -> Charge | None:
        self.follow_session()
        if not self._session.lease_valid():
            raise RateLimitedError(
                'the lease ended while the request waited for tokens',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
                cause='lease_lost',
            )
        outcome = self._wallet.reserve(account, tokens, self._clock.now_s())
        if outcome.is_err():
            return None
        return Charge(account, outcome.ok_value, self._incarnation)

    async def _ask(self, account: str) -> float:
        """Ask for tokens; requests of one account share a call.

        Returns
        -------
        float
            Time after which more tokens are expected, in seconds.
        """
        task = self._asking.get(account)
        if task is None:
            task = asyncio.create_task(self._ask_leader(account))
            self._asking[account] = task
            task.add_done_callback(lambda _: self._asking.pop(account))
        return await asyncio.shield(task)

    async def _ask_leader(self, account: str) -> float:
        request = self._wallet.grant_request(account, self._clock.now_s())
        if request is None:
            return 0
        try:
            reply: GrantReply = await self._session.control.call(
                request, GRANT_TIMEOUT_S
            )
        except KumquatrunError as error:
            self._wallet.abandon_grant(request)
            raise RateLimitedError(
                f'the control leader granted no tokens: {error.detail}',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
                cause='budget_unreachable',
            ) from error
        self.follow_session()
        self._wallet.add_grant(account, reply.granted_tokens, request)
        return reply.retry_after_s
