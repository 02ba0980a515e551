"""Agent beside an engine, and the only process that sends orders to the engine.

Entries request an adapter and keep the call open while they use the adapter.
Since one host sends all orders to its engine, no lease is needed. Every order
names the process of the engine that it is for and the number of orders that
this process has accepted, so the engine rejects orders that arrive late.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from kumquatrun.errors import (
    DrainingError,
    InvalidRequestError,
    NoCapacityError,
)
from kumquatrun.gateway.backends.engine_load import EngineLoad
from kumquatrun.gateway.engine.adapter_waiters import (
    AdapterWaiter,
    AdapterWaiters,
    can_wait_for_model,
)
from kumquatrun.gateway.engine.engine_api import (
    ControllableEngine,
    EngineReport,
)
from kumquatrun.gateway.engine.engine_orders import EngineOrders
from kumquatrun.gateway.engine.engine_watch import EngineWatch
from kumquatrun.gateway.engine.prompt_gate import PromptGate
from kumquatrun.gateway.engine.residency import AdapterName
from kumquatrun.gateway.routing.configuration import EngineSpec
from kumquatrun.gateway.routing.messages import (
    AdapterInUse,
    AdapterQueued,
    AdapterReady,
    AdapterReleased,
    CheckEngine,
    EngineState,
    PromptRead,
    UseAdapter,
)
from kumquatrun.peer import CallContext
from kumquatrun.peer.messages import Ack
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Interval between reports of the engine, and while a load or unload is in
# progress. Polling is cheap, since the agent runs on the engine's own host.
REPORT_INTERVAL_S = 0.1
BUSY_REPORT_INTERVAL_S = 0.02
# A wait for an adapter and the prompt gate is logged at info level if it is
# longer than this, otherwise at debug level.
LONG_WAIT_S = 0.1


class EngineAgent:
    """Provides adapters of one engine.

    Parameters
    ----------
    host_id
        Name of this host.
    engine
        The engine.
    spec
        Returns the capacity of the engine; None before it is known.
    newest_version
        Returns the newest registered version of an adapter, 0 for none.
    clock
        Source of time.
    gap_target_s
        Returns the shortest target for pauses in streams, 0 for none.
    learns_pace
        Whether the pace of the engine is used and reported.
    """

    def __init__(
        self,
        host_id: str,
        engine: ControllableEngine,
        spec: Callable[[], EngineSpec | None],
        newest_version: Callable[[str, str], int],
        clock: Clock,
        gap_target_s: Callable[[], float] = float,
        *,
        learns_pace: bool = True,
    ) -> None:
        self._newest_version = newest_version
        self._learns_pace = learns_pace
        self._clock = clock
        self._watch = EngineWatch(engine, spec, clock)
        self._orders = EngineOrders(host_id, engine, self._watch, clock)
        self._gate = PromptGate(
            clock, gap_target_s=gap_target_s if learns_pace else float
        )
        self._waiters = AdapterWaiters(clock)
        self._wake = asyncio.Event()
        self._open_calls = 0
        self._running: Counter[AdapterName] = Counter()
        self._stopping = asyncio.Event()
        self._task: asyncio.Task | None = None

    @property
    def report(self) -> EngineReport | None:
        """Return the latest report of the engine."""
        return self._watch.report

    @property
    def engine_load(self) -> EngineLoad:
        """Return what the engine has in hand."""
        now_s = self._clock.now_s()
        return EngineLoad(
            requests=self._current_load(),
            queued_tokens=self._gate.tokens_in_hand,
            tokens_per_s=self._gate.pace.published_tokens_per_s(now_s)
            if self._learns_pace
            else 0,
            reported_at_s=now_s,
        )

    async def start(self) -> None:
        """Read the state of the engine and start polling it.

        The first report is awaited here, since requests are refused without a
        report.
        """
        await self._watch.refresh()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End all calls and stop polling the engine."""
        self.end_calls()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def end_calls(self) -> None:
        """Refuse new and waiting calls and end the calls of running requests.

        A refused request has not been sent to the engine. A running request
        continues without its call.
        """
        if self._stopping.is_set():
            return
        self._stopping.set()
        log_event(
            log,
            'agent_calls_ended',
            waiting_for_adapter=len(self._waiters),
            waiting_for_prompt=self._gate.waiting_count,
            running=self._running.total(),
        )
        problem = _stopping_error()
        self._waiters.refuse_affected(problem)
        self._gate.refuse_all(problem)

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Handle a message from an entry.

        A call that uses an adapter protects it from eviction until the call
        ends.

        Raises
        ------
        AdapterLoadError
            If the engine is lost, empty or draining.
        NoCapacityError
            If the engine cannot load the adapter now.
        """
        if isinstance(request, PromptRead):
            self._gate.finish(request.request_id)
            return Ack()
        if isinstance(request, CheckEngine):
            return await self._engine_state()
        if not isinstance(request, UseAdapter | AdapterInUse):
            raise InvalidRequestError(f'unexpected {type(request).__name__}')
        name = (request.model, request.adapter)
        with self._pinned(name, request.request_id):
            if isinstance(request, UseAdapter):
                await self._serve_use(name, request, context)
            else:
                with self._counted_as_running(name):
                    await self._stopping.wait()
        return AdapterReleased()

    # Handling of one call.

    async def _engine_state(self) -> EngineState:
        known_for_s = await self._watch.known_for_s()
        if known_for_s is None:
            return EngineState()
        return EngineState(known_for_ms=int(1000 * known_for_s))

    @contextmanager
    def _pinned(self, name: AdapterName, request_id: str) -> Iterator[None]:
        residency = self._watch.residency
        residency.pin(name, request_id, self._clock.now_s())
        self._open_calls += 1
        try:
            yield
        finally:
            self._open_calls -= 1
            self._gate.leave(request_id)
            residency.unpin(name, request_id, self._clock.now_s())
            self._wake.set()

    @contextmanager
    def _counted_as_running(self, name: AdapterName) -> Iterator[None]:
        self._running[name] += 1
        self._orders.record_use(name[0])
        try:
            yield
        finally:
            self._running[name] -= 1
            self._orders.record_use(name[0])

    async def _serve_use(
        self,
        name: AdapterName,
        request: UseAdapter,
        context: CallContext,
    ) -> None:
        """Provide an adapter and keep it loaded until the call ends."""
        await context.send_message(AdapterQueued())
        ready = await self._prepare(name, request)
        with self._counted_as_running(name):
            await context.send_message(ready)
            await self._stopping.wait()

    async def _prepare(
        self,
        name: AdapterName,
        request: UseAdapter,
    ) -> AdapterReady:
        began_s = self._clock.now_s()
        version = await self._provide_adapter(name, request)
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
            load=self._current_load(),
            gate_waiting=self._gate.waiting_count,
            report_age_ms=self._watch.age_ms,
        )
        engine_load = self.engine_load
        return AdapterReady(
            version=version,
            load=engine_load.requests,
            queued_tokens=engine_load.queued_tokens,
            tokens_per_s=engine_load.tokens_per_s,
        )

    async def _provide_adapter(
        self, name: AdapterName, request: UseAdapter
    ) -> int:
        if self._stopping.is_set():
            raise _stopping_error()
        problem = self._watch.problem()
        if problem is not None and not can_wait_for_model(request, problem):
            raise problem
        wanted = max(request.version, self._newest_version(*name))
        held = self._watch.held_version(name, wanted)
        if held is not None:
            return held
        is_held = self._watch.held_version(name, 0) is not None
        if is_held and self._running[name]:
            # The engine replaces a version only after the requests that use
            # it have ended, and accepts no other order until then.
            raise NoCapacityError(
                f'an older version of {name[1]} is in use; this host cannot '
                f'load version {wanted} yet',
                cause='version_in_use',
            )
        self._wake.set()
        return await self._waiters.wait(name, wanted, request)

    def _current_load(self) -> int:
        report = self._watch.report
        return max(self._open_calls, report.load if report else 0)

    # Background loop.

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception:
                # Keep the loop running, or the engine gets no more orders.
                log.exception('event=agent_step_failed')
            interval_s = REPORT_INTERVAL_S
            if self._watch.residency.is_changing:
                interval_s = BUSY_REPORT_INTERVAL_S
            await self._sleep(interval_s)

    async def _sleep(self, interval_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(interval_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _step(self) -> None:
        await self._watch.refresh()
        problem = self._watch.problem()
        if problem is not None:
            self._waiters.refuse_affected(problem)
        self._waiters.complete(self._watch.held_version)
        self._gate.admit()
        if not self._orders.may_order:
            return
        if self._watch.report.models:
            await self._load_for_waiters()
        else:
            await self._orders.restore_model()

    async def _load_for_waiters(self) -> None:
        """Send the load orders of waiting requests, most urgent first."""
        for waiter in self._waiters.by_urgency():
            model = waiter.name[0]
            if self._watch.report.model(model) is None:
                await self._load_model_for(waiter)
                return
            if not self._orders.may_load_adapter:
                return
            if not await self._orders.load_adapter(
                waiter.name,
                waiter.version,
            ):
                return

    async def _load_model_for(self, waiter: AdapterWaiter) -> None:
        model = waiter.name[0]
        if await self._orders.load_model(model):
            return
        waiter.refuse(
            NoCapacityError(
                f'the engine has no room for model {model}',
                cause='model_not_held',
            ),
        )


def _stopping_error() -> DrainingError:
    return DrainingError('the agent is stopping')
