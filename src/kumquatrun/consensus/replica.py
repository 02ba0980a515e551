"""Replica of the quorum log: the interface for other packages."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from kumquatrun.consensus.consensus_messages import (
    CONSENSUS_REQUESTS,
    JoinRequest,
)
from kumquatrun.consensus.pending_calls import (
    wait_with_timeout,
)
from kumquatrun.consensus.quorum_types import MembershipChange
from kumquatrun.consensus.replica_addresses import (
    check_address,
    initial_addresses,
    node_settings,
)
from kumquatrun.consensus.replica_changes import commit_change
from kumquatrun.consensus.replica_driver import ReplicaDriver
from kumquatrun.consensus.replica_restart import (
    PATH_ERRORS,
    NodeFactory,
)
from kumquatrun.errors import (
    InvalidRequestError,
    NotLeaderError,
    RequestTooLargeError,
)
from kumquatrun.peer import Address
from kumquatrun.runtime.background import start_background

log = logging.getLogger(__name__)

# Retry interval of hand-over requests: a few round trips between regions.
TRANSFER_RETRY_S = 0.05
LEAVE_RETRY_S = 0.05
# An entry must fit into an 8 MiB peer frame together with other entries.
MAX_COMMAND_BYTES = 4 * 1024 * 1024


class Replica(ReplicaDriver):
    """One replica of the replicated log.

    Parameters
    ----------
    settings
        Replica id, own address and initial members.
    state_machine
        Empty state machine. It receives the snapshot and then the committed
        commands in order. It is reset to the empty state when the replica
        restarts from its storage after a failure. A stopped replica must not
        be started again: create a new one with an empty state machine.
    transport
        Sends messages to the other replicas; closed by ``stop``.
    storage
        Durable state; closed by ``stop``.
    clock
        Source of time.
    rng
        Source of election timeouts.
    options
        Limits, timing and behaviour of the node.
    """

    async def start(self) -> None:
        """Load the stored state and take part in the group.

        If the disk refuses writes, the replica starts to take part as soon as
        the disk works again.

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
            {
                name: address
                for name, address in addresses.items()
                if name != own_id
            },
        )
        self._node_factory = NodeFactory(
            node_settings(self._settings),
            self._machine,
            self._storage,
            self._rng,
            self._options,
        )
        try:
            self._node = self._node_factory.create(self._clock.now_s())
        except PATH_ERRORS:
            raise
        except OSError as error:
            self._fail(error)
        self._ticker = start_background(self._tick)

    async def stop(self) -> None:
        """Stop the replica; the outcome of appended proposals is unknown."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
            self._ticker = None
        self._node = None
        self._calls.fail_all(NotLeaderError('the replica was stopped'))
        await self._transport.close()
        self._storage.close()

    async def transfer_leadership(self, timeout_s: float) -> None:
        """Transfer the leadership to another replica before a stop.

        Returns once this replica is no longer the leader, or after
        ``timeout_s`` if no other replica took over.
        """
        if not self.is_leader:
            return
        deadline_s = self._clock.now_s() + timeout_s
        while self.is_leader and self._clock.now_s() < deadline_s:
            self._run(self._request_transfer)
            await asyncio.sleep(TRANSFER_RETRY_S)
        log.info(
            'event=leadership_handed_over leader=%s term=%s',
            self.leader_id,
            self.term,
        )

    def add_peer_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Add addresses of group members, as targets for join requests."""
        if self._is_running:
            self._node.learned_addresses.update(_format_addresses(addresses))

    def add_initial_members(self, addresses: Mapping[str, Address]) -> None:
        """Add initial members to a group that is not formed yet.

        Has no effect once the group is formed.
        """
        if not self._is_running or self._settings.join:
            return
        for replica_id, address in _format_addresses(addresses).items():
            self._node.add_initial_member(replica_id, address)

    async def leave(self, timeout_s: float) -> None:
        """Leave the group before a stop, if the group has a spare voter.

        Returns when the removal is committed, or after ``timeout_s``.
        """
        deadline_s = self._clock.now_s() + timeout_s
        while self._may_leave() and self._clock.now_s() < deadline_s:
            self._send((self._node.leave_request(),))
            await asyncio.sleep(LEAVE_RETRY_S)
        if self._is_running and self._node.has_left:
            log.info('event=group_left leader=%s', self.leader_id)

    def _may_leave(self) -> bool:
        if not self._is_running or self._node.has_left:
            return False
        membership = self._node.core.membership
        is_voter = membership.is_voter(self._settings.replica_id, self.disk_id)
        return is_voter and membership.has_spare_voter and not self.is_leader

    async def handle(self, request: Any, context: Any) -> Any:
        """Process a consensus message; return the reply for the ``PeerServer``.

        Raises
        ------
        InvalidRequestError
            If the message is not a consensus message, or a join request has
            an invalid address.
        NotLeaderError
            If the replica is not running.
        """
        if not isinstance(request, CONSENSUS_REQUESTS):
            raise InvalidRequestError(
                f'unexpected message {type(request).__name__}'
            )
        self._require_running()
        if isinstance(request, JoinRequest):
            check_address(request.address)
        future = self._calls.add_request(request)
        self._schedule_flush()
        return await future

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Append a command, wait for its commit, and return its result.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader; the command is not run.
        OutcomeUnknownError
            If leadership was lost before the command was committed.
        DeadlineExceededError
            If the command was not committed in time; its outcome is unknown.
        NoCapacityError
            If too many entries are not committed yet; the command is not run.
        RequestTooLargeError
            If the command exceeds ``MAX_COMMAND_BYTES``.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise RequestTooLargeError(
                f'command of {len(command)} bytes is too large'
            )
        self._require_running().require_leader()
        future = self._calls.add_proposal(command)
        self._schedule_flush()
        return await wait_with_timeout(future, timeout_s, 'commit')

    async def read_barrier(self, timeout_s: float) -> int:
        """Wait until the state machine reflects all earlier commits.

        Returns the log index of the barrier.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader or loses leadership.
        DeadlineExceededError
            If leadership was not confirmed by a majority in time.
        """
        self._require_running().require_leader()
        future = self._calls.add_barrier()
        self._schedule_flush()
        return await wait_with_timeout(future, timeout_s, 'read barrier')

    async def change_membership(
        self,
        change: MembershipChange,
        timeout_s: float,
    ) -> None:
        """Change one member and wait until the change is committed.

        Waits first until an earlier change is committed and, for ``promote``,
        until the learner has caught up.

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

    def _request_transfer(self) -> None:
        self._node.core.transfer_leadership(self._clock.now_s())
        self._schedule_flush()


def _format_addresses(addresses: Mapping[str, Address]) -> dict[str, str]:
    return {name: str(address) for name, address in addresses.items()}
