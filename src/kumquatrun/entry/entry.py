"""The entry: serves HTTP requests of callers."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from kumquatrun.daemon.open_requests import OpenRequests
from kumquatrun.daemon.settings import EntrySettings
from kumquatrun.document.document import RouteSpec
from kumquatrun.entry.admission import Admission, HttpRequest
from kumquatrun.entry.agent_pool import AgentPool
from kumquatrun.entry.budget_client import BudgetClient
from kumquatrun.entry.claim_client import ClaimClient
from kumquatrun.entry.error_body import JSON_TYPE, new_request_id
from kumquatrun.entry.execution import (
    CallerDisconnectedError,
    Execution,
    RelayRequest,
)
from kumquatrun.entry.http_server import (
    SWEEPS_PER_TIMEOUT,
    HttpServer,
    ResponseSink,
)
from kumquatrun.entry.openai_api import Endpoint, endpoint_of, render_models
from kumquatrun.entry.placement import BoundedAffinity, PlacementPolicy
from kumquatrun.entry.relay import Relay
from kumquatrun.entry.request_body import BodyMemory, read_body
from kumquatrun.entry.request_log import (
    log_cancelled,
    log_finished,
    log_refused,
)
from kumquatrun.errors import (
    DrainingError,
    InvalidRequestError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.request_messages import StoredAnswer
from kumquatrun.runtime.client_memory import ClientLimits
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.invariants import Invariants
from kumquatrun.runtime.logs import request_id_var
from kumquatrun.runtime.statechart import load_chart

log = logging.getLogger(__name__)

READY_PATH = '/-/ready'
HTTP_OK = 200
# A timeout of 0 means no limit to aiohttp, which would then wait until callers
# close their idle connections.
CLOSE_TIMEOUT_S = 0.1


class Entry:
    """Accepts requests of callers and runs them on agents.

    Parameters
    ----------
    settings
        Validated settings.
    session
        The host's session with the control replicas; it must have registered.
    clock
        Time source.
    policy
        Selects agents.
    rng
        Random source of retry delays.
    invariants
        Checks the guarantees of the system.
    connect
        Opens connections to agents.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: NodeSession,
        clock: Clock,
        *,
        policy: PlacementPolicy | None = None,
        rng: random.Random | None = None,
        invariants: Invariants | None = None,
        connect: Callable[[Address, Hello], PeerClient] = PeerClient,
    ) -> None:
        self.address: Address | None = None
        self.invariants = invariants or Invariants()
        self._settings = settings
        self._session = session
        self._clock = clock
        self._rng = rng or random.Random()
        self._pool = AgentPool(
            session,
            clock,
            policy or BoundedAffinity(),
            connect,
            settings.cluster_token,
        )
        self._budgets = BudgetClient(session, clock)
        self._relay = Relay(
            session,
            clock,
            self._pool,
            self._budgets,
            ClaimClient(session, clock, self._rng),
            rng=self._rng,
            invariants=self.invariants,
        )
        self._admission = Admission(session, clock, settings.request_timeout_s)
        self._chart = load_chart('host')
        self._state = self._chart.initial
        self._http: HttpServer | None = None
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._executions: dict[ResponseSink, Execution] = {}
        self._open_requests = OpenRequests()
        self._body_memory = BodyMemory()

    @property
    def is_ready(self) -> bool:
        """Return whether a load balancer should send requests here."""
        return self._state in {'active', 'isolated'}

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._open_requests)

    async def start(self) -> Address:
        """Start listening; returns the bound address."""
        settings = self._settings
        limits = ClientLimits(
            held_bytes=settings.max_held_bytes,
            connections=settings.max_connections,
        )
        self._http = HttpServer(self._handle, limits, settings.write_timeout_s)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._http,
            settings.http_listen.host,
            settings.http_listen.port,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        self._session.report_budgets(self._budgets.take_reports)
        self._session.on_change(self._on_session_change)
        self._tasks = [
            asyncio.create_task(self._http.sweep()),
            asyncio.create_task(self._sweep()),
        ]
        self._apply_event('registered')
        self._on_session_change()
        log.info('event=entry_started address=%s', self.address)
        return self.address

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait until the open ones have ended."""
        self._apply_event('drain')
        log.info('event=draining open_requests=%d', self.open_requests)
        await self._open_requests.wait_completed(timeout_s)
        await self._relay.wait_idle()

    async def stop(self) -> None:
        """Stop listening and cancel what is still open."""
        self._apply_event('drain')
        self._apply_event('cut' if self._open_requests else 'idle')
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._http.shutdown(CLOSE_TIMEOUT_S)
        await self._relay.stop()
        await self._pool.close()

    def _apply_event(self, event: str) -> None:
        if self._chart.accepts(self._state, event):
            self._state = self._chart.next_state(self._state, event)

    def _on_session_change(self) -> None:
        has_lease = self._session.lease_valid()
        self._apply_event('lease_gained' if has_lease else 'lease_lost')
        self._budgets.sync_session()
        self._relay.interrupt_unauthorized()
        self._pool.prune()

    async def _sweep(self) -> None:
        limit_s = self._settings.write_timeout_s
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(limit_s / SWEEPS_PER_TIMEOUT)
            self._pool.prune()
            oldest_s = loop.time() - limit_s
            for sink, execution in list(self._executions.items()):
                since_s = sink.blocked_since_s
                if since_s is not None and since_s < oldest_s:
                    disconnect = CallerDisconnectedError(
                        'the caller reads too slowly'
                    )
                    execution.interrupt(disconnect)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        connection.begin_request()
        try:
            with self._open_requests.track():
                return await self._respond(request)
        finally:
            connection.end_request()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == READY_PATH:
            return web.Response(status=HTTP_OK if self.is_ready else 503)
        began_s = self._clock.now_s()
        http = HttpRequest(
            request_id=new_request_id(),
            method=request.method,
            path=request.raw_path,
            headers=request.headers,
        )
        request_id_var.set(http.request_id)
        sink = ResponseSink(request, http.request_id)
        try:
            if request.protocol.is_over_limit:
                raise NoCapacityError('this entry has too many connections')
            caller = self._admit(http)
        except KumquatrunError as error:
            log_refused(http, '', error)
            return await self._send_error(sink, error)
        account = caller[-1]
        try:
            return await self._serve(request, sink, http, caller, began_s)
        except KumquatrunError as error:
            log_refused(http, account, error)
            return await self._send_error(sink, error)

    def _admit(self, http: HttpRequest) -> tuple[RouteSpec, str, str]:
        if self._state in {'draining', 'stopped'}:
            raise DrainingError('this entry is shutting down')
        if not http.path.startswith('/'):
            raise InvalidRequestError('the request target is not a path')
        return self._admission.authenticate(http)

    async def _serve(
        self,
        request: web.BaseRequest,
        sink: ResponseSink,
        http: HttpRequest,
        caller: tuple[RouteSpec, str, str],
        began_s: float,
    ) -> web.StreamResponse:
        route = caller[0]
        if self._is_models_call(http, route):
            adapters = self._admission.table.adapters_of(route)
            await sink.send(_models_response(render_models(adapters)))
            return sink.response
        async with request.protocol.reading_body():
            body = await read_body(
                request,
                self._settings.max_body_bytes,
                self._settings.write_timeout_s,
                self._body_memory,
            )
        try:
            # The document or the key may have changed while the body arrived.
            relay_request = self._admission.build_request(
                replace(http, body=body), *self._admit(http)
            )
            return await self._run_relay(sink, relay_request, began_s)
        finally:
            self._body_memory.free(len(body))

    async def _run_relay(
        self,
        sink: ResponseSink,
        relay_request: RelayRequest,
        began_s: float,
    ) -> web.StreamResponse:
        execution = Execution(relay_request)
        self._executions[sink] = execution
        try:
            result = await self._relay.run(execution, sink)
        except asyncio.CancelledError:
            log_cancelled(execution, began_s)
            raise
        finally:
            self._executions.pop(sink, None)
        log_finished(execution, result, began_s)
        if isinstance(result.error, CallerDisconnectedError):
            sink.abort()
        elif result.error is not None:
            return await self._send_error(sink, result.error)
        return sink.response or web.Response(status=result.status)

    async def _send_error(
        self,
        sink: ResponseSink,
        error: KumquatrunError,
    ) -> web.StreamResponse:
        response = await sink.send_error(error)
        is_over_limit = sink.connection.is_over_limit
        must_close = is_over_limit or sink.connection.must_close
        if must_close or self._state == 'draining':
            response.force_close()
        return response

    def _is_models_call(self, http: HttpRequest, route: RouteSpec) -> bool:
        return (
            http.method == 'GET'
            and self._admission.table.is_engine_route(route)
            and endpoint_of(http.bare_path) is Endpoint.MODELS
        )


def _models_response(body: bytes) -> StoredAnswer:
    return StoredAnswer(status=HTTP_OK, content_type=JSON_TYPE, body=body)
