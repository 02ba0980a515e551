"""Records what an answer says about its backend server."""

import logging

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.routing.wire_format import ResponseInfo
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)


def record_signals(
    backend: Backend, info: ResponseInfo, now_s: float, *, is_own: bool
) -> None:
    """Record that a backend server leaves or wants no requests.

    ``is_own`` is false for a late response to an earlier request: it was
    written by the same process, but its pause began earlier.
    """
    signals = backend.signals
    if info.unreadable_headers and not signals.has_unreadable_header:
        signals.has_unreadable_header = True
        log_event(
            log,
            'backend_header_unreadable',
            level=logging.WARNING,
            backend=backend.backend_id,
            headers=','.join(info.unreadable_headers),
        )
    if info.is_leaving and signals.record_leaving():
        backend.pool.close()
        log_event(
            log,
            'backend_leaves',
            backend=backend.backend_id,
            open_requests=backend.open_requests,
        )
        _count(backend, 'leaving')
    if info.quiet_s and is_own:
        _record_quiet(backend, info.quiet_s, now_s)


def _record_quiet(backend: Backend, quiet_s: float, now_s: float) -> None:
    # Answers to requests that were sent together would repeat the line.
    is_new = backend.signals.accepts_requests(now_s)
    granted_s = backend.signals.record_quiet(quiet_s, now_s)
    if not is_new:
        return
    log_event(
        log,
        'backend_asks_for_quiet',
        backend=backend.backend_id,
        asked_s=quiet_s,
        granted_s=granted_s,
        open_requests=backend.open_requests,
    )
    _count(backend, 'quiet')


def _count(backend: Backend, signal: str) -> None:
    process_metrics().count(
        'backend_signals_total',
        service=backend.record.service,
        signal=signal,
    )
