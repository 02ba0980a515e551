"""Base class of the typed errors, and their lookup by error code."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class ErrorKind:
    """Static properties of one error code.

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


def error_kinds() -> dict[str, type[KumquatrunError]]:
    """Return all error classes by their code."""
    classes = [KumquatrunError, *KumquatrunError.__subclasses__()]
    return {error_class.kind.code: error_class for error_class in classes}


def error_from_code(code: str, detail: str, **context) -> KumquatrunError:
    """Rebuild an error that another process sent by its code."""
    return error_kinds().get(code, KumquatrunError)(detail, **context)
