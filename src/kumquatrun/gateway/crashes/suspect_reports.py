"""Reports ended runs to the control leader until they are delivered."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.crashes.watched_run import WatchedRun
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.node_messages import ClearEndedRuns, ReportSuspects
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 2.0
RETRY_S = 0.2
MAX_PENDING = 2000
MAX_REPORTED_RUNS = 256


@dataclass(frozen=True, slots=True)
class _EndReport:
    run: WatchedRun
    ended_at_s: float


class SuspectReports:
    """Sends reports in order, one at a time, and again after a failure.

    Parameters
    ----------
    session
        Membership session of this host.
    clock
        Source of time.
    on_delivered
        Called with the fingerprint of each ended run that was delivered.
    """

    def __init__(
        self,
        session: Session,
        clock: Clock,
        on_delivered: Callable[[str], None],
    ) -> None:
        self._session = session
        self._clock = clock
        self._on_delivered = on_delivered
        self._pending: deque[_EndReport | ClearEndedRuns] = deque()
        self._task: asyncio.Task | None = None

    def add_run(self, run: WatchedRun, ended_at_s: float) -> None:
        """Report a run that ended with its backend server."""
        self._add(_EndReport(run, ended_at_s))

    def add_clear(self, fingerprint: str, backend_id: str = '') -> None:
        """Report that a request is harmless, see ``ClearEndedRuns``."""
        clear = ClearEndedRuns(
            host_id=self._session.record.host_id,
            fingerprint=fingerprint,
            backend_id=backend_id,
        )
        if clear not in self._pending:
            self._add(clear)

    async def close(self, timeout_s: float) -> None:
        """Deliver what is pending, for at most ``timeout_s``, and stop."""
        if self._task is None:
            return
        await asyncio.wait({self._task}, timeout=timeout_s)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._pending:
            log_event(log, 'suspects_not_reported', pending=len(self._pending))

    def _add(self, item: _EndReport | ClearEndedRuns) -> None:
        self._pending.append(item)
        if len(self._pending) > MAX_PENDING:
            self._pending.popleft()
            log_event(log, 'suspects_dropped', limit=MAX_PENDING)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        while self._pending:
            ends = self._next_ends()
            message = self._report_of(ends) if ends else self._pending[0]
            try:
                await self._session.control.call(message, REPORT_TIMEOUT_S)
            except KumquatrunError as error:
                log_event(
                    log,
                    'report_failed',
                    pending=len(self._pending),
                    reason=str(error),
                )
                await asyncio.sleep(RETRY_S)
                continue
            for sent in ends or (message,):
                if sent in self._pending:
                    self._pending.remove(sent)
            for end in ends:
                self._on_delivered(end.run.fingerprint)

    def _next_ends(self) -> list[_EndReport]:
        """Return the next ends on one backend server.

        Ends that wait behind a clearing message are left out, as the order of
        the two matters for one fingerprint.
        """
        ends: list[_EndReport] = []
        for item in self._pending:
            if isinstance(item, ClearEndedRuns):
                break
            if not ends or item.run.backend_id == ends[0].run.backend_id:
                ends.append(item)
        return ends[:MAX_REPORTED_RUNS]

    def _report_of(self, ends: list[_EndReport]) -> ReportSuspects:
        now_s = self._clock.now_s()
        return ReportSuspects(
            host_id=self._session.record.host_id,
            fingerprints=tuple(end.run.fingerprint for end in ends),
            backend_id=ends[0].run.backend_id,
            run_ages_ms=tuple(
                round(1000 * (now_s - end.run.began_at_s)) for end in ends
            ),
            end_ages_ms=tuple(
                round(1000 * (now_s - end.ended_at_s)) for end in ends
            ),
        )
