"""Asyncio driver of one replica of the quorum log."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from kumquatrun.consensus.consensus_messages import (
    CONSENSUS_REQUESTS,
    JoinRequest,
)
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.quorum_types import Envelope, MembershipChange, Output
from kumquatrun.consensus.replica_addresses import (
    check_address,
    initial_addresses,
    known_addresses,
    node_settings,
    peer_addresses,
)
from kumquatrun.consensus.replica_changes import commit_change
from kumquatrun.consensus.replica_restart import (
    PATH_ERRORS,
    NodeOpener,
    RestartPolicy,
)
from kumquatrun.consensus.replica_status import ReplicaStatus
from kumquatrun.consensus.replica_transport import Transport
from kumquatrun.consensus.replica_work import (
    ReplicaWork,
    Reply,
    wait_until,
)
from kumquatrun.consensus.state_machine import StateMachine
from kumquatrun.consensus.storage import Storage
from kumquatrun.daemon.settings import ReplicaSettings
from kumquatrun.errors import (
    InvalidRequestError,
    NotLeaderError,
    RequestTooLargeError,
)
from kumquatrun.peer.messages import Ack
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

MIN_TICK_S = 0.005
# Bounds the delay of a campaign that becomes due earlier than it was expected.
MAX_TICK_S = 0.05
# A few round trips between the regions.
HAND_OVER_RETRY_S = 0.05
# An entry must fit into a peer frame of 8 MiB together with others.
MAX_COMMAND_BYTES = 4 * 1024 * 1024


class Replica(ReplicaStatus):
    """One replica of the replicated log.

    Parameters
    ----------
    settings
        Replica id, own address and initial members.
    state_machine
        Empty; gets the snapshot and the committed commands in order. It is
        emptied if the replica fails and starts again from its storage. After
        a stop, a new replica with an empty state machine is created.
    transport
        Sends messages to the other replicas; closed by ``stop``.
    storage
        Durable state; closed by ``stop``.
    clock
        Source of time.
    rng
        Source of election timeouts.
    options
        Sizes and times.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        state_machine: StateMachine,
        transport: Transport,
        storage: Storage,
        clock: Clock,
        rng: random.Random,
        options: NodeOptions | None = None,
    ) -> None:
        super().__init__(settings)
        self._machine = state_machine
        self._transport = transport
        self._storage = storage
        self._clock = clock
        self._rng = rng
        self._options = options or NodeOptions()
        self._opener: NodeOpener | None = None
        self._restarts = RestartPolicy()
        self._work = ReplicaWork()
        self._flushing = False
        self._seen_addresses: dict[str, str] = {}
        self._ticker: asyncio.Task | None = None

    async def start(self) -> None:
        """Load the stored state and take part in the group.

        If the disk refuses writes, the replica takes part as soon as it works.

        Raises
        ------
        CorruptLogError
            If the data folder is damaged.
        OSError
            If the path of the data folder cannot be used.
        SettingError
            If the initial members do not include this replica.
        """
        own_id = self._settings.replica_id
        addresses = initial_addresses(self._settings)
        self._transport.on_reply(self._on_reply)
        self._transport.set_addresses(
            {name: row for name, row in addresses.items() if name != own_id},
        )
        self._opener = NodeOpener(
            node_settings(self._settings),
            self._machine,
            self._storage,
            self._rng,
            self._options,
        )
        try:
            self._node = self._opener.open(self._clock.now_s())
        except PATH_ERRORS:
            raise
        except OSError as error:
            self._fail(error)
        self._ticker = start_background(self._tick)

    async def stop(self) -> None:
        """Stop; pending proposals end with an unknown outcome."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
            self._ticker = None
        self._node = None
        self._work.fail_all(NotLeaderError('the replica was stopped'))
        await self._transport.close()
        self._storage.close()

    async def hand_over(self, timeout_s: float) -> None:
        """Let another replica lead before this one stops.

        Returns when this replica does not lead, or after ``timeout_s`` if no
        other one could take over.
        """
        if not self.is_leader:
            return
        deadline_s = self._clock.now_s() + timeout_s
        while self.is_leader and self._clock.now_s() < deadline_s:
            self._run(self._ask_successor)
            await asyncio.sleep(HAND_OVER_RETRY_S)
        log.info(
            'event=leadership_handed_over leader=%s term=%s',
            self.leader_id,
            self.term,
        )

    async def handle(self, request: Any, context: Any) -> Any:
        """Answer a consensus message; mountable into a ``PeerServer``.

        Raises
        ------
        InvalidRequestError
            If the message is not a consensus message.
        NotLeaderError
            If the replica does not run.
        """
        if not isinstance(request, CONSENSUS_REQUESTS):
            raise InvalidRequestError(f'unexpected {type(request).__name__}')
        self._require_running()
        if isinstance(request, JoinRequest):
            check_address(request.address)
        future = self._work.add_request(request)
        self._schedule_flush()
        return await future

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Append a command and return the result of applying it.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader; the command was not run.
        OutcomeUnknownError
            If leadership was lost before the command was committed.
        DeadlineExceededError
            If it was not committed in time; its outcome is unknown.
        NoCapacityError
            If too many commands wait for a majority; it was not run.
        RequestTooLargeError
            If the command exceeds ``MAX_COMMAND_BYTES``.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise RequestTooLargeError(f'command of {len(command)} bytes')
        self._require_running().require_leader()
        future = self._work.add_proposal(command)
        self._schedule_flush()
        return await wait_until(future, timeout_s, 'commit')

    async def read_barrier(self, timeout_s: float) -> int:
        """Wait until the state machine reflects all earlier commits.

        Returns the index that the barrier waited for.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader or loses leadership.
        DeadlineExceededError
            If no majority confirmed leadership in time.
        """
        self._require_running().require_leader()
        future = self._work.add_barrier()
        self._schedule_flush()
        return await wait_until(future, timeout_s, 'read barrier')

    async def change_membership(
        self,
        change: MembershipChange,
        timeout_s: float,
    ) -> None:
        """Change one member and wait until the change is committed.

        Waits for an earlier change, and before ``promote`` until the learner
        has caught up.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        InvalidRequestError, NotFoundError
            If the change does not apply to the current membership.
        DeadlineExceededError
            If the change could not be committed in time.
        """
        await commit_change(
            self,
            lambda: self._append_change(change),
            change,
            timeout_s,
        )

    def _append_change(self, change: MembershipChange) -> tuple[int, int]:
        core = self._require_running()
        index = core.change_membership(change, self._clock.now_s())
        self._schedule_flush()
        return core.term, index

    def _on_reply(self, msg: Any) -> None:
        if self._is_running and not isinstance(msg, Ack):
            self._work.add_reply(msg)
            self._schedule_flush()

    async def _tick(self) -> None:
        while True:
            self._run(self._tick_once)
            if self.failure is None:
                await asyncio.sleep(self._tick_delay_s())
            else:
                await self._reopen(self.failure)

    def _ask_successor(self) -> None:
        self._node.core.hand_over(self._clock.now_s())
        self._schedule_flush()

    def _tick_delay_s(self) -> float:
        due_in_s = self._node.next_due_s - self._clock.now_s()
        return min(MAX_TICK_S, max(MIN_TICK_S, due_in_s))

    def _tick_once(self) -> None:
        self._node.tick(self._clock.now_s())
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._run, self._begin_flush)

    def _run(self, step: Callable[..., None], *arguments: Any) -> None:
        """Run a step; any error ends the node.

        After a failed sync it is not known what is durable, and a violated
        invariant must not spread. ``_reopen`` starts again from the storage.
        """
        if not self._is_running:
            return
        try:
            step(*arguments)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        log.error(
            'event=replica_failed error=%r',
            str(error),
            exc_info=not isinstance(error, OSError),
        )
        self.failure = error
        self._work.fail_all(NotLeaderError(f'the replica failed: {error}'))
        self._notify_role()

    async def _reopen(self, failure: Exception) -> None:
        """Start again from the storage after a wait.

        During the wait the loop drops the last steps of the failed node.
        """
        await self._restarts.wait(failure, self._clock.now_s())
        try:
            self._node = self._opener.open(self._clock.now_s())
        except Exception as error:
            self._fail(error)
            return
        self._flushing = False
        self.failure = None
        log.info(
            'event=replica_restarted term=%s last_index=%s after_failure=%r',
            self.term,
            self._node.core.entries.last_index,
            str(failure),
        )

    def _begin_flush(self) -> None:
        node = self._node
        replies = self._work.hand_over(node, self._clock.now_s())
        messages, output = node.begin_flush()
        self._send(messages)
        if output.needs_sync:
            # The sync blocks the loop; the messages are written before it.
            asyncio.get_running_loop().call_soon(
                self._run,
                self._finish_flush,
                output,
                replies,
            )
        else:
            self._finish_flush(output, replies)

    def _finish_flush(self, output: Output, replies: list[Reply]) -> None:
        node = self._node
        flushed = node.finish_flush(output, self._clock.now_s())
        for reply in replies:
            reply.resolve()
        self._send(flushed.messages)
        self._work.resolve(node, flushed.applied)
        self._follow_addresses()
        self._notify_role()
        self._flushing = False
        if self._work.is_pending:
            self._schedule_flush()

    def _send(self, messages: tuple[Envelope, ...]) -> None:
        for envelope in messages:
            self._transport.send(envelope.receiver, envelope.message)

    def _follow_addresses(self) -> None:
        """Pass the addresses of members and of joining disks on."""
        addresses = known_addresses(self._node)
        if addresses != self._seen_addresses:
            self._seen_addresses = addresses
            self._transport.set_addresses(
                peer_addresses(addresses, self._settings.replica_id),
            )
