"""Agent beside an engine: the only one that gives it orders.

Entries ask it to provide an adapter and keep the call open while they use it.
One host gives all orders to its engine, so no lease decides who may, and the
number of accepted orders, which every order names, voids an order that arrives
late.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kumquatrun.clock import Clock
from kumquatrun.errors import (
    AdapterLoadError,
    DrainingError,
    InvalidRequestError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.gateway.configuration import EngineSpec
from kumquatrun.gateway.engine_api import (
    EngineOrder,
    EngineReport,
    OrderedEngine,
    OrderVerdict,
)
from kumquatrun.gateway.messages import (
    AdapterQueued,
    AdapterReady,
    AdapterReleased,
    PromptRead,
    UseAdapter,
)
from kumquatrun.gateway.prompt_gate import PromptGate
from kumquatrun.gateway.residency import AdapterName, Residency
from kumquatrun.logs import log_event
from kumquatrun.messages import Ack
from kumquatrun.metrics import process_metrics
from kumquatrun.peer import CallContext

log = logging.getLogger(__name__)

# The engine's own host reads its state without cost.
REPORT_INTERVAL_S = 0.1
BUSY_REPORT_INTERVAL_S = 0.02
# An engine that gave no report for this time is taken for lost.
LOST_AFTER_S = 0.7
# Adapters that may be on their way to one engine at the same time.
MAX_LOADS_UNDER_WAY = 4
# Wait after an order that the engine refused or did not answer.
ORDER_PAUSE_S = 0.1
DEFAULT_ADAPTER_SLOTS = 8
# A request that waited longer is logged at the usual level.
LONG_WAIT_S = 0.1
# One host gives all orders to its engine, so its number never has to rise.
FENCING_NUMBER = 1


@dataclass(eq=False)
class _Waiter:
    name: AdapterName
    version: int
    priority: int
    since_s: float
    future: asyncio.Future = field(repr=False)


class EngineAgent:
    """Provides adapters of one engine.

    Parameters
    ----------
    holder
        Name of this host.
    engine
        The engine.
    spec
        Returns the capacity of the engine; None before it is known.
    newest_version
        Returns the newest named version of an adapter, 0 for none.
    clock
        Source of time.
    """

    def __init__(
        self,
        holder: str,
        engine: OrderedEngine,
        spec: Callable[[], EngineSpec | None],
        newest_version: Callable[[str, str], int],
        clock: Clock,
    ) -> None:
        self._holder = holder
        self._engine = engine
        self._spec = spec
        self._newest_version = newest_version
        self._clock = clock
        self._metrics = process_metrics()
        self._residency = Residency(DEFAULT_ADAPTER_SLOTS)
        self._report: EngineReport | None = None
        self._reported_at_s = float('-inf')
        self._last_models: tuple[str, ...] = ()
        self._waiters: list[_Waiter] = []
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._gate = PromptGate(clock)
        self._task: asyncio.Task | None = None
        self._users = 0
        self._running: Counter[AdapterName] = Counter()

    @property
    def report(self) -> EngineReport | None:
        """Return the newest report of the engine."""
        return self._report

    @property
    def open_calls(self) -> int:
        """Return the number of calls that use an adapter."""
        return self._users

    async def start(self) -> None:
        """Begin to follow the engine."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; waiting calls are refused."""
        self._is_stopping = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._fail_waiters(DrainingError('the agent stops'))

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Provide an adapter until the caller cancels the call.

        Raises
        ------
        AdapterLoadError
            If the engine is lost or about to leave.
        """
        if isinstance(request, PromptRead):
            self._gate.leave(request.request_id)
            return Ack()
        if not isinstance(request, UseAdapter):
            raise InvalidRequestError(f'unexpected {type(request).__name__}')
        await self._use(request, context)
        return AdapterReleased()

    async def _use(self, request: UseAdapter, context: CallContext) -> None:
        name = (request.model, request.adapter)
        self._residency.pin(name, self._clock.now_s())
        self._users += 1
        try:
            await context.send_message(AdapterQueued())
            ready = await self._prepare(name, request)
            await self._keep(name, ready, context)
        finally:
            self._users -= 1
            self._gate.leave(request.request_id)
            self._residency.unpin(name, self._clock.now_s())
            self._wake.set()

    async def _keep(
        self,
        name: AdapterName,
        ready: AdapterReady,
        context: CallContext,
    ) -> None:
        """Tell the caller, and keep the adapter until the call ends."""
        self._running[name] += 1
        try:
            await context.send_message(ready)
            await asyncio.Event().wait()
        finally:
            self._running[name] -= 1

    async def _prepare(
        self,
        name: AdapterName,
        request: UseAdapter,
    ) -> AdapterReady:
        began_s = self._clock.now_s()
        version = await self._provide(name, request)
        provided_s = self._clock.now_s()
        await self._gate.enter(
            request.request_id,
            request.prompt_tokens,
            request.priority,
        )
        waited_s = self._clock.now_s() - began_s
        log_event(
            log,
            'adapter_provided',
            level=logging.INFO if waited_s > LONG_WAIT_S else logging.DEBUG,
            request_id=request.request_id,
            adapter=request.adapter,
            version=version,
            load_wait_ms=round((provided_s - began_s) * 1000),
            gate_wait_ms=round((began_s + waited_s - provided_s) * 1000),
            load=self._load(),
            gate_waiting=self._gate.waiting,
            report_age_ms=self._report_age_ms(),
        )
        return AdapterReady(
            version=version,
            load=self._load(),
            waited_s=waited_s,
        )

    # Waiting calls.

    async def _provide(self, name: AdapterName, request: UseAdapter) -> int:
        self._check_engine()
        wanted = max(request.version, self._newest_version(*name))
        held = self._held_version(name, wanted)
        if held is not None:
            return held
        if self._running[name]:
            # The engine replaces a version once its runs have ended, and
            # takes no other order meanwhile.
            raise NoCapacityError(
                f'an older version of {name[1]} is in use; this host cannot '
                f'load version {wanted} yet',
                cause='version_in_use',
            )
        waiter = _Waiter(
            name=name,
            version=wanted,
            priority=request.priority,
            since_s=self._clock.now_s(),
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiters.append(waiter)
        self._wake.set()
        try:
            return await waiter.future
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _check_engine(self) -> None:
        if self._is_stopping:
            raise DrainingError('the agent stops')
        if self._report is None or self._is_lost():
            raise AdapterLoadError(
                f'the engine gave no report for {self._report_age_ms()} ms',
                cause='engine_lost',
            )
        if self._report.is_draining:
            raise AdapterLoadError('the engine leaves', cause='engine_leaves')
        if not self._report.models:
            raise AdapterLoadError(
                'the engine holds no model yet',
                cause='engine_empty',
            )

    def _held_version(self, name: AdapterName, wanted: int) -> int | None:
        """Return the version that the engine holds if it will do."""
        if self._report is None:
            return None
        model = self._report.model(name[0])
        if model is None:
            return None
        if not name[1]:
            return model.version
        version = self._residency.version_of(name)
        return version if version is not None and version >= wanted else None

    def _is_lost(self) -> bool:
        return self._clock.now_s() - self._reported_at_s > LOST_AFTER_S

    def _report_age_ms(self) -> int:
        age_s = self._clock.now_s() - self._reported_at_s
        return round(min(age_s, 1e6) * 1000)

    def _load(self) -> int:
        return max(self._users, self._report.load if self._report else 0)

    def _fail_waiters(self, error: KumquatrunError) -> None:
        for waiter in self._waiters:
            if not waiter.future.done():
                waiter.future.set_exception(error)
        self._waiters.clear()

    # Following the engine.

    async def _run(self) -> None:
        while True:
            await self._refresh()
            self._answer_waiters()
            self._gate.admit()
            if self._report is not None and not self._is_lost():
                await self._give_orders()
            interval_s = REPORT_INTERVAL_S
            if self._residency.loads_under_way:
                interval_s = BUSY_REPORT_INTERVAL_S
            await self._sleep(interval_s)

    async def _sleep(self, interval_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(interval_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _refresh(self) -> None:
        was_lost = self._is_lost()
        try:
            report = await self._engine.report()
        except KumquatrunError as error:
            if self._is_lost():
                if not was_lost:
                    log_event(log, 'engine_lost', error=str(error))
                self._fail_waiters(
                    AdapterLoadError(
                        f'the engine is lost: {error.detail}',
                        cause='engine_lost',
                    ),
                )
            return
        self._take_report(report)
        if was_lost:
            log_event(
                log,
                'engine_regained',
                started_ms=report.started_ms,
                order_count=report.order_count,
            )

    def _take_report(self, report: EngineReport) -> None:
        known = self._report
        if known is not None and known.started_ms != report.started_ms:
            log_event(
                log,
                'engine_restarted',
                level=logging.WARNING,
                started_ms=report.started_ms,
                users=self._users,
            )
            self._metrics.count('backend_restarts_total')
            self._residency.reset()
        if report.is_draining and not (known and known.is_draining):
            log_event(log, 'engine_leaves', users=self._users)
            self._fail_waiters(
                AdapterLoadError('the engine leaves', cause='engine_leaves'),
            )
        self._report = report
        self._reported_at_s = self._clock.now_s()
        self._residency.take_report(report, self._reported_at_s)
        if report.models:
            self._last_models = tuple(held.name for held in report.models)
        spec = self._spec()
        if spec is not None:
            self._residency.adapter_slots = _adapter_slots(spec, report)

    def _answer_waiters(self) -> None:
        for waiter in list(self._waiters):
            held = self._held_version(waiter.name, waiter.version)
            if held is not None and not waiter.future.done():
                waiter.future.set_result(held)
                self._waiters.remove(waiter)

    # Orders.

    async def _give_orders(self) -> None:
        """Give the orders that are needed now, one after the other."""
        if self._report.is_draining or self._report.is_changing_model:
            return
        if not self._report.models:
            await self._restore_model()
            return
        for waiter in self._by_urgency():
            if self._residency.loads_under_way >= MAX_LOADS_UNDER_WAY:
                return
            if not await self._load_for(waiter):
                return

    def _by_urgency(self) -> list[_Waiter]:
        first: dict[AdapterName, _Waiter] = {}
        for waiter in sorted(self._waiters, key=_urgency):
            first.setdefault(waiter.name, waiter)
        return list(first.values())

    async def _restore_model(self) -> None:
        """Load a base model into an engine that holds none."""
        name = self._model_to_restore()
        if name:
            await self._order(is_load=True, name=(name, ''), version=0)

    def _model_to_restore(self) -> str:
        if self._last_models:
            return self._last_models[0]
        spec = self._spec()
        if spec is not None and len(spec.base_models) == 1:
            return spec.base_models[0].name
        return ''

    async def _load_for(self, waiter: _Waiter) -> bool:
        """Order what a waiter needs; False if no further order is of use."""
        name = waiter.name
        if self._report.model(name[0]) is None:
            waiter.future.set_exception(
                NoCapacityError(
                    f'the engine does not hold the model {name[0]}',
                    cause='model_not_held',
                ),
            )
            self._waiters.remove(waiter)
            return True
        if self._residency.is_loading(name):
            return True
        is_replacement = self._residency.version_of(name) is not None
        if not is_replacement and not await self._make_room():
            return False
        return await self._order(
            is_load=True,
            name=name,
            version=waiter.version,
        )

    async def _make_room(self) -> bool:
        residency = self._residency
        if residency.used_slots < residency.adapter_slots:
            return True
        victim = residency.victim(self._clock.now_s())
        if victim is None:
            return False
        done = await self._order(is_load=False, name=victim, version=0)
        if done:
            residency.record_unload(victim)
            self._metrics.count('adapter_evictions_total')
        return done

    async def _order(
        self,
        *,
        is_load: bool,
        name: AdapterName,
        version: int,
    ) -> bool:
        """Give one order; False if the state must be read again first."""
        model, adapter = name
        now_s = self._clock.now_s()
        order = EngineOrder(
            holder=self._holder,
            fencing_number=FENCING_NUMBER,
            is_load=is_load,
            model=model,
            adapter=adapter,
            version=version,
            expected_count=self._report.order_count,
        )
        if is_load and adapter:
            self._residency.record_load(name, version, now_s)
        verdict = await self._engine.order(order)
        log_event(
            log,
            'engine_order',
            operation='load' if is_load else 'unload',
            adapter=adapter or model,
            version=version,
            expected_count=order.expected_count,
            verdict=verdict,
            report_age_ms=self._report_age_ms(),
        )
        self._metrics.count('adapter_loads_total', result=verdict.value)
        if verdict in {OrderVerdict.ACCEPTED, OrderVerdict.HOLDS}:
            await self._refresh()
            return True
        # An order without an answer may still be carried out, but only until
        # another one is: all of them expect the same number of accepted
        # orders. So the next one needs no more room than this one had.
        self._residency.forget_order(name)
        if verdict is not OrderVerdict.NO_ANSWER:
            await asyncio.sleep(ORDER_PAUSE_S)
        await self._refresh()
        return False


def _urgency(waiter: _Waiter) -> tuple[int, float]:
    return waiter.priority, waiter.since_s


def _adapter_slots(spec: EngineSpec, report: EngineReport) -> int:
    """Return how many adapters fit, by slots and by memory."""
    slots = spec.adapter_slots or DEFAULT_ADAPTER_SLOTS
    held = {model.name for model in report.models}
    models = [row for row in spec.base_models if row.name in held]
    adapter_mb = max((row.adapter_mb for row in models), default=0)
    if not spec.weights_mb or not adapter_mb:
        return slots
    free_mb = spec.weights_mb - sum(row.weights_mb for row in models)
    return max(0, min(slots, int(free_mb // adapter_mb)))
