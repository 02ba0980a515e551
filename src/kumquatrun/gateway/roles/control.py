"""Runs a control replica with the backend list and group membership."""

import asyncio
import logging
import uuid
from dataclasses import replace

from kumquatrun.consensus.consensus_messages import Ballot
from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.membership_keeper import (
    MAX_VOTERS,
    MembershipKeeper,
)
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.quorum_types import ReplicaMeta
from kumquatrun.consensus.replica_restart import DISK_RETRY_MAX_S, PATH_ERRORS
from kumquatrun.consensus.storage import Storage
from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.control.control_host import ControlHost
from kumquatrun.control.replica_gauges import set_replica_gauges
from kumquatrun.daemon.shared_settings import (
    FoundingReplicaSettings,
    ReplicaSettings,
)
from kumquatrun.gateway.roles.control_search import (
    ControlSearch,
    GroupBootstrap,
)
from kumquatrun.gateway.roles.leader_watch import LeaderWatch
from kumquatrun.gateway.roles.settings import GatewayControlSettings
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.peer import Address
from kumquatrun.peer.directory_messages import ControlHosts, FoundingReplica
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import Metrics

log = logging.getLogger(__name__)

# Time limit for leaving the group: enough for a few round trips and disk syncs,
# out of the 8 s that the platform allows for a stop.
LEAVE_LIMIT_S = 1.0
FOLLOW_INTERVAL_S = 0.2
# Older than any ballot, which has a proposer.
FIRST_PROMISE = Ballot(number=1)


