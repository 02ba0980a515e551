"""Membership of a node: registration, lease, feed and reports."""

import asyncio
import logging
import random
import uuid
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from kumquatrun.control.leases import LEASE_S, RENEW_INTERVAL_S
from kumquatrun.errors import (
    FeedGapError,
    KumquatrunError,
    NotFoundError,
    StaleIncarnationError,
)
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.membership.directory_exchange import ControlFinder
from kumquatrun.membership.feed_parts import MAX_ITEM_BYTES, assemble_item
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.membership.share_source import NoShares, ShareSource
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.directory_messages import ControlHosts
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import (
    AgentReport,
    BudgetReport,
    FollowFeed,
    HostRecord,
    LeaseReply,
    RegisterHost,
    RenewLease,
)
from kumquatrun.peer.parts import PartCollector
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.listeners import Listeners

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.5
# The duration of a lease counts from the start of the renewal call, which
# includes failed attempts to find the leader. A longer call would leave little
# of the lease.
RENEW_TIMEOUT_S = 1.0
FEED_RETRY_S = 0.1
# No feed item has this index, so the leader answers with a snapshot.
BEFORE_FIRST_INDEX = -1


class Session:
    """Implements ``control_api.NodeSession`` with calls to the leader.

    Parameters
    ----------
    record
        Describes this host.
    control_addresses
        Hosts that may have a control replica.
    clock
        Source of time.
    directory_addresses
        Hosts that are queried for the control group while no leader answers.
    """

    def __init__(
        self,
        record: HostRecord,
        control_addresses: tuple[Address, ...],
        clock: Clock,
        *,
        directory_addresses: tuple[Address, ...] = (),
        cluster_token: str = '',
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._record = replace(record, incarnation=uuid.uuid4().hex)
        self._cluster_token = cluster_token
        self._view = ClusterView()
        self._directory = ControlDirectory(clock)
        self._leader_client = LeaderClient(
            control_addresses,
            self.identity(),
            clock,
            self._rng,
            self._directory,
        )
        self._finder = ControlFinder(
            self._directory,
            directory_addresses,
            self.identity,
            lambda: self._leader_client.has_leader,
            self._rng,
        )
        self._lease_ends_at_s = float('-inf')
        self._had_lease = False
        self._listeners = Listeners()
        self._agent_source: Callable[[], AgentReport] | None = None
        self._budget_source: Callable[[], tuple[BudgetReport, ...]] | None = (
            None
        )
        self._budget_reports: tuple[BudgetReport, ...] = ()
        self._shares: ShareSource = NoShares()
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self._listing_version = ''
        self._announced_configuration_version = 0
        self._listing_sink: Callable[[bytes | None, float], None] | None = None

    @property
    def record(self) -> HostRecord:
        """Return the committed host record with its fencing number."""
        return self._record

    @property
    def view(self) -> ClusterView:
        """Return the node's copy of the shared state."""
        return self._view

    @property
    def control(self) -> LeaderClient:
        """Return the connection to the leader."""
        return self._leader_client

    @property
    def directory(self) -> ControlDirectory:
        """Return the directory of the control group on this host."""
        return self._directory

    @property
    def newest_configuration_version(self) -> int:
        """Return the newest version that the leader announced or sent."""
        return max(
            self._view.configuration_version,
            self._announced_configuration_version,
        )

    def identity(self) -> Hello:
        """Return the identity that this host sends to others."""
        return Hello(
            node_id=self._record.host_id,
            incarnation=self._record.incarnation,
            cluster_token=self._cluster_token,
            region=self._record.region,
        )

    def set_addresses(
        self,
        control_addresses: tuple[Address, ...],
        directory_addresses: tuple[Address, ...],
    ) -> None:
        """Replace the hosts that are queried while no leader is known."""
        self._leader_client.set_addresses(control_addresses)
        self._finder.set_addresses(directory_addresses)

    def lease_valid(self) -> bool:
        """Return whether the lease is valid now."""
        return self._clock.now_s() < self._lease_ends_at_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each feed item and when the lease ends."""
        self._listeners.add(listener)

    def report_agent(self, source: Callable[[], AgentReport]) -> None:
        """Set the source of the agent reports that renewals carry."""
        self._agent_source = source

    def report_budgets(
        self,
        source: Callable[[], tuple[BudgetReport, ...]],
    ) -> None:
        """Set the source of the budget reports that renewals carry."""
        self._budget_source = source

    def renew_shares(self, shares: ShareSource) -> None:
        """Set the shares of account rates that renewals report and extend."""
        self._shares = shares

    def follow_listing(
        self,
        sink: Callable[[bytes | None, float], None],
    ) -> None:
        """Set the receiver of the list of backend servers and of its age.

        ``sink`` is called with None instead of a list that has not changed.
        """
        self._listing_sink = sink

    async def start(self) -> None:
        """Register, renew the lease and follow the feed in the background."""
        self._tasks = [
            start_background(self._keep_lease),
            start_background(self._follow_feed),
            start_background(self._watch_lease),
            start_background(self._finder.run),
        ]

    async def stop(self) -> None:
        """Stop renewing and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._leader_client.close()

    async def _keep_lease(self) -> None:
        registered = False
        while True:
            started_at_s = self._clock.now_s()
            try:
                if registered:
                    await self._renew()
                else:
                    await self._register()
                    registered = True
                    continue
            except (NotFoundError, StaleIncarnationError):
                # The leader expired this host. A new incarnation starts with
                # an empty wallet, so that old grants cannot be spent again.
                registered = False
                self._start_new_incarnation()
            except KumquatrunError as error:
                log.info('event=renewal_failed error=%r', str(error))
            # After a call that took longer than the interval, the next call
            # starts at once: a leader may be available again, or the lease may
            # be short.
            elapsed_s = self._clock.now_s() - started_at_s
            await asyncio.sleep(max(0, RENEW_INTERVAL_S - elapsed_s))

    async def _register(self) -> None:
        reply = await self._leader_client.call(
            RegisterHost(record=self._record),
            CALL_TIMEOUT_S,
        )
        self._record = reply.record
        log.info(
            'event=host_registered host_id=%s fencing_number=%s',
            self._record.host_id,
            self._record.fencing_number,
        )
        self._listeners.notify()

    def _start_new_incarnation(self) -> None:
        self._record = replace(self._record, incarnation=uuid.uuid4().hex)
        self._lease_ends_at_s = float('-inf')
        self._budget_reports = ()
        self._sequence = 0
        self._listeners.notify()

    async def _renew(self) -> None:
        if not self._budget_reports and self._budget_source is not None:
            self._budget_reports = self._budget_source()
            self._sequence += bool(self._budget_reports)
        incarnation = self._record.incarnation
        group = self._directory.group
        sent_at_s = self._clock.now_s()
        reply: LeaseReply = await self._leader_client.call(
            RenewLease(
                host_id=self._record.host_id,
                incarnation=incarnation,
                feed_index=self._view.applied_index,
                sequence=self._sequence,
                agent_report=self._agent_source and self._agent_source(),
                budget_reports=self._budget_reports,
                listing_version=self._listing_version,
                group_term=group.term,
                group_index=group.index,
                boot_id=self._shares.boot_id,
                sent_at_s=sent_at_s,
                share_reports=self._shares.reports(sent_at_s),
            ),
            RENEW_TIMEOUT_S,
        )
        self._budget_reports = ()
        self._shares.apply(reply.share_grants, sent_at_s)
        self._view.update_reports(reply.agent_reports)
        self._deliver_listing(reply)
        self._announced_configuration_version = max(
            self._announced_configuration_version,
            reply.configuration_version,
        )
        self._extend_lease(sent_at_s + min(reply.duration_s, LEASE_S), reply)
        if reply.group is not None:
            self._directory.update(ControlHosts(group=reply.group))

    def _deliver_listing(self, reply: LeaseReply) -> None:
        if self._listing_sink is None or reply.listing_age_s is None:
            return
        self._listing_version = reply.listing_version
        self._listing_sink(reply.listing, reply.listing_age_s)

    def _extend_lease(self, ends_at_s: float, reply: LeaseReply) -> None:
        if reply.duration_s > 0:
            self._lease_ends_at_s = max(self._lease_ends_at_s, ends_at_s)
        if self.lease_valid() and not self._had_lease:
            self._had_lease = True
            log.info('event=lease_gained host_id=%s', self._record.host_id)
            self._listeners.notify()

    async def _watch_lease(self) -> None:
        while True:
            remaining_s = self._lease_ends_at_s - self._clock.now_s()
            await asyncio.sleep(max(0.02, min(remaining_s, 0.1)))
            if self._had_lease and not self.lease_valid():
                self._had_lease = False
                log.warning('event=lease_lost host_id=%s', self._record.host_id)
                self._listeners.notify()

    async def _follow_feed(self) -> None:
        while True:
            leader = self._leader_client.feed_leader
            try:
                await self._read_feed(leader, self._view.applied_index)
            except FeedGapError as error:
                log.warning('event=feed_gap error=%r', str(error))
                await self._read_snapshot(leader)
            except KumquatrunError as error:
                self._leader_client.choose_next(error, leader)
            await asyncio.sleep(FEED_RETRY_S)

    async def _read_snapshot(self, leader: PeerClient) -> None:
        with suppress(KumquatrunError):
            await self._read_feed(leader, BEFORE_FIRST_INDEX)

    async def _read_feed(self, leader: PeerClient, after_index: int) -> None:
        request = FollowFeed(
            host_id=self._record.host_id,
            after_index=after_index,
            configuration_version=self._view.configuration_version,
        )
        parts = PartCollector(MAX_ITEM_BYTES)
        async with leader.stream(request) as feed:
            async for received in feed:
                feed_item = assemble_item(received, parts)
                if feed_item is not None:
                    self._view.apply(feed_item)
                    self._listeners.notify()
