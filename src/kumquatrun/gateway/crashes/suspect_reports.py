"""Reports ended runs to the control leader until they are delivered."""

import asyncio
import logging
import math
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
    """A run that ended, for the fingerprint or one part of its request."""

    run: WatchedRun
    fingerprint: str
    ended_at_s: float

    @property
    def request(self) -> str:
        is_part = self.fingerprint != self.run.fingerprint
        return self.run.identity if is_part else ''


@dataclass(frozen=True, slots=True)
class _ClearReport:
    fingerprint: str
    backend_id: str
    at_s: float


class SuspectReports:
    """Sends reports in order, one at a time, and again after a failure.

    Parameters
    ----------
    session
        Membership session of this host.
    clock
        Source of time.
    on_delivered
        Called with the fingerprint of each report that was delivered.
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
        self._pending: deque[_EndReport | _ClearReport] = deque()
        self._task: asyncio.Task | None = None

    def add_run(
        self, run: WatchedRun, fingerprint: str, ended_at_s: float
    ) -> None:
        """Report a run that ended with its backend server.

        The run counts for ``fingerprint``: that of its request, or the key of
        one of its prompt parts.
        """
        self._add(_EndReport(run, fingerprint, ended_at_s))

    def add_clear(
        self,
        fingerprint: str,
        backend_id: str = '',
        at_s: float | None = None,
    ) -> None:
        """Report that a request or part is harmless, see ``ClearEndedRuns``.

        Replaces an earlier report of the same that waits: the later one also
        covers the runs that ended before the earlier one. ``at_s`` is the time
        of the answer, now if it is left out.
        """
        if at_s is None:
            at_s = self._clock.now_s()
        clear = _ClearReport(fingerprint, backend_id, at_s)
        for pending in self._pending:
            if isinstance(pending, _ClearReport) and (
                pending.fingerprint == fingerprint
                and pending.backend_id == backend_id
            ):
                self._pending.remove(pending)
                break
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

    def _add(self, item: _EndReport | _ClearReport) -> None:
        self._pending.append(item)
        if len(self._pending) > MAX_PENDING:
            self._pending.popleft()
            log_event(log, 'suspects_dropped', limit=MAX_PENDING)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        while self._pending:
            ends = self._next_ends()
            sent = tuple(ends) or (self._pending[0],)
            message = self._report_of(ends) if ends else self._clear_of(sent[0])
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
            for item in sent:
                if item in self._pending:
                    self._pending.remove(item)
            for end in ends:
                self._on_delivered(end.fingerprint)

    def _next_ends(self) -> list[_EndReport]:
        """Return the next ends on one backend server.

        Ends that wait behind a clearing message are left out, as the order of
        the two matters for one fingerprint.
        """
        ends: list[_EndReport] = []
        for item in self._pending:
            if isinstance(item, _ClearReport):
                break
            if not ends or item.run.backend_id == ends[0].run.backend_id:
                ends.append(item)
        return ends[:MAX_REPORTED_RUNS]

    def _clear_of(self, clear: _ClearReport) -> ClearEndedRuns:
        age_s = self._clock.now_s() - clear.at_s
        return ClearEndedRuns(
            host_id=self._session.record.host_id,
            fingerprint=clear.fingerprint,
            backend_id=clear.backend_id,
            age_ms=round(1000 * age_s),
        )

    def _report_of(self, ends: list[_EndReport]) -> ReportSuspects:
        now_s = self._clock.now_s()
        return ReportSuspects(
            host_id=self._session.record.host_id,
            fingerprints=tuple(end.fingerprint for end in ends),
            requests=tuple(end.request for end in ends),
            backend_id=ends[0].run.backend_id,
            # Rounded apart, as in ``LocalCounts``.
            run_ages_ms=tuple(
                math.floor(1000 * (now_s - end.run.began_at_s)) for end in ends
            ),
            end_ages_ms=tuple(
                math.ceil(1000 * (now_s - end.ended_at_s)) for end in ends
            ),
        )
