"""Typed errors that name the remedy and say whether a request was run."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class ErrorKind:
    """Static facts of one error code.

    Attributes
    ----------
    code
        Stable identifier, part of the public API.
    http_status
        Status that the entry answers with.
    outcome
        Default outcome of a request that ends with this error.
    remedy
        What the caller or operator can do about it.
    """

    code: str
    http_status: int
    outcome: Outcome
    remedy: str


class KumquatrunError(Exception):
    """Base of all errors of the project.

    Parameters
    ----------
    detail
        What happened, with the values involved.
    outcome
        Overrides the outcome of the error's kind.
    retry_after_s
        Time after which a new attempt may succeed, in seconds.
    cause
        Sub-code for metrics, for example ``over_rate``.
    """

    kind = ErrorKind(
        'internal_error',
        500,
        Outcome.UNKNOWN,
        'Report the request id to the operator.',
    )

    def __init__(
        self,
        detail: str,
        *,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
        cause: str = '',
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.outcome = outcome or self.kind.outcome
        self.retry_after_s = retry_after_s
        self.cause = cause

    @property
    def code(self) -> str:
        """Return the stable error code."""
        return self.kind.code

    @property
    def remedy(self) -> str:
        """Return what the reader of the message can do."""
        return self.kind.remedy

    def __str__(self) -> str:
        return f'{self.detail} ({self.code}). {self.remedy}'


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


class DocumentError(KumquatrunError):
    """Refuses a configuration document."""

    kind = ErrorKind(
        'invalid_document',
        422,
        Outcome.NOT_RUN,
        'Correct the document at the given path; nothing was changed.',
    )


class RevisionConflictError(KumquatrunError):
    """Refuses a change that was based on an old revision."""

    kind = ErrorKind(
        'revision_conflict',
        409,
        Outcome.NOT_RUN,
        'Read the current revision, review the difference and apply again.',
    )


class NotTriedError(KumquatrunError):
    """Refuses to promote a document that trial does not run."""

    kind = ErrorKind(
        'not_tried',
        409,
        Outcome.NOT_RUN,
        'Apply the same bytes in the trial environment first.',
    )


class StaleIncarnationError(KumquatrunError):
    """Refuses a host incarnation that was replaced or has expired."""

    kind = ErrorKind(
        'stale_incarnation',
        409,
        Outcome.NOT_RUN,
        'Register the host again with a new incarnation.',
    )


class FeedGapError(KumquatrunError):
    """Reports a feed item that needs an earlier item that is missing."""

    kind = ErrorKind(
        'feed_gap',
        409,
        Outcome.NOT_RUN,
        'Follow the feed from index 0, which sends a snapshot first.',
    )


class NotFoundError(KumquatrunError):
    """Reports an unknown account, host or key."""

    kind = ErrorKind(
        'not_found',
        404,
        Outcome.NOT_RUN,
        'Check the name with the status command.',
    )


class NotLeaderError(KumquatrunError):
    """Refuses a call that only the leader can answer."""

    kind = ErrorKind(
        'not_leader',
        503,
        Outcome.NOT_RUN,
        'Send the call to the leader that the message names.',
    )


class UnauthorizedPeerError(KumquatrunError):
    """Refuses a peer without the right cluster token."""

    kind = ErrorKind(
        'unauthorized_peer',
        403,
        Outcome.NOT_RUN,
        'Set the same cluster token on both processes.',
    )


class ConnectionLostError(KumquatrunError):
    """Reports a peer connection that ended during a call."""

    kind = ErrorKind(
        'connection_lost',
        503,
        Outcome.UNKNOWN,
        'Check that the peer runs and that its address is right.',
    )


class WireError(KumquatrunError):
    """Reports a frame that cannot be decoded."""

    kind = ErrorKind(
        'wire_error',
        500,
        Outcome.UNKNOWN,
        'Run the same version on both processes.',
    )


class SettingError(KumquatrunError):
    """Refuses a wrong setting."""

    kind = ErrorKind(
        'invalid_setting',
        400,
        Outcome.NOT_RUN,
        'Correct the flag or environment variable named in the message.',
    )


class CorruptLogError(KumquatrunError):
    """Refuses a data folder with a damaged record."""

    kind = ErrorKind(
        'corrupt_log',
        500,
        Outcome.NOT_RUN,
        'Replace this replica: empty its data folder and join it again.',
    )


def error_kinds() -> dict[str, type[KumquatrunError]]:
    """Return all error classes by their code."""
    classes = [KumquatrunError, *KumquatrunError.__subclasses__()]
    return {error_class.kind.code: error_class for error_class in classes}


def error_from_code(code: str, detail: str, **context) -> KumquatrunError:
    """Rebuild an error that another process sent by its code."""
    return error_kinds().get(code, KumquatrunError)(detail, **context)
