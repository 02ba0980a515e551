"""Records requests that may have crashed a backend server; runs one alone."""

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

    def add(self, token: Hashable, fingerprint: str) -> None:
        """Record that the backend server may have received a request."""
        self._fingerprints[token] = fingerprint

    def discard(self, token: Hashable) -> None:
        """Record that a request is known to have ended, or never arrived."""
        self._fingerprints.pop(token, None)

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


class SoloGate:
    """Decides which requests may start while a suspect has to run alone.

    A waiting suspect closes the gate, the running requests finish, the
    suspect runs, and the gate opens again.
    """

    def __init__(self) -> None:
        self._running: set[Hashable] = set()
        self._waiting: Hashable | None = None
        self._solo: Hashable | None = None

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    @property
    def is_open(self) -> bool:
        """Return whether a request that need not run alone may start."""
        return self._waiting is None and self._solo is None

    def close_for(self, token: Hashable) -> None:
        """Close the gate until ``token`` has run or was withdrawn."""
        self._waiting = token

    def may_start(self, token: Hashable, alone: bool) -> bool:
        """Return whether a request may start now."""
        if not alone:
            return self.is_open
        return (
            not self._running
            and self._solo is None
            and self._waiting in {None, token}
        )

    def start(self, token: Hashable, alone: bool) -> None:
        """Record the start of a request that may start."""
        self._running.add(token)
        if alone:
            self._waiting = None
            self._solo = token

    def finish(self, token: Hashable) -> None:
        """Record that a request ended or that its wait was cancelled."""
        self._running.discard(token)
        if self._waiting == token:
            self._waiting = None
        if self._solo == token:
            self._solo = None
