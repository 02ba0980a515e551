"""Calls to the control leader, wherever it is."""

import asyncio
import logging
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

from kumquatrun.errors import (
    ConnectionLostError,
    ControlUnreachableError,
    DeadlineExceededError,
    KumquatrunError,
    NotLeaderError,
    Outcome,
    OutcomeUnknownError,
)
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
# A leader that went silent must be given up early enough to find its
# successor within a lease of 3 s.
ATTEMPT_TIMEOUT_S = 1.0
# A caller that follows a replica of its own process finds the next leader
# long before. Its attempts end only if the leader gives no sign of life for so
# long, and each may stay silent for longer than the one before.
FIRST_SILENCE_S = 0.4
SILENCE_GROWTH = 2
# Longer than an election. A member without a leader for so long is cut off
# from the majority, and another host can answer the caller.
LEADERLESS_LIMIT_S = 1.5

RETRIED = (NotLeaderError, ConnectionLostError, DeadlineExceededError)


class LeaderLocator(Protocol):
    """A replica in the same process, which hears the leader's heartbeats."""

    @property
    def leader_address(self) -> Address | None:
        """Return the address of the known leader."""
        ...

    @property
    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all members, empty before it is one."""
        ...

    def on_role_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the leader."""
        ...


class LeaderClient:
    """Finds the leader among the control replicas and calls it.

    All messages to the leader can be sent again: they carry an operation id,
    a request id or a sequence number that the state machine recognizes, or
    their repetition changes nothing.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        identity: Hello,
        clock: Clock,
        rng: random.Random,
        locator: LeaderLocator | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._clients: dict[Address, PeerClient] = {}
        self._leader = rng.choice(self._addresses)
        self._locator = locator
        self._moved = asyncio.Event()
        self._closing: set[asyncio.Task] = set()
        self._retried: tuple[type[KumquatrunError], ...] = RETRIED
        self._leader_known_s = clock.now_s()
        self._knew_leader = False
        if locator is not None:
            self._retried = (*RETRIED, OutcomeUnknownError)
            locator.on_role_change(self._wake)

    @property
    def leader(self) -> PeerClient:
        """Return the connection to the replica that was last the leader."""
        client = self._clients.get(self._leader)
        if client is None:
            client = PeerClient(self._leader, self._identity)
            self._clients[self._leader] = client
        return client

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request to the leader and return its reply.

        Raises
        ------
        ControlUnreachableError
            If no leader answered in time, or the local replica has known
            none for so long that a majority cannot be reached. The outcome is
            ``unknown`` if the request may have reached a leader, else
            ``not_run``.
        """
        deadline_s = self._clock.now_s() + timeout_s
        silence_limit_s = FIRST_SILENCE_S
        outcome = Outcome.NOT_RUN
        while True:
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                raise ControlUnreachableError(
                    f'no control leader answered in {timeout_s} s',
                    outcome=outcome,
                )
            self._locate(outcome)
            leader = self.leader
            try:
                return await self._attempt(
                    leader,
                    request,
                    remaining_s,
                    silence_limit_s,
                )
            except self._retried as error:
                if error.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
                self.follow(error, leader)
            silence_limit_s *= SILENCE_GROWTH
            await asyncio.sleep(RETRY_DELAY_S * (1 + self._rng.random()))

    def follow(self, error: KumquatrunError, failed: PeerClient) -> None:
        """Choose the replica to try next after ``error`` from ``failed``.

        The detail of ``not_leader`` ends with the leader's address if the
        replica knows it. If another call has already found another replica,
        that one is kept.
        """
        if failed.address != self._leader:
            return
        if isinstance(error, NotLeaderError):
            hint = error.detail.rsplit(' ', 1)[-1]
            with suppress(ValueError):
                self._leader = Address.parse(hint)
        if failed.address == self._leader:
            self._choose_other()

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Replace the addresses that are tried without a hint."""
        if addresses:
            self._addresses = list(addresses)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        for client in self._clients.values():
            await client.close()

    async def _attempt(
        self,
        leader: PeerClient,
        request: Any,
        remaining_s: float,
        silence_limit_s: float,
    ) -> Any:
        """Call a replica.

        Ends early if another one becomes the leader, or if nothing is heard
        from this one. A slow answer over a connection that lives is awaited.
        """
        if self._locator is None:
            return await leader.call(
                request,
                min(remaining_s, ATTEMPT_TIMEOUT_S),
            )
        call = asyncio.create_task(leader.call(request, remaining_s))
        moved = asyncio.create_task(self._wait_moved(leader.address))
        silent = asyncio.create_task(_wait_silent(leader, silence_limit_s))
        waiting = {call, moved, silent}
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
        finally:
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
        if silent.done() and not silent.cancelled():
            log_event(
                log,
                'leader_silent',
                address=leader.address,
                silence_s=silence_limit_s,
                request=type(request).__name__,
            )
            self._replace_connection(leader)
            raise DeadlineExceededError(
                f'nothing heard from {leader.address} in {silence_limit_s} s',
            )
        raise OutcomeUnknownError(f'{leader.address} is the leader no more')

    async def _wait_moved(self, address: Address) -> None:
        while self._locator.leader_address in {None, address}:
            await self._moved.wait()

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()
        knows_leader = self._locator.leader_address is not None
        if knows_leader or self._knew_leader:
            self._leader_known_s = self._clock.now_s()
        self._knew_leader = knows_leader

    def _locate(self, outcome: Outcome) -> None:
        """Follow the local replica.

        Raises
        ------
        ControlUnreachableError
            If it is a member and has known no leader for too long.
        """
        if self._locator is None:
            return
        known = self._locator.leader_address
        if known is not None:
            self._leader = known
            self._leader_known_s = self._clock.now_s()
            return
        leaderless_s = self._clock.now_s() - self._leader_known_s
        if self._locator.member_addresses and leaderless_s > LEADERLESS_LIMIT_S:
            raise ControlUnreachableError(
                f'no leader is known since {leaderless_s:.1f} s',
                outcome=outcome,
            )

    def _replace_connection(self, silent: PeerClient) -> None:
        """Have the next attempt open a new connection.

        After lost packets, the system may send on the old one again only
        after seconds. Other calls may still be answered on it.
        """
        if self._clients.get(silent.address) is silent:
            self._clients.pop(silent.address)
            task = asyncio.create_task(_retire(silent))
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def _choose_other(self) -> None:
        known = list(self._addresses)
        if self._locator is not None:
            known.extend(self._locator.member_addresses)
        others = [address for address in known if address != self._leader]
        if others:
            self._leader = self._rng.choice(others)


async def _retire(client: PeerClient) -> None:
    """Close a connection once its open calls have ended."""
    try:
        await client.wait_idle()
    finally:
        await client.close()


async def _wait_silent(leader: PeerClient, limit_s: float) -> None:
    """Return once nothing was heard from a replica for ``limit_s``."""
    loop = asyncio.get_running_loop()
    while True:
        asked_at_s = loop.time()
        leader.ping()
        await asyncio.sleep(limit_s)
        if leader.heard_at_s < asked_at_s:
            return
