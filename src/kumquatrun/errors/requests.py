"""Errors that end the requests of callers."""

from kumquatrun.errors.base import ErrorKind, KumquatrunError, Outcome


class InvalidRequestError(KumquatrunError):
    """Refuses a request whose body or headers are malformed."""

    kind = ErrorKind(
        'invalid_request',
        400,
        Outcome.NOT_RUN,
        'Correct the request body as the message says.',
    )


class RequestTooLargeError(KumquatrunError):
    """Refuses a request that exceeds a size limit."""

    kind = ErrorKind(
        'request_too_large',
        413,
        Outcome.NOT_RUN,
        'Send a smaller body.',
    )


class InvalidKeyError(KumquatrunError):
    """Refuses a missing, unknown or withdrawn key."""

    kind = ErrorKind(
        'invalid_key',
        401,
        Outcome.NOT_RUN,
        'Send a valid key as a bearer token; ask the operator for one.',
    )


class NotPermittedError(KumquatrunError):
    """Refuses an account that the route or adapter does not admit."""

    kind = ErrorKind(
        'not_permitted',
        403,
        Outcome.NOT_RUN,
        'Ask the operator to allow this account on the route.',
    )


class RouteNotFoundError(KumquatrunError):
    """Refuses a path that no route matches."""

    kind = ErrorKind(
        'route_not_found',
        404,
        Outcome.NOT_RUN,
        'Check the path against the routes of the configuration document.',
    )


class ModelNotFoundError(KumquatrunError):
    """Refuses an unknown adapter or version."""

    kind = ErrorKind(
        'model_not_found',
        404,
        Outcome.NOT_RUN,
        'List the adapters of this account with GET /v1/models.',
    )


class RateLimitedError(KumquatrunError):
    """Refuses a request for which no tokens are left."""

    kind = ErrorKind(
        'rate_limited',
        429,
        Outcome.NOT_RUN,
        'Wait for the time in Retry-After, or ask for a higher rate.',
    )


class ControlUnreachableError(KumquatrunError):
    """Refuses keyed work while the host has no valid lease."""

    kind = ErrorKind(
        'control_unreachable',
        503,
        Outcome.NOT_RUN,
        'Retry later; operators check that a majority of replicas is up.',
    )


class NoCapacityError(KumquatrunError):
    """Refuses a request that no backend server has room for."""

    kind = ErrorKind(
        'no_capacity',
        503,
        Outcome.NOT_RUN,
        'Retry later; operators check the agents of the service.',
    )


class DrainingError(KumquatrunError):
    """Refuses new work on a host that is about to stop."""

    kind = ErrorKind(
        'draining',
        503,
        Outcome.NOT_RUN,
        'Retry; the balancer sends the request to another host.',
    )


class StaleDispatchError(KumquatrunError):
    """Refuses a dispatch made from outdated host state."""

    kind = ErrorKind(
        'stale_dispatch',
        503,
        Outcome.NOT_RUN,
        'Retry; the sender has an old view of the host.',
    )


class AdapterLoadError(KumquatrunError):
    """Reports that an adapter could not be loaded in time."""

    kind = ErrorKind(
        'adapter_load_failed',
        503,
        Outcome.NOT_RUN,
        'Retry later; operators check the weight store and the backend server.',
    )


class DeadlineExceededError(KumquatrunError):
    """Reports a request that ran out of time."""

    kind = ErrorKind(
        'deadline_exceeded',
        504,
        Outcome.UNKNOWN,
        'Send an Idempotency-Key before repeating, or raise the deadline.',
    )


class OutcomeUnknownError(KumquatrunError):
    """Reports a request that may or may not have run."""

    kind = ErrorKind(
        'outcome_unknown',
        502,
        Outcome.UNKNOWN,
        'Check whether the call took effect before repeating it.',
    )


class BackendError(KumquatrunError):
    """Reports a failure answer of a backend server."""

    kind = ErrorKind(
        'backend_error',
        502,
        Outcome.RAN,
        'Report the request id to the operator.',
    )


class QuarantinedError(KumquatrunError):
    """Refuses a request that is known to stop backend servers."""

    kind = ErrorKind(
        'quarantined',
        422,
        Outcome.NOT_RUN,
        'Change the request; this one stopped backend servers before.',
    )


class AlreadyRanError(KumquatrunError):
    """Refuses to repeat a finished request whose answer is gone."""

    kind = ErrorKind(
        'already_ran',
        409,
        Outcome.RAN,
        'Do not repeat it; the first answer is too large to be kept.',
    )


class InProgressError(KumquatrunError):
    """Refuses to repeat a request that is still running."""

    kind = ErrorKind(
        'in_progress',
        409,
        Outcome.UNKNOWN,
        'Wait for the first attempt with this Idempotency-Key to end.',
    )


class IdempotencyMismatchError(KumquatrunError):
    """Refuses another body under a used Idempotency-Key."""

    kind = ErrorKind(
        'idempotency_mismatch',
        422,
        Outcome.NOT_RUN,
        'Use a new Idempotency-Key for a different body.',
    )


class StreamCutError(KumquatrunError):
    """Reports an answer that was ended before it was complete."""

    kind = ErrorKind(
        'stream_cut',
        503,
        Outcome.RAN,
        'Part of the answer was sent; repeat only if that is safe.',
    )
