"""Writes the log line and metrics of each request that has ended."""

import asyncio
import logging

from kumquatrun.entry.admission import HttpRequest
from kumquatrun.entry.execution import (
    CallerDisconnectedError,
    Execution,
    RelayResult,
)
from kumquatrun.entry.request_metrics import record_finished, record_refused
from kumquatrun.errors import KumquatrunError

log = logging.getLogger(__name__)

MS_PER_S = 1000


def log_refused(
    http: HttpRequest,
    account: str,
    error: KumquatrunError,
) -> None:
    """Log a request that was refused before it reached the relay."""
    record_refused(error)
    log.info(
        'event=request_finished request_id=%s account=%s adapter= version= '
        'host= outcome=%s status=%d code=%s ttft_ms= output_tokens=0',
        http.request_id,
        account,
        error.outcome,
        error.kind.http_status,
        error.code,
    )


def log_finished(
    execution: Execution,
    result: RelayResult,
    began_s: float,
) -> None:
    """Log a request that the relay ended; ``began_s`` is its arrival time."""
    request = execution.request
    ttft_ms = ''
    if execution.first_byte_s is not None:
        ttft_ms = f'{(execution.first_byte_s - began_s) * MS_PER_S:.1f}'
    record_finished(execution, result, began_s)
    log.info(
        'event=request_finished request_id=%s account=%s adapter=%s '
        'version=%s host=%s outcome=%s status=%d code=%s ttft_ms=%s '
        'output_tokens=%d',
        request.request_id,
        request.account,
        request.adapter,
        request.version,
        execution.host_id,
        result.outcome,
        result.status,
        result.error.code if result.error else '',
        ttft_ms,
        execution.output_tokens,
    )


def log_cancelled(execution: Execution, began_s: float) -> None:
    """Log a request whose caller disconnected, once its outcome is final."""

    def finish(_: asyncio.Task) -> None:
        error = CallerDisconnectedError('the caller disconnected')
        result = RelayResult(execution.outcome, 0, error)
        log_finished(execution, result, began_s)

    if execution.cleanup_task is None or execution.cleanup_task.done():
        finish(execution.cleanup_task)
    else:
        execution.cleanup_task.add_done_callback(finish)