class GatewayControl:
    """Runs one control replica and its background tasks.

    Parameters
    ----------
    settings
        Addresses and limits.
    listing
        List of backend servers, which the leader reads.
    clock
        Source of time.
    storage
        Storage of the replica; by default the one that the settings select.
    """

    def __init__(
        self,
        settings: GatewayControlSettings,
        listing: BackendListing,
        clock: Clock,
        storage: Storage | None = None,
    ) -> None:
        self._settings = settings
        self._listing = listing
        self._clock = clock
        self._storage = storage or _storage(settings.replica)
        self._directory = ControlDirectory(clock)
        self._search = ControlSearch(
            self._directory,
            settings.directory_addresses,
            Hello(
                node_id=settings.host_id,
                incarnation=uuid.uuid4().hex,
                cluster_token=settings.cluster_token,
                region=settings.region,
            ),
            self._is_settled,
        )
        replica = settings.replica
        self._bootstrap = GroupBootstrap(
            FoundingReplica(
                replica_id=replica.replica_id,
                address=str(replica.listen),
                failure_domain=settings.failure_domain,
            ),
            _founding_domains(settings),
            self._directory,
            clock,
        )
        self._host: ControlHost | None = None
        self._keeper: MembershipKeeper | None = None
        self._tasks: list[asyncio.Task] = []

    def not_ready_reason(self) -> str:
        """Return why the replica is not ready, or an empty string."""
        if self._host is None:
            return 'the founding replicas are not known'
        return self._host.not_ready_reason()

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of the replica once it runs."""
        if self._host is not None:
            set_replica_gauges(metrics, self._host.replica, self._clock)

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Replace the directory addresses used to find the group."""
        self._search.set_addresses(addresses)

    async def start(self) -> None:
        """Find or found the control group, and start the replica in it."""
        self._tasks = [start_background(self._search.run)]
        replica_settings = await self._replica_settings()
        host = ControlHost(
            replace(self._settings, replica=replica_settings),
            self._clock,
            storage=self._storage,
            listing=self._listing,
            # The keeper also removes replicas that were only partitioned, so
            # they must be able to rejoin.
            options=NodeOptions(rejoins=True),
        )
        self._host = host
        self._keeper = MembershipKeeper(
            host.replica,
            self._clock,
            self._settings.max_lost_replicas,
        )
        await host.start()
        self._tasks.extend(
            (
                start_background(self._keeper.run),
                start_background(self._follow_group),
                start_background(self._follow_listing),
            ),
        )

    async def stop(self) -> None:
        """Hand over, leave the group if it has a spare voter, and stop."""
        if self._host is not None:
            await self._host.hand_over()
            await self._keeper.leave(LEAVE_LIMIT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._host is not None:
            await self._host.stop(hands_over=False)

    async def _replica_settings(self) -> ReplicaSettings:
        """Return the settings of a replica that founds the group or joins it.

        A founder that was killed continues to found the group, whatever the
        settings say now, because the other founders may need its vote.
        """
        own = self._settings.replica
        meta = await self._founding_meta()
        has_voted = meta.promised.number or meta.initial
        if meta.formed or not has_voted:
            return replace(own, join=True)
        self._search.founder = self._bootstrap.own
        founders = {
            member.replica_id: Address.parse(member.address)
            for member in meta.initial
        }
        # If the group exists already, it may include this disk: its members
        # tell. The replica joins otherwise.
        founders = founders or await self._bootstrap.wait()
        founders[own.replica_id] = own.listen
        return FoundingReplicaSettings(
            replica_id=own.replica_id,
            data_dir=own.data_dir,
            listen=own.listen,
            replicas=tuple(founders.items()),
            founding_quorum=self._bootstrap.quorum,
        )

    @property
    def _is_founder(self) -> bool:
        settings = self._settings
        is_founding_domain = settings.failure_domain in _founding_domains(
            settings,
        )
        return settings.is_first_start and is_founding_domain

    async def _founding_meta(self) -> ReplicaMeta:
        """Return the stored metadata; a new founder stores its first promise.

        The promise rules out no ballot. It marks the disk as that of a founder.
        """
        while True:
            try:
                return self._load_founding_meta()
            except PATH_ERRORS:
                raise
            except OSError as error:
                log_event(log, 'disk_unreadable', error=str(error))
            await asyncio.sleep(DISK_RETRY_MAX_S)

    def _load_founding_meta(self) -> ReplicaMeta:
        meta = self._storage.load_meta() or ReplicaMeta('')
        is_known = meta.formed or meta.promised.number
        if is_known or not self._is_founder:
            return meta
        # Stored before other hosts learn of this founder.
        disk_id = meta.disk_id or uuid.uuid4().hex
        marked = replace(meta, disk_id=disk_id, promised=FIRST_PROMISE)
        self._storage.load()
        self._storage.save_meta(marked)
        self._storage.close()
        return marked

    def _is_settled(self) -> bool:
        """Return whether the replica needs no directory.

        A replica that hears a leader may still be outside the group: the
        leader also calls the address of a replica whose disk was lost.
        """
        if self._host is None:
            return False
        replica = self._host.replica
        return replica.is_member and bool(replica.leader_id)

    async def _follow_group(self) -> None:
        """Exchange group information between replica and directory."""
        replica = self._host.replica
        leader_watch = LeaderWatch(self._clock.now_s())
        while True:
            leader_watch.check(replica, self._clock.now_s())
            self._directory.update(ControlHosts(group=replica.group))
            if replica.is_formed:
                self._search.founder = None
            else:
                replica.add_initial_members(self._bootstrap.founders())
            if not self._is_settled():
                members = self._directory.group.members
                replica.add_peer_addresses(
                    {
                        member.replica_id: Address.parse(member.address)
                        for member in members
                    },
                )
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def _follow_listing(self) -> None:
        await self._listing.follow(lambda: self._host.service.serves)


def _founding_domains(settings: GatewayControlSettings) -> list[str]:
    """Return the failure domains whose control hosts found the group.

    The result is the same on each host. The deploy file places one control
    host in each failure domain.
    """
    return sorted(dict(settings.regions))[:MAX_VOTERS]


def _storage(settings: ReplicaSettings) -> Storage:
    if settings.data_dir:
        return FileStorage(settings.data_dir)
    return MemoryStorage()
