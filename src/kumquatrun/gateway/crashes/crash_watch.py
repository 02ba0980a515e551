"""Refuses requests and prompt parts that crash backend servers.

Each run is watched until it ends. A run whose backend server ended with it, as
far as this host can tell, is reported to the control leader, which counts the
ends for the whole fleet. Until the report is delivered, this host counts by
itself. Before that, the host that sees the process of the backend server is
asked whether it ended, see ``end_checks``.

An end counts for the fingerprint of the request and, if no event had come, for
the parts of its prompt; an answer to any request clears the parts that it holds.
The methods call both fingerprints.
"""

import logging

from kumquatrun.control.part_keys import is_part_key
from kumquatrun.errors import QuarantinedError
from kumquatrun.gateway.crashes.answered_parts import AnsweredParts
from kumquatrun.gateway.crashes.backend_signs import BackendSigns
from kumquatrun.gateway.crashes.end_checks import (
    EndCheck,
    EndChecks,
    ProcessObserver,
)
from kumquatrun.gateway.crashes.local_counts import LocalCounts
from kumquatrun.gateway.crashes.suspect_reports import SuspectReports
from kumquatrun.gateway.crashes.trial_requests import (
    FIRST_TRIAL_S,
    TrialRequests,
)
from kumquatrun.gateway.crashes.watched_run import (
    RunConnection,
    RunEnding,
    WatchedRun,
)
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.membership.control_client import Session
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

REFUSED_STATES = frozenset(('quarantined', 'blocked'))
# Time until a blocked prompt part may get its first trial run.
PART_RETRY_AFTER_S = 30.0


