"""Entry of a gateway: the HTTP server for callers."""

import asyncio
import logging
import random
from collections.abc import Callable
from functools import partial

from aiohttp import web

from kumquatrun.entry.http_server import HttpServer, stop_listening
from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.admission.admission import Admission
from kumquatrun.gateway.admission.allowances import Allowances
from kumquatrun.gateway.backends.backends import BackendTable
from kumquatrun.gateway.backends.connection_pool import (
    DEFAULT_IDLE_S,
    DROPPED_IDLE_S,
)
from kumquatrun.gateway.backends.listing_follower import ListingFollower
from kumquatrun.gateway.crashes.crash_watch import CrashWatch
from kumquatrun.gateway.forwarding.error_responses import refuse, timeout_error
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.request_report import (
    CALLER_LEFT,
    HOST_STOPPED,
    RequestReport,
    StateFreshness,
)
from kumquatrun.gateway.forwarding.response_writer import ResponseWriter
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.placement.agent_calls import AgentCalls
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.cold_starts import ColdStarts
from kumquatrun.gateway.placement.eligibility import Eligibility
from kumquatrun.gateway.placement.engine_observer import EngineObserver
from kumquatrun.gateway.placement.engine_reports import EngineReports
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.gateway.roles.configuration_follower import (
    ConfigurationFollower,
)
from kumquatrun.gateway.roles.entry_group import entry_count, entry_group
from kumquatrun.gateway.roles.planned_stop import (
    ACCEPT_PERIOD_S,
    OpenRequest,
    PlannedStop,
    stop_error,
)
from kumquatrun.gateway.roles.settings import GatewayEntrySettings
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.wire_format import WireFormat
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.client_memory import client_limits
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 20.0
DRAIN_CHECK_S = 0.05
# Callers send the head of a request at once. After this time an incomplete head
# no longer delays a stop.
STOP_HEAD_TIMEOUT_S = 1.0
# aiohttp treats a timeout of 0 as no limit.
SHUTDOWN_TIMEOUT_S = 0.1
# Longest wait for open requests to end; it applies twice, before and after the
# remaining connections are aborted.
CLOSE_TIMEOUT_S = 0.05
# Longest wait at the end of a stop for reports of runs that ended.
REPORT_LIMIT_S = 0.2


