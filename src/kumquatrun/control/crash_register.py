"""Decides which requests are refused because backend servers ended under them.

What is counted and blocked is the fingerprint of a request or the key of a
prompt part; both are called fingerprints here. Entries report each run that
ended with its backend server. A completed run shows that a request is harmless,
and an answer that the parts of its prompt are; what was counted is removed. A
fingerprint at the limit is blocked: no entry sends the request. It can reach the
limit by accident, when several backend servers end for another reason, so single
trial runs are granted, one at a time in the whole fleet.
"""

from dataclasses import dataclass, replace
from typing import Any

from kumquatrun.control.ended_runs import EndedRun, EndedRuns
from kumquatrun.control.part_keys import is_part_key
from kumquatrun.control.quarantine import FingerprintChange, QuarantineRegister
from kumquatrun.peer.node_messages import (
    ClearEndedRuns,
    ReportSuspects,
    TakeTrialRun,
    TrialRunReply,
)

# Time from the block to each trial run. The users allow three runs after the
# third end. A trial run may end without a result, for example for want of
# capacity, so a harmless request gets more than one.
TRIAL_DELAYS_MS = (5_000, 60_000, 600_000)
# A trial run of a prompt part that does crash backend servers ends all runs of
# one more, so a part that was blocked by mistake waits longer.
PART_TRIAL_DELAYS_MS = (30_000, 300_000, 3_600_000)
# A request with several blocked parts waits this many times as long: the answer
# to one with a single blocked part tells more.
JOINT_TRIAL_FACTOR = 2
BLOCKED = 'blocked'


@dataclass(frozen=True, slots=True)
class Trials:
    """When a fingerprint was blocked, and its granted trial runs."""

    blocked_at_ms: int
    granted: int = 0

    def is_due(
        self, now_ms: int, delays_ms: tuple[int, ...], factor: int
    ) -> bool:
        """Return whether a trial run may be granted now."""
        if self.granted >= len(delays_ms):
            return False
        return now_ms >= self.blocked_at_ms + factor * delays_ms[self.granted]


class CrashRegister:
    """Ended runs and trial runs; sets the states of the quarantine register."""

    def __init__(self, quarantine: QuarantineRegister) -> None:
        self._quarantine = quarantine
        self._runs = EndedRuns()
        self._trials: dict[str, Trials] = {}

    def report(
        self, command: ReportSuspects, now_ms: int
    ) -> list[FingerprintChange]:
        """Count the runs that ended with one backend server."""
        # Earlier versions report no requests.
        requests = command.requests or ('',) * len(command.fingerprints)
        rows = zip(
            command.fingerprints,
            command.run_ages_ms,
            command.end_ages_ms,
            requests,
            strict=True,
        )
        for fingerprint, run_age_ms, end_age_ms, request in rows:
            run = EndedRun(
                command.backend_id,
                now_ms - run_age_ms,
                now_ms - end_age_ms,
                request=request,
            )
            self._runs.add(fingerprint, run)
        # All are counted before one is blocked: what it explains must not
        # depend on the order of the parts in a prompt.
        return [
            change
            for counted in dict.fromkeys(command.fingerprints)
            for change in self._follow_count(counted, now_ms)
        ]

    def clear(
        self, command: ClearEndedRuns, now_ms: int
    ) -> list[FingerprintChange]:
        """Remove or refute what was counted for a fingerprint."""
        fingerprint = command.fingerprint
        if command.backend_id:
            if fingerprint not in self._runs:
                return []
            self._runs.refute(fingerprint, command.backend_id)
            return self._follow_count(fingerprint, now_ms)
        self._runs.forget_until(fingerprint, now_ms - command.age_ms)
        if fingerprint in self._runs:
            return self._follow_count(fingerprint, now_ms)
        self._forget(fingerprint)
        return [self._quarantine.handle(fingerprint, 'completed', now_ms)]

    def unblock(self, fingerprint: str, now_ms: int) -> FingerprintChange:
        """Remove what was counted, as an operator has decided."""
        self._forget(fingerprint)
        return self._quarantine.handle(fingerprint, 'unblocked', now_ms)

    def take_trial(self, command: TakeTrialRun, now_ms: int) -> TrialRunReply:
        """Grant a trial run if one is due for all that blocks the request."""
        fingerprints = (command.fingerprint, *command.others)
        factor = JOINT_TRIAL_FACTOR if command.others else 1
        is_granted = all(
            self._is_trial_due(fingerprint, now_ms, factor)
            for fingerprint in fingerprints
        )
        if is_granted:
            for fingerprint in fingerprints:
                trials = self._trials[fingerprint]
                self._trials[fingerprint] = replace(
                    trials, granted=trials.granted + 1
                )
        return TrialRunReply(is_granted=is_granted)

    def follow(self, changes: list[FingerprintChange]) -> None:
        """Remove what was counted for fingerprints that became clear."""
        for fingerprint, _, after in changes:
            if after == 'clear':
                self._forget(fingerprint)

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return {
            'runs': self._runs.snapshot(),
            'trials': [
                [fingerprint, trials.blocked_at_ms, trials.granted]
                for fingerprint, trials in self._trials.items()
            ],
        }

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        self._runs.restore(content['runs'])
        self._trials = {
            fingerprint: Trials(blocked_at_ms, granted)
            for fingerprint, blocked_at_ms, granted in content['trials']
        }

    def _follow_count(
        self, fingerprint: str, now_ms: int
    ) -> list[FingerprintChange]:
        """Set the state of a fingerprint after its count has changed."""
        if not self._runs.is_over_limit(fingerprint):
            self._trials.pop(fingerprint, None)
            return [self._quarantine.handle(fingerprint, 'run_ended', now_ms)]
        change = self._quarantine.handle(fingerprint, 'limit_reached', now_ms)
        if change[1] == BLOCKED:
            return [change]
        self._trials[fingerprint] = Trials(now_ms)
        cleared = self._runs.explain_by(fingerprint)
        return [
            change,
            *(
                self._quarantine.handle(other, 'completed', now_ms)
                for other in cleared
            ),
        ]

    def _is_trial_due(self, fingerprint: str, now_ms: int, factor: int) -> bool:
        trials = self._trials.get(fingerprint)
        delays_ms = (
            PART_TRIAL_DELAYS_MS
            if is_part_key(fingerprint)
            else TRIAL_DELAYS_MS
        )
        return trials is not None and trials.is_due(now_ms, delays_ms, factor)

    def _forget(self, fingerprint: str) -> None:
        self._runs.forget(fingerprint)
        self._trials.pop(fingerprint, None)
