"""Loads adapters into one engine while holding a fleet-wide load slot."""

import asyncio
import logging
import random
from collections.abc import Callable

from kumquatrun.agent.adapter_slots import AdapterKey, LoadTicket
from kumquatrun.agent.engine_client import EngineApi
from kumquatrun.agent.load_metrics import record_eviction, record_load
from kumquatrun.agent.scheduler import Scheduler
from kumquatrun.errors import (
    AdapterLoadError,
    ControlUnreachableError,
    KumquatrunError,
    StaleDispatchError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.node_messages import AcquireLoadSlot, ReleaseLoadSlot
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

CONTROL_TIMEOUT_S = 2.0
MIN_SLOT_RETRY_S = 0.02


class EngineLoader:
    """Executes the loads that the scheduler chooses.

    ``orders`` counts the orders sent so far.

    Parameters
    ----------
    session
        Membership of the node; used to acquire load slots, and source of the
        fencing number.
    engine
        Client of the engine that receives the orders.
    scheduler
        Decides what to load and where.
    clock
        Time source.
    load_timeout_s
        Time limit of one unload and load together.
    on_incarnation
        Called with the engine incarnation that each order returns.
    """

    def __init__(
        self,
        *,
        session: NodeSession,
        engine: EngineApi,
        scheduler: Scheduler,
        clock: Clock,
        load_timeout_s: float,
        on_incarnation: Callable[[str], None],
    ) -> None:
        self._session = session
        self._engine = engine
        self._scheduler = scheduler
        self._clock = clock
        self._load_timeout_s = load_timeout_s
        self._on_incarnation = on_incarnation
        self._release_tasks: set[asyncio.Task] = set()
        self.orders = 0
        # Jitter only spreads retries, so it needs no secure random numbers.
        self._random = random.Random()

    async def load(self, key: AdapterKey) -> None:
        """Load a registered adapter if a request still waits for it.

        Raises
        ------
        KumquatrunError
            If the adapter could not be loaded; no request was run.
        """
        slot_id = await self._acquire(key)
        if not slot_id:
            return
        try:
            await self._load_into_slot(key)
        finally:
            self._release_later(slot_id)

    async def stop(self) -> None:
        """Cancel the load slot releases that are in progress."""
        for task in list(self._release_tasks):
            task.cancel()
        await asyncio.gather(*self._release_tasks, return_exceptions=True)

    async def _acquire(self, key: AdapterKey) -> str:
        while True:
            waiting = len(self._scheduler.waiting_for(key))
            if not waiting:
                return ''
            record = self._session.record
            reply = await self._session.control.call(
                AcquireLoadSlot(
                    host_id=record.host_id,
                    incarnation=record.incarnation,
                    adapter=str(key),
                    waiting_requests=waiting,
                ),
                CONTROL_TIMEOUT_S,
            )
            if reply.slot_id:
                return reply.slot_id
            retry_s = max(MIN_SLOT_RETRY_S, reply.retry_after_s)
            await asyncio.sleep(retry_s * self._random.uniform(0.5, 1))

    def _release_later(self, slot_id: str) -> None:
        # Waiting requests start without waiting for the leader's reply.
        task = asyncio.create_task(self._release(slot_id))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _release(self, slot_id: str) -> None:
        # If the release is lost, the load slot stays in use until it expires.
        try:
            await self._session.control.call(
                ReleaseLoadSlot(slot_id=slot_id),
                CONTROL_TIMEOUT_S,
            )
        except KumquatrunError as error:
            log.info('event=load_slot_not_released error=%r', str(error))

    async def _load_into_slot(self, key: AdapterKey) -> None:
        started_s = self._clock.now_s()
        ticket = self._scheduler.place(key, started_s)
        if ticket is None:
            return
        slots = self._scheduler.slots
        try:
            async with asyncio.timeout(self._load_timeout_s):
                await self._send_orders(ticket)
        except TimeoutError:
            record_load('timeout')
            slots.load_uncertain(ticket)
            raise AdapterLoadError(
                f'{key} was not loaded within {self._load_timeout_s} s',
            ) from None
        except (AdapterLoadError, StaleDispatchError, ControlUnreachableError):
            record_load('failed')
            slots.load_failed(ticket)
            raise
        except BaseException:
            record_load('unknown')
            slots.load_uncertain(ticket)
            raise
        load_s = self._clock.now_s() - started_s
        slots.load_finished(ticket, self._clock.now_s(), load_s)
        record_load('done', load_s)
        log.info(
            'event=adapter_loaded adapter=%s evicted=%s load_s=%.3f',
            key,
            ticket.evict,
            load_s,
        )

    async def _send_orders(self, ticket: LoadTicket) -> None:
        if ticket.evict is not None:
            number = self._fencing_number()
            incarnation = await self._engine.unload(ticket.evict, number)
            self._on_incarnation(incarnation)
            self._scheduler.slots.evicted(ticket)
            record_eviction()
        number = self._fencing_number()
        incarnation = await self._engine.load(ticket.key, number)
        self._on_incarnation(incarnation)

    def _fencing_number(self) -> int:
        # Some engines ignore fencing numbers. An agent without a lease may
        # have been replaced, so it sends no order at all.
        if not self._session.lease_valid():
            raise ControlUnreachableError('the lease of the agent has expired')
        self.orders += 1
        return self._session.record.fencing_number
