"""Records requests in the metrics of the process."""

from typing import Protocol

from kumquatrun.entry.execution import Execution
from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.runtime.metrics import process_metrics


class Result(Protocol):
    """How a request ended."""

    @property
    def outcome(self) -> Outcome:
        """Return what is known about the execution."""
        ...

    @property
    def error(self) -> KumquatrunError | None:
        """Return the error, None after a complete response."""
        ...


def record_refused(error: KumquatrunError) -> None:
    """Count a request that was refused before it reached the relay."""
    metrics = process_metrics()
    metrics.count(
        'requests_total',
        route='',
        service='',
        outcome=error.outcome.value,
    )
    metrics.count('refusals_total', code=error.code, cause=error.cause)


def record_finished(
    execution: Execution,
    result: Result,
    began_s: float,
) -> None:
    """Count a request that has ended, with its retries and tokens."""
    metrics = process_metrics()
    request = execution.request
    service = request.route.service
    metrics.count(
        'requests_total',
        route=request.route.path,
        service=service,
        outcome=result.outcome.value,
    )
    error = result.error
    if error is not None:
        metrics.count('refusals_total', code=error.code, cause=error.cause)
    for attempt in execution.attempts[:-1]:
        metrics.count('retries_total', cause=attempt.error_code)
    if execution.first_byte_s is not None:
        metrics.observe(
            'time_to_first_token_seconds',
            execution.first_byte_s - began_s,
            service=service,
        )
    _record_tokens(execution)


def _record_tokens(execution: Execution) -> None:
    account = execution.request.account
    finished = execution.finished
    amounts = {
        'prompt': finished.prompt_tokens if finished else 0,
        'output': execution.output_tokens,
    }
    for direction, tokens in amounts.items():
        if tokens and not execution.is_replay:
            process_metrics().count(
                'tokens_total',
                tokens,
                account=account,
                direction=direction,
            )
