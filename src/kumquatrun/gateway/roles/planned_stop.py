"""Planned stop of an entry: which requests it accepts, and how they end.

A request that is sent to a backend server during a stop must end before the
process does. How long a response takes is not known in advance, but the
deadline of the request is, so only requests whose deadline is early enough are
sent.
"""

import asyncio
import logging
from dataclasses import dataclass

from kumquatrun.errors import (
    BackendError,
    DrainingError,
    KumquatrunError,
    Outcome,
)
from kumquatrun.gateway.forwarding.request_report import (
    HOST_STOPPED,
    RequestReport,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# The platform's load balancer needs two failed readiness checks, one a second,
# to notice that this host accepts no new connections.
ACCEPT_PERIOD_S = 2.8
# Time that the process needs to exit before the platform kills it.
END_MARGIN_S = 0.4
# Another host can accept the request at once.
RETRY_AFTER_S = 0.05


@dataclass(eq=False)
class OpenRequest:
    """A request without a complete response, and its handler task."""

    report: RequestReport
    task: asyncio.Task
    is_handed_back: bool = False

    def hand_back(self) -> None:
        """Cancel the handler task, which then responds with an error."""
        if not self.is_handed_back:
            self.is_handed_back = True
            self.task.cancel()


class PlannedStop:
    """Tracks the open requests and ends them in time for a stop."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deadline_s: float | None = None
        self._refuses_all = False
        self._open: set[OpenRequest] = set()

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._deadline_s is not None

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self._open)

    def open(self, report: RequestReport) -> OpenRequest:
        """Add a request that the current task handles."""
        request = OpenRequest(report, asyncio.current_task())
        self._open.add(request)
        return request

    def close(self, request: OpenRequest) -> None:
        """Remove a request that has ended."""
        self._open.discard(request)

    def begin(self, timeout_s: float) -> None:
        """Begin a stop that ends within ``timeout_s``.

        Requests that were not sent yet are ended with an error unless their
        deadline is early enough.
        """
        self._deadline_s = self._clock.now_s() + timeout_s - END_MARGIN_S
        for request in self._open:
            request.report.writer.closes_connection = True
        handed_back = [row for row in self._open if self._may_outlast(row)]
        for request in handed_back:
            request.hand_back()
        log_event(
            log,
            'stop_begun',
            ends_in_ms=round(self.remaining_s() * 1000),
            open_requests=len(self._open),
            handed_back=len(handed_back),
        )

    def refuse_all(self) -> None:
        """Refuse all requests from now on."""
        self._refuses_all = True

    async def end_all(self, timeout_s: float) -> None:
        """End requests with an error if possible, and abort the others."""
        for request in self._open:
            if not request.report.writer.has_begun:
                request.hand_back()
        await self._wait_until_ended(timeout_s)
        for request in self._open:
            request.report.writer.abort()
        await self._wait_until_ended(timeout_s)

    def remaining_s(self) -> float:
        """Return the time until open requests are aborted."""
        return self._deadline_s - self._clock.now_s()

    def check(self, deadline_s: float) -> None:
        """Check that a request that was not run can end before the process.

        Parameters
        ----------
        deadline_s
            Deadline of the request.

        Raises
        ------
        DrainingError
            If the stop refuses the request, which was not run.
        """
        if not self.has_begun:
            return
        if self._refuses_all or deadline_s > self._deadline_s:
            limit_s = deadline_s - self._clock.now_s()
            raise _draining_error(
                f'this host stops in {self.remaining_s():.1f} s, but the request '
                f'may take {limit_s:.1f} s',
            )

    async def _wait_until_ended(self, timeout_s: float) -> None:
        tasks = [request.task for request in self._open]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def _may_outlast(self, request: OpenRequest) -> bool:
        """Return whether an unsent request may outlast the stop."""
        report = request.report
        if report.deadline_s is None:
            # ``check`` decides once the route is known.
            return False
        if (
            report.request_state is not None
            and report.request_state.may_have_run
        ):
            return False
        return report.deadline_s > self._deadline_s


def stop_error(request: OpenRequest) -> KumquatrunError:
    """Return the error for a request that the stop has ended."""
    request_state = request.report.request_state
    if request_state is not None and request_state.may_have_run:
        return BackendError(
            f'{request_state.last_backend} did not answer before this host stopped',
            outcome=Outcome.UNKNOWN,
            cause=HOST_STOPPED,
        )
    return _draining_error('this host stops before the request can be sent')


def _draining_error(detail: str) -> DrainingError:
    return DrainingError(
        detail,
        retry_after_s=RETRY_AFTER_S,
        cause=HOST_STOPPED,
    )
