"""Control daemon part: replica, list of backend servers, membership."""

import asyncio
import random

from kumquatrun.consensus.membership_keeper import MembershipKeeper
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.control.control_host import ControlHost
from kumquatrun.gateway.roles.operator_gate import OperatorGate
from kumquatrun.gateway.roles.settings import GatewayControlSettings
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock

# A few round trips and syncs; the platform's time to stop is 8 s.
LEAVE_LIMIT_S = 1.0


class GatewayControl:
    """Runs one control replica with its background work.

    Attributes
    ----------
    leader
        Connection to the leader, wherever it is.
    gate
        Operator calls.
    """

    def __init__(
        self,
        settings: GatewayControlSettings,
        listing: BackendListing,
        clock: Clock,
    ) -> None:
        self._listing = listing
        storage = None if settings.replica.data_dir else MemoryStorage()
        self._host = ControlHost(
            settings,
            clock,
            storage=storage,
            listing=listing,
            # The keeper also removes replicas that were only cut off.
            options=NodeOptions(rejoins=True),
        )
        self._keeper = MembershipKeeper(
            self._host.replica,
            clock,
            settings.max_lost_replicas,
        )
        self.leader = LeaderClient(
            settings.control_addresses,
            Hello(
                node_id=settings.host_id,
                incarnation='operator',
                cluster_token=settings.cluster_token,
                region=settings.region,
            ),
            clock,
            random.Random(),
            self._host.replica,
        )
        self.gate = OperatorGate(self.leader, self._host.state)
        self._tasks: list[asyncio.Task] = []

    def not_ready_reason(self) -> str:
        """Return why the replica takes no part, or an empty text."""
        return self._host.not_ready_reason()

    async def start(self) -> None:
        """Start the replica and follow the platform's list while it leads."""
        await self._host.start()
        self._tasks = [
            start_background(self._keeper.run),
            start_background(self._follow_listing),
        ]

    async def _follow_listing(self) -> None:
        await self._listing.follow(lambda: self._host.service.serves)

    async def stop(self) -> None:
        """Hand over, leave a group that is complete without it, and stop."""
        await self._host.hand_over()
        await self._keeper.leave(LEAVE_LIMIT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.leader.close()
        await self._host.stop(hands_over=False)
