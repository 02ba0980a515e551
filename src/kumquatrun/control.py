"""Control service: answers nodes and operators on the leading replica."""

import asyncio
import logging
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from kumquatrun.clock import Clock
from kumquatrun.command_batcher import CommandBatcher
from kumquatrun.commands import ExpireHost, ReportBudgets
from kumquatrun.control_state import ControlState
from kumquatrun.errors import (
    DeadlineExceededError,
    InvalidRequestError,
    KumquatrunError,
    NotFoundError,
    NotLeaderError,
    Outcome,
)
from kumquatrun.feed_log import FeedLog
from kumquatrun.leases import LeaseTable
from kumquatrun.load_slots import LoadSlots
from kumquatrun.messages import (
    Ack,
    AcquireLoadSlot,
    AgentReport,
    ClaimRequest,
    ClearSuspect,
    Finished,
    FinishClaim,
    FollowFeed,
    GrantTokens,
    LeaseReply,
    LoadSlotReply,
    OperatorCall,
    RegisterHost,
    ReleaseLoadSlot,
    RenewLease,
    ReportSuspects,
)
from kumquatrun.operator_actions import OperatorActions
from kumquatrun.peer import CallContext
from kumquatrun.replica import Replica

log = logging.getLogger(__name__)

EXPIRY_CHECK_S = 0.25
LOAD_SLOT_WAIT_S = 1.0
FEED_IDLE_S = 1.0


