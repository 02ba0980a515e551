"""Chooses the orders of an agent to its engine and handles their results."""

import asyncio
import logging

from kumquatrun.gateway.engine.engine_api import (
    ControllableEngine,
    EngineOrder,
    OrderVerdict,
)
from kumquatrun.gateway.engine.engine_memory import EngineMemory
from kumquatrun.gateway.engine.engine_watch import EngineWatch
from kumquatrun.gateway.engine.order_fence import OrderFence
from kumquatrun.gateway.engine.residency import AdapterName
from kumquatrun.gateway.routing.configuration import BaseModelSpec
from kumquatrun.gateway.routing.ranking import rank
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# Maximum number of adapters that one engine loads concurrently.
MAX_CONCURRENT_LOADS = 4
# Delay after an order that the engine rejected.
REFUSED_ORDER_DELAY_S = 0.1
# A base model that was unused for this time may be unloaded to free memory for
# another base model.
MODEL_IDLE_S = 5.0


class EngineOrders:
    """Sends orders to one engine, one at a time.

    Parameters
    ----------
    host_id
        Name of this host.
    engine
        The engine.
    watch
        Known state of the engine.
    clock
        Source of time.
    """

    def __init__(
        self,
        host_id: str,
        engine: ControllableEngine,
        watch: EngineWatch,
        clock: Clock,
    ) -> None:
        self._host_id = host_id
        self._engine = engine
        self._watch = watch
        self._clock = clock
        self._fence = OrderFence()
        self._started_s = clock.now_s()
        self._model_used_at_s: dict[str, float] = {}
        # Base model for which another base model was unloaded.
        self._wanted_model = ''

    @property
    def may_order(self) -> bool:
        """Return whether the engine can accept an order now."""
        report = self._watch.report
        return (
            report is not None
            and not self._watch.is_lost
            and not report.is_draining
            and not report.is_changing_model
        )

    @property
    def may_load_adapter(self) -> bool:
        """Return whether another adapter load may start."""
        in_progress = self._watch.residency.loading_count
        return self.may_order and in_progress < MAX_CONCURRENT_LOADS

    def record_use(self, model: str) -> None:
        """Record that a base model is in use."""
        self._model_used_at_s[model] = self._clock.now_s()

    async def restore_model(self) -> None:
        """Order the load of a base model into an engine that holds none."""
        name = self._model_to_restore()
        if name and await self._order((name, ''), 0, is_load=True):
            self._wanted_model = ''

    async def load_adapter(self, name: AdapterName, version: int) -> bool:
        """Order an adapter load; return False if further loads have to wait."""
        residency = self._watch.residency
        if residency.is_loading(name) or residency.is_unloading(name):
            return True
        is_replacement = residency.version_of(name) is not None
        if not is_replacement and not await self._free_slot():
            return False
        return await self._order(name, version, is_load=True)

    async def load_model(self, model: str) -> bool:
        """Order a base model load, or an unload that makes room for it.

        Adapters make room if that is enough, else an idle base model does.
        Return False if the model is unknown, or if it does not fit and nothing
        can make room.
        """
        spec = self._watch.spec
        memory = EngineMemory(spec, self._watch.report) if spec else None
        if memory is None or model not in memory.specs:
            return False
        residency = self._watch.residency
        missing_mb = memory.missing_mb(model, residency.occupants)
        if missing_mb <= 0:
            await self._order((model, ''), 0, is_load=True)
            return True
        evictable = residency.evictable(self._clock.now_s())
        if memory.size_mb(evictable) >= missing_mb:
            await self._evict(evictable[0])
            return True
        idle = self._idle_model(memory.held_models)
        if idle is None:
            return False
        self._wanted_model = model
        await self._order((idle.name, ''), 0, is_load=False)
        return True

    def _idle_model(self, held: list[BaseModelSpec]) -> BaseModelSpec | None:
        oldest_s = self._clock.now_s() - MODEL_IDLE_S
        for row in held:
            used_at_s = self._model_used_at_s.get(row.name, self._started_s)
            is_in_use = self._watch.residency.uses_model(row.name)
            if used_at_s < oldest_s and not is_in_use:
                return row
        return None

    def _model_to_restore(self) -> str:
        if self._wanted_model:
            return self._wanted_model
        if self._watch.last_models:
            return self._watch.last_models[0]
        spec = self._watch.spec
        if spec is None or not spec.base_models:
            return ''
        # Each host ranks the models differently, so that the empty engines of
        # a service load different models.
        names = [row.name for row in spec.base_models]
        return min(names, key=lambda name: rank(name, self._host_id))

    async def _free_slot(self) -> bool:
        residency = self._watch.residency
        if residency.used_slots < residency.adapter_slots:
            return True
        victim = residency.victim(self._clock.now_s())
        return victim is not None and await self._evict(victim)

    async def _evict(self, name: AdapterName) -> bool:
        """Order the unload of an adapter; return whether it took effect."""
        if not await self._order(name, 0, is_load=False):
            return False
        process_metrics().count('adapter_evictions_total')
        return self._watch.residency.record_unload(name, self._clock.now_s())

    async def _order(
        self,
        name: AdapterName,
        version: int,
        *,
        is_load: bool,
    ) -> bool:
        """Send one order; return whether the engine has accepted it."""
        model, adapter = name
        report = self._watch.report
        order = EngineOrder(
            holder=self._host_id,
            fencing_number=self._fence.number_of(report.started_ms),
            is_load=is_load,
            model=model,
            adapter=adapter,
            version=version,
            expected_count=report.order_count,
            process_id=self._watch.process_id,
        )
        if is_load and adapter:
            now_s = self._clock.now_s()
            self._watch.residency.record_load(name, version, now_s)
        verdict = await self._engine.order(order)
        self._log_order(order, verdict)
        if verdict in {OrderVerdict.ACCEPTED, OrderVerdict.HOLDS}:
            await self._watch.refresh()
            return True
        # An order without a response may still be carried out, but only until
        # the same process of the engine accepts another one, since both expect
        # the same number of accepted orders. Only one of them can take effect,
        # so the next order may use the same slot. A later process, which counts
        # from 0 again, refuses the order for its id or its fencing number.
        self._watch.residency.discard_load(name)
        if verdict is OrderVerdict.STALE_HOLDER:
            self._fence.raise_number()
        if verdict is OrderVerdict.OTHER_PROCESS:
            self._watch.forget_process_id()
        if verdict is not OrderVerdict.NO_ANSWER:
            await asyncio.sleep(REFUSED_ORDER_DELAY_S)
        await self._watch.refresh()
        return False

    def _log_order(self, order: EngineOrder, verdict: OrderVerdict) -> None:
        log_event(
            log,
            'engine_order',
            operation='load' if order.is_load else 'unload',
            adapter=order.adapter or order.model,
            version=order.version,
            expected_count=order.expected_count,
            process_id=order.process_id,
            fencing_number=order.fencing_number,
            verdict=verdict,
            report_age_ms=self._watch.age_ms,
        )
        process_metrics().count('adapter_loads_total', result=verdict.value)
