"""Daemons: build the parts from settings, run them and stop them in order."""

import asyncio
import logging
import signal
import uuid
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from kumquatrun.admin import AdminServer
from kumquatrun.clock import Clock, LoopClock
from kumquatrun.control_api import NodeSession
from kumquatrun.document import ServiceKind
from kumquatrun.logs import log_event
from kumquatrun.messages import HostRecord
from kumquatrun.metrics import Metrics, process_metrics
from kumquatrun.settings import (
    AgentSettings,
    ControlSettings,
    DaemonSettings,
    EntrySettings,
)
from kumquatrun.statechart import load_chart

log = logging.getLogger(__name__)

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Part(Protocol):
    """One component with a start and a stop."""

    async def start(self) -> Any:
        """Start; raises if the component cannot work."""
        ...

    async def stop(self) -> None:
        """Stop at once."""
        ...


class Server(Part, Protocol):
    """The component that serves requests and can finish them first."""

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait for the open ones."""
        ...


class Daemon:
    """Runs parts from the first signal-free start to an orderly stop.

    Parameters
    ----------
    settings
        Settings of the daemon.
    parts
        Components in the order of their start; they stop in reverse.
    server
        The one among ``parts`` that drains, if any does.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        parts: Sequence[Part],
        server: Server | None = None,
    ) -> None:
        self._settings = settings
        self._parts = tuple(parts)
        self._server = server
        self._chart = load_chart('daemon')
        self._state = self._chart.initial
        self._signals = asyncio.Queue[str]()

    @property
    def state(self) -> str:
        """Return the state of the chart ``daemon``."""
        return self._state

    def terminate(self, signal_name: str) -> None:
        """Handle one signal: drain on the first, stop on the second."""
        self._signals.put_nowait(signal_name)

    async def run(self) -> None:
        """Start, serve until a signal, drain and stop."""
        started: list[Part] = []
        try:
            await self._until_signal(self._start(started), 'started')
            if self._state == 'running':
                await self._until_signal(asyncio.Event().wait(), '')
            if self._state == 'draining':
                await self._until_signal(self._drain(), 'drained')
        except Exception as error:
            log_event(
                log,
                'daemon_failed',
                level=logging.ERROR,
                state=self._state,
                error=error,
            )
            raise
        finally:
            await self._stop(started)

    async def _start(self, started: list[Part]) -> None:
        for part in self._parts:
            # A part that fails half way must be stopped as well.
            started.append(part)
            await part.start()

    async def _drain(self) -> None:
        if self._server is not None:
            await self._server.drain(self._settings.drain_timeout_s)

    async def _stop(self, started: Sequence[Part]) -> None:
        if self._chart.accepts(self._state, 'failed'):
            self._step('failed')
        for part in reversed(started):
            try:
                await part.stop()
            except Exception as error:
                # The remaining parts must be stopped nevertheless.
                log_event(
                    log,
                    'stop_failed',
                    level=logging.ERROR,
                    part=type(part).__name__,
                    error=error,
                )
        if self._state == 'stopping':
            self._step('stopped')

    async def _until_signal(
        self,
        work: Coroutine[Any, Any, Any],
        event: str,
    ) -> None:
        """Step with ``event`` after ``work``, or with a signal before it."""
        task = asyncio.ensure_future(work)
        next_signal = asyncio.ensure_future(self._signals.get())
        waiting = {task, next_signal}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        try:
            if task.done():
                await task
                self._step(event)
            else:
                self._step('terminate', signal=next_signal.result())
        finally:
            for pending in waiting:
                pending.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

    def _step(self, event: str, **fields: str) -> None:
        self._state = self._chart.next_state(self._state, event)
        log_event(
            log,
            f'daemon_{self._state}',
            host_id=self._settings.host_id,
            **fields,
        )