class ControlService:
    """Serves the control protocol on one replica.

    Only the leader answers; the other replicas name it in ``not_leader``. All
    soft state (leases, load slots, agent reports) belongs to one term of
    leadership and starts empty with it.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        clock: Clock,
        operator_token: str = '',
    ) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._batcher = CommandBatcher(replica, clock)
        self._actions = OperatorActions(
            replica,
            state,
            self._batcher,
            operator_token,
        )
        self._feed = FeedLog()
        self._term = -1
        self._leases = LeaseTable(0, 0)
        self._slots = LoadSlots('')
        self._slot_waiters: dict[int, asyncio.Future] = {}
        self._reports: dict[str, AgentReport] = {}
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
            AcquireLoadSlot: self._on_acquire_slot,
            ReleaseLoadSlot: self._on_release_slot,
            OperatorCall: self._on_operator,
        }

    async def start(self) -> None:
        """Start the background work of the leader."""
        self._replica.on_role_change(self._on_role_change)
        self._on_role_change()
        self._tasks = [asyncio.create_task(self._expire_hosts())]

    async def stop(self) -> None:
        """Stop the background work; the replica is stopped by its owner."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._batcher.stop()

    def publish(self) -> None:
        """Hand the changes of the applied commands to the feed."""
        self._feed.extend(self._state.drain_changes())

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Answer a call; consensus messages go to the replica."""
        handler = self._handlers.get(type(request))
        if handler is None:
            return await self._replica.handle(request, context)
        self._check_leader()
        return await handler(request, context)

    def _check_leader(self) -> None:
        if not self._replica.is_leader:
            raise NotLeaderError(
                f'the leader is at {self._replica.leader_address}',
            )
        if self._term != self._replica.term:
            self._on_role_change()

    def _on_role_change(self) -> None:
        """Start a new term of leadership with empty soft state."""
        if not self._replica.is_leader or self._term == self._replica.term:
            return
        self._term = self._replica.term
        self._leases = LeaseTable(self._clock.now_s(), self._feed.index)
        self._slots = LoadSlots(f'{self._term}')
        self._reports.clear()
        log.info('event=leadership_started term=%s', self._term)

    async def _on_command(self, request: Any, context: CallContext) -> Any:
        return await self._batcher.commit(request)

    async def _on_register(
        self,
        request: RegisterHost,
        context: CallContext,
    ) -> Any:
        reply = await self._batcher.commit(request)
        record = request.record
        self._leases.start(
            record.host_id,
            record.incarnation,
            self._clock.now_s(),
        )
        return reply

    async def _on_renew(
        self,
        request: RenewLease,
        context: CallContext,
    ) -> LeaseReply:
        received_at_s = self._clock.now_s()
        record = self._state.host_record(request.host_id)
        if record is None or record.incarnation != request.incarnation:
            raise NotFoundError(
                f'{request.host_id} is not registered as {request.incarnation}',
            )
        if request.budget_reports:
            await self._batcher.commit(
                ReportBudgets(
                    host_id=request.host_id,
                    incarnation=request.incarnation,
                    sequence=request.sequence,
                    reports=request.budget_reports,
                ),
            )
        if request.agent_report is not None:
            self._reports[request.host_id] = request.agent_report
        self._check_leader()
        duration_s = self._leases.renew(
            request.host_id,
            request.incarnation,
            applied_index=request.feed_index,
            feed_index=self._feed.index,
            confirmed_at_s=self._replica.quorum_confirmed_at_s,
            now_s=received_at_s,
        )
        is_entry = record.role == 'entry'
        return LeaseReply(
            duration_s=duration_s,
            feed_index=self._feed.index,
            agent_reports=tuple(self._reports.values()) if is_entry else (),
        )

    async def _on_follow(
        self,
        request: FollowFeed,
        context: CallContext,
    ) -> Finished:
        index = request.after_index
        while True:
            self._check_leader()
            items = self._feed.after(index)
            if items is None:
                items = [self._state.snapshot_feed()]
            for item in items:
                await context.send_message(item)
                index = item.index
            if not items:
                await self._wait_for_feed()

    async def _wait_for_feed(self) -> None:
        # Wakes up without an item too, to notice the end of leadership.
        try:
            async with asyncio.timeout(FEED_IDLE_S):
                await self._feed.wait()
        except TimeoutError:
            return

    async def _on_acquire_slot(
        self,
        request: AcquireLoadSlot,
        context: CallContext,
    ) -> LoadSlotReply:
        ticket = self._slots.enqueue(
            request.host_id,
            request.adapter,
            request.waiting_requests,
        )
        waiter = asyncio.get_running_loop().create_future()
        self._slot_waiters[ticket.number] = waiter
        self._grant_slots()
        try:
            async with asyncio.timeout(LOAD_SLOT_WAIT_S):
                return LoadSlotReply(slot_id=await waiter)
        except TimeoutError:
            return LoadSlotReply(slot_id='', retry_after_s=EXPIRY_CHECK_S)
        finally:
            self._slot_waiters.pop(ticket.number, None)
            self._slots.withdraw(ticket)

    async def _on_release_slot(
        self,
        request: ReleaseLoadSlot,
        context: CallContext,
    ) -> Ack:
        self._slots.release(request.slot_id)
        self._grant_slots()
        return Ack()

    def _grant_slots(self) -> None:
        for slot in self._slots.grant_next(self._clock.now_s()):
            waiter = self._slot_waiters.get(slot.ticket.number)
            if waiter is None or waiter.done():
                self._slots.release(slot.slot_id)
            else:
                waiter.set_result(slot.slot_id)

    async def _on_operator(
        self,
        request: OperatorCall,
        context: CallContext,
    ) -> Any:
        return await self._actions.run(request)

    async def _expire_hosts(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            if not self._replica.is_leader:
                continue
            self._on_role_change()
            self._grant_slots()
            now_s = self._clock.now_s()
            for record in self._state.host_records():
                if self._leases.surely_ended(record.host_id, now_s):
                    await self._expire(record.host_id, record.incarnation)

    async def _expire(self, host_id: str, incarnation: str) -> None:
        log.warning('event=host_expired host_id=%s', host_id)
        try:
            await self._batcher.commit(
                ExpireHost(host_id=host_id, incarnation=incarnation),
            )
        except KumquatrunError as error:
            log.info('event=expiry_failed error=%r', str(error))
            return
        self._leases.forget(host_id)
        self._reports.pop(host_id, None)
