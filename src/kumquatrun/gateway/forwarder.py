"""Takes one request of a caller through the choice of backend servers."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from enum import StrEnum

from kumquatrun.clock import Clock
from kumquatrun.errors import (
    BackendError,
    ConnectionLostError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.gateway.agent_calls import AgentCalls, AgentUnreachableError
from kumquatrun.gateway.backend_connection import (
    AnswerHead,
    BackendConnection,
    BrokenAnswerError,
)
from kumquatrun.gateway.backends import Backend, BackendTable
from kumquatrun.gateway.balancer import Balancer
from kumquatrun.gateway.caller_channel import CallerChannel
from kumquatrun.gateway.configuration import GatewayRoute, RouteKind
from kumquatrun.gateway.event_stream import ResumableStream
from kumquatrun.gateway.messages import UseAdapter
from kumquatrun.gateway.retry_shares import RetryShares
from kumquatrun.gateway.wire_format import (
    CallerRequest,
    Forwarding,
    WireFormat,
)
from kumquatrun.logs import log_event

log = logging.getLogger(__name__)

# Sends of one request, those included that a backend server refused unrun.
MAX_SENDS = 4
# Backend servers whose agents are asked for an adapter before a refusal.
MAX_HOLD_ATTEMPTS = 3
# Longest wait for an adapter, as a part of the time that the caller has.
ADAPTER_WAIT_PART = 0.3
MAX_ADAPTER_WAIT_S = 2.5
# A repeatable request whose answer does not begin in this many target
# latencies is tried elsewhere.
SILENT_TARGETS = 1.5
SILENT_STREAM_TARGETS = 2.0
# A resumable stream that pauses for this many gap targets continues elsewhere.
SILENT_GAPS = 6.0
# Longest wait for a backend server where none is listed, and between looks.
MAX_BACKEND_WAIT_S = 1.0
BACKEND_WAIT_STEP_S = 0.1
# The backend server gets a little less time than is left, so that its answer
# still reaches the caller.
ANSWER_MARGIN_MS = 15
BUSY_RETRY_AFTER_S = 0.5
MAX_BUFFERED_BODY_BYTES = 256 * 1024
SERVER_ERROR = 500
# Statuses that promise a caller that its request was not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
SUCCESS = range(200, 300)


class Result(StrEnum):
    """How one send to a backend server ended."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'
    SILENT = 'silent'


@dataclass
class Course:
    """What happened to one request so far.

    Attributes
    ----------
    ends_at_s
        When the caller, or the route's timeout, gives the request up.
    runs
        Sends that ran, or may have run, at a backend server.
    tried
        Backend servers that are not asked again.
    """

    request: CallerRequest
    route: GatewayRoute
    service: str
    account: str
    priority: int | None
    received_at_s: float
    ends_at_s: float
    sends: int = 0
    runs: int = 0
    tried: set[str] = field(default_factory=set)
    stream: ResumableStream | None = None
    last_backend: str = ''
    adapter_wait_s: float = 0.0
    failure: str = ''
    kept_failure: tuple[AnswerHead, bytes] | None = None
    longest_pause_s: float = 0.0
    on_first_event: Callable[[], None] | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self.runs > 0

    @property
    def may_send_again(self) -> bool:
        """Return whether another backend server may get the request."""
        if self.sends >= MAX_SENDS:
            return False
        if not self.runs:
            return True
        return self.route.may_repeat and self.runs < self.route.max_attempts


