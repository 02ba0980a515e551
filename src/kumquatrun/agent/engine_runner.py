"""Runs dispatches on one engine and detects its restarts."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from kumquatrun.agent.adapter_slots import AdapterKey, AdapterSlots
from kumquatrun.agent.completions import (
    GenerateCall,
    ServedBy,
    engine_error_code,
)
from kumquatrun.agent.crash_reports import CrashReporter
from kumquatrun.agent.engine_client import (
    EngineApi,
    EngineHealth,
    Generation,
)
from kumquatrun.agent.engine_loader import EngineLoader
from kumquatrun.agent.scheduler import Job, Scheduler
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
    OutcomeUnknownError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer import CallContext
from kumquatrun.peer.request_messages import Dispatch, Finished, Started
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.invariants import violations
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

HEALTH_INTERVAL_S = 0.5
# A crashed engine refuses connections or reports a new incarnation; a few
# checks distinguish a crash from a single lost connection.
CRASH_CHECKS = 3
CRASH_CHECK_INTERVAL_S = 0.05


class EngineRunner:
    """Backend runner for a model engine.

    Parameters
    ----------
    settings
        Settings of the agent.
    session
        Membership of the node.
    engine
        Client of the engine.
    clock
        Time source.
    """

    def __init__(
        self,
        settings: AgentSettings,
        session: NodeSession,
        engine: EngineApi,
        clock: Clock,
    ) -> None:
        self.scheduler = Scheduler(
            max_running=settings.max_running,
            max_queued=settings.max_queued,
            slots=AdapterSlots(0),
        )
        self._host_id = settings.host_id
        self._session = session
        self._engine = engine
        self._clock = clock
        self._crash_reporter = CrashReporter(settings.host_id, session)
        self._loader = EngineLoader(
            session=session,
            engine=engine,
            scheduler=self.scheduler,
            clock=clock,
            load_timeout_s=settings.load_timeout_s,
            on_incarnation=self._check_incarnation,
        )
        self._incarnation = ''
        self._is_up = False
        self._on_change: Callable[[], None] = lambda: None
        self._tasks: set[asyncio.Task] = set()
        self._relays: dict[Job, asyncio.Task] = {}
        self._crash_check: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the engine answered the last health check."""
        return self._is_up

    def make_job(self, dispatch: Dispatch, now_s: float) -> Job:
        """Return the job of a dispatch."""
        key = AdapterKey(dispatch.adapter, dispatch.version)
        return Job(dispatch=dispatch, key=key, queued_s=now_s)

    async def start(self, on_change: Callable[[], None]) -> None:
        """Read the engine's state and start the health checks."""
        self._on_change = on_change
        await self._poll()
        self._spawn(self._watch())

    async def stop(self) -> None:
        """Stop all tasks and close the connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._loader.stop()
        await self._crash_reporter.stop()
        await self._engine.close()

    def start_loads(self) -> None:
        """Start the adapter loads that the scheduler requests."""
        while self._is_up:
            key = self.scheduler.next_load(self._clock.now_s())
            if key is None:
                return
            self._spawn(self._load(key))

    async def run(self, job: Job, context: CallContext) -> Finished:
        """Run a started job; a crash of the engine ends it with an error."""
        relay = asyncio.create_task(self._run(job, context))
        self._relays[job] = relay
        try:
            return await relay
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise _connection_lost_error(
                'the engine restarted or is unreachable', context
            ) from None
        finally:
            relay.cancel()
            self._relays.pop(job, None)
            self._crash_reporter.batch.discard(job)

    async def _run(self, job: Job, context: CallContext) -> Finished:
        try:
            finished = await self._relay(job, context)
        except ConnectionLostError as error:
            await self._check_engine()
            # Reached only if the engine still runs: after a crash this task
            # is cancelled.
            context.outcome = error.outcome
            raise
        if job.dispatch.alone:
            self._crash_reporter.clear(job.dispatch.fingerprint)
        return finished

    async def _relay(self, job: Job, context: CallContext) -> Finished:
        dispatch = job.dispatch
        incarnation = self._incarnation

        def on_sent() -> None:
            context.outcome = Outcome.UNKNOWN
            self._crash_reporter.batch.add(job, dispatch.fingerprint)

        call = GenerateCall(
            request_id=dispatch.request_id,
            path=dispatch.path,
            body=dispatch.body,
            key=job.key,
            priority=dispatch.priority,
            stream=dispatch.stream,
        )
        async with self._engine.generate(call, on_sent) as generation:
            is_first = True
            async for item in generation:
                if is_first:
                    is_first = False
                    self._verify(job, generation, item, incarnation, context)
                    context.outcome = Outcome.RAN
                    await context.send_message(self._started(job, generation))
                if item:
                    await context.send_item(item)
            usage = generation.usage
        if is_first:
            raise ConnectionLostError('the engine sent no response body')
        return Finished(
            outcome=Outcome.RAN,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
        )

    def _started(self, job: Job, generation: Generation) -> Started:
        return Started(
            host_id=self._host_id,
            adapter=job.dispatch.adapter,
            version=job.dispatch.version,
            status=generation.status,
            content_type=generation.content_type,
        )

    def _verify(
        self,
        job: Job,
        generation: Generation,
        first_item: bytes,
        incarnation: str,
        context: CallContext,
    ) -> None:
        if generation.status >= 400:
            if engine_error_code(first_item) == 'adapter_not_loaded':
                context.outcome = Outcome.NOT_RUN
                self.scheduler.slots.mark_missing(job.key)
                raise AdapterLoadError(f'the engine has not loaded {job.key}')
            return
        expected = ServedBy(
            adapter=job.dispatch.adapter,
            version=job.dispatch.version,
            incarnation=incarnation,
        )
        if generation.served_by != expected:
            violations['right_adapter'] += 1
            log.error(
                'event=wrong_adapter request_id=%s expected=%s served_by=%s',
                job.dispatch.request_id,
                expected,
                generation.served_by,
            )
            # The engine's state differs from what the agent assumes, so the
            # adapter is loaded again before its next use.
            self.scheduler.slots.mark_missing(job.key)
            self._spawn(self._check_engine())
            raise OutcomeUnknownError(
                f'expected {expected}, the engine ran {generation.served_by}',
            )

    # Loads.

    async def _load(self, key: AdapterKey) -> None:
        try:
            await self._loader.load(key)
        except KumquatrunError as error:
            log.warning('event=load_failed adapter=%s error=%s', key, error)
            self._fail_waiting(key, error)
            if isinstance(error, ConnectionLostError):
                await self._check_engine()
        finally:
            self.scheduler.slots.close_load(key)
            self._on_change()

    def _fail_waiting(self, key: AdapterKey, error: KumquatrunError) -> None:
        # Only the result of the load is unknown; the requests that wait for
        # it were certainly not run.
        if error.outcome is not Outcome.NOT_RUN:
            error = AdapterLoadError(f'loading {key} failed: {error.detail}')
        for job in self.scheduler.waiting_for(key):
            job.fail(error)

    # Health.

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(HEALTH_INTERVAL_S)
            await self._poll()
            self._on_change()

    async def _poll(self) -> bool:
        orders = self._loader.orders
        try:
            health = await self._engine.health()
        except KumquatrunError as error:
            if self._is_up:
                log.warning('event=engine_down error=%r', str(error))
            self._is_up = False
            return False
        await self._apply_health(health)
        slots = self.scheduler.slots
        if orders == self._loader.orders and not slots.open_loads:
            slots.reconcile(health.adapters, self._clock.now_s())
        return True

    async def _apply_health(self, health: EngineHealth) -> None:
        slots = self.scheduler.slots
        self._is_up = True
        if health.incarnation == self._incarnation:
            return
        was_known = bool(self._incarnation)
        self._incarnation = health.incarnation
        slots.reset(health.slots)
        slots.reconcile(health.adapters, self._clock.now_s())
        if was_known:
            process_metrics().count('backend_restarts_total')
            log.warning('event=engine_restarted now=%s', health.incarnation)
            await self._abort_batch()

    async def _abort_batch(self) -> None:
        relays = list(self._relays.values())
        # The crash is reported before the callers receive the error, so that
        # the control state lists the suspects when the requests are retried.
        await self._crash_reporter.report()
        for relay in relays:
            relay.cancel()

    async def _check_engine(self) -> None:
        """Check whether the engine crashed; concurrent calls share a check."""
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = self._spawn(self._check_for_crash())
        await asyncio.shield(self._crash_check)

    async def _check_for_crash(self) -> None:
        for _ in range(CRASH_CHECKS):
            if await self._poll():
                return
            await asyncio.sleep(CRASH_CHECK_INTERVAL_S)
        # The engine is unreachable. The slots are reset when it reports a new
        # incarnation.
        await self._abort_batch()

    def _check_incarnation(self, incarnation: str) -> None:
        if incarnation != self._incarnation:
            self._spawn(self._check_engine())
            raise AdapterLoadError('the engine restarted during the load')

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error('event=task_failed', exc_info=task.exception())


def _connection_lost_error(
    detail: str, context: CallContext
) -> KumquatrunError:
    if context.outcome is Outcome.NOT_RUN:
        return NoCapacityError(detail)
    context.outcome = Outcome.UNKNOWN
    return OutcomeUnknownError(detail)
