"""Refuses requests that crash backend servers.

Each run is watched until it ends. A run whose backend server ended with it, as
far as this host can tell, is reported to the control leader, which counts the
ends for the whole fleet. Until the report is delivered, this host counts by
itself.
"""

import hashlib
import logging
from collections import OrderedDict
from dataclasses import dataclass

from kumquatrun.control.ended_runs import EndedRun, EndedRuns
from kumquatrun.errors import KumquatrunError, QuarantinedError
from kumquatrun.gateway.crashes.backend_signs import BackendSigns
from kumquatrun.gateway.crashes.suspect_reports import SuspectReports
from kumquatrun.gateway.crashes.watched_run import (
    RunConnection,
    RunEnding,
    WatchedRun,
)
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.node_messages import TakeTrialRun
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

REFUSED_STATES = frozenset(('quarantined', 'blocked'))
TRIAL_TIMEOUT_S = 0.5
# Time from the first refusal to the first request for a trial run, doubled with
# each further one.
FIRST_TRIAL_S = 5.0
MAX_REFUSED_FINGERPRINTS = 2000
# How long this host refuses by its own count: while the report is not
# delivered, and until the feed has brought the count of the fleet.
LOCAL_WINDOW_S = 60.0
FEED_DELAY_S = 2.0
MAX_LOCAL_FINGERPRINTS = 2000