async def run_daemon(daemon: Daemon) -> None:
    """Run a daemon that ends on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, daemon.terminate, number.name)
    try:
        await daemon.run()
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


def build_entry(settings: EntrySettings, clock: Clock) -> Daemon:
    """Build an entry, with the replica role if it is set."""
    from kumquatrun.entry import Entry

    record = _host_record(settings, 'entry', str(settings.http_listen))
    session = _build_session(settings, record, clock)
    entry = Entry(settings, session, clock)
    return _build_node(settings, session, entry, clock)


def build_agent(settings: AgentSettings, clock: Clock) -> Daemon:
    """Build an agent, with the replica role if it is set."""
    from kumquatrun.agent import Agent

    record = _host_record(
        settings,
        'agent',
        str(settings.listen),
        service=settings.service,
    )
    session = _build_session(settings, record, clock)
    agent = Agent(settings, session, _build_backend(settings), clock)
    return _build_node(settings, session, agent, clock)


def build_control(settings: ControlSettings, clock: Clock) -> Daemon:
    """Build a dedicated control host."""
    control = _build_control_service(settings, clock)
    admin = _admin_parts(settings, process_metrics(), str)
    return Daemon(settings, [*admin, control])


BUILDERS = {
    'entry': build_entry,
    'agent': build_agent,
    'control': build_control,
}


async def run(daemon_name: str, settings: DaemonSettings) -> None:
    """Build and run the daemon with the given name."""
    if not settings.cluster_token:
        log_event(
            log,
            'cluster_token_unset',
            level=logging.WARNING,
            remedy='set KUMQUATRUN_CLUSTER_TOKEN on all hosts',
        )
    await run_daemon(BUILDERS[daemon_name](settings, LoopClock()))


def _build_node(
    settings: DaemonSettings,
    session: Any,
    server: Server,
    clock: Clock,
) -> Daemon:
    metrics = process_metrics()
    metrics.before_render(
        lambda: metrics.set_gauge('lease_valid', int(session.lease_valid())),
    )
    parts = _admin_parts(
        settings,
        metrics,
        lambda: '' if session.lease_valid() else 'no valid lease',
    )
    if settings.replica is not None:
        # The replica starts before the session, which may need it, and stops
        # after it.
        parts.append(_build_control_service(settings, clock))
    return Daemon(settings, [*parts, session, server], server)


def _build_session(
    settings: DaemonSettings,
    record: HostRecord,
    clock: Clock,
) -> NodeSession:
    from kumquatrun.control_client import Session

    return Session(settings, record, clock)


def _build_control_service(settings: DaemonSettings, clock: Clock) -> Part:
    from kumquatrun.control import ControlService

    return ControlService(settings, clock)


def _build_backend(settings: AgentSettings) -> Any:
    if settings.backend_kind == ServiceKind.PLAIN:
        from kumquatrun.service_client import ServiceClient

        return ServiceClient(settings.backend_url)
    from kumquatrun.engine_client import EngineClient

    return EngineClient(settings.backend_url)


def _host_record(
    settings: DaemonSettings,
    role: str,
    address: str,
    service: str = '',
) -> HostRecord:
    # A new incarnation for each start: what was sent to an earlier run of
    # this host must not reach this one.
    return HostRecord(
        host_id=settings.host_id,
        incarnation=uuid.uuid4().hex,
        role=role,
        address=address,
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=service,
    )


class _AdminPart:
    """The admin server at the address of the settings."""

    def __init__(self, settings: DaemonSettings, server: AdminServer) -> None:
        self._address = settings.admin_listen
        self._server = server

    async def start(self) -> None:
        await self._server.start(self._address)

    async def stop(self) -> None:
        await self._server.stop()


def _admin_parts(
    settings: DaemonSettings,
    metrics: Metrics,
    not_ready_reason: Any,
) -> list[Part]:
    if settings.admin_listen is None:
        return []
    server = AdminServer(metrics, not_ready_reason)
    return [_AdminPart(settings, server)]