class GatewayEntry:
    """Serves the callers of one host.

    Parameters
    ----------
    settings
        Addresses and limits.
    session
        Membership session of this host.
    wire
        Format of requests, responses and configurations.
    listing
        Builds the follower that keeps the table of backend servers current.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: GatewayEntrySettings,
        session: Session,
        wire: WireFormat,
        listing: Callable[[BackendTable], ListingFollower],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        self._settings = settings
        self._session = session
        self._wire = wire
        self._clock = clock
        self._configuration = ConfigurationFollower(
            session.view, wire, clock, self._apply_configuration
        )
        self._planned_stop = PlannedStop(clock)
        self._has_stopped = False
        self._backends = BackendTable(
            DROPPED_IDLE_S
            if settings.drops_idle_connections
            else DEFAULT_IDLE_S,
            clock,
        )
        self._listing = listing(self._backends)
        self._allowances = Allowances(
            session.control, clock, partial(entry_count, session), rng
        )
        session.renew_shares(self._allowances.shares)
        self._retries = SharedRetryBudgets(
            settings.retry_ratio,
            settings.retry_allowance,
            settings.retry_window_s,
        )
        self._agents = AgentCalls(session.view, self._identity)
        self._crashes = CrashWatch(
            session, clock, EngineObserver(self._backends, self._agents)
        )
        self._backends.on_end(self._crashes.record_backend_end)
        self._admission = Admission(
            lambda: self._configuration.configuration,
            self._is_configuration_outdated,
            self._allowances,
            self._crashes,
            self._planned_stop.check,
            rng,
        )
        locality = Locality(
            failure_domain=settings.failure_domain,
            regions=dict(settings.regions),
        )
        self._cold_starts = ColdStarts(
            settings.cold_starts,
            lambda: self._configuration.configuration,
            partial(entry_group, session),
        )
        self._reservations = Reservations(
            self._backends,
            Balancer(locality, rng),
            self._agents,
            session.view.adapter_version,
            Eligibility(
                locality.regions,
                lambda: self._configuration.configuration,
                clock,
                self._cold_starts,
                session.view.evacuated_domains,
            ),
            clock,
            EngineReports(session.view, clock)
            if settings.follows_engine_load
            else None,
        )
        self._forwarder = Forwarder(
            wire,
            self._reservations,
            self._retries,
            self._planned_stop.check,
            self._crashes,
            clock,
        )
        self._http = HttpServer(
            self._handle,
            client_limits(settings.memory_bytes, settings.max_descriptors),
            WRITE_TIMEOUT_S,
            max_line_bytes=settings.max_header_bytes,
        )
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        session.on_change(self._follow_session)

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete response."""
        return self._planned_stop.open_requests

    @property
    def client_held_bytes(self) -> int:
        """Return the bytes that are held for callers."""
        return self._http.memory.held_bytes

    def record_return(self, failure_domain: str) -> None:
        """Record that a failure domain is used again after its evacuation."""
        self._cold_starts.record_return(failure_domain, self._clock.now_s())

    def not_ready_reason(self) -> str:
        """Return why this host is not ready, or an empty string."""
        if self._planned_stop.has_begun:
            return 'draining'
        if not self._admission.is_configured:
            return 'no configuration'
        if self._listing.is_empty:
            return 'no list of backend servers'
        return ''

    async def start(self) -> None:
        """Start listening for callers."""
        self._server = await asyncio.get_running_loop().create_server(
            self._http,
            self._settings.http_listen.host,
            self._settings.http_listen.port,
            backlog=self._http.limits.accept_batch,
        )
        self._tasks = [
            start_background(self._http.sweep),
            start_background(self._listing.run),
        ]

    async def drain(self, timeout_s: float) -> None:
        """Finish the open requests; refuse new ones after ACCEPT_PERIOD_S."""
        self._planned_stop.begin(timeout_s)
        # Callers of idle connections reach another host with a new connection.
        self._http.close_idle()
        await asyncio.sleep(min(ACCEPT_PERIOD_S, timeout_s))
        self._planned_stop.refuse_all()
        await stop_listening(self._server)
        while self._planned_stop.remaining_s() > 0:
            self._http.close_idle(STOP_HEAD_TIMEOUT_S)
            if not self._http.connections:
                return
            await asyncio.sleep(DRAIN_CHECK_S)
        if self.open_requests:
            log_event(
                log,
                'stop_incomplete',
                level=logging.WARNING,
                open_requests=self.open_requests,
            )

    async def stop(self) -> None:
        """Respond to open requests where possible; close all connections."""
        self._has_stopped = True
        self._configuration.close()
        await self._planned_stop.end_all(CLOSE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        await self._http.shutdown(SHUTDOWN_TIMEOUT_S)
        await self._crashes.close(REPORT_LIMIT_S)
        self._allowances.close()
        self._reservations.close()
        await self._agents.close()
        self._backends.close()

    # Shared state.

    def _identity(self) -> Hello:
        record = self._session.record
        return Hello(
            node_id=record.host_id,
            incarnation=record.incarnation,
            cluster_token=self._settings.cluster_token,
            region=record.region,
        )

    def _follow_session(self) -> None:
        self._retries.set_entry_count(entry_count(self._session))
        self._configuration.follow()

    def _is_configuration_outdated(self) -> bool:
        newest = self._session.newest_configuration_version
        return self._configuration.version < newest

    def _apply_configuration(self, configuration: Configuration) -> None:
        if not self._is_configuration_outdated():
            # A restarted host must not serve with an outdated configuration.
            self._admission.mark_configured()
        idle_timeout_s = configuration.limits.idle_timeout_ms / 1000
        self._http.set_idle_timeout(idle_timeout_s)

    # One request.

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        connection.begin_request()
        writer = ResponseWriter(request)
        writer.closes_connection = (
            self._planned_stop.has_begun or connection.is_over_limit
        )
        report = RequestReport(writer, self._clock.now_s())
        open_request = self._planned_stop.open(report)
        try:
            await self._answer(request, open_request)
        except ConnectionResetError:
            # The connection closed while the response was written.
            self._finish(report, None, aborted_by=self._aborted_by())
        except asyncio.CancelledError:
            self._finish(report, None, aborted_by=self._aborted_by())
            raise
        finally:
            self._planned_stop.close(open_request)
            connection.end_request()
        if self._planned_stop.has_begun and not connection.has_next_request:
            # The head may have been sent before the stop began.
            writer.response.force_close()
        return writer.response

    async def _answer(
        self,
        request: web.BaseRequest,
        open_request: OpenRequest,
    ) -> None:
        report = open_request.report
        problem: KumquatrunError | None = None
        try:
            await self._admit_and_forward(request, report)
        except TimeoutError:
            problem = timeout_error(report.request_state)
        except KumquatrunError as error:
            problem = error
        except asyncio.CancelledError:
            if not open_request.is_handed_back:
                raise
            open_request.task.uncancel()
            problem = stop_error(open_request)
        if problem is not None:
            await refuse(report.writer, problem)
        self._finish(report, problem)

    async def _admit_and_forward(
        self,
        request: web.BaseRequest,
        report: RequestReport,
    ) -> None:
        report.caller = self._wire.read_request(
            request.method,
            request.raw_path,
            request.raw_headers,
        )
        request_state = await self._admission.admit(request, report)
        report.request_state = request_state
        async with asyncio.timeout_at(request_state.deadline_s):
            await self._forwarder.run(request_state, report.writer)

    def _aborted_by(self) -> str:
        return HOST_STOPPED if self._has_stopped else CALLER_LEFT

    def _finish(
        self,
        report: RequestReport,
        problem: KumquatrunError | None,
        *,
        aborted_by: str = '',
    ) -> None:
        now_s = self._clock.now_s()
        freshness = StateFreshness(
            self._configuration.version, self._listing.age_s(now_s)
        )
        report.finish(now_s, freshness, problem, aborted_by=aborted_by)
