"""Log line and metrics at the end of each request."""

import logging
from dataclasses import dataclass

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.forwarding.caller_channel import CallerChannel
from kumquatrun.gateway.routing.course import Course
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# Who ended a connection before its answer was complete.
CALLER_LEFT = 'caller_left'
HOST_STOPPED = 'host_stopped'


@dataclass(frozen=True)
class KnownState:
    """Versions and ages of what decided about a request."""

    configuration_version: int
    listing_age_s: float


@dataclass
class RequestReport:
    """Collects what is known of one request until it ends.

    Attributes
    ----------
    ends_at_s
        Time limit of the request; None until its route is known.
    """

    channel: CallerChannel
    received_s: float
    ends_at_s: float | None = None
    caller: CallerRequest | None = None
    course: Course | None = None

    def finish(
        self,
        now_s: float,
        known: KnownState,
        problem: KumquatrunError | None,
        *,
        cut_by: str = '',
    ) -> None:
        """Log the end of the request and count it."""
        cause = cut_by
        if problem is not None:
            cause = f'{problem.code}/{problem.cause}: {problem.detail}'
        log_event(
            log,
            'request_finished',
            **self._caller_fields(),
            configuration=known.configuration_version,
            listing_age_ms=round(known.listing_age_s * 1000),
            **self._course_fields(),
            first_byte_ms=self._first_byte_ms(),
            total_ms=round((now_s - self.received_s) * 1000),
            status=self.channel.status,
            cause=cause,
        )
        self._count(problem, cut_by=cut_by)

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

    def _course_fields(self) -> dict[str, object]:
        course = self.course
        if course is None:
            return {}
        return {
            'route': course.route.name,
            'service': course.service,
            'account': course.account,
            'priority': course.priority,
            'backend': course.last_backend,
            'sends': course.sends,
            'runs': course.runs,
            'adapter_wait_ms': round(course.adapter_wait_s * 1000),
            'longest_pause_ms': round(course.longest_pause_s * 1000),
        }

    def _first_byte_ms(self) -> int | str:
        first_s = self.channel.first_byte_at_s
        if first_s is None:
            return ''
        return round((first_s - self.received_s) * 1000)

    def _count(
        self,
        problem: KumquatrunError | None,
        *,
        cut_by: str,
    ) -> None:
        metrics = process_metrics()
        service = self.course.service if self.course else ''
        outcome = cut_by or 'answered'
        if problem is not None:
            outcome = problem.outcome.value
            metrics.count(
                'refusals_total',
                code=problem.code,
                cause=problem.cause,
            )
        metrics.count(
            'requests_total',
            route=self.course.route.name if self.course else '',
            service=service,
            outcome=outcome,
        )
        first_s = self.channel.first_byte_at_s
        if first_s is not None:
            metrics.observe(
                'time_to_first_token_seconds',
                first_s - self.received_s,
                service=service,
            )
