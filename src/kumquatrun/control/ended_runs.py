"""Counts backend servers that ended while they ran similar requests.

Runs are counted by the fingerprint of their request and by the keys of the
prompt parts that no run has shown to be harmless.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from kumquatrun.control.part_keys import is_request_of

# A request is refused once this many backend servers ended while they ran it.
# Fewer may have ended for other reasons.
END_LIMIT = 3
# Limit for a prompt part if its runs are of different requests. It is lower,
# since only runs without an event count and any event of a run with the part
# clears it. A request that crashes backend servers by itself does so with any
# of its parts, so ends under one request need ``END_LIMIT``.
PART_END_LIMIT = 2
# Ends within this time count once for a prompt part: they may have a common
# cause, such as a lost rack, or come from requests that were sent together.
COMMON_CAUSE_MS = 200
# Limit that also counts runs whose backend server was seen to be alive
# afterwards: every response to the request broke off.
BREAK_LIMIT = 6
# Runs that ended on one backend server within this time ended with it.
SAME_END_MS = 1000


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run during which a backend server ended, as far as is known.

    Attributes
    ----------
    is_refuted
        Whether the backend server was seen to be alive after the run.
    request
        Identity of the request, for a run that is counted for a prompt part.
    """

    backend_id: str
    began_ms: int
    ended_ms: int
    is_refuted: bool = False
    request: str = ''

    def is_same_end(self, other: 'EndedRun') -> bool:
        """Return whether both runs ended with one end of a backend server.

        The run that is reported later began before the other one ended.
        """
        return (
            self.backend_id == other.backend_id
            and other.began_ms <= self.ended_ms
        )

    def may_have_cause_of(self, other: 'EndedRun') -> bool:
        """Return whether another run adds nothing against a prompt part."""
        if not other.request or self.is_refuted:
            return False
        return abs(self.ended_ms - other.ended_ms) < COMMON_CAUSE_MS


class EndedRuns:
    """Ended runs by the fingerprint of the request."""

    def __init__(self) -> None:
        self._runs: dict[str, tuple[EndedRun, ...]] = {}

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._runs

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, fingerprint: str, run: EndedRun) -> None:
        """Count a run, unless its backend server's end is counted already."""
        known = self._runs.pop(fingerprint, ())
        is_new = not any(
            other.is_same_end(run) or other.may_have_cause_of(run)
            for other in known
        )
        if is_new and len(known) < BREAK_LIMIT:
            known = (*known, run)
        self._runs[fingerprint] = known

    def is_over_limit(self, fingerprint: str) -> bool:
        """Return whether requests with this fingerprint must be refused."""
        runs = self._runs.get(fingerprint, ())
        ends = [run for run in runs if not run.is_refuted]
        requests = {run.request for run in ends}
        return (
            len(ends) >= END_LIMIT
            or len(requests) >= PART_END_LIMIT
            or len(runs) >= BREAK_LIMIT
        )

    def refute(self, fingerprint: str, backend_id: str) -> None:
        """Record that a backend server was alive after its runs."""
        runs = self._runs.get(fingerprint)
        if runs:
            self._runs[fingerprint] = tuple(
                replace(run, is_refuted=True)
                if run.backend_id == backend_id
                else run
                for run in runs
            )

    def forget(self, fingerprint: str) -> None:
        """Remove the runs of a fingerprint."""
        self._runs.pop(fingerprint, None)

    def forget_until(self, fingerprint: str, until_ms: int) -> None:
        """Remove the runs of a fingerprint that began by a time.

        An answer after a run began shows that the run is not to blame; when it
        ended may be noticed seconds later.
        """
        left = tuple(
            run
            for run in self._runs.pop(fingerprint, ())
            if run.began_ms > until_ms
        )
        if left:
            self._runs[fingerprint] = left

    def forget_oldest(self) -> str:
        """Remove and return the fingerprint without news for longest."""
        oldest = next(iter(self._runs))
        del self._runs[oldest]
        return oldest

    def explain_by(self, fingerprint: str) -> list[str]:
        """Remove runs of other fingerprints that this one explains.

        A request that ran once beside the one that ended a backend server is
        not to blame for that end. One that shares more ends may be the cause
        itself, and this one the request beside it. Neither does a request
        explain an end under itself that counts for its prompt parts. Returns
        the fingerprints that have no runs left.
        """
        causes = self._runs.get(fingerprint, ())
        cleared = []
        for other, runs in self._runs.items():
            left = tuple(
                run
                for run in runs
                if is_request_of(run.request, fingerprint)
                or not _is_explained(run, causes)
            )
            if other == fingerprint or len(runs) - len(left) != 1:
                continue
            self._runs[other] = left
            if not left:
                cleared.append(other)
        for other in cleared:
            del self._runs[other]
        return cleared

    def snapshot(self) -> Any:
        """Return the runs as plain values for msgpack."""
        return [
            [
                fingerprint,
                [
                    [
                        run.backend_id,
                        run.began_ms,
                        run.ended_ms,
                        run.is_refuted,
                        run.request,
                    ]
                    for run in runs
                ],
            ]
            for fingerprint, runs in self._runs.items()
        ]

    def restore(self, content: Any) -> None:
        """Replace all runs with a snapshot."""
        self._runs = {
            fingerprint: tuple(EndedRun(*row) for row in rows)
            for fingerprint, rows in content
        }


def _is_explained(run: EndedRun, causes: Iterable[EndedRun]) -> bool:
    return any(
        run.backend_id == cause.backend_id
        and abs(run.ended_ms - cause.ended_ms) <= SAME_END_MS
        for cause in causes
    )
