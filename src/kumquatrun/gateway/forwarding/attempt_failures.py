"""Reasons and log lines of attempts that failed."""

import logging

from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    BrokenResponseError,
)
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.forwarding.response_relay import AttemptResult
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)


def failure_reason(
    error: BrokenResponseError | TimeoutError, connection: BackendConnection
) -> str:
    """Return why an attempt got no usable response."""
    if isinstance(error, BrokenResponseError):
        return error.detail
    return no_response_reason(connection)


def no_response_reason(connection: BackendConnection) -> str:
    """Return the reason of an attempt whose response did not end in time."""
    return f'no answer in time, {connection.received_bytes} bytes received'


def log_failed_attempt(
    request_state: RequestState, result: AttemptResult
) -> None:
    """Log an attempt that did not deliver a response."""
    log_event(
        log,
        'attempt_failed',
        request_id=request_state.request.request_id,
        backend=request_state.last_backend,
        result=result,
        sends=request_state.sends,
        runs=request_state.runs,
        framing=request_state.framing,
        reason=request_state.failure,
    )


def log_extra_bytes(
    request_state: RequestState,
    backend: Backend,
    connection: BackendConnection,
) -> None:
    """Log bytes that arrived after a complete response, if any did."""
    if connection.has_extra_bytes:
        log_event(
            log,
            'bytes_after_answer',
            request_id=request_state.request.request_id,
            backend=backend.backend_id,
            received_bytes=connection.received_bytes,
        )
