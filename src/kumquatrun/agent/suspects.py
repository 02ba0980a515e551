"""Records requests that may have crashed a backend server.

A request that is a suspect of a crash runs alone, see ``RunAloneGate``.
"""

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True)
class CrashReport:
    """Fingerprints of requests that may have been running at a crash.

    ``alone`` is true if all these requests have the same fingerprint.
    """

    fingerprints: tuple[str, ...]
    alone: bool


class BatchRecord:
    """Requests that the backend server may have received and not finished."""

    def __init__(self) -> None:
        self._fingerprints: dict[Hashable, str] = {}

    def __len__(self) -> int:
        return len(self._fingerprints)

    def add(self, request: Hashable, fingerprint: str) -> None:
        """Record that the backend server may have received a request."""
        self._fingerprints[request] = fingerprint

    def discard(self, request: Hashable) -> None:
        """Record that a request is known to have ended, or never arrived."""
        self._fingerprints.pop(request, None)

    def take_crash_report(self) -> CrashReport | None:
        """Empty the record; returns its fingerprints, or None if it has none.

        Requests without a fingerprint cannot be reported, but they count for
        ``alone``: one of them may have caused the crash.
        """
        running = set(self._fingerprints.values())
        self._fingerprints.clear()
        named = tuple(sorted(running - {''}))
        if not named:
            return None
        return CrashReport(named, alone=len(running) == 1)


class RunAloneGate:
    """Decides which requests may start while a suspect has to run alone.

    While a suspect waits, the gate blocks other starts. When the running
    requests have finished, the suspect runs; then the gate opens again.
    """

    def __init__(self) -> None:
        self._running: set[Hashable] = set()
        self._waiting: Hashable | None = None
        self._running_alone: Hashable | None = None

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    @property
    def is_open(self) -> bool:
        """Return whether a request that need not run alone may start."""
        return self._waiting is None and self._running_alone is None

    def block_others_for(self, request: Hashable) -> None:
        """Block other starts until ``request`` has run or is cancelled."""
        self._waiting = request

    def may_start(self, request: Hashable, alone: bool) -> bool:
        """Return whether a request may start now."""
        if not alone:
            return self.is_open
        return (
            not self._running
            and self._running_alone is None
            and self._waiting in {None, request}
        )

    def start(self, request: Hashable, alone: bool) -> None:
        """Record the start of a request that may start."""
        self._running.add(request)
        if alone:
            self._waiting = None
            self._running_alone = request

    def finish(self, request: Hashable) -> None:
        """Record that a request ended or that its wait was cancelled."""
        self._running.discard(request)
        if self._waiting == request:
            self._waiting = None
        if self._running_alone == request:
            self._running_alone = None
