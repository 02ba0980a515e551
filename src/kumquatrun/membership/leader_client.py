"""Calls to the control leader, wherever it is."""

import asyncio
import random
from contextlib import suppress
from typing import Any

from kumquatrun.errors import (
    ConnectionLostError,
    ControlUnreachableError,
    DeadlineExceededError,
    KumquatrunError,
    NotLeaderError,
    Outcome,
)
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import Clock

RETRY_DELAY_S = 0.05
# A leader that went silent must be given up early enough to find its
# successor within a lease of 3 s.
ATTEMPT_TIMEOUT_S = 1.0


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
    ) -> None:
        self._addresses = list(addresses)
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._clients: dict[Address, PeerClient] = {}
        self._leader = rng.choice(self._addresses)

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
            If no leader answered in time. The outcome is ``unknown`` if the
            request may have reached a leader, else ``not_run``.
        """
        deadline_s = self._clock.now_s() + timeout_s
        outcome = Outcome.NOT_RUN
        while True:
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                raise ControlUnreachableError(
                    f'no control leader answered in {timeout_s} s',
                    outcome=outcome,
                )
            attempt_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
            leader = self.leader
            try:
                return await leader.call(request, attempt_s)
            except (
                NotLeaderError,
                ConnectionLostError,
                DeadlineExceededError,
            ) as error:
                if error.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
                self.follow(error, leader)
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
        for client in self._clients.values():
            await client.close()

    def _choose_other(self) -> None:
        others = [
            address for address in self._addresses if address != self._leader
        ]
        if others:
            self._leader = self._rng.choice(others)