class CrashWatch:
    """Watches runs, and refuses what backend servers ended under.

    Parameters
    ----------
    session
        Membership session of this host.
    clock
        Source of time.
    observer
        Observes the processes of backend servers.
    """

    def __init__(
        self, session: Session, clock: Clock, observer: ProcessObserver
    ) -> None:
        self._session = session
        self._clock = clock
        self._signs = BackendSigns()
        self._checks = EndChecks(observer, clock, self._count_end)
        self._reports = SuspectReports(session, clock, self._on_delivered)
        self._answered_parts = AnsweredParts()
        # Runs that are being answered.
        self._answering: set[WatchedRun] = set()
        self._local_counts = LocalCounts()
        self._trials = TrialRequests(session, clock)

    async def admit(
        self,
        request_id: str,
        fingerprint: str,
        part_keys: tuple[str, ...] = (),
    ) -> bool:
        """Check a request; return whether it is admitted for one trial run.

        Raises
        ------
        QuarantinedError
            If backend servers ended under equal requests, or under requests
            with one of its prompt parts, too often.
        """
        refused = tuple(filter(self._is_refused, (fingerprint, *part_keys)))
        if not refused:
            return False
        for key in refused:
            self._report_known_answer(key)
        if await self._trials.take(refused):
            log_event(
                log,
                'trial_run_granted',
                request_id=request_id,
                fingerprint=','.join(refused),
            )
            return True
        raise self._refusal(refused[0])

    def check(self, request_state: RequestState) -> None:
        """Check a request again before it is sent.

        Raises
        ------
        QuarantinedError
            If the request must not be sent.
        """
        fingerprint = self._refused_fingerprint(request_state)
        if fingerprint:
            log_event(
                log,
                'send_refused',
                request_id=request_state.request.request_id,
                fingerprint=fingerprint,
                runs=request_state.runs,
                state=self._session.view.fingerprint_state(fingerprint),
            )
            raise self._refusal(fingerprint)

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
            part_keys=request_state.part_keys,
            identity=request_state.identity,
            backend_id=backend_id,
            connection=connection,
            began_at_s=self._clock.now_s(),
        )
        self._signs.begin(run)
        return run

    def record_answer(self, run: WatchedRun) -> None:
        """Record that a run is answered: its prompt parts are harmless."""
        self._answering.add(run)
        now_s = self._clock.now_s()
        for key in run.part_keys:
            self._answered_parts.record(key, now_s)
            self._clear(key)

    async def is_outlived(self, run: WatchedRun) -> bool:
        """Return whether the backend server of a run is known to live on."""
        return await self._checks.is_outlived(run)

    def end(self, run: WatchedRun, ending: RunEnding) -> None:
        """Record how a run ended."""
        now_s = self._clock.now_s()
        if self._signs.has_ended_with(run, ending, now_s):
            self._suspect(run, now_s, ending)
        if ending in {RunEnding.COMPLETED, RunEnding.ANSWERED}:
            for refuted in self._signs.record_answer(run, now_s):
                parts = filter(self._is_counted, refuted.part_keys)
                self._refute(refuted, tuple(parts), 'older connection')
        if ending is RunEnding.COMPLETED:
            self._clear(run.fingerprint)
        self._answering.discard(run)

    def record_backend_end(self, backend_id: str) -> None:
        """Record that a backend server can't be reached or was replaced."""
        now_s = self._clock.now_s()
        for run in self._signs.record_end(backend_id, now_s):
            self._suspect(run, now_s, RunEnding.ABANDONED)

    async def close(self, timeout_s: float) -> None:
        """End the checks and deliver the reports, within ``timeout_s``."""
        until_s = self._clock.now_s() + timeout_s
        await self._checks.close(timeout_s / 2)
        await self._reports.close(max(0.0, until_s - self._clock.now_s()))

    def _refused_fingerprint(self, request_state: RequestState) -> str:
        """Return what a request must not be sent for, or an empty string."""
        if request_state.is_trial:
            is_spent = request_state.may_have_run
            return request_state.fingerprint if is_spent else ''
        fingerprints = (request_state.fingerprint, *request_state.part_keys)
        refused = next(filter(self._is_refused, fingerprints), '')
        if refused or not request_state.may_have_run:
            return refused
        # A part that may have ended a backend server is not tried on the next
        # one by the same request.
        return next(filter(self._is_suspect, request_state.part_keys), '')

    def _is_suspect(self, fingerprint: str) -> bool:
        return self._session.view.fingerprint_state(fingerprint) != 'clear'

    def _is_refused(self, fingerprint: str) -> bool:
        state = self._session.view.fingerprint_state(fingerprint)
        if state in REFUSED_STATES:
            return True
        return self._local_counts.is_refused(fingerprint, self._clock.now_s())

    def _refusal(self, fingerprint: str) -> QuarantinedError:
        state = self._session.view.fingerprint_state(fingerprint)
        is_part = is_part_key(fingerprint)
        similar = 'with one prompt part' if is_part else 'that are equal'
        return QuarantinedError(
            f'backend servers ended under requests {similar}, '
            f'fingerprint {fingerprint}, state in the fleet {state}',
            retry_after_s=PART_RETRY_AFTER_S if is_part else FIRST_TRIAL_S,
            cause='part_blocked' if is_part else 'blocked',
        )

    def _suspect(
        self, run: WatchedRun, now_s: float, ending: RunEnding
    ) -> None:
        self._signs.watch_for_refutation(run)
        log_event(
            log,
            'request_suspected',
            request_id=run.request_id,
            fingerprint=run.fingerprint,
            parts=','.join(self._suspect_parts(run)),
            backend=run.backend_id,
            ending=ending,
            ran_ms=round(1000 * (now_s - run.began_at_s)),
            state=self._session.view.fingerprint_state(run.fingerprint),
        )
        if run in self._answering:
            # What ends a run in the middle of its answer is not a prompt part.
            self._count(run, run.fingerprint, now_s)
        else:
            self._checks.start(run, now_s)

    def _suspect_parts(self, run: WatchedRun) -> tuple[str, ...]:
        """Return the parts that may have ended the backend server of a run.

        A part crashes the backend server that begins to answer it, so neither
        a run that is being answered has suspect parts, nor is a part suspect
        that was answered elsewhere since the run began.
        """
        if run in self._answering:
            return ()
        return tuple(
            key
            for key in run.part_keys
            if not self._answered_parts.is_answered_since(key, run.began_at_s)
        )

    def _count_end(self, check: EndCheck) -> None:
        run = check.run
        if check.is_outlived:
            self._count(run, run.fingerprint, check.ended_at_s)
            self._refute(run, (), 'observed process')
            return
        for fingerprint in (*self._suspect_parts(run), run.fingerprint):
            self._count(run, fingerprint, check.ended_at_s)

    def _count(self, run: WatchedRun, fingerprint: str, now_s: float) -> None:
        self._local_counts.add(run, fingerprint, now_s)
        self._reports.add_run(run, fingerprint, now_s)

    def _refute(
        self, run: WatchedRun, parts: tuple[str, ...], proof: str
    ) -> None:
        """Report that the backend server of a run outlived it."""
        for fingerprint in (*parts, run.fingerprint):
            self._local_counts.refute(fingerprint, run.backend_id)
            self._reports.add_clear(fingerprint, run.backend_id)
        log_event(
            log,
            'suspicion_refuted',
            request_id=run.request_id,
            fingerprint=run.fingerprint,
            parts=','.join(parts),
            backend=run.backend_id,
            proof=proof,
        )

    def _report_known_answer(self, fingerprint: str) -> None:
        """Report when a blocked part was last answered here, if it was.

        The answer may have come before the feed told of the suspicion.
        """
        answered_at_s = self._answered_parts.take(fingerprint)
        if answered_at_s is not None:
            self._reports.add_clear(fingerprint, at_s=answered_at_s)

    def _is_counted(self, fingerprint: str) -> bool:
        is_counted_here = fingerprint in self._local_counts
        return is_counted_here or self._is_suspect(fingerprint)

    def _clear(self, fingerprint: str) -> None:
        if not self._is_counted(fingerprint):
            return
        self._local_counts.clear(fingerprint)
        self._trials.forget(fingerprint)
        self._reports.add_clear(fingerprint)
        log_event(
            log,
            'suspicion_cleared',
            fingerprint=fingerprint,
            state=self._session.view.fingerprint_state(fingerprint),
        )

    def _on_delivered(self, fingerprint: str) -> None:
        """Let the count of the fleet replace that of this host."""
        self._local_counts.shorten(fingerprint, self._clock.now_s())
