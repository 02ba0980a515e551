"""The control role of one process: replica, state, service and listener."""

import random
import uuid

from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.replica import Replica
from kumquatrun.consensus.replica_transport import TcpTransport
from kumquatrun.consensus.storage import Storage
from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.control.control import ControlService
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.feed_log import FeedLog
from kumquatrun.control.group_announcer import GroupAnnouncer
from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.errors import SettingError
from kumquatrun.peer import Address, PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import Clock

# A longer wait for the transfer gains nothing: an election without it takes
# about as long.
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0


class FeedPublishingState:
    """State machine that publishes its changes to the feed.

    Implements the ``StateMachine`` protocol of the replica.
    """

    def __init__(self, state: ControlState, feed: FeedLog) -> None:
        self._state = state
        self._feed = feed

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one log entry and publish what it changed."""
        encoded = self._state.apply(index, command)
        self._feed.extend(self._state.drain_changes())
        return encoded

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._state.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state; followers of the feed get a snapshot."""
        self._state.restore(snapshot)
        self._feed.reset(self._state.feed_index)


class ControlHost:
    """Runs the control role in this process.

    Raises
    ------
    SettingError
        If the settings do not enable the control replica.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        *,
        storage: Storage | None = None,
        rng: random.Random | None = None,
        listing: BackendListing | None = None,
        options: NodeOptions | None = None,
    ) -> None:
        replica_settings = settings.replica
        if replica_settings is None:
            raise SettingError('--control-data-dir is not set')
        rng = rng or random.Random()
        identity = Hello(
            node_id=replica_settings.replica_id,
            incarnation=uuid.uuid4().hex,
            cluster_token=settings.cluster_token,
            region=settings.region,
        )
        self._listen = replica_settings.listen
        self.state = ControlState()
        feed = FeedLog()
        self.replica = Replica(
            replica_settings,
            FeedPublishingState(self.state, feed),
            TcpTransport(identity, rng),
            storage or FileStorage(replica_settings.data_dir),
            clock,
            rng,
            options,
        )
        self.service = ControlService(
            self.replica,
            self.state,
            feed,
            clock,
            settings.operator_token,
            listing,
            GroupAnnouncer(
                lambda: self.replica.group,
                lambda: self.service.serves,
                identity,
                clock,
            ),
        )
        self._server = PeerServer(identity, self.service)
        self.address: Address | None = None

    def not_ready_reason(self) -> str:
        """Return why the replica is not ready, or an empty text."""
        failure = self.replica.failure
        if failure is not None:
            return f'replica failed: {failure}'
        return '' if self.replica.leader_id else 'no leader known'

    async def start(self) -> None:
        """Start the replica with its stored state, the service and listener."""
        await self.replica.start()
        await self.service.start()
        self.address = await self._server.start(self._listen)

    async def hand_over(self) -> None:
        """Transfer leadership, so that no change waits for an election."""
        await self.replica.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT_S)

    async def stop(self, *, hands_over: bool = True) -> None:
        """Stop the listener and the replica, which remains a member."""
        if hands_over:
            await self.hand_over()
        await self._server.stop()
        await self.service.stop()
        await self.replica.stop()
