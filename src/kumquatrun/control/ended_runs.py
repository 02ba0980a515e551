"""Counts backend servers that ended while they ran equal requests."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

# A request is refused once this many backend servers ended while they ran it.
# Fewer may have ended for other reasons.
END_LIMIT = 3
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
    """

    backend_id: str
    began_ms: int
    ended_ms: int
    is_refuted: bool = False

    def is_same_end(self, other: 'EndedRun') -> bool:
        """Return whether both runs ended with one end of a backend server.

        The run that is reported later began before the other one ended.
        """
        return (
            self.backend_id == other.backend_id
            and other.began_ms <= self.ended_ms
        )


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
        is_new = not any(other.is_same_end(run) for other in known)
        if is_new and len(known) < BREAK_LIMIT:
            known = (*known, run)
        self._runs[fingerprint] = known

    def is_over_limit(self, fingerprint: str) -> bool:
        """Return whether requests with this fingerprint must be refused."""
        runs = self._runs.get(fingerprint, ())
        ends = sum(not run.is_refuted for run in runs)
        return ends >= END_LIMIT or len(runs) >= BREAK_LIMIT

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

    def forget_oldest(self) -> str:
        """Remove and return the fingerprint without news for longest."""
        oldest = next(iter(self._runs))
        del self._runs[oldest]
        return oldest

    def explain_by(self, fingerprint: str) -> list[str]:
        """Remove runs of other fingerprints that this one explains.

        A request that ran once beside the one that ended a backend server is
        not to blame for that end. One that shares more ends may be the cause
        itself, and this one the request beside it. Returns the fingerprints
        that have no runs left.
        """
        causes = self._runs.get(fingerprint, ())
        cleared = []
        for other, runs in self._runs.items():
            left = tuple(run for run in runs if not _is_explained(run, causes))
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
                    [run.backend_id, run.began_ms, run.ended_ms, run.is_refuted]
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
