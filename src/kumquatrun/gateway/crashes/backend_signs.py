"""Signs that backend servers are alive or have ended."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from kumquatrun.gateway.crashes.watched_run import RunEnding, WatchedRun

MAX_BACKENDS = 8192
# A backend server that gave no response at all for this long may have ended.
# Callers abandon a stream without events after two seconds or more.
SILENCE_S = 2.0
# Bytes from a backend server show that it is alive for this long. A request may
# wait there before it runs, so bytes that came earlier show nothing.
SIGN_OF_LIFE_S = 0.5
# How long an abandoned run waits for a sign that its backend server has ended,
# and a suspected one for a sign that it has not.
UNDECIDED_S = 10.0
MAX_UNDECIDED = 200


@dataclass
class _Signs:
    answered_at_s: float = float('-inf')
    ended_at_s: float = float('-inf')
    running: set[WatchedRun] = field(default_factory=set)
    abandoned: list[WatchedRun] = field(default_factory=list)
    suspected: list[WatchedRun] = field(default_factory=list)

    def is_known_to_have_ended(self, run: WatchedRun) -> bool:
        return self.ended_at_s >= run.last_sign_at_s

    def may_have_ended(self, run: WatchedRun, now_s: float) -> bool:
        alive_since_s = max(run.last_sign_at_s, now_s - SIGN_OF_LIFE_S)
        return (
            self.is_known_to_have_ended(run)
            or self._last_sign_at_s() <= alive_since_s
        )

    def _last_sign_at_s(self) -> float:
        """Return the time of the last bytes from the backend server."""
        return max(
            self.answered_at_s,
            *(run.connection.received_at_s for run in self.running),
            float('-inf'),
        )


class BackendSigns:
    """Decides whether a backend server ended during a run."""

    def __init__(self) -> None:
        self._signs: OrderedDict[str, _Signs] = OrderedDict()
        self._rules: Mapping[
            RunEnding, Callable[[_Signs, WatchedRun, float], bool]
        ] = {
            RunEnding.BROKEN: lambda signs, run, now_s: True,
            RunEnding.SILENT: _is_silent,
            RunEnding.ABANDONED: _is_abandoned_by_backend,
        }

    def begin(self, run: WatchedRun) -> None:
        """Record that a run began."""
        self._of(run.backend_id).running.add(run)

    def has_ended_with(
        self, run: WatchedRun, ending: RunEnding, now_s: float
    ) -> bool:
        """Record the end of a run.

        Returns whether its backend server may have ended with it.
        """
        signs = self._of(run.backend_id)
        signs.running.discard(run)
        rule = self._rules.get(ending)
        return rule is not None and rule(signs, run, now_s)

    def record_answer(self, run: WatchedRun, now_s: float) -> list[WatchedRun]:
        """Record a response; return the suspected runs that it refutes.

        A response on a connection that was opened before a run began shows
        that the backend server outlived the run. One on a newer connection may
        come from a process that has replaced it.
        """
        signs = self._of(run.backend_id)
        signs.answered_at_s = now_s
        signs.abandoned.clear()
        refuted = [
            suspected
            for suspected in signs.suspected
            if run.connection.opened_at_s < suspected.began_at_s
        ]
        signs.suspected = [
            suspected
            for suspected in signs.suspected
            if suspected not in refuted
            and now_s - suspected.began_at_s < UNDECIDED_S
        ]
        return refuted

    def record_end(self, backend_id: str, now_s: float) -> list[WatchedRun]:
        """Record a sign of an end; return the abandoned runs it concerns."""
        signs = self._of(backend_id)
        signs.ended_at_s = now_s
        runs = [
            run
            for run in signs.abandoned
            if now_s - run.began_at_s < UNDECIDED_S
        ]
        signs.abandoned.clear()
        return runs

    def watch_for_refutation(self, run: WatchedRun) -> None:
        """Remember a suspected run until its backend server shows life."""
        suspected = self._of(run.backend_id).suspected
        suspected.append(run)
        del suspected[:-MAX_UNDECIDED]

    def _of(self, backend_id: str) -> _Signs:
        signs = self._signs.get(backend_id)
        if signs is None:
            signs = _Signs()
            self._signs[backend_id] = signs
            if len(self._signs) > MAX_BACKENDS:
                self._signs.popitem(last=False)
        return signs


def _is_silent(signs: _Signs, run: WatchedRun, now_s: float) -> bool:
    return signs.may_have_ended(run, now_s)


def _is_abandoned_by_backend(
    signs: _Signs, run: WatchedRun, now_s: float
) -> bool:
    if not signs.may_have_ended(run, now_s):
        return False
    is_silent = now_s - run.last_sign_at_s >= SILENCE_S
    if is_silent or signs.is_known_to_have_ended(run):
        return True
    signs.abandoned.append(run)
    del signs.abandoned[:-MAX_UNDECIDED]
    return False