def fingerprint_of(request: CallerRequest, account: str) -> str:
    """Return a hash that is the same for equal requests of one caller.

    A caller with an account is the same with any of its keys. The query, the
    method and the host are not part of it: a caller that varies them still
    sends the same request.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.path, account or request.key):
        digest.update(part.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class TrialSchedule:
    """When this host asks for the next trial run of a fingerprint."""

    next_at_s: float
    delay_s: float


class CrashWatch:
    """Watches runs, and refuses requests under which backend servers ended."""

    def __init__(self, session: Session, clock: Clock) -> None:
        self._session = session
        self._clock = clock
        self._signs = BackendSigns()
        self._reports = SuspectReports(session, clock, self._on_delivered)
        self._local_runs = EndedRuns()
        # Times until which the local counts are in force.
        self._local_ends_s: dict[str, float] = {}
        self._schedules: OrderedDict[str, TrialSchedule] = OrderedDict()

    async def admit(self, request_id: str, fingerprint: str) -> bool:
        """Check a request; return whether it is admitted for one trial run.

        Raises
        ------
        QuarantinedError
            If backend servers ended under equal requests too often.
        """
        if not self._is_refused(fingerprint):
            return False
        if await self._take_trial(fingerprint):
            log_event(
                log,
                'trial_run_granted',
                request_id=request_id,
                fingerprint=fingerprint,
            )
            return True
        raise self._refusal(fingerprint)

    def check(self, request_state: RequestState) -> None:
        """Check a request again before it is sent.

        Raises
        ------
        QuarantinedError
            If the request must not be sent.
        """
        if request_state.is_trial:
            is_refused = request_state.may_have_run
        else:
            is_refused = self._is_refused(request_state.fingerprint)
        if is_refused:
            raise self._refusal(request_state.fingerprint)

    def begin(
        self,
        request_state: RequestState,
        backend_id: str,
        connection: RunConnection,
    ) -> WatchedRun:
        """Record that a request was sent to a backend server."""
        run = WatchedRun(
            request_id=request_state.request.request_id,
            fingerprint=request_state.fingerprint,
            backend_id=backend_id,
            connection=connection,
            began_at_s=self._clock.now_s(),
        )
        self._signs.begin(run)
        return run

    def end(self, run: WatchedRun, ending: RunEnding) -> None:
        """Record how a run ended."""
        now_s = self._clock.now_s()
        if self._signs.has_ended_with(run, ending, now_s):
            self._suspect(run, now_s, ending)
        if ending in {RunEnding.COMPLETED, RunEnding.ANSWERED}:
            for refuted in self._signs.record_answer(run, now_s):
                self._refute(refuted)
        if ending is RunEnding.COMPLETED:
            self._clear(run.fingerprint)

    def record_backend_end(self, backend_id: str) -> None:
        """Record that a backend server can't be reached or was replaced."""
        now_s = self._clock.now_s()
        for run in self._signs.record_end(backend_id, now_s):
            self._suspect(run, now_s, RunEnding.ABANDONED)

    async def close(self, timeout_s: float) -> None:
        """Deliver the reports that wait, for at most ``timeout_s``."""
        await self._reports.close(timeout_s)

    def _is_refused(self, fingerprint: str) -> bool:
        state = self._session.view.fingerprint_state(fingerprint)
        if state in REFUSED_STATES:
            return True
        return (
            self._local_runs.is_over_limit(fingerprint)
            and self._clock.now_s() < self._local_ends_s[fingerprint]
        )

    def _refusal(self, fingerprint: str) -> QuarantinedError:
        state = self._session.view.fingerprint_state(fingerprint)
        return QuarantinedError(
            'backend servers ended under equal requests, '
            f'fingerprint {fingerprint}, state in the fleet {state}',
            retry_after_s=FIRST_TRIAL_S,
            cause='blocked',
        )

    async def _take_trial(self, fingerprint: str) -> bool:
        now_s = self._clock.now_s()
        schedule = self._schedules.get(fingerprint)
        if schedule is None:
            self._schedules[fingerprint] = TrialSchedule(
                now_s + FIRST_TRIAL_S, FIRST_TRIAL_S
            )
            if len(self._schedules) > MAX_REFUSED_FINGERPRINTS:
                self._schedules.popitem(last=False)
            return False
        if now_s < schedule.next_at_s:
            return False
        delay_s = 2 * schedule.delay_s
        self._schedules[fingerprint] = TrialSchedule(now_s + delay_s, delay_s)
        request = TakeTrialRun(
            host_id=self._session.record.host_id,
            fingerprint=fingerprint,
        )
        try:
            reply = await self._session.control.call(request, TRIAL_TIMEOUT_S)
        except KumquatrunError as error:
            log_event(
                log,
                'trial_run_not_granted',
                fingerprint=fingerprint,
                reason=str(error),
            )
            return False
        return reply.is_granted

    def _suspect(
        self, run: WatchedRun, now_s: float, ending: RunEnding
    ) -> None:
        fingerprint = run.fingerprint
        if now_s >= self._local_ends_s.get(fingerprint, now_s):
            # The fleet has counted the earlier ends, or cleared them.
            self._local_runs.forget(fingerprint)
        self._local_runs.add(
            fingerprint,
            EndedRun(
                run.backend_id,
                round(run.began_at_s * 1000),
                round(now_s * 1000),
            ),
        )
        self._local_ends_s[fingerprint] = now_s + LOCAL_WINDOW_S
        if len(self._local_runs) > MAX_LOCAL_FINGERPRINTS:
            del self._local_ends_s[self._local_runs.forget_oldest()]
        self._signs.watch_for_refutation(run)
        self._reports.add_run(run, now_s)
        log_event(
            log,
            'request_suspected',
            request_id=run.request_id,
            fingerprint=fingerprint,
            backend=run.backend_id,
            ending=ending,
            ran_ms=round(1000 * (now_s - run.began_at_s)),
            state=self._session.view.fingerprint_state(fingerprint),
        )

    def _refute(self, run: WatchedRun) -> None:
        self._local_runs.refute(run.fingerprint, run.backend_id)
        self._reports.add_clear(run.fingerprint, run.backend_id)
        log_event(
            log,
            'suspicion_refuted',
            request_id=run.request_id,
            fingerprint=run.fingerprint,
            backend=run.backend_id,
        )

    def _clear(self, fingerprint: str) -> None:
        is_local = fingerprint in self._local_runs
        state = self._session.view.fingerprint_state(fingerprint)
        if is_local:
            self._local_runs.forget(fingerprint)
            del self._local_ends_s[fingerprint]
        if is_local or state != 'clear':
            self._schedules.pop(fingerprint, None)
            self._reports.add_clear(fingerprint)

    def _on_delivered(self, fingerprint: str) -> None:
        """Let the count of the fleet replace that of this host."""
        ends_s = self._local_ends_s.get(fingerprint)
        if ends_s is not None:
            self._local_ends_s[fingerprint] = min(
                ends_s, self._clock.now_s() + FEED_DELAY_S
            )
