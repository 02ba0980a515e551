"""Calls to the control leader, which may change."""

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any

from kumquatrun.errors import (
    ConnectionLostError,
    ControlUnreachableError,
    DeadlineExceededError,
    KumquatrunError,
    NotLeaderError,
    Outcome,
    OutcomeUnknownError,
)
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
# The check for a silent leader starts if no answer arrives within this time.
SILENCE_CHECK_DELAY_S = 0.1
# An attempt ends if nothing is received from the leader for this time; the
# limit grows with each such attempt.
INITIAL_SILENCE_LIMIT_S = 0.3
SILENCE_LIMIT_FACTOR = 2
# A silent replica is not called again for this time, even if others still name
# it as the leader: an election may end meanwhile.
SILENT_LEADER_BACKOFF_S = 0.5
# Longer than an election. A host that no leader has answered for this time is
# cut off from the majority, and another host can answer its caller.
LEADERLESS_LIMIT_S = 1.5

RETRYABLE_ERRORS = (
    NotLeaderError,
    ConnectionLostError,
    DeadlineExceededError,
    OutcomeUnknownError,
)


class LeaderClient:
    """Finds the leader among the control replicas and calls it.

    All messages to the leader can be resent: they carry an operation id, a
    request id or a sequence number by which the state machine detects
    duplicates, or they are idempotent.

    Parameters
    ----------
    addresses
        Hosts that may have a replica.
    directory
        Receives the address of a new leader from other hosts. All open calls
        then move to the new leader.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        identity: Hello,
        clock: Clock,
        rng: random.Random,
        directory: ControlDirectory | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._clients: dict[Address, PeerClient] = {}
        self._feed_clients: dict[Address, PeerClient] = {}
        self._leader = rng.choice(self._addresses)
        self._directory = directory
        self._leader_change: asyncio.Future[None] | None = None
        self._closing: set[asyncio.Task] = set()
        self._draining_clients: set[PeerClient] = set()
        self._confirmed_leader: Address | None = None
        self._last_answer_at_s = float('-inf')
        self._silent_address: Address | None = None
        self._backoff_until_s = float('-inf')
        if directory is not None:
            directory.on_change(self._follow_directory)

    @property
    def has_leader(self) -> bool:
        """Return whether a leader has answered recently."""
        return self._clock.now_s() - self._last_answer_at_s < LEADERLESS_LIMIT_S

    @property
    def leader(self) -> PeerClient:
        """Return the connection to the replica that was last the leader."""
        return self._client_of(self._clients)

    @property
    def feed_leader(self) -> PeerClient:
        """Return a separate connection to the leader, for the feed.

        A small call must not wait behind a large change of the shared state.
        """
        return self._client_of(self._feed_clients)

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request to the leader and return its reply.

        Raises
        ------
        ControlUnreachableError
            If no leader answered in time. The outcome is ``unknown`` if the
            request may have reached a leader, else ``not_run``.
        """
        deadline_s = self._clock.now_s() + timeout_s
        silence_limit_s = INITIAL_SILENCE_LIMIT_S
        outcome = Outcome.NOT_RUN
        while True:
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                raise ControlUnreachableError(
                    f'no control leader answered in {timeout_s} s',
                    outcome=outcome,
                )
            leader = self.leader
            try:
                return await self._attempt(
                    leader,
                    request,
                    remaining_s,
                    silence_limit_s,
                )
            except RETRYABLE_ERRORS as error:
                if error.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
                if isinstance(error, DeadlineExceededError):
                    silence_limit_s *= SILENCE_LIMIT_FACTOR
                if _is_replica_failure(error, remaining_s):
                    self.choose_next(error, leader)
            await asyncio.sleep(RETRY_DELAY_S * (1 + self._rng.random()))

    def choose_next(self, error: KumquatrunError, failed: PeerClient) -> None:
        """Choose the replica to try next after ``error`` from ``failed``.

        The detail of ``not_leader`` ends with the leader's address if the
        replica knows it. If another call has already chosen another replica,
        that choice remains.
        """
        if failed.address != self._leader:
            return
        hint = _leader_hint(error)
        if hint is None or self._is_in_backoff(hint):
            self._choose_other(failed.address)
        else:
            # The hint may name ``failed`` itself if it has just been elected.
            self._leader = hint

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Replace the addresses that are tried without a hint."""
        if addresses:
            self._addresses = list(addresses)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        for client in self._open_clients():
            await client.close()

    async def _attempt(
        self,
        leader: PeerClient,
        request: Any,
        remaining_s: float,
        silence_limit_s: float,
    ) -> Any:
        """Call a replica.

        The call ends early if another replica becomes the leader, or if nothing
        is received from this replica. A slow answer on a live connection is
        awaited.
        """
        call = asyncio.ensure_future(leader.call(request, remaining_s))
        waiting: set[asyncio.Future] = {call, self._next_leader_change()}
        silence_watch: asyncio.Task | None = None
        try:
            await asyncio.wait(
                waiting,
                timeout=SILENCE_CHECK_DELAY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not any(future.done() for future in waiting):
                silence_watch = asyncio.create_task(
                    _wait_for_silence(leader, silence_limit_s),
                )
                await asyncio.wait(
                    {*waiting, silence_watch},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if call.done():
                return self._result_of(call, leader.address)
        finally:
            await _cancel(call, silence_watch)
        if (
            silence_watch is not None
            and silence_watch.done()
            and not silence_watch.cancelled()
        ):
            self._record_silence(leader, request, silence_limit_s)
            raise DeadlineExceededError(
                f'no data from {leader.address} in {silence_limit_s} s',
            )
        raise OutcomeUnknownError(f'{leader.address} is no longer the leader')

    def _result_of(self, call: asyncio.Future, address: Address) -> Any:
        try:
            reply = call.result()
        except RETRYABLE_ERRORS:
            raise
        except KumquatrunError:
            # A leader has refused the request.
            self._record_leader(address)
            raise
        self._record_leader(address)
        return reply

    def _record_leader(self, address: Address) -> None:
        """Record the leader and close the connections to other replicas."""
        self._last_answer_at_s = self._clock.now_s()
        if address == self._silent_address:
            self._silent_address = None
        if address == self._confirmed_leader:
            return
        self._confirmed_leader = address
        self._close_clients(
            [
                client
                for client in self._open_clients()
                if client.address != address
            ]
        )

    def _open_clients(self) -> list[PeerClient]:
        return [
            *self._clients.values(),
            *self._feed_clients.values(),
            *self._draining_clients,
        ]

    def _client_of(self, clients: dict[Address, PeerClient]) -> PeerClient:
        if self._leader not in clients:
            clients[self._leader] = PeerClient(self._leader, self._identity)
        return clients[self._leader]

    def _close_clients(self, former_clients: list[PeerClient]) -> None:
        """Close connections; open calls and the feed move to the leader."""
        for client in former_clients:
            for clients in (self._clients, self._feed_clients):
                if clients.get(client.address) is client:
                    clients.pop(client.address)
            self._start_closing(client.close())

    def _next_leader_change(self) -> asyncio.Future[None]:
        """Return a future that is done when the directory has a new leader."""
        if self._leader_change is None:
            self._leader_change = asyncio.get_running_loop().create_future()
        return self._leader_change

    def _follow_directory(self) -> None:
        """Switch to a new leader and move all open calls to it."""
        known = self._directory.leader_address
        if known is None or known == self._leader:
            return
        former = self._leader
        self._leader = known
        if self._leader_change is not None:
            self._leader_change.set_result(None)
            self._leader_change = None
        self._close_clients(
            [
                client
                for client in self._open_clients()
                if client.address == former
            ]
        )

    def _record_silence(
        self,
        leader: PeerClient,
        request: Any,
        silence_s: float,
    ) -> None:
        log_event(
            log,
            'leader_silent',
            address=leader.address,
            silence_s=silence_s,
            request=type(request).__name__,
        )
        self._silent_address = leader.address
        self._backoff_until_s = self._clock.now_s() + SILENT_LEADER_BACKOFF_S
        self._replace_connection(leader)

    def _is_in_backoff(self, address: Address) -> bool:
        is_recent = self._clock.now_s() < self._backoff_until_s
        return is_recent and address == self._silent_address

    def _replace_connection(self, silent_client: PeerClient) -> None:
        """Make the next attempt open a new connection.

        After packet loss, the operating system may take seconds to retransmit
        on the old connection. Replies to other calls may still arrive on it.
        """
        if self._clients.get(silent_client.address) is silent_client:
            self._clients.pop(silent_client.address)
            self._draining_clients.add(silent_client)
            self._start_closing(self._close_when_idle(silent_client))

    async def _close_when_idle(self, client: PeerClient) -> None:
        """Close a connection once its open calls have ended."""
        try:
            await client.wait_idle()
        finally:
            self._draining_clients.discard(client)
            await client.close()

    def _start_closing(self, closing: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(closing)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _choose_other(self, failed: Address) -> None:
        """Choose the leader that the directory names, or a random replica."""
        known = dict.fromkeys(self._addresses)
        if self._directory is not None:
            known.update(dict.fromkeys(self._directory.member_addresses))
        others = [
            address
            for address in known
            if address != failed and not self._is_in_backoff(address)
        ]
        named_leader = (
            self._directory.leader_address if self._directory else None
        )
        if named_leader in others and named_leader != self._silent_address:
            self._leader = named_leader
        elif others:
            self._leader = self._rng.choice(others)


def _is_replica_failure(error: KumquatrunError, time_limit_s: float) -> bool:
    """Return whether another replica should be tried after an attempt.

    An attempt that the caller's time limit ended early says nothing about the
    replica.
    """
    is_timeout = isinstance(error, DeadlineExceededError)
    return not is_timeout or time_limit_s >= INITIAL_SILENCE_LIMIT_S


def _leader_hint(error: KumquatrunError) -> Address | None:
    """Return the leader address that a replica sent with ``not_leader``."""
    if not isinstance(error, NotLeaderError):
        return None
    try:
        return Address.parse(error.detail.rsplit(' ', 1)[-1])
    except ValueError:
        return None


async def _cancel(*tasks: asyncio.Future | None) -> None:
    open_tasks = [task for task in tasks if task is not None]
    for task in open_tasks:
        task.cancel()
    await asyncio.gather(*open_tasks, return_exceptions=True)


async def _wait_for_silence(leader: PeerClient, limit_s: float) -> None:
    """Return once nothing was received from a replica for ``limit_s``."""
    loop = asyncio.get_running_loop()
    while True:
        pinged_at_s = loop.time()
        leader.ping()
        await asyncio.sleep(limit_s)
        if leader.last_received_at_s < pinged_at_s:
            return
