"""Event loop of a replica: ticks, flushes, failures and restarts."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from kumquatrun.consensus.pending_calls import DeferredReply, PendingCalls
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.quorum_types import Envelope, Output
from kumquatrun.consensus.replica_addresses import (
    known_addresses,
    peer_addresses,
)
from kumquatrun.consensus.replica_restart import NodeFactory, RestartPolicy
from kumquatrun.consensus.replica_status import ReplicaStatus
from kumquatrun.consensus.replica_transport import Transport
from kumquatrun.consensus.state_machine import StateMachine
from kumquatrun.consensus.storage import Storage
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import NotLeaderError
from kumquatrun.peer.messages import Ack
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

MIN_TICK_S = 0.005
# Bounds the delay of a campaign that becomes due earlier than expected.
MAX_TICK_S = 0.05


class ReplicaDriver(ReplicaStatus):
    """Background part of a replica, which runs once the replica is started.

    See ``Replica`` for the parameters.
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
        self._node_factory: NodeFactory | None = None
        self._restarts = RestartPolicy()
        self._calls = PendingCalls()
        self._flushing = False
        self._transport_addresses: dict[str, str] = {}
        self._ticker: asyncio.Task | None = None

    def standings(self) -> dict[str, str]:
        """Return how the leader counts each replica, for operators.

        There are none if this replica is not the leader.
        """
        now_s = self._clock.now_s()
        silent = self.silent_voters(now_s)
        silence_s = self.silence_s(now_s)
        rows = dict.fromkeys(silence_s, 'joining')
        for member in self.members if self.is_leader else ():
            name = member.replica_id
            standing = 'voter' if member.voter else 'learner'
            rows[name] = 'missing voter' if name in silent else standing
        return {
            name: f'{standing}, last reply {silence_s[name]:.1f} s ago'
            if name in silence_s
            else standing
            for name, standing in rows.items()
        }

    def _on_reply(self, msg: Any) -> None:
        if self._is_running and not isinstance(msg, Ack):
            self._calls.add_reply(msg)
            self._schedule_flush()

    async def _tick(self) -> None:
        while True:
            self._run(self._tick_once)
            if self.failure is None:
                await asyncio.sleep(self._tick_delay_s())
            else:
                await self._restart_node(self.failure)

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
        """Run a step; any error fails the node.

        After a failed sync it is unknown what is durable, and a violated
        invariant must not spread. ``_restart_node`` then creates a new node
        from the storage.
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
        self._calls.fail_all(NotLeaderError(f'the replica failed: {error}'))
        self._notify_role_listeners()

    async def _restart_node(self, failure: Exception) -> None:
        """Create a new node from the storage after a delay.

        During the delay, scheduled steps of the failed node are dropped.
        """
        await self._restarts.wait(failure, self._clock.now_s())
        try:
            self._node = self._node_factory.create(self._clock.now_s())
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
        replies = self._calls.submit(node, self._clock.now_s())
        messages, output = node.begin_flush()
        self._send(messages)
        if output.needs_sync:
            # The sync blocks the event loop. Scheduling it separately lets the
            # messages be written first.
            asyncio.get_running_loop().call_soon(
                self._run,
                self._finish_flush,
                output,
                replies,
            )
        else:
            self._finish_flush(output, replies)

    def _finish_flush(
        self, output: Output, replies: list[DeferredReply]
    ) -> None:
        node = self._node
        result = node.finish_flush(output, self._clock.now_s())
        for reply in replies:
            reply.resolve()
        self._send(result.messages)
        self._calls.resolve(node, result.applied)
        self._update_transport_addresses()
        self.standing_record.update(node, self._clock.now_s())
        self._notify_role_listeners()
        self._flushing = False
        if self._calls.is_pending:
            self._schedule_flush()

    def _send(self, messages: tuple[Envelope, ...]) -> None:
        for envelope in messages:
            self._transport.send(envelope.receiver, envelope.message)

    def _update_transport_addresses(self) -> None:
        """Pass changed replica addresses to the transport."""
        addresses = known_addresses(self._node)
        if addresses != self._transport_addresses:
            self._transport_addresses = addresses
            self._transport.set_addresses(
                peer_addresses(addresses, self._settings.replica_id),
            )
