"""Agent: the only client of one backend server."""

import asyncio
import logging
from typing import Any

from kumquatrun.agent.backend_runner import BackendRunner
from kumquatrun.agent.engine_client import EngineApi, EngineClient
from kumquatrun.agent.engine_runner import EngineRunner
from kumquatrun.agent.load_metrics import record_load_wait
from kumquatrun.agent.scheduler import Job
from kumquatrun.agent.seen_requests import SeenRequests
from kumquatrun.agent.service_client import ServiceApi, ServiceClient
from kumquatrun.agent.service_runner import ServiceRunner
from kumquatrun.daemon.open_requests import OpenRequests
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.document.document import ServiceKind
from kumquatrun.errors import (
    ControlUnreachableError,
    DeadlineExceededError,
    DrainingError,
    InvalidRequestError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
    SettingError,
    StaleDispatchError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer import CallContext, PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import AgentReport
from kumquatrun.peer.request_messages import Dispatch, Finished
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import request_id_var
from kumquatrun.runtime.statechart import load_chart

log = logging.getLogger(__name__)

# Longest delay until the scheduler reacts to a change that depends on time
# only, such as the end of an adapter's protection from eviction.
TICK_S = 0.05
CLEANUP_INTERVAL_S = 10.0

BACKENDS = {
    ServiceKind.ENGINE: EngineClient,
    ServiceKind.PLAIN: ServiceClient,
}


def backend_for(
    session: NodeSession,
    settings: AgentSettings,
) -> EngineApi | ServiceApi:
    """Return the client that fits the kind of the agent's service.

    Raises
    ------
    SettingError
        If the configuration document does not list the service.
    """
    for service in session.view.document.services:
        if service.name == settings.service:
            return BACKENDS[service.kind](settings.backend_url)
    raise SettingError(
        f'--service: the document has no service {settings.service!r}',
    )


def _create_runner(
    settings: AgentSettings,
    session: NodeSession,
    backend: EngineApi | ServiceApi,
    clock: Clock,
) -> BackendRunner:
    if backend.kind is ServiceKind.ENGINE:
        return EngineRunner(settings, session, backend, clock)
    return ServiceRunner(settings, session, backend)


class Agent:
    """Checks, queues and runs dispatches on one backend server.

    Parameters
    ----------
    settings
        Settings of the agent.
    session
        Membership of the node: record, lease, shared state and leader.
    backend
        Client of the backend server, see ``backend_for``.
    clock
        Time source.
    """

    def __init__(
        self,
        settings: AgentSettings,
        session: NodeSession,
        backend: EngineApi | ServiceApi,
        clock: Clock,
    ) -> None:
        self.address = settings.listen
        self._settings = settings
        self._session = session
        self._clock = clock
        self._runner = _create_runner(settings, session, backend, clock)
        self._seen = SeenRequests()
        self._chart = load_chart('host')
        self._state = self._chart.initial
        self._server: PeerServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_cleanup_s = clock.now_s()
        self._turns: dict[Job, asyncio.Future[None]] = {}
        self._open_requests = OpenRequests()

    @property
    def state(self) -> str:
        """Return the state of the host in its state chart."""
        return self._state

    @property
    def _is_serving(self) -> bool:
        return self._state == 'active' and self._runner.is_up

    @property
    def open_requests(self) -> int:
        """Return the number of queued and running requests."""
        return len(self._open_requests)

    async def start(self) -> None:
        """Watch the backend server and listen for dispatches."""
        await self._runner.start(self._run_scheduler)
        record = self._session.record
        identity = Hello(
            node_id=self._settings.host_id,
            incarnation=record.incarnation,
            cluster_token=self._settings.cluster_token,
            region=self._settings.region,
        )
        self._server = PeerServer(identity, self)
        self.address = await self._server.start(self._settings.listen)
        self._step('registered')
        self._session.on_change(self._on_session_change)
        self._session.report_agent(self.report)
        self._on_session_change()

    async def drain(self, timeout_s: float) -> None:
        """Refuse new work and wait until the accepted work has ended.

        Logs ``stop_incomplete`` after ``timeout_s`` and continues to wait;
        ``stop`` ends the remaining requests.
        """
        self._begin_drain()
        await self._open_requests.wait_completed(timeout_s)
        if self._server is not None:
            await self._server.wait_idle()
        if self._chart.accepts(self._state, 'idle'):
            self._step('idle')

    async def stop(self) -> None:
        """End all requests and close all connections."""
        self._begin_drain()
        if self._chart.accepts(self._state, 'cut'):
            self._step('cut')
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            await self._server.stop()
        await self._runner.stop()

    def report(self) -> AgentReport:
        """Return the load report that lease renewals carry.

        An agent that cannot start new requests now reports a full queue, so
        that placement prefers other agents. It doesn't report a capacity of 0,
        because 0 stands for an unknown capacity.
        """
        scheduler = self._runner.scheduler
        record = self._session.record
        can_start = self._is_serving and scheduler.is_open
        slots = scheduler.slots if self._is_serving else None
        adapters = () if slots is None else slots.loaded()
        queued = scheduler.queued if can_start else self._settings.max_queued
        return AgentReport(
            host_id=record.host_id,
            incarnation=record.incarnation,
            running=scheduler.running,
            queued=queued,
            capacity=self._settings.max_running,
            adapters=tuple(str(key) for key in adapters),
        )

    async def handle(self, request: Any, context: CallContext) -> Finished:
        """Handle one call from a peer."""
        context.outcome = Outcome.NOT_RUN
        if not isinstance(request, Dispatch):
            raise InvalidRequestError(
                f'unexpected message {type(request).__name__}'
            )
        request_id_var.set(request.request_id)
        now_s = self._clock.now_s()
        # Must be the first check: if an earlier dispatch of this request ran,
        # refusing this one as ``not_run`` for another reason would be false.
        self._seen.check(request)
        self._check(request)
        self._seen.accept(request, context, now_s)
        self._remove_old_requests(now_s)
        job = self._runner.make_job(request, now_s)
        try:
            with self._open_requests.track():
                return await self._serve(job, context)
        finally:
            self._seen.close(request)
            self._runner.scheduler.finish(job)
            self._run_scheduler()

    def _check(self, dispatch: Dispatch) -> None:
        if dispatch.agent_incarnation != self._session.record.incarnation:
            raise StaleDispatchError(
                f'dispatch for agent incarnation {dispatch.agent_incarnation}',
            )
        if dispatch.service != self._settings.service:
            raise StaleDispatchError(
                f'{dispatch.service} is not the service of this agent',
            )
        if self._state not in {'active', 'isolated'}:
            raise DrainingError(f'the agent is {self._state}')
        self._check_lease(dispatch)
        if dispatch.deadline_s <= 0:
            raise DeadlineExceededError(
                'the deadline has passed',
                outcome=Outcome.NOT_RUN,
            )
        if not self._runner.is_up:
            raise NoCapacityError('the backend server is down')

    def _check_lease(self, dispatch: Dispatch) -> None:
        # Requests on open routes carry no account and need no lease, so that
        # they are served during a partition too.
        if dispatch.account and not self._session.lease_valid():
            raise ControlUnreachableError('the lease of the agent has expired')

    async def _serve(self, job: Job, context: CallContext) -> Finished:
        deadline_s = job.dispatch.deadline_s
        try:
            async with asyncio.timeout(deadline_s):
                await self._wait_for_turn(job)
                self._check_lease(job.dispatch)
                return await self._runner.run(job, context)
        except TimeoutError:
            raise DeadlineExceededError(
                f'the request did not finish within {deadline_s} s',
                outcome=context.outcome,
            ) from None

    async def _wait_for_turn(self, job: Job) -> None:
        slots = self._runner.scheduler.slots
        awaits_load = slots is not None and not slots.is_ready(job.key)
        turn = asyncio.get_running_loop().create_future()
        self._turns[job] = turn
        job.on_failure = lambda error: _refuse(turn, error)
        try:
            displaced = self._runner.scheduler.push(job)
            if displaced.is_err():
                raise displaced.unwrap_err()
            if displaced.unwrap() is not None:
                full = NoCapacityError('displaced from the full queue')
                displaced.unwrap().fail(full)
            self._run_scheduler()
            await turn
        finally:
            self._turns.pop(job, None)
            if awaits_load:
                waited_s = self._clock.now_s() - job.queued_s
                record_load_wait(job.dispatch.service, waited_s)

    def _run_scheduler(self) -> None:
        """Fail expired jobs; start the jobs and loads that can start now."""
        scheduler = self._runner.scheduler
        now_s = self._clock.now_s()
        for expired in scheduler.expire(now_s):
            expired.fail(
                DeadlineExceededError(
                    'the deadline passed while the request was queued',
                    outcome=Outcome.NOT_RUN,
                ),
            )
        job = scheduler.next_start(now_s)
        while job is not None:
            turn = self._turns.get(job)
            if turn is None or turn.done():
                scheduler.finish(job)
            else:
                turn.set_result(None)
            job = scheduler.next_start(now_s)
        self._runner.start_loads()
        if scheduler.queued and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._run_scheduler()

    def _remove_old_requests(self, now_s: float) -> None:
        if now_s - self._last_cleanup_s >= CLEANUP_INTERVAL_S:
            self._last_cleanup_s = now_s
            self._seen.remove_old(now_s)

    def _on_session_change(self) -> None:
        if self._session.record.draining:
            self._begin_drain()
        has_lease = self._session.lease_valid()
        event = 'lease_gained' if has_lease else 'lease_lost'
        if self._chart.accepts(self._state, event):
            self._step(event)

    def _begin_drain(self) -> None:
        if self._chart.accepts(self._state, 'drain'):
            self._step('drain')

    def _step(self, event: str) -> None:
        previous = self._state
        self._state = self._chart.next_state(previous, event)
        if previous != self._state:
            log.info('event=host_state from=%s to=%s', previous, self._state)


def _refuse(turn: asyncio.Future[None], error: KumquatrunError) -> None:
    if not turn.done():
        turn.set_exception(error)
