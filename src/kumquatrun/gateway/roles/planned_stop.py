"""Planned stop of an entry: which requests it takes, and how they end.

A request that is sent to its backend server during a stop must be over before
the process is. How long an answer takes is not known in advance, but the time
limit of a request is, so only requests whose time limit ends in time are sent.
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

# The platform's balancer takes two missed questions, one a second, to notice
# that this host takes no new connections.
ACCEPT_PERIOD_S = 2.8
# Time that the process needs to end before the platform kills it.
END_MARGIN_S = 0.4
# Another host can take the request at once.
RETRY_AFTER_S = 0.05


@dataclass(eq=False)
class OpenRequest:
    """A request that is not answered yet, with the task that handles it."""

    report: RequestReport
    task: asyncio.Task
    is_handed_back: bool = False

    def hand_back(self) -> None:
        """End the work on the request, so that it gets its final answer."""
        if not self.is_handed_back:
            self.is_handed_back = True
            self.task.cancel()


class PlannedStop:
    """Keeps the open requests and ends them in time for a stop."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deadline_s: float | None = None
        self._refuses_all = False
        self._open: set[OpenRequest] = set()

    @property
    def has_begun(self) -> bool:
        """Return whether this host is about to stop."""
        return self._deadline_s is not None

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._open)

    def open(self, report: RequestReport) -> OpenRequest:
        """Record a request that the current task handles."""
        request = OpenRequest(report, asyncio.current_task())
        self._open.add(request)
        return request

    def close(self, request: OpenRequest) -> None:
        """Forget a request that has ended."""
        self._open.discard(request)

    def begin(self, timeout_s: float) -> None:
        """Begin the stop, which ends within this time.

        Requests that wait to be sent are handed back unless they are sure to
        be over in time.
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
        """Take no request from now on."""
        self._refuses_all = True

    async def end_all(self, timeout_s: float) -> None:
        """Answer the requests whose answers have not begun; cut the others."""
        for request in self._open:
            if not request.report.writer.has_begun:
                request.hand_back()
        await self._wait_until_ended(timeout_s)
        for request in self._open:
            request.report.writer.abort()
        await self._wait_until_ended(timeout_s)

    def remaining_s(self) -> float:
        """Return the time until open requests are cut."""
        return self._deadline_s - self._clock.now_s()

    def check(self, deadline_s: float) -> None:
        """Check that a request that was not run is over before the process is.

        Parameters
        ----------
        deadline_s
            Time limit of the request.

        Raises
        ------
        DrainingError
            If it may last longer; it was not run.
        """
        if not self.has_begun:
            return
        if self._refuses_all or deadline_s > self._deadline_s:
            limit_s = deadline_s - self._clock.now_s()
            raise _draining_error(
                f'this host stops in {self.remaining_s():.1f} s, and the request '
                f'may take {limit_s:.1f} s',
            )

    async def _wait_until_ended(self, timeout_s: float) -> None:
        tasks = [request.task for request in self._open]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def _may_outlast(self, request: OpenRequest) -> bool:
        """Return whether a request that is not sent yet could be cut."""
        report = request.report
        if report.deadline_s is None:
            # It meets ``check`` once its route is known.
            return False
        if (
            report.request_state is not None
            and report.request_state.may_have_run
        ):
            return False
        return report.deadline_s > self._deadline_s


def stop_error(request: OpenRequest) -> KumquatrunError:
    """Return the failure of a request that was handed back."""
    request_state = request.report.request_state
    if request_state is not None and request_state.may_have_run:
        return BackendError(
            f'{request_state.last_backend} gave no answer before this host stopped',
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
