"""Builds each daemon from its settings."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from kumquatrun.agent.agent import BACKENDS, Agent
from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.host_list import HostListWatcher
from kumquatrun.daemon.lifecycle import Component, Daemon, run_daemon
from kumquatrun.daemon.settings import (
    AgentSettings,
    ControlSettings,
    DaemonSettings,
    EntrySettings,
)
from kumquatrun.entry.entry import Entry
from kumquatrun.membership.control_client import Session
from kumquatrun.peer import sent_bytes
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.runtime.clock import Clock, LoopClock
from kumquatrun.runtime.invariants import violations
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import Metrics, process_metrics

log = logging.getLogger(__name__)

REGISTRATION_LOG_INTERVAL_S = 10.0


class DeferredServer:
    """Server that is built when it is started.

    Entries and agents may be built only after their host has registered.
    """

    def __init__(self, build: Callable[[], Any]) -> None:
        self._build = build
        self._server: Any = None
        self._is_draining = False

    def not_ready_reason(self) -> str:
        """Return why the server takes no requests, or an empty string."""
        if self._is_draining:
            return 'draining'
        return '' if self._server else 'starting'

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of open, running and queued requests."""
        if self._server is None:
            return
        metrics.set_gauge('open_requests', self._server.open_requests)
        if isinstance(self._server, Agent):
            report = self._server.report()
            metrics.set_gauge('running_requests', report.running)
            metrics.set_gauge('queued_requests', report.queued)

    async def start(self) -> None:
        """Build and start the server."""
        server = self._build()
        self._server = server
        await server.start()

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait for the open ones."""
        self._is_draining = True
        await self._server.drain(timeout_s)

    async def stop(self) -> None:
        """Stop the server if it was built."""
        if self._server is not None:
            await self._server.stop()


class Registration:
    """Startup step that waits until the host has a lease."""

    def __init__(self, session: Session) -> None:
        self._session = session

    async def start(self) -> None:
        """Wait without a time limit; log a warning while no lease is held."""
        changed = asyncio.Event()
        self._session.on_change(changed.set)
        while not self._session.lease_valid():
            changed.clear()
            try:
                async with asyncio.timeout(REGISTRATION_LOG_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                log_event(
                    log,
                    'waiting_for_lease',
                    level=logging.WARNING,
                    remedy='check that a majority of control replicas is up',
                )

    async def stop(self) -> None:
        """Do nothing: the session ends the lease."""


def build_entry(settings: EntrySettings, clock: Clock) -> Daemon:
    """Build an entry, with a control replica if one is configured."""
    session = _build_session(
        settings,
        clock,
        role='entry',
        address=str(settings.http_listen),
    )
    server = DeferredServer(lambda: Entry(settings, session, clock))
    return _build_node(settings, session, server, clock)


def build_agent(settings: AgentSettings, clock: Clock) -> Daemon:
    """Build an agent, with a control replica if one is configured."""
    session = _build_session(
        settings,
        clock,
        role='agent',
        address=str(settings.listen),
        service=settings.service,
    )
    backend = BACKENDS[settings.backend_kind](settings.backend_url)
    server = DeferredServer(lambda: Agent(settings, session, backend, clock))
    return _build_node(settings, session, server, clock)


def build_control(settings: ControlSettings, clock: Clock) -> Daemon:
    """Build a dedicated control host."""
    metrics = process_metrics()
    control = _build_control_host(settings, clock, metrics)
    metrics.before_render(lambda: _set_process_counts(metrics))
    admin = _admin_parts(settings, metrics, control.not_ready_reason)
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
    settings: EntrySettings | AgentSettings,
    session: Session,
    server: DeferredServer,
    clock: Clock,
) -> Daemon:
    metrics = process_metrics()

    def set_gauges() -> None:
        metrics.set_gauge('lease_valid', int(session.lease_valid()))
        metrics.set_gauge('feed_index', session.view.applied_index)
        metrics.set_gauge('document_revision', session.view.revision)
        server.set_gauges(metrics)
        _set_process_counts(metrics)

    def not_ready_reason() -> str:
        if not session.lease_valid():
            return 'no valid lease'
        return server.not_ready_reason()

    metrics.before_render(set_gauges)
    parts = _admin_parts(settings, metrics, not_ready_reason)
    if settings.replica is not None:
        # The replica starts before the session, which may need it, and stops
        # after the session.
        parts.append(_build_control_host(settings, clock, metrics))
    parts.extend((session, Registration(session), server))
    daemon = Daemon(settings, parts, server)
    session.on_change(lambda: _drain_if_requested(session, daemon))
    if settings.host_list_url:
        watcher = HostListWatcher(
            settings.host_list_url,
            settings.host_id,
            lambda: daemon.request_drain('host list'),
        )
        daemon.add_component(watcher)
    return daemon


def _set_process_counts(metrics: Metrics) -> None:
    for scope, sent in sent_bytes.items():
        metrics.set_count('peer_bytes_total', sent, scope=scope)
    for invariant, count in violations.items():
        metrics.set_count(
            'invariant_violations_total',
            count,
            invariant=invariant,
        )


def _drain_if_requested(session: Session, daemon: Daemon) -> None:
    """Drain the daemon if an operator drained this incarnation of its host."""
    own = session.record
    record = session.view.host(own.host_id)
    if record is None or record.incarnation != own.incarnation:
        return
    if record.draining:
        daemon.request_drain('drain command')


def _build_session(
    settings: DaemonSettings,
    clock: Clock,
    *,
    role: str,
    address: str,
    service: str = '',
) -> Session:
    record = HostRecord(
        host_id=settings.host_id,
        incarnation='',
        role=role,
        address=address,
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=service,
    )
    return Session(
        record,
        settings.control_addresses,
        clock,
        cluster_token=settings.cluster_token,
    )


def _build_control_host(
    settings: DaemonSettings,
    clock: Clock,
    metrics: Metrics,
) -> Any:
    from kumquatrun.control.control_host import ControlHost
    from kumquatrun.control.replica_gauges import set_replica_gauges

    control = ControlHost(settings, clock)
    metrics.before_render(
        lambda: set_replica_gauges(metrics, control.replica, clock)
    )
    return control


def _admin_parts(
    settings: DaemonSettings,
    metrics: Metrics,
    not_ready_reason: Callable[[], str],
) -> list[Component]:
    if settings.admin_listen is None:
        return []
    return [AdminServer(metrics, not_ready_reason, settings.admin_listen)]
