"""Writes the log line and the metrics of each finished request."""

import logging
from dataclasses import dataclass

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.forwarding.response_writer import ResponseWriter
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# Who closed the connection before the response was complete.
CALLER_LEFT = 'caller_left'
HOST_STOPPED = 'host_stopped'


@dataclass(frozen=True)
class StateFreshness:
    """Configuration version and age of the listing when a request ended."""

    configuration_version: int
    listing_age_s: float


@dataclass
class RequestReport:
    """Collects the facts about one request until it ends.

    Attributes
    ----------
    deadline_s
        Deadline of the request; None until its route is known.
    """

    writer: ResponseWriter
    received_s: float
    deadline_s: float | None = None
    caller: CallerRequest | None = None
    request_state: RequestState | None = None

    def finish(
        self,
        now_s: float,
        freshness: StateFreshness,
        problem: KumquatrunError | None,
        *,
        aborted_by: str = '',
    ) -> None:
        """Log the end of the request and update the metrics."""
        cause = aborted_by
        if problem is not None:
            cause = f'{problem.code}/{problem.cause}: {problem.detail}'
        log_event(
            log,
            'request_finished',
            **self._caller_fields(),
            configuration=freshness.configuration_version,
            listing_age_ms=round(freshness.listing_age_s * 1000),
            **self._request_state_fields(),
            first_byte_ms=self._first_byte_ms(),
            total_ms=round((now_s - self.received_s) * 1000),
            status=self.writer.status,
            cause=cause,
        )
        self._count(problem, aborted_by=aborted_by)

    def _caller_fields(self) -> dict[str, object]:
        caller = self.caller
        if caller is None:
            return {'request_id': ''}
        return {
            'request_id': caller.request_id,
            'adapter': caller.adapter,
            'prompt_tokens': caller.prompt_tokens or 0,
            'output_tokens': caller.output_tokens or 0,
        }

    def _request_state_fields(self) -> dict[str, object]:
        request_state = self.request_state
        if request_state is None:
            return {}
        return {
            'route': request_state.route.name,
            'service': request_state.service,
            'account': request_state.account,
            'priority': request_state.priority,
            'backend': request_state.last_backend,
            'sends': request_state.sends,
            'runs': request_state.runs,
            'framing': request_state.framing,
            'adapter_wait_ms': round(request_state.adapter_wait_s * 1000),
            'longest_pause_ms': round(request_state.longest_pause_s * 1000),
        }

    def _first_byte_ms(self) -> int | str:
        first_s = self.writer.first_byte_at_s
        if first_s is None:
            return ''
        return round((first_s - self.received_s) * 1000)

    def _count(
        self,
        problem: KumquatrunError | None,
        *,
        aborted_by: str,
    ) -> None:
        metrics = process_metrics()
        service = self.request_state.service if self.request_state else ''
        outcome = aborted_by or 'answered'
        if problem is not None:
            outcome = problem.outcome.value
            metrics.count(
                'refusals_total',
                code=problem.code,
                cause=problem.cause,
            )
        metrics.count(
            'requests_total',
            route=self.request_state.route.name if self.request_state else '',
            service=service,
            outcome=outcome,
        )
        first_s = self.writer.first_byte_at_s
        if first_s is not None:
            metrics.observe(
                'time_to_first_token_seconds',
                first_s - self.received_s,
                service=service,
            )
