"""Control service: serves nodes and operators on the leader."""

import asyncio
import logging
import zlib
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any

from kumquatrun.consensus.replica import Replica
from kumquatrun.control.agent_report_table import AgentReportTable
from kumquatrun.control.allowance_pool import AllowanceReply, TakeAllowance
from kumquatrun.control.allowance_service import AllowanceService
from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.control.command_batcher import CommandBatcher
from kumquatrun.control.commands import ExpireHost, ReportBudgets
from kumquatrun.control.configuration_register import (
    ConfigurationReply,
    NameAdapterVersion,
    PutConfiguration,
    PutConfigurationPart,
    ReadConfiguration,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.evacuations import FinishEvacuation, StartEvacuation
from kumquatrun.control.feed_log import FeedLog
from kumquatrun.control.feed_sender import FeedSender
from kumquatrun.control.group_announcer import GroupAnnouncer
from kumquatrun.control.hosts import ENTRY_ROLE
from kumquatrun.control.leases import Incarnation, LeaseTable
from kumquatrun.control.load_slot_queue import LoadSlotQueue
from kumquatrun.control.operator_actions import OperatorActions
from kumquatrun.errors import (
    KumquatrunError,
    NotFoundError,
    NotLeaderError,
)
from kumquatrun.peer import CallContext
from kumquatrun.peer.directory_messages import ControlGroup
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import (
    AcquireLoadSlot,
    ClearEndedRuns,
    ClearSuspect,
    FollowFeed,
    GrantTokens,
    HostRecord,
    LeaseReply,
    LoadSlotReply,
    RegisterHost,
    ReleaseLoadSlot,
    RenewLease,
    ReportSuspects,
    TakeTrialRun,
)
from kumquatrun.peer.operator_messages import OperatorCall
from kumquatrun.peer.request_messages import ClaimRequest, FinishClaim, Finished
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL_S = 0.25
MAX_TIME_LAG_S = 10.0
FEED_CHECK_INTERVAL_S = 1.0
BARRIER_TIMEOUT_S = 2.0


class ControlService:
    """Serves the control protocol on one replica.

    Only the leader serves calls; the other replicas reject them with
    ``not_leader``, which names the leader. All soft state (leases, load slots,
    agent reports) lasts for one leadership term and starts empty.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        feed: FeedLog,
        clock: Clock,
        operator_token: str = '',
        listing: BackendListing | None = None,
        announcer: GroupAnnouncer | None = None,
    ) -> None:
        self._announcer = announcer
        self._listing = listing
        self._replica = replica
        self._state = state
        self._feed = feed
        self._clock = clock
        self._batcher = CommandBatcher(replica, clock)
        self._served_term = -1
        self._leases = LeaseTable(0, 0)
        self._slots = LoadSlotQueue('', clock)
        self._reports = AgentReportTable()
        self._allowances = AllowanceService(state, clock)
        self._actions = OperatorActions(
            replica,
            state,
            self._batcher,
            operator_token,
            lambda: self._reports.reports(),
        )
        self._tasks: list[asyncio.Task] = []
        self._handlers: Mapping[type, Callable[..., Awaitable[Any]]] = {
            RegisterHost: self._on_register,
            RenewLease: self._on_renew,
            FollowFeed: self._on_follow,
            GrantTokens: self._on_command,
            ClaimRequest: self._on_command,
            FinishClaim: self._on_command,
            ReportSuspects: self._on_command,
            ClearSuspect: self._on_command,
            ClearEndedRuns: self._on_command,
            TakeTrialRun: self._on_command,
            AcquireLoadSlot: self._on_acquire_slot,
            ReleaseLoadSlot: self._on_release_slot,
            OperatorCall: self._on_operator,
            PutConfiguration: self._on_command,
            PutConfigurationPart: self._on_command,
            NameAdapterVersion: self._on_command,
            StartEvacuation: self._on_command,
            FinishEvacuation: self._on_command,
            TakeAllowance: self._on_take_allowance,
            ReadConfiguration: self._on_read_configuration,
        }

    async def start(self) -> None:
        """Start the background work of the leader."""
        self._tasks = [
            start_background(self._lead),
            start_background(self._expire_hosts),
        ]
        if self._announcer is not None:
            self._tasks.append(start_background(self._announcer.run))

    async def stop(self) -> None:
        """Stop the background work; the replica is stopped by its owner."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._batcher.stop()

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Answer a call; consensus messages go to the replica."""
        handler = self._handlers.get(type(request))
        if handler is None:
            return await self._replica.handle(request, context)
        self._check_leader()
        return await handler(request, context)

    @property
    def serves(self) -> bool:
        """Return whether this replica leads and has applied its log."""
        replica = self._replica
        return replica.is_leader and self._served_term == replica.term

    def _check_leader(self) -> None:
        if not self.serves:
            raise NotLeaderError(
                f'the leader is at {self._replica.leader_address}',
            )

    async def _lead(self) -> None:
        """Start to serve in each term that this replica leads."""
        changed = asyncio.Event()
        self._replica.on_role_change(changed.set)
        while True:
            if self._replica.is_leader and not self.serves:
                await self._begin_term(self._replica.term)
            else:
                await changed.wait()
            changed.clear()

    async def _begin_term(self, term: int) -> None:
        # A new leader may not have applied all committed entries yet. Without
        # the barrier it would not know hosts that its predecessor registered.
        try:
            await self._replica.read_barrier(BARRIER_TIMEOUT_S)
        except KumquatrunError as error:
            log.info('event=leadership_not_confirmed error=%r', str(error))
            return
        self._leases = LeaseTable(self._clock.now_s(), self._feed.index)
        self._slots = LoadSlotQueue(str(term), self._clock)
        self._reports = AgentReportTable()
        self._allowances.begin_term()
        self._served_term = term
        if self._announcer is not None:
            self._announcer.begin_term(self._state.hosts())
        log.info('event=leadership_started term=%s', term)

    async def _on_command(self, request: Any, context: CallContext) -> Any:
        return await self._batcher.commit(request)

    async def _on_register(
        self,
        request: RegisterHost,
        context: CallContext,
    ) -> Any:
        reply = await self._batcher.commit(request)
        record = request.record
        holder = (record.host_id, record.incarnation)
        self._leases.register(holder, self._feed.index, self._clock.now_s())
        self._record_contact(record)
        return reply

    async def _on_renew(
        self,
        request: RenewLease,
        context: CallContext,
    ) -> LeaseReply:
        received_at_s = self._clock.now_s()
        record = self._state.host(request.host_id)
        if record is None or record.incarnation != request.incarnation:
            raise NotFoundError(
                f'{request.host_id} is not registered as {request.incarnation}',
            )
        if request.budget_reports:
            await self._commit_budget_reports(request)
        if request.agent_report is not None:
            self._reports.put(request.agent_report)
        self._check_leader()
        self._record_contact(record)
        duration_s = self._leases.renew(
            (request.host_id, request.incarnation),
            applied_index=request.feed_index,
            feed_index=self._feed.index,
            confirmed_at_s=self._replica.quorum_confirmed_at_s,
            now_s=received_at_s,
        )
        # An entry ignores reports of agents that its view does not list yet.
        accepts_reports = (
            record.role == ENTRY_ROLE and request.feed_index >= self._feed.index
        )
        return LeaseReply(
            duration_s=duration_s,
            feed_index=self._feed.index,
            agent_reports=(
                self._reports.take_changed(request.incarnation)
                if accepts_reports
                else ()
            ),
            configuration_version=self._state.configuration_version,
            group=self._changed_group(request),
            share_grants=self._allowances.renew_shares(
                request, self._replica.quorum_confirmed_at_s
            ),
            **self._listing_fields(record, request),
        )

    def _record_contact(self, record: HostRecord) -> None:
        if self._announcer is not None:
            self._announcer.record_contact(record)

    def _changed_group(self, request: RenewLease) -> ControlGroup | None:
        group = self._replica.group
        known = (request.group_term, request.group_index)
        return None if known == (group.term, group.index) else group

    def _listing_fields(
        self,
        record: HostRecord,
        request: RenewLease,
    ) -> dict[str, Any]:
        listing = self._listing
        if listing is None or record.role != ENTRY_ROLE:
            return {}
        fields: dict[str, Any] = {
            'listing_version': listing.version,
            'listing_age_s': listing.age_s(self._clock.now_s()),
        }
        if listing.version != request.listing_version:
            fields['listing'] = listing.encoded
        return fields

    async def _commit_budget_reports(self, request: RenewLease) -> None:
        await self._batcher.commit(
            ReportBudgets(
                host_id=request.host_id,
                incarnation=request.incarnation,
                sequence=request.sequence,
                reports=request.budget_reports,
            ),
        )

    async def _on_follow(
        self,
        request: FollowFeed,
        context: CallContext,
    ) -> Finished:
        sender = FeedSender(self._feed, self._state, request, context)
        while True:
            self._check_leader()
            if not await sender.send_newer():
                # The wait is limited, so that lost leadership is noticed.
                await self._feed.wait(FEED_CHECK_INTERVAL_S)

    async def _on_acquire_slot(
        self,
        request: AcquireLoadSlot,
        context: CallContext,
    ) -> LoadSlotReply:
        return await self._slots.acquire(request)

    async def _on_release_slot(
        self,
        request: ReleaseLoadSlot,
        context: CallContext,
    ) -> Ack:
        self._slots.release(request.slot_id)
        return Ack()

    async def _on_take_allowance(
        self,
        request: TakeAllowance,
        context: CallContext,
    ) -> AllowanceReply:
        return self._allowances.take(
            request, self._replica.quorum_confirmed_at_s
        )

    async def _on_read_configuration(
        self,
        request: ReadConfiguration,
        context: CallContext,
    ) -> ConfigurationReply:
        await self._replica.read_barrier(BARRIER_TIMEOUT_S)
        stored = self._state.configuration()
        is_known = stored.version == request.known_version
        if is_known or not request.wants_content:
            return ConfigurationReply(version=stored.version)
        return ConfigurationReply(
            version=stored.version,
            compressed=zlib.compress(stored.content),
        )

    async def _on_operator(
        self,
        request: OperatorCall,
        context: CallContext,
    ) -> Any:
        return await self._actions.run(request)

    async def _expire_hosts(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if not self.serves:
                continue
            self._slots.grant_waiting()
            await self._advance_time()
            for holder in self._state.incarnations():
                if self._leases.has_certainly_ended(
                    holder, self._clock.now_s()
                ):
                    await self._expire(holder)

    async def _advance_time(self) -> None:
        # The state machine's time advances only with batches; without them,
        # quarantines and claims would not expire.
        with suppress(KumquatrunError):
            await self._batcher.advance_time(MAX_TIME_LAG_S)

    async def _expire(self, holder: Incarnation) -> None:
        host_id, incarnation = holder
        log.warning('event=host_expired host_id=%s', host_id)
        try:
            await self._batcher.commit(
                ExpireHost(host_id=host_id, incarnation=incarnation),
            )
        except KumquatrunError as error:
            log.info('event=expiry_failed error=%r', str(error))
            return
        self._leases.discard(holder)
        self._reports.remove(host_id, incarnation)
