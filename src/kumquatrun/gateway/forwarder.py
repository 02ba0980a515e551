"""Sends one request of a caller to backend servers and relays the answer."""

import asyncio
import logging
from dataclasses import replace
from enum import StrEnum

from kumquatrun.clock import Clock
from kumquatrun.errors import (
    BackendError,
    ConnectionLostError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.gateway.backend_connection import (
    AnswerHead,
    BackendConnection,
    BrokenAnswerError,
)
from kumquatrun.gateway.caller_channel import CallerChannel
from kumquatrun.gateway.configuration import RouteKind
from kumquatrun.gateway.course import Course
from kumquatrun.gateway.event_stream import ResumableStream
from kumquatrun.gateway.reservations import (
    BUSY_RETRY_AFTER_S,
    Reservation,
    Reservations,
)
from kumquatrun.gateway.retry_shares import RetryShares
from kumquatrun.gateway.wire_format import (
    CallerRequest,
    Forwarding,
    WireFormat,
)
from kumquatrun.logs import log_event

log = logging.getLogger(__name__)

# A repeatable request whose answer does not begin in this many target
# latencies is tried elsewhere.
SILENT_TARGETS = 1.5
SILENT_STREAM_TARGETS = 2.0
# A resumable stream that pauses for this many gap targets continues elsewhere.
SILENT_GAPS = 6.0
# The backend server gets a little less time than is left, so that its answer
# still reaches the caller.
ANSWER_MARGIN_MS = 15
MAX_BUFFERED_BODY_BYTES = 256 * 1024
SERVER_ERROR = 500
SUCCESS = range(200, 300)
# Statuses that promise a caller that its request was not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))


class Result(StrEnum):
    """How one send to a backend server ended."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'
    SILENT = 'silent'


FAILURES = frozenset((Result.FAILED, Result.BROKEN, Result.SILENT))


class Forwarder:
    """Tries backend servers until one answers or none may be tried."""

    def __init__(
        self,
        wire: WireFormat,
        reservations: Reservations,
        retries: RetryShares,
        clock: Clock,
    ) -> None:
        self._wire = wire
        self._reservations = reservations
        self._retries = retries
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
        problem: NoCapacityError | None = None
        while course.may_send_again:
            if course.sends and not self._take_retry(course):
                break
            try:
                result = await self._try_once(course, channel)
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

    async def _try_once(self, course: Course, channel: CallerChannel) -> Result:
        async with self._reservations.reserve(course) as reservation:
            return await self._send(course, channel, reservation)

    async def _give_up(
        self,
        course: Course,
        channel: CallerChannel,
        problem: NoCapacityError | None,
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

    # One send.

    async def _send(
        self,
        course: Course,
        channel: CallerChannel,
        reservation: Reservation,
    ) -> Result:
        backend = reservation.backend
        course.last_backend = backend.backend_id
        course.tried.add(backend.backend_id)
        try:
            connection = await backend.pool.take(
                may_repeat=course.route.may_repeat,
            )
        except ConnectionLostError as error:
            pause_s = backend.record_unreachable(self._clock.now_s())
            course.failure = error.detail
            log_event(
                log,
                'backend_paused',
                request_id=course.request.request_id,
                backend=backend.backend_id,
                failures_in_row=backend.failures_in_row,
                pause_s=pause_s,
                reason=error.detail,
            )
            return Result.NOT_RUN
        backend.open_requests += 1
        backend.started_since_report += 1
        head: AnswerHead | None = None
        try:
            result, head = await self._exchange(
                course,
                channel,
                connection,
                reservation,
            )
        finally:
            backend.open_requests -= 1
            if head is None:
                connection.abort()
            else:
                backend.pool.give_back(connection, head)
        backend.record_answer(
            failed=result in FAILURES,
            now_s=self._clock.now_s(),
        )
        return result

    async def _exchange(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
        reservation: Reservation,
    ) -> tuple[Result, AnswerHead | None]:
        """Send the request once; the head is set after a complete answer."""
        request = course.request
        try:
            connection.send(
                self._head_bytes(course, reservation),
                request.body,
                lambda head: self._answers(request, head),
                has_answer_body=request.method != 'HEAD',
            )
        except ConnectionLostError as error:
            course.failure = error.detail
            return Result.NOT_RUN, None
        course.sends += 1
        course.runs += 1
        try:
            return await self._receive(
                course,
                channel,
                connection,
                reservation,
            )
        except BrokenAnswerError as error:
            course.failure = error.detail
            return Result.BROKEN, None
        except TimeoutError:
            course.failure = 'silent for too long'
            return Result.SILENT, None

    def _head_bytes(self, course: Course, reservation: Reservation) -> bytes:
        request = course.request
        if course.stream is not None and course.stream.last_event_id:
            request = replace(
                request,
                last_event_id=course.stream.last_event_id,
            )
        left_ms = int(course.left_s(self._clock.now_s()) * 1000)
        return self._wire.write_request(
            request,
            Forwarding(
                backend_id=reservation.backend.backend_id,
                remaining_ms=max(1, left_ms - ANSWER_MARGIN_MS),
                account=course.account,
                priority=course.priority,
                adapter_version=reservation.adapter_version,
                last_event_id=request.last_event_id,
            ),
        )

    def _answers(self, request: CallerRequest, head: AnswerHead) -> bool:
        answered = self._wire.read_answer(head).answered_id
        return not answered or answered == request.request_id

    # The answer.

    async def _receive(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
        reservation: Reservation,
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
            await self._relay_stream(course, channel, head, reservation)
            return Result.DELIVERED, head
        body = await _read_whole(head)
        if channel.has_begun or self._is_worth_another(course, head, body):
            course.failure = f'answered {head.status}'
            return Result.FAILED, head
        course.kept_failure = None
        await self._deliver_whole(channel, head, body)
        return Result.DELIVERED, head

    def _is_worth_another(
        self,
        course: Course,
        head: AnswerHead,
        body: bytes,
    ) -> bool:
        """Return whether another backend server may do better."""
        if head.status < SERVER_ERROR:
            return False
        course.kept_failure = (head, body)
        return course.may_send_again

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
        reservation: Reservation,
    ) -> None:
        if course.route.may_repeat and course.stream is None:
            course.stream = ResumableStream(course.request.last_event_id)
        stream = course.stream
        if stream is not None:
            stream.restart()
        if not channel.has_begun:
            await channel.begin(
                head.status,
                head.reason,
                self._stream_headers(course, head),
            )
        await self._relay_events(course, channel, head, reservation)
        rest = stream.take_rest() if stream is not None else b''
        if rest:
            await channel.write(rest)
        await channel.finish()

    async def _relay_events(
        self,
        course: Course,
        channel: CallerChannel,
        head: AnswerHead,
        reservation: Reservation,
    ) -> None:
        read_at_s: float | None = None
        while True:
            async with asyncio.timeout(self._gap_limit_s(course)):
                chunk = await head.body.readany()
            if not chunk and head.body.is_eof():
                return
            now_s = self._clock.now_s()
            if read_at_s is not None:
                pause_s = now_s - read_at_s
                course.longest_pause_s = max(course.longest_pause_s, pause_s)
            elif reservation.hold is not None:
                reservation.hold.tell_prompt_read()
            read_at_s = now_s
            if course.stream is not None:
                chunk = course.stream.feed(chunk)
            if chunk:
                await channel.write(chunk)

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
    size_bytes = 0
    while True:
        chunk = await head.body.readany()
        if not chunk and head.body.is_eof():
            return b''.join(chunks)
        size_bytes += len(chunk)
        if size_bytes > MAX_BUFFERED_BODY_BYTES:
            raise BrokenAnswerError(
                f'answer above {MAX_BUFFERED_BODY_BYTES} bytes',
            )
        chunks.append(chunk)
