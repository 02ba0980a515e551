"""Takes the answer of a backend server and passes it to the caller."""

import asyncio
from enum import StrEnum

from kumquatrun.errors import BackendError, Outcome
from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    BrokenResponseError,
    ResponseHead,
)
from kumquatrun.gateway.backends.event_stream import ResumableStream
from kumquatrun.gateway.forwarding.body_reader import (
    BodyTooLargeError,
    read_body,
)
from kumquatrun.gateway.forwarding.caller_channel import CallerChannel
from kumquatrun.gateway.placement.reservations import Reservation
from kumquatrun.gateway.routing.configuration import RouteKind
from kumquatrun.gateway.routing.course import Course
from kumquatrun.gateway.routing.wire_format import WireFormat
from kumquatrun.runtime.clock import Clock

# A repeatable request whose answer does not begin, or whose plain answer does
# not end, in this many target latencies is tried elsewhere.
SILENT_TARGETS = 1.5
SILENT_STREAM_TARGETS = 2.0
# A resumable stream that pauses for this many gap targets continues elsewhere.
SILENT_GAPS = 6.0
# A refusal comes whole; what follows its head is worth no more waiting.
REFUSAL_BODY_S = 0.1
# Largest answer of a plain route, which is read whole before it is passed on.
MAX_WHOLE_BYTES = 256 * 1024
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


class AnswerRelay:
    """Relays answers of one wire format."""

    def __init__(self, wire: WireFormat, clock: Clock) -> None:
        self._wire = wire
        self._clock = clock

    async def receive(
        self,
        course: Course,
        channel: CallerChannel,
        connection: BackendConnection,
        reservation: Reservation,
    ) -> tuple[Result, ResponseHead | None]:
        """Take the answer to a request that was sent.

        Returns how the send ended and the head of a complete answer.

        Raises
        ------
        BrokenResponseError
            If the answer ended early.
        TimeoutError
            If the backend server took too long.
        """
        ends_at_s = self._attempt_ends_at_s(course)
        async with asyncio.timeout_at(ends_at_s):
            head = await connection.read_head()
        if self._wire.read_answer(head).is_not_run:
            course.runs -= 1
            async with asyncio.timeout(REFUSAL_BODY_S):
                await _read_whole(head)
            course.failure = f'refused with {head.status}'
            return Result.NOT_RUN, head
        is_stream = course.route.kind is RouteKind.STREAMING
        if is_stream and head.status in SUCCESS:
            await self._relay_stream(course, channel, head, reservation)
            return Result.DELIVERED, head
        async with asyncio.timeout_at(ends_at_s):
            body = await _read_whole(head)
        if channel.has_begun or self._is_worth_another(course, head, body):
            course.failure = f'answered {head.status}'
            return Result.FAILED, head
        course.kept_failure = None
        await self.deliver_whole(channel, head, body)
        return Result.DELIVERED, head

    def _is_worth_another(
        self,
        course: Course,
        head: ResponseHead,
        body: bytes,
    ) -> bool:
        """Return whether another backend server may do better."""
        if head.status < SERVER_ERROR:
            return False
        course.kept_failure = (head, body)
        return course.may_send_again

    def _attempt_ends_at_s(self, course: Course) -> float | None:
        """Return when the answer must have come; None for no limit.

        A stream must have begun by then, any other answer must be whole.
        """
        if not course.route.may_repeat or not course.may_send_again:
            return None
        is_stream = course.route.kind is RouteKind.STREAMING
        targets = SILENT_STREAM_TARGETS if is_stream else SILENT_TARGETS
        limit_s = targets * course.route.target_latency_ms / 1000
        return self._clock.now_s() + limit_s

    async def deliver_whole(
        self,
        channel: CallerChannel,
        head: ResponseHead,
        body: bytes,
    ) -> None:
        """Send a whole answer to the caller.

        Raises
        ------
        BackendError
            If its status would promise that the request was not run.
        """
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
        head: ResponseHead,
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
        head: ResponseHead,
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
            elif reservation.pinned_adapter is not None:
                reservation.pinned_adapter.notify_prompt_read()
            read_at_s = now_s
            if course.stream is not None:
                chunk = _whole_events(course.stream, chunk, head)
            if chunk:
                await channel.write(chunk)

    def _stream_headers(
        self,
        course: Course,
        head: ResponseHead,
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


def _whole_events(
    stream: ResumableStream,
    chunk: bytes,
    head: ResponseHead,
) -> bytes:
    try:
        return stream.feed(chunk)
    except BackendError as error:
        raise BrokenResponseError(
            f'{error.detail}, {head.body.total_bytes} bytes received',
        ) from error


async def _read_whole(head: ResponseHead) -> bytes:
    try:
        return await read_body(head.body, MAX_WHOLE_BYTES)
    except BodyTooLargeError as error:
        raise BrokenResponseError(str(error)) from error
