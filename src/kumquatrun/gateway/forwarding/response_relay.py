"""Relays the response of a backend server to the caller."""

from collections.abc import Awaitable, Callable
from enum import StrEnum

from kumquatrun.errors import BackendError, Outcome
from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    BrokenResponseError,
    MalformedResponseError,
)
from kumquatrun.gateway.backends.event_stream import (
    EVENT_STREAM,
    EventBoundary,
    ResumableStream,
)
from kumquatrun.gateway.backends.response_head import (
    Framing,
    ResponseHead,
)
from kumquatrun.gateway.forwarding.response_writer import ResponseWriter
from kumquatrun.gateway.forwarding.stream_pauses import (
    longest_pause_s,
    suspicious_pause_s,
)
from kumquatrun.gateway.placement.reservations import Reservation
from kumquatrun.gateway.routing.configuration import RouteKind
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import WireFormat
from kumquatrun.runtime.body_reader import (
    BodyTooLargeError,
    read_body,
    read_received,
)
from kumquatrun.runtime.clock import Clock

# Time limits of one attempt at a repeatable request, as multiples of the target
# latency of its route: a plain response must be complete by then, a stream must
# have begun. Otherwise the request goes to another backend server.
ATTEMPT_TIMEOUT_FACTOR = 1.5
STREAM_START_TIMEOUT_FACTOR = 2.0
# A refusal arrives in one piece, so its body is not worth a longer wait.
REFUSAL_BODY_TIMEOUT_S = 0.1
# Largest response that is not streamed; it is buffered before it is relayed.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
PLAIN_ENCODINGS = frozenset(('', 'identity'))
SERVER_ERROR = 500
SUCCESS = range(200, 300)
# Statuses by which a caller knows that its request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AttemptResult(StrEnum):
    """How one attempt at a backend server ended."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'
    SILENT = 'silent'


class ResponseRelay:
    """Relays responses in one wire format."""

    def __init__(self, wire: WireFormat, clock: Clock) -> None:
        self._wire = wire
        self._clock = clock

    async def receive(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        connection: BackendConnection,
        reservation: Reservation,
        on_answer: Callable[[], None],
        is_outlived: Callable[[], Awaitable[bool]],
    ) -> tuple[AttemptResult, ResponseHead | None]:
        """Relay the response to a request that was sent.

        Calls ``on_answer`` once the first event of a stream, or a successful
        response that is no stream, has arrived in full, and ``is_outlived`` to
        find out whether the backend server of a stream that pauses lives on.
        Returns how the attempt ended, and the head of a complete response.

        Raises
        ------
        BrokenResponseError
            If the response ended early or is malformed.
        TimeoutError
            If the backend server took too long.
        """
        deadline_s = self._attempt_deadline_s(request_state)
        head = await connection.read_head(deadline_s)
        request_state.framing = head.framing
        if self._wire.read_response(head).is_not_run:
            request_state.runs -= 1
            await _read_buffered(
                head, self._clock.now_s() + REFUSAL_BODY_TIMEOUT_S
            )
            request_state.failure = f'refused with {head.status}'
            return AttemptResult.NOT_RUN, head
        is_stream = request_state.route.kind is RouteKind.STREAMING
        if is_stream and head.status in SUCCESS:
            await self._relay_stream(
                request_state,
                writer,
                head,
                reservation,
                EventBoundary(on_answer),
                is_outlived,
            )
            return AttemptResult.DELIVERED, head
        body = await _read_buffered(head, deadline_s)
        if head.status in SUCCESS:
            on_answer()
        if writer.has_begun or self._should_try_another(
            request_state, head, body
        ):
            request_state.failure = f'answered {head.status}'
            return AttemptResult.FAILED, head
        request_state.fallback_response = None
        await self.deliver_buffered(writer, head, body)
        return AttemptResult.DELIVERED, head

    def _should_try_another(
        self,
        request_state: RequestState,
        head: ResponseHead,
        body: bytes,
    ) -> bool:
        """Return whether to try another backend server.

        Keeps a server error, to be relayed if no other attempt succeeds.
        """
        if head.status < SERVER_ERROR:
            return False
        request_state.fallback_response = (head, body)
        return request_state.may_send_again

    def _attempt_deadline_s(self, request_state: RequestState) -> float | None:
        """Return the deadline of the current attempt; None for no limit.

        A stream must have begun by then, any other response must be complete.
        """
        if (
            not request_state.route.may_repeat
            or not request_state.may_send_again
        ):
            return None
        is_stream = request_state.route.kind is RouteKind.STREAMING
        factor = (
            STREAM_START_TIMEOUT_FACTOR if is_stream else ATTEMPT_TIMEOUT_FACTOR
        )
        limit_s = factor * request_state.route.target_latency_ms / 1000
        return self._clock.now_s() + limit_s

    async def deliver_buffered(
        self,
        writer: ResponseWriter,
        head: ResponseHead,
        body: bytes,
    ) -> None:
        """Send a buffered response to the caller.

        Raises
        ------
        BackendError
            If its status means to callers that the request was not run.
        """
        if head.status in NOT_RUN_STATUSES:
            # The backend server may have run the request, although the status
            # says that the request was not run.
            raise BackendError(
                f'answered {head.status} after it began to run',
                outcome=Outcome.UNKNOWN,
                cause='backend_failed',
            )
        headers = self._wire.response_headers(head)
        # A response without a length is complete here: the reader of the body
        # fails if the connection was reset.
        if not any(name.lower() == 'content-length' for name, _ in headers):
            headers.append(('Content-Length', str(len(body))))
        await writer.begin(head.status, head.reason, headers)
        if body:
            await writer.write(body)
        await writer.finish()

    async def _relay_stream(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        head: ResponseHead,
        reservation: Reservation,
        boundary: EventBoundary,
        is_outlived: Callable[[], Awaitable[bool]],
    ) -> None:
        if request_state.route.may_repeat and request_state.stream is None:
            request_state.stream = ResumableStream(
                request_state.request.last_event_id
            )
        stream = request_state.stream
        if stream is not None:
            stream.drop_incomplete_event()
        if not writer.has_begun:
            await writer.begin(
                head.status,
                head.reason,
                self._stream_headers(request_state, head),
            )
        await self._relay_events(
            request_state, writer, head, reservation, boundary, is_outlived
        )
        _check_stream_end(head, boundary)
        rest = stream.take_rest() if stream is not None else b''
        if rest:
            await writer.write(rest)
        await writer.finish()

    async def _relay_events(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        head: ResponseHead,
        reservation: Reservation,
        boundary: EventBoundary,
        is_outlived: Callable[[], Awaitable[bool]],
    ) -> None:
        last_read_at_s: float | None = None
        while True:
            chunk = await self._read_chunk(request_state, head, is_outlived)
            if not chunk and head.body.is_eof():
                return
            now_s = self._clock.now_s()
            if last_read_at_s is not None:
                pause_s = now_s - last_read_at_s
                request_state.longest_pause_s = max(
                    request_state.longest_pause_s, pause_s
                )
            elif reservation.pinned_adapter is not None:
                reservation.pinned_adapter.notify_prompt_read()
            last_read_at_s = now_s
            boundary.add(chunk)
            if request_state.stream is not None:
                chunk = _complete_events(request_state.stream, chunk, head)
            if chunk:
                await writer.write(chunk)

    def _stream_headers(
        self,
        request_state: RequestState,
        head: ResponseHead,
    ) -> list[tuple[str, str]]:
        headers = self._wire.response_headers(head)
        if request_state.stream is None:
            return headers
        # A stream resumed on another backend server may differ in length.
        return [
            (name, value)
            for name, value in headers
            if name.lower() != 'content-length'
        ]

    async def _read_chunk(
        self,
        request_state: RequestState,
        head: ResponseHead,
        is_outlived: Callable[[], Awaitable[bool]],
    ) -> bytes:
        """Return the next bytes of a stream.

        A stream that can be resumed pauses for longer only if its backend
        server is known to live on: it may have preempted the request.

        Raises
        ------
        TimeoutError
            If the stream has to be resumed elsewhere.
        """
        route = request_state.route
        is_resumable = request_state.stream is not None and route.gap_target_ms
        if not is_resumable or not request_state.may_send_again:
            return await head.body.readany()
        paused_at_s = self._clock.now_s()
        try:
            return await read_received(
                head.body, paused_at_s + suspicious_pause_s(route)
            )
        except TimeoutError:
            if not await is_outlived():
                raise
        return await read_received(
            head.body, paused_at_s + longest_pause_s(route)
        )


def _complete_events(
    stream: ResumableStream,
    chunk: bytes,
    head: ResponseHead,
) -> bytes:
    try:
        return stream.feed(chunk)
    except BackendError as error:
        raise MalformedResponseError(
            f'{error.detail}, {head.body.total_bytes} bytes received',
        ) from error


def _check_stream_end(head: ResponseHead, boundary: EventBoundary) -> None:
    """Check that a stream that has ended is complete.

    A crash may close the connection like the end of a response without a
    length, and a backend server may end even a framed body too early. Neither
    is told from a whole stream but by the event that it cuts.

    Raises
    ------
    BrokenResponseError
        If the stream ends inside an event, or without any event and any proof
        that it has none.
    """
    is_framed = head.framing is not Framing.CLOSE
    is_empty = boundary.is_empty and is_framed
    if boundary.is_at_end or is_empty or not _has_plain_events(head):
        return
    # A backend server that has framed the end was alive when it sent it.
    error_class = MalformedResponseError if is_framed else BrokenResponseError
    raise error_class(
        f'the stream ends inside an event, {head.body.total_bytes} bytes '
        f'received, framing {head.framing}'
    )


def _has_plain_events(head: ResponseHead) -> bool:
    if head.header(b'content-encoding').strip().lower() not in PLAIN_ENCODINGS:
        return False
    content_type, _, _ = head.header(b'content-type').partition(';')
    if not content_type.strip():
        # Without a type and without framing, nothing but the events can show
        # that the response is whole.
        return head.framing is Framing.CLOSE
    return content_type.strip().lower() == EVENT_STREAM


async def _read_buffered(head: ResponseHead, deadline_s: float | None) -> bytes:
    try:
        return await read_body(
            head.body, MAX_BUFFERED_RESPONSE_BYTES, deadline_s
        )
    except BodyTooLargeError as error:
        raise MalformedResponseError(str(error)) from error
