"""Turns errors of the gateway into responses to callers."""

from kumquatrun.errors import (
    BackendError,
    ControlUnreachableError,
    KumquatrunError,
    Outcome,
    QuarantinedError,
)
from kumquatrun.gateway.forwarding.response_relay import NOT_RUN_STATUSES
from kumquatrun.gateway.forwarding.response_writer import ResponseWriter
from kumquatrun.gateway.routing.request_state import RequestState

DEFAULT_RETRY_AFTER_S = 0.5
BAD_GATEWAY_STATUS = 502
UNAVAILABLE_STATUS = 503
TIMEOUT_STATUS = 504
TIMEOUT_CAUSE = 'timeout'


def timeout_error(request_state: RequestState | None) -> KumquatrunError:
    """Return the error for a request whose deadline has passed."""
    if request_state is not None and request_state.may_have_run:
        return BackendError(
            f'{request_state.last_backend} did not answer in time',
            outcome=Outcome.UNKNOWN,
            cause=TIMEOUT_CAUSE,
        )
    return ControlUnreachableError(
        'the request was not sent in time',
        cause='not_sent_in_time',
    )


async def refuse(writer: ResponseWriter, problem: KumquatrunError) -> None:
    """Respond with an error, or abort a response that was begun."""
    if writer.has_begun:
        writer.abort()
        return
    status = _status_of(problem)
    retry_after_s = problem.retry_after_s
    if status in NOT_RUN_STATUSES and retry_after_s is None:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    await writer.refuse(status, str(problem), retry_after_s)


def _status_of(problem: KumquatrunError) -> int:
    """Return the HTTP status for an error.

    Statuses of ``NOT_RUN_STATUSES`` are reserved for requests that were not
    run.
    """
    if isinstance(problem, QuarantinedError):
        # A valid request can have the fingerprint of one that crashed backend
        # servers, so the status must not blame the caller, as 4xx would.
        return UNAVAILABLE_STATUS
    if problem.outcome is Outcome.NOT_RUN:
        return problem.kind.http_status
    if problem.cause == TIMEOUT_CAUSE:
        return TIMEOUT_STATUS
    return BAD_GATEWAY_STATUS
