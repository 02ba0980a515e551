"""Forwards a request to backend servers, with retries."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from kumquatrun.errors import (
    BackendError,
    ConnectionLostError,
    NoCapacityError,
    Outcome,
    QuarantinedError,
)
from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    BrokenResponseError,
    MalformedResponseError,
)
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.backends.response_head import (
    ResponseHead,
)
from kumquatrun.gateway.crashes.crash_watch import CrashWatch
from kumquatrun.gateway.crashes.watched_run import RunEnding
from kumquatrun.gateway.forwarding.attempt_failures import (
    failure_reason,
    log_extra_bytes,
    log_failed_attempt,
    no_response_reason,
)
from kumquatrun.gateway.forwarding.response_relay import (
    SERVER_ERROR,
    AttemptResult,
    ResponseRelay,
)
from kumquatrun.gateway.forwarding.response_writer import ResponseWriter
from kumquatrun.gateway.forwarding.send_checks import SendChecks
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.forwarding.signal_recorder import record_signals
from kumquatrun.gateway.placement.reservations import (
    BUSY_RETRY_AFTER_S,
    Reservation,
    Reservations,
)
from kumquatrun.gateway.routing.configuration import RouteKind
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import (
    CallerRequest,
    ForwardingFields,
    WireFormat,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# The time limit in a request to a backend server is this much shorter than the
# remaining time, so that the response still reaches the caller in time.
RESPONSE_MARGIN_MS = 15
# Results that count as a failure of the backend server.
FAILURES = frozenset(
    (AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT)
)
_ENDINGS = {
    AttemptResult.DELIVERED: RunEnding.COMPLETED,
    AttemptResult.FAILED: RunEnding.COMPLETED,
    AttemptResult.NOT_RUN: RunEnding.ANSWERED,
}
_FAILED_RUNS: Mapping[type, tuple[AttemptResult, RunEnding]] = {
    MalformedResponseError: (AttemptResult.BROKEN, RunEnding.ANSWERED),
    BrokenResponseError: (AttemptResult.BROKEN, RunEnding.BROKEN),
    TimeoutError: (AttemptResult.SILENT, RunEnding.SILENT),
}


class Forwarder:
    """Tries backend servers until one answers or no attempt is left."""

    def __init__(
        self,
        wire: WireFormat,
        reservations: Reservations,
        retries: SharedRetryBudgets,
        check_stop: Callable[[float], None],
        crashes: CrashWatch,
        clock: Clock,
    ) -> None:
        self._wire = wire
        self._relay = ResponseRelay(wire, clock)
        self._reservations = reservations
        self._send_checks = SendChecks(reservations, clock)
        self._retries = retries
        self._check_stop = check_stop
        self._crashes = crashes
        self._clock = clock

    async def run(
        self, request_state: RequestState, writer: ResponseWriter
    ) -> None:
        """Forward a request and relay the response.

        Raises
        ------
        KumquatrunError
            If no complete response was relayed. Its outcome says whether the
            request may have run. Nothing was sent to the caller unless
            ``writer.has_begun`` is true.
        TimeoutError
            If the deadline had passed before an attempt.
        """
        self._retries.record_request(request_state.service, self._clock.now_s())
        problem: NoCapacityError | QuarantinedError | None = None
        while request_state.may_send_again:
            if not request_state.may_have_run:
                self._check_stop(request_state.deadline_s)
            if request_state.sends and not self._take_retry(request_state):
                break
            try:
                result = await self._try_once(request_state, writer)
            except (NoCapacityError, QuarantinedError) as error:
                problem = error
                break
            if result is AttemptResult.DELIVERED:
                return
            log_failed_attempt(request_state, result)
        await self._give_up(request_state, writer, problem)

    def _take_retry(self, request_state: RequestState) -> bool:
        return self._retries.take(request_state.service, self._clock.now_s())

    async def _try_once(
        self, request_state: RequestState, writer: ResponseWriter
    ) -> AttemptResult:
        async with self._reservations.reserve(request_state) as reservation:
            return await self._send(request_state, writer, reservation)

    async def _give_up(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        problem: NoCapacityError | QuarantinedError | None,
    ) -> None:
        if request_state.fallback_response is not None and not writer.has_begun:
            head, body = request_state.fallback_response
            await self._relay.deliver_buffered(writer, head, body)
            return
        if request_state.may_have_run:
            raise BackendError(
                f'{request_state.last_backend}: {request_state.failure}',
                outcome=Outcome.UNKNOWN,
                cause='backend_failed',
            )
        problem = problem or self._reservations.unavailable(request_state)
        raise problem or NoCapacityError(
            f'no backend server accepted the request: {request_state.failure}',
            retry_after_s=BUSY_RETRY_AFTER_S,
            cause='refused_by_backends',
        )

    # One attempt.

    async def _send(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        reservation: Reservation,
    ) -> AttemptResult:
        backend = reservation.backend
        request_state.last_backend = backend.backend_id
        request_state.tried_backends.add(backend.backend_id)
        self._check_deadline(request_state)
        self._crashes.check(request_state)
        if not self._send_checks.is_wanted(request_state, backend):
            return AttemptResult.NOT_RUN
        try:
            connection = await backend.pool.acquire(
                may_repeat=request_state.route.may_repeat,
            )
        except ConnectionLostError as error:
            pause_s = backend.record_unreachable(self._clock.now_s())
            self._crashes.record_backend_end(backend.backend_id)
            request_state.failure = error.detail
            log_event(
                log,
                'backend_paused',
                request_id=request_state.request.request_id,
                backend=backend.backend_id,
                failures_in_row=backend.consecutive_failures,
                pause_s=pause_s,
                reason=error.detail,
            )
            return AttemptResult.NOT_RUN
        if not self._send_checks.may_send(request_state, backend):
            backend.pool.put_back(connection)
            return AttemptResult.NOT_RUN
        backend.open_requests += 1
        backend.started_since_report += 1
        head: ResponseHead | None = None
        try:
            result, head = await self._exchange(
                request_state,
                writer,
                connection,
                reservation,
            )
        except asyncio.CancelledError:
            self._record_unfinished(request_state, backend, connection)
            raise
        finally:
            backend.open_requests -= 1
            if head is None:
                connection.abort()
            else:
                backend.pool.release(connection, head)
        log_extra_bytes(request_state, backend, connection)
        has_failed = head is not None and head.status >= SERVER_ERROR
        backend.record_response(
            failed=result in FAILURES
            or (result is AttemptResult.DELIVERED and has_failed),
            now_s=self._clock.now_s(),
        )
        return result

    def _check_deadline(self, request_state: RequestState) -> None:
        """Check that the deadline of the request has not passed.

        ``asyncio.timeout`` takes effect only at the next suspension, and a
        send on an idle connection does not suspend before it writes.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        if not request_state.remaining_s(self._clock.now_s()):
            raise TimeoutError

    def _record_unfinished(
        self,
        request_state: RequestState,
        backend: Backend,
        connection: BackendConnection,
    ) -> None:
        """Record a failure if a plain response began but did not end in time.

        Streams are excluded: the deadline may end a stream of a healthy
        backend server.
        """
        now_s = self._clock.now_s()
        is_stream = request_state.route.kind is RouteKind.STREAMING
        if (
            is_stream
            or request_state.remaining_s(now_s)
            or not connection.is_response_incomplete
        ):
            return
        request_state.failure = no_response_reason(connection)
        backend.record_response(failed=True, now_s=now_s)
        log_failed_attempt(request_state, AttemptResult.SILENT)

    async def _exchange(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        connection: BackendConnection,
        reservation: Reservation,
    ) -> tuple[AttemptResult, ResponseHead | None]:
        """Send the request once and relay the response.

        Returns how the attempt ended, and the head of a complete response.
        """
        request = request_state.request
        try:
            connection.send(
                self._head_bytes(request_state, reservation),
                request.body,
                lambda head: self._is_response_to(
                    request, connection, head, reservation.backend
                ),
                has_response_body=request.method != 'HEAD',
            )
        except ConnectionLostError as error:
            request_state.failure = error.detail
            return AttemptResult.NOT_RUN, None
        request_state.sends += 1
        request_state.runs += 1
        request_state.framing = ''
        return await self._receive(
            request_state, writer, connection, reservation
        )

    async def _receive(
        self,
        request_state: RequestState,
        writer: ResponseWriter,
        connection: BackendConnection,
        reservation: Reservation,
    ) -> tuple[AttemptResult, ResponseHead | None]:
        """Relay the response and record how the run ended."""
        run = self._crashes.begin(
            request_state, reservation.backend.backend_id, connection
        )
        ending = RunEnding.ABANDONED
        try:
            result, head = await self._relay.receive(
                request_state,
                writer,
                connection,
                reservation,
                partial(self._crashes.record_answer, run),
                partial(self._crashes.is_outlived, run),
            )
            ending = _ENDINGS[result]
        except (BrokenResponseError, TimeoutError) as error:
            result, ending = _FAILED_RUNS[type(error)]
            request_state.failure = failure_reason(error, connection)
            return result, None
        except BackendError:
            # The response was complete but can't be relayed.
            ending = RunEnding.COMPLETED
            raise
        except asyncio.CancelledError:
            if not request_state.remaining_s(self._clock.now_s()):
                ending = RunEnding.SILENT
            raise
        finally:
            self._crashes.end(run, ending)
        return result, head

    def _head_bytes(
        self, request_state: RequestState, reservation: Reservation
    ) -> bytes:
        request = request_state.request
        if (
            request_state.stream is not None
            and request_state.stream.last_event_id
        ):
            request = replace(
                request,
                last_event_id=request_state.stream.last_event_id,
            )
        until_deadline_ms = int(
            request_state.remaining_s(self._clock.now_s()) * 1000
        )
        return self._wire.write_request(
            request,
            ForwardingFields(
                backend_id=reservation.backend.backend_id,
                remaining_ms=max(1, until_deadline_ms - RESPONSE_MARGIN_MS),
                account=request_state.account,
                priority=request_state.priority,
                adapter_version=reservation.adapter_version,
                last_event_id=request.last_event_id,
            ),
        )

    def _is_response_to(
        self,
        request: CallerRequest,
        connection: BackendConnection,
        head: ResponseHead,
        backend: Backend,
    ) -> bool:
        """Return whether a response belongs to a request.

        Also records what the response says about its backend server, before
        any other request can be sent there.

        On a reused connection, a response without a request id may be a
        duplicate: the backend server sent the refusal of an earlier request
        twice.
        """
        info = self._wire.read_response(head)
        if info.answered_id:
            is_own = info.answered_id == request.request_id
        else:
            is_own = connection.is_first_request
        record_signals(backend, info, self._clock.now_s(), is_own=is_own)
        return is_own
