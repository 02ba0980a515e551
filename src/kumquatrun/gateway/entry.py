"""Entry of a gateway: takes requests of callers and answers them."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from kumquatrun.clock import Clock
from kumquatrun.control_client import Session
from kumquatrun.errors import (
    BackendError,
    ControlUnreachableError,
    DocumentError,
    DrainingError,
    InvalidKeyError,
    KumquatrunError,
    Outcome,
    RequestTooLargeError,
    RouteNotFoundError,
)
from kumquatrun.gateway.agent_calls import AgentCalls
from kumquatrun.gateway.allowances import Allowances
from kumquatrun.gateway.backends import BackendTable
from kumquatrun.gateway.balancer import Balancer, Place
from kumquatrun.gateway.caller_channel import CallerChannel
from kumquatrun.gateway.configuration import (
    Configuration,
    GatewayAccount,
    GatewayRoute,
)
from kumquatrun.gateway.crash_watch import CrashWatch
from kumquatrun.gateway.forwarder import Course, Forwarder
from kumquatrun.gateway.listing_follower import ListingFollower
from kumquatrun.gateway.retry_shares import RetryShares
from kumquatrun.gateway.settings import GatewayEntrySettings
from kumquatrun.gateway.wire_format import CallerRequest, WireFormat
from kumquatrun.http_server import HttpServer
from kumquatrun.logs import log_event
from kumquatrun.messages import Hello
from kumquatrun.metrics import process_metrics

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 3000
WRITE_TIMEOUT_S = 20.0
# The platform's balancer takes two missed questions, one a second, to notice
# that this host takes no new connections. A request that arrives later than
# this might not end before the process has to.
TAKE_NEW_S = 2.8
# Time that the process needs to end before the platform kills it.
DRAIN_MARGIN_S = 0.7
# aiohttp waits without a limit for 0.
SHUTDOWN_S = 0.1
DRAIN_CHECK_S = 0.05
# Longest time that a caller waits who does not say how long.
DEFAULT_PATIENCE_MS = 60_000
MAX_PRIORITY = 9
# Route priorities run from 0 to 2; an account's priority goes before them.
ACCOUNT_PRIORITY_STEP = 3
DEFAULT_RETRY_AFTER_S = 0.5
NO_ANSWER_STATUS = 502
TIMEOUT_STATUS = 504
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


class GatewayEntry:
    """Serves callers of one host.

    Parameters
    ----------
    settings
        Addresses and limits.
    session
        Membership of this host.
    wire
        Format of requests, answers and configurations.
    listing
        Keeps the table of backend servers up to date.
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
        self._rng = rng
        self._metrics = process_metrics()
        self._configuration: Configuration | None = None
        self._is_draining = False
        self._refuses_new = False
        self._open = 0
        self._backends = BackendTable()
        self._listing = listing(self._backends)
        self._allowances = Allowances(
            session.control,
            clock,
            self._entry_count,
        )
        self._retries = RetryShares(
            settings.retry_ratio,
            settings.retry_allowance,
            settings.retry_window_s,
        )
        self._crashes = CrashWatch(session, clock)
        self._agents = AgentCalls(session.view, self._identity)
        self._forwarder = Forwarder(
            wire,
            self._backends,
            Balancer(
                Place(
                    failure_domain=settings.failure_domain,
                    regions=dict(settings.regions),
                ),
                rng,
            ),
            self._agents,
            self._retries,
            session.view.adapter_version,
            clock,
        )
        self._http = HttpServer(
            self._handle,
            MAX_CONNECTIONS,
            WRITE_TIMEOUT_S,
            max_line_bytes=settings.max_header_bytes,
        )
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        session.on_change(self._follow_session)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are not answered yet."""
        return self._open

    def not_ready_reason(self) -> str:
        """Return why this host takes no new connections, or an empty text."""
        if self._is_draining:
            return 'draining'
        if self._configuration is None:
            return 'no configuration'
        if self._listing.is_empty:
            return 'no list of backend servers'
        return ''

    async def start(self) -> None:
        """Listen for callers."""
        self._server = await asyncio.get_running_loop().create_server(
            self._http,
            self._settings.http_listen.host,
            self._settings.http_listen.port,
            backlog=1024,
        )
        self._tasks = [
            asyncio.create_task(self._http.sweep()),
            asyncio.create_task(self._listing.run()),
        ]

    async def drain(self, timeout_s: float) -> None:
        """Answer what is open, then refuse what still arrives, and return."""
        self._is_draining = True
        began_s = self._clock.now_s()
        await asyncio.sleep(min(TAKE_NEW_S, timeout_s))
        self._refuses_new = True
        self._server.close()
        self._http.close_idle()
        limit_s = began_s + timeout_s - DRAIN_MARGIN_S
        while self._open and self._clock.now_s() < limit_s:
            await asyncio.sleep(DRAIN_CHECK_S)
        if self._open:
            log_event(
                log,
                'stop_incomplete',
                level=logging.WARNING,
                open_requests=self._open,
            )

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        await self._http.shutdown(SHUTDOWN_S)
        self._allowances.close()
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

    def _entry_count(self) -> int:
        hosts = self._session.view.hosts
        return max(1, sum(host.role == 'entry' for host in hosts))

    def _follow_session(self) -> None:
        self._retries.share_among(self._entry_count())
        view = self._session.view
        known = self._configuration.version if self._configuration else 0
        if view.configuration_version <= known:
            return
        version, content = view.configuration
        try:
            self._configuration = self._wire.read_configuration(content)
        except DocumentError as error:
            log_event(
                log,
                'configuration_unreadable',
                level=logging.ERROR,
                version=version,
                error=str(error),
            )
            return
        self._http.set_idle_timeout(
            self._configuration.limits.idle_timeout_ms / 1000,
        )
        log_event(
            log,
            'configuration_in_force',
            version=version,
            routes=len(self._configuration.routes),
            accounts=len(self._configuration.accounts),
        )

    # One request.

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._open += 1
        connection = request.protocol
        connection.is_busy = True
        channel = CallerChannel(request)
        channel.closes_after = self._is_draining or connection.is_surplus
        try:
            await self._answer(request, channel)
        except ConnectionResetError:
            # The caller left while the answer was written.
            log_event(log, 'caller_left', status=channel.status)
        finally:
            self._open -= 1
            connection.is_busy = False
            connection.idle_since_s = self._clock.now_s()
        return channel.response

    async def _answer(
        self,
        request: web.BaseRequest,
        channel: CallerChannel,
    ) -> None:
        received_s = self._clock.now_s()
        course: Course | None = None
        caller: CallerRequest | None = None
        problem: KumquatrunError | None = None
        try:
            caller = self._wire.read_request(
                request.method,
                request.raw_path,
                request.raw_headers,
            )
            course = await self._admit(request, caller, received_s)
            async with asyncio.timeout_at(course.ends_at_s):
                await self._forward(course, channel)
        except TimeoutError:
            problem = self._timed_out(course)
        except KumquatrunError as error:
            problem = error
        except asyncio.CancelledError:
            self._log_end(caller, course, channel, received_s, 'caller_left')
            raise
        if problem is not None:
            await self._refuse(channel, problem)
        self._log_end(caller, course, channel, received_s, problem)

    async def _admit(
        self,
        request: web.BaseRequest,
        caller: CallerRequest,
        received_s: float,
    ) -> Course:
        """Check a request and charge it to its account.

        Raises
        ------
        KumquatrunError
            If it must not be forwarded; it was not run.
        """
        configuration = self._configuration
        if self._refuses_new:
            raise DrainingError('this host is about to stop')
        if configuration is None:
            raise ControlUnreachableError('no configuration is known yet')
        route = configuration.route_for(caller.host, caller.path)
        if route is None:
            raise RouteNotFoundError(f'no route for {caller.path!r}')
        account = _account_of(configuration, route, caller)
        limits = configuration.limits
        body = await _read_body(request, limits.max_body_bytes)
        caller = replace(caller, body=body)
        self._crashes.check(caller)
        if account is not None:
            await self._allowances.charge(account, _amount(account, caller))
        patience_ms = min(
            caller.patience_ms or DEFAULT_PATIENCE_MS,
            route.timeout_ms,
        )
        return Course(
            request=caller,
            route=route,
            service=self._choose_service(route),
            account=account.name if account else '',
            priority=_priority(route, account),
            received_at_s=received_s,
            ends_at_s=received_s + patience_ms / 1000,
        )

    def _choose_service(self, route: GatewayRoute) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service

    async def _forward(self, course: Course, channel: CallerChannel) -> None:
        try:
            await self._forwarder.run(course, channel)
        except BackendError:
            self._crashes.report(course.request)
            raise

    def _timed_out(self, course: Course | None) -> KumquatrunError:
        if course is not None and course.may_have_run:
            return BackendError(
                f'{course.last_backend} gave no answer in time',
                outcome=Outcome.UNKNOWN,
                cause='timeout',
            )
        return ControlUnreachableError(
            'the request was not sent in time',
            cause='not_sent_in_time',
        )

    async def _refuse(
        self,
        channel: CallerChannel,
        problem: KumquatrunError,
    ) -> None:
        if channel.has_begun:
            channel.abort()
            return
        status = _status_of(problem)
        retry_after_s = problem.retry_after_s
        if status in PROMISING_STATUSES and retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        await channel.refuse(status, str(problem), retry_after_s)

    def _log_end(
        self,
        caller: CallerRequest | None,
        course: Course | None,
        channel: CallerChannel,
        received_s: float,
        problem: KumquatrunError | str | None,
    ) -> None:
        now_s = self._clock.now_s()
        first_s = channel.first_byte_at_s
        version = self._configuration.version if self._configuration else 0
        cause = problem
        if isinstance(problem, KumquatrunError):
            cause = f'{problem.code}/{problem.cause}: {problem.detail}'
        log_event(
            log,
            'request_finished',
            request_id=caller.request_id if caller else '',
            route=course.route.name if course else '',
            service=course.service if course else '',
            account=course.account if course else '',
            adapter=caller.adapter if caller else '',
            configuration=version,
            listing_age_s=round(self._listing.age_s(now_s), 2),
            backend=course.last_backend if course else '',
            sends=course.sends if course else 0,
            runs=course.runs if course else 0,
            adapter_wait_ms=round(course.adapter_wait_s * 1000)
            if course
            else 0,
            first_byte_ms=round((first_s - received_s) * 1000)
            if first_s
            else '',
            longest_pause_ms=(
                round(course.longest_pause_s * 1000) if course else 0
            ),
            tokens=(caller.prompt_tokens or 0) if caller else 0,
            total_ms=round((now_s - received_s) * 1000),
            status=channel.status,
            cause=cause or '',
        )
        service = course.service if course else ''
        outcome = 'answered' if problem is None else 'failed'
        self._metrics.count(
            'requests_total',
            route=course.route.name if course else '',
            service=service,
            outcome=outcome,
        )
        if isinstance(problem, KumquatrunError):
            self._metrics.count(
                'refusals_total',
                code=problem.code,
                cause=problem.cause,
            )
        if first_s:
            self._metrics.observe(
                'time_to_first_token_seconds',
                first_s - received_s,
                service=service,
            )


def _account_of(
    configuration: Configuration,
    route: GatewayRoute,
    caller: CallerRequest,
) -> GatewayAccount | None:
    if route.is_public or not configuration.requires_keys:
        return None
    account = configuration.account_for(caller.key)
    if account is None:
        raise InvalidKeyError('the key is missing, unknown or withdrawn')
    return account


def _amount(account: GatewayAccount, caller: CallerRequest) -> int:
    if not account.counts_tokens:
        return 1
    if caller.prompt_tokens is None:
        return account.plain_tokens
    return caller.prompt_tokens + (caller.output_tokens or 0)


def _priority(
    route: GatewayRoute,
    account: GatewayAccount | None,
) -> int:
    rank = route.priority
    if account is not None and account.priority is not None:
        rank += ACCOUNT_PRIORITY_STEP * account.priority
    return min(MAX_PRIORITY, max(0, rank))


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    if not request.can_read_body:
        return b''
    chunks = []
    size = 0
    while True:
        chunk = await request.content.readany()
        if not chunk and request.content.is_eof():
            return b''.join(chunks)
        size += len(chunk)
        if size > limit_bytes:
            raise RequestTooLargeError(f'body above {limit_bytes} bytes')
        chunks.append(chunk)


def _status_of(problem: KumquatrunError) -> int:
    """Return the status of a failure; some statuses promise ``not_run``."""
    status = problem.kind.http_status
    if problem.outcome is Outcome.NOT_RUN:
        return status
    if problem.cause == 'timeout':
        return TIMEOUT_STATUS
    return NO_ANSWER_STATUS