class Forwarder:
    """Sends requests to backend servers and relays their answers."""

    def __init__(
        self,
        wire: WireFormat,
        backends: BackendTable,
        balancer: Balancer,
        agents: AgentCalls,
        retries: RetryShares,
        adapter_version: Callable[[str, str], int],
        clock: Clock,
    ) -> None:
        self._wire = wire
        self._backends = backends
        self._balancer = balancer
        self._agents = agents
        self._retries = retries
        self._adapter_version = adapter_version
        self._clock = clock

    async def run(self, course: Course, channel: CallerChannel) -> None:
        """Forward a request until it is answered or given up.

        Raises
        ------
        KumquatrunError
            If no answer was delivered; its outcome says whether the request
            may have run. Nothing was sent to the caller unless the channel
            has begun.
        """
        self._retries.record_request(course.service, self._clock.now_s())
        problem: KumquatrunError | None = None
        while course.may_send_again:
            if course.sends and not self._take_retry(course):
                break
            try:
                async with self._reserved(course) as place:
                    result = await self._send(course, channel, place)
            except NoCapacityError as error:
                problem = error
                break
            if result is Result.DELIVERED:
                return
            log_event(
                log,
                'attempt_failed',
                request_id=course.request.request_id,
                backend=course.last_backend,
                result=result,
                sends=course.sends,
                runs=course.runs,
                reason=course.failure,
            )
        await self._give_up(course, channel, problem)

    def _take_retry(self, course: Course) -> bool:
        return self._retries.take(course.service, self._clock.now_s())

    async def _give_up(
        self,
        course: Course,
        channel: CallerChannel,
        problem: KumquatrunError | None,
    ) -> None:
        if course.kept_failure is not None and not channel.has_begun:
            head, body = course.kept_failure
            await self._deliver_whole(channel, head, body)
            return
        if course.may_have_run:
            raise BackendError(
                f'{course.last_backend}: {course.failure}',
                outcome=Outcome.UNKNOWN,
                cause='backend_failed',
            )
        raise problem or NoCapacityError(
            f'no backend server took the request: {course.failure}',
            retry_after_s=BUSY_RETRY_AFTER_S,
            cause='refused_by_backends',
        )

    # Choice of the backend server.

    @asynccontextmanager
    async def _reserved(
        self,
        course: Course,
    ) -> AsyncIterator[tuple[Backend, int]]:
        """Yield a backend server that holds what the request needs."""
        problem: KumquatrunError | None = None
        for _ in range(MAX_HOLD_ATTEMPTS):
            backend = await self._choose(course)
            if backend is None:
                break
            version = self._needed_version(course.request)
            if not course.request.model:
                yield backend, 0
                return
            began_s = self._clock.now_s()
            hold = self._agents.hold(
                backend,
                UseAdapter(
                    request_id=course.request.request_id,
                    model=course.request.model,
                    adapter=course.request.adapter,
                    version=version,
                    priority=course.priority or 0,
                    prompt_tokens=course.request.prompt_tokens or 0,
                ),
                self._adapter_wait_s(course),
            )
            try:
                held = await hold.__aenter__()
            except AgentUnreachableError as error:
                if self._is_listed_with(backend, course.request, version):
                    yield backend, version
                    return
                problem = error
            except KumquatrunError as error:
                problem = error
            else:
                now_s = self._clock.now_s()
                backend.take_report(held.ready.load, now_s)
                course.adapter_wait_s += now_s - began_s
                course.on_first_event = held.tell_prompt_read
                try:
                    yield backend, held.ready.version if version else 0
                finally:
                    await hold.__aexit__(None, None, None)
                return
            course.tried.add(backend.backend_id)
            log_event(
                log,
                'adapter_not_provided',
                request_id=course.request.request_id,
                backend=backend.backend_id,
                adapter=course.request.adapter,
                version=version,
                reason=str(problem),
            )
        raise NoCapacityError(
            f'no backend server can take the request: {problem or "none left"}',
            retry_after_s=BUSY_RETRY_AFTER_S,
            cause='no_backend',
        )

    async def _choose(self, course: Course) -> Backend | None:
        request = course.request
        affinity = (
            f'{request.model}/{request.adapter}' if request.adapter else ''
        )
        give_up_s = self._clock.now_s() + min(
            MAX_BACKEND_WAIT_S,
            ADAPTER_WAIT_PART * self._left_s(course),
        )
        while True:
            backend = self._balancer.choose(
                self._backends.of_service(course.service),
                self._clock.now_s(),
                affinity=affinity,
                excluded=course.tried,
            )
            if backend is not None or course.tried:
                return backend
            if self._clock.now_s() >= give_up_s:
                return None
            await asyncio.sleep(BACKEND_WAIT_STEP_S)

    def _needed_version(self, request: CallerRequest) -> int:
        if not request.adapter:
            return 0
        return self._adapter_version(request.model, request.adapter)

    def _is_listed_with(
        self,
        backend: Backend,
        request: CallerRequest,
        version: int,
    ) -> bool:
        if not request.adapter:
            return True
        return any(
            held.model == request.model
            and held.adapter == request.adapter
            and version in {0, held.version}
            for held in backend.record.adapters
        )

    def _adapter_wait_s(self, course: Course) -> float:
        return min(MAX_ADAPTER_WAIT_S, ADAPTER_WAIT_PART * self._left_s(course))

    def _left_s(self, course: Course) -> float:
        return max(0.0, course.ends_at_s - self._clock.now_s())

    # One send.

    async def _send(
        self,
        course: Course,
        channel: CallerChannel,
        place: tuple[Backend, int],
    ) -> Result:
        backend, version = place
        course.last_backend = backend.backend_id
        course.tried.add(backend.backend_id)
        try:
            connection = await backend.pool.take(
                may_repeat=course.route.may_repeat,
            )
        except ConnectionLostError as error:
            backend.record_unreachable(self._clock.now_s())
            course.failure = error.detail
            return Result.NOT_RUN
        backend.open_requests += 1
        backend.started_since_report += 1
        is_returned = False
        try:
            result, head = await self._exchange(
                course,
                channel,
                connection,
                (backend, version),
            )
            if head is not None and connection.is_open:
                backend.pool.give_back(connection, head)
                is_returned = True
        finally:
            backend.open_requests -= 1
            if not is_returned:
                connection.abort()
        self._judge(backend, result)
        return result

    def _judge(self, backend: Backend, result: Result) -> None:
        failed = result in {Result.FAILED, Result.BROKEN, Result.SILENT}
        backend.record_answer(failed=failed, now_s=self._clock.now_s())

    async def _exchange(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
        place: tuple[Backend, int],
    ) -> tuple[Result, AnswerHead | None]:
        """Send the request once; the head is set after a complete answer."""
        request = course.request
        if course.stream is not None and course.stream.last_event_id:
            request = replace(
                request,
                last_event_id=course.stream.last_event_id,
            )
        head_bytes = self._wire.write_request(
            request,
            Forwarding(
                backend_id=place[0].backend_id,
                remaining_ms=max(
                    1,
                    int(self._left_s(course) * 1000) - ANSWER_MARGIN_MS,
                ),
                account=course.account,
                priority=course.priority,
                adapter_version=place[1],
                last_event_id=request.last_event_id,
            ),
        )
        course.sends += 1
        course.runs += 1
        try:
            connection.send(
                head_bytes,
                request.body,
                lambda head: self._answers(request, head),
                has_answer_body=request.method != 'HEAD',
            )
        except ConnectionLostError as error:
            course.runs -= 1
            course.failure = error.detail
            return Result.NOT_RUN, None
        try:
            return await self._receive(course, channel, connection)
        except BrokenAnswerError as error:
            course.failure = error.detail
            return Result.BROKEN, None
        except TimeoutError:
            course.failure = 'silent for too long'
            return Result.SILENT, None

    def _answers(self, request: CallerRequest, head: AnswerHead) -> bool:
        answered = self._wire.read_answer(head).answered_id
        return not answered or answered == request.request_id

    async def _receive(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
    ) -> tuple[Result, AnswerHead | None]:
        async with asyncio.timeout(self._head_limit_s(course)):
            head = await connection.read_head()
        if self._wire.read_answer(head).is_not_run:
            course.runs -= 1
            await _read_whole(head)
            course.failure = f'refused with {head.status}'
            return Result.NOT_RUN, head
        is_stream = course.route.kind is RouteKind.STREAMING
        if is_stream and head.status in SUCCESS:
            await self._relay_stream(course, channel, head)
            return Result.DELIVERED, head
        body = await _read_whole(head)
        if head.status >= SERVER_ERROR:
            course.failure = f'answered {head.status}'
            if channel.has_begun:
                return Result.FAILED, head
            course.kept_failure = (head, body)
            if course.may_send_again:
                return Result.FAILED, head
        course.kept_failure = None
        if channel.has_begun:
            return Result.FAILED, head
        await self._deliver_whole(channel, head, body)
        return Result.DELIVERED, head

    def _head_limit_s(self, course: Course) -> float | None:
        """Return how long an answer may take to begin; None for no limit."""
        if not course.route.may_repeat or not course.may_send_again:
            return None
        is_stream = course.route.kind is RouteKind.STREAMING
        targets = SILENT_STREAM_TARGETS if is_stream else SILENT_TARGETS
        return targets * course.route.target_latency_ms / 1000

    async def _deliver_whole(
        self,
        channel: CallerChannel,
        head: AnswerHead,
        body: bytes,
    ) -> None:
        if head.status in PROMISING_STATUSES:
            # The backend server ran the request, and the status would tell
            # the caller that it did not.
            raise BackendError(
                f'answered {head.status} after it began to run',
                outcome=Outcome.UNKNOWN,
                cause='backend_failed',
            )
        headers = self._wire.answer_headers(head)
        if not any(name.lower() == 'content-length' for name, _ in headers):
            headers.append(('Content-Length', str(len(body))))
        await channel.begin(head.status, head.reason, headers)
        if body:
            await channel.write(body)
        await channel.finish()

    async def _relay_stream(
        self,
        course: Course,
        channel: CallerChannel,
        head: AnswerHead,
    ) -> None:
        if course.route.may_repeat and course.stream is None:
            course.stream = ResumableStream(course.request.last_event_id)
        if course.stream is not None:
            course.stream.restart()
        if not channel.has_begun:
            await channel.begin(
                head.status,
                head.reason,
                self._stream_headers(course, head),
            )
        read_at_s: float | None = None
        while True:
            async with asyncio.timeout(self._gap_limit_s(course)):
                chunk = await head.body.readany()
            if not chunk and head.body.is_eof():
                break
            now_s = self._clock.now_s()
            if read_at_s is None:
                self._note_first_event(course)
            else:
                pause_s = now_s - read_at_s
                course.longest_pause_s = max(course.longest_pause_s, pause_s)
            read_at_s = now_s
            if course.stream is not None:
                chunk = course.stream.feed(chunk)
            if chunk:
                await channel.write(chunk)
        if course.stream is not None:
            rest = course.stream.take_rest()
            if rest:
                await channel.write(rest)
        await channel.finish()

    def _note_first_event(self, course: Course) -> None:
        if course.on_first_event is not None:
            course.on_first_event()
            course.on_first_event = None

    def _stream_headers(
        self,
        course: Course,
        head: AnswerHead,
    ) -> list[tuple[str, str]]:
        headers = self._wire.answer_headers(head)
        if course.stream is None:
            return headers
        # A stream that continues elsewhere may have another length.
        return [
            (name, value)
            for name, value in headers
            if name.lower() != 'content-length'
        ]

    def _gap_limit_s(self, course: Course) -> float | None:
        gap_ms = course.route.gap_target_ms
        if course.stream is None or not gap_ms or not course.may_send_again:
            return None
        return SILENT_GAPS * gap_ms / 1000


async def _read_whole(head: AnswerHead) -> bytes:
    chunks = []
    size = 0
    while True:
        chunk = await head.body.readany()
        if not chunk and head.body.is_eof():
            return b''.join(chunks)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY_BYTES:
            raise BrokenAnswerError(
                f'answer above {MAX_BUFFERED_BODY_BYTES} bytes',
            )
        chunks.append(chunk)
