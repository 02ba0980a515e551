"""Sends one request of a caller to backend servers and relays the answer."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from kumquatrun.errors import (
    BackendError,
    ConnectionLostError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    BrokenResponseError,
    ResponseHead,
)
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.forwarding.answer_relay import (
    SERVER_ERROR,
    AnswerRelay,
    Result,
)
from kumquatrun.gateway.forwarding.caller_channel import CallerChannel
from kumquatrun.gateway.forwarding.retry_shares import RetryShares
from kumquatrun.gateway.placement.reservations import (
    BUSY_RETRY_AFTER_S,
    Reservation,
    Reservations,
)
from kumquatrun.gateway.routing.configuration import RouteKind
from kumquatrun.gateway.routing.course import Course
from kumquatrun.gateway.routing.wire_format import (
    CallerRequest,
    Forwarding,
    WireFormat,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# The backend server gets a little less time than is left, so that its answer
# still reaches the caller.
ANSWER_MARGIN_MS = 15


FAILURES = frozenset((Result.FAILED, Result.BROKEN, Result.SILENT))


class Forwarder:
    """Tries backend servers until one answers or none may be tried."""

    def __init__(
        self,
        wire: WireFormat,
        reservations: Reservations,
        retries: RetryShares,
        check_stop: Callable[[float], None],
        clock: Clock,
    ) -> None:
        self._wire = wire
        self._relay = AnswerRelay(wire, clock)
        self._reservations = reservations
        self._retries = retries
        self._check_stop = check_stop
        self._clock = clock

    async def run(self, course: Course, channel: CallerChannel) -> None:
        """Forward a request until it is answered or given up.

        Raises
        ------
        KumquatrunError
            If no answer was delivered; its outcome says whether the request
            may have run. Nothing was sent to the caller unless the channel
            has begun.
        TimeoutError
            If the time limit was over before a send.
        """
        self._retries.record_request(course.service, self._clock.now_s())
        problem: NoCapacityError | None = None
        while course.may_send_again:
            if not course.may_have_run:
                self._check_stop(course.ends_at_s)
            if course.sends and not self._take_retry(course):
                break
            try:
                result = await self._try_once(course, channel)
            except NoCapacityError as error:
                problem = error
                break
            if result is Result.DELIVERED:
                return
            _log_failed_attempt(course, result)
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
            await self._relay.deliver_whole(channel, head, body)
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
        self._check_time(course)
        try:
            connection = await backend.pool.acquire(
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
                failures_in_row=backend.consecutive_failures,
                pause_s=pause_s,
                reason=error.detail,
            )
            return Result.NOT_RUN
        backend.open_requests += 1
        backend.started_since_report += 1
        head: ResponseHead | None = None
        try:
            result, head = await self._exchange(
                course,
                channel,
                connection,
                reservation,
            )
        except asyncio.CancelledError:
            self._judge_unfinished(course, backend, connection)
            raise
        finally:
            backend.open_requests -= 1
            if head is None:
                connection.abort()
            else:
                backend.pool.release(connection, head)
        if connection.has_extra_bytes:
            log_event(
                log,
                'bytes_after_answer',
                request_id=course.request.request_id,
                backend=backend.backend_id,
                received_bytes=connection.received_bytes,
            )
        has_failed = head is not None and head.status >= SERVER_ERROR
        backend.record_response(
            failed=result in FAILURES
            or (result is Result.DELIVERED and has_failed),
            now_s=self._clock.now_s(),
        )
        return result

    def _check_time(self, course: Course) -> None:
        """Check that the caller still waits.

        A timeout acts at the next wait only, and a send on an idle connection
        comes before that.

        Raises
        ------
        TimeoutError
            If the time limit is over.
        """
        if not course.left_s(self._clock.now_s()):
            raise TimeoutError

    def _judge_unfinished(
        self,
        course: Course,
        backend: Backend,
        connection: BackendConnection,
    ) -> None:
        """Count a plain answer that began and did not end in time.

        A stream may be cut by its time limit at an engine that works well.
        """
        now_s = self._clock.now_s()
        is_stream = course.route.kind is RouteKind.STREAMING
        if (
            is_stream
            or course.left_s(now_s)
            or not connection.is_response_incomplete
        ):
            return
        course.failure = _unfinished(connection)
        backend.record_response(failed=True, now_s=now_s)
        _log_failed_attempt(course, Result.SILENT)

    async def _exchange(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
        reservation: Reservation,
    ) -> tuple[Result, ResponseHead | None]:
        """Send the request once; the head is set after a complete answer."""
        request = course.request
        try:
            connection.send(
                self._head_bytes(course, reservation),
                request.body,
                lambda head: self._answers(request, connection, head),
                has_response_body=request.method != 'HEAD',
            )
        except ConnectionLostError as error:
            course.failure = error.detail
            return Result.NOT_RUN, None
        course.sends += 1
        course.runs += 1
        try:
            return await self._relay.receive(
                course,
                channel,
                connection,
                reservation,
            )
        except BrokenResponseError as error:
            course.failure = error.detail
            return Result.BROKEN, None
        except TimeoutError:
            course.failure = _unfinished(connection)
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

    def _answers(
        self,
        request: CallerRequest,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> bool:
        """Return whether an answer belongs to a request.

        On a connection that is used again, an answer that names no request
        may be an earlier refusal, written once more while this request runs.
        """
        answered = self._wire.read_answer(head).answered_id
        if not answered:
            return connection.is_first_request
        return answered == request.request_id


def _unfinished(connection: BackendConnection) -> str:
    return f'no answer in time, {connection.received_bytes} bytes received'


def _log_failed_attempt(course: Course, result: Result) -> None:
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
