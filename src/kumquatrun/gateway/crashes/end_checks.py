"""Asks whether backend servers outlived the runs that ended with them.

A connection that is reset, or an answer that is lost, looks to an entry like
the end of a backend server. The host that runs the backend server sees the
process itself, so it is asked before a run counts against its prompt parts.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Protocol

from kumquatrun.gateway.crashes.watched_run import WatchedRun
from kumquatrun.runtime.clock import Clock


class ProcessObserver(Protocol):
    """Tells how long the processes of backend servers have been running."""

    def known_for_s(self, backend_id: str) -> Awaitable[float | None] | None:
        """Ask for how long the process that runs now has been observed.

        Returns None if no host observes this backend server. The reply is None
        if that host does not respond or the process does not run.
        """
        ...


@dataclass(frozen=True, slots=True)
class EndCheck:
    """A run that ended, and whether its backend server is known to live on."""

    run: WatchedRun
    ended_at_s: float
    is_outlived: bool = False


class EndChecks:
    """Checks ended runs, with one question at a time for a backend server.

    Parameters
    ----------
    observer
        Observes the processes of backend servers.
    clock
        Source of time.
    on_checked
        Called with the result for each run, at once if nobody can be asked.
    """

    def __init__(
        self,
        observer: ProcessObserver,
        clock: Clock,
        on_checked: Callable[[EndCheck], None],
    ) -> None:
        self._observer = observer
        self._clock = clock
        self._on_checked = on_checked
        # Ended runs by backend server; the question that is asked next is about
        # all of them.
        self._waiting: dict[str, list[EndCheck]] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def start(self, run: WatchedRun, ended_at_s: float) -> None:
        """Check whether the backend server of a run that ended lives on."""
        check = EndCheck(run, ended_at_s)
        backend_id = run.backend_id
        if backend_id in self._tasks:
            self._waiting[backend_id].append(check)
            return
        question = self._observer.known_for_s(backend_id)
        if question is None:
            self._on_checked(check)
            return
        self._waiting[backend_id] = []
        self._tasks[backend_id] = asyncio.create_task(
            self._check_all(backend_id, [check], question)
        )

    async def is_outlived(self, run: WatchedRun) -> bool:
        """Return whether the backend server of a run is known to live on."""
        question = self._observer.known_for_s(run.backend_id)
        known_for_s = None if question is None else await question
        return _is_outlived(run, known_for_s, self._clock.now_s())

    async def close(self, timeout_s: float) -> None:
        """Wait at most ``timeout_s`` for the checks in progress."""
        if not self._tasks:
            return
        tasks = set(self._tasks.values())
        await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _check_all(
        self,
        backend_id: str,
        checks: list[EndCheck],
        question: Awaitable[float | None] | None,
    ) -> None:
        try:
            while checks:
                known_for_s = None if question is None else await question
                now_s = self._clock.now_s()
                for check in checks:
                    is_outlived = _is_outlived(check.run, known_for_s, now_s)
                    self._on_checked(replace(check, is_outlived=is_outlived))
                # A reply tells nothing of a run that ended after its question.
                checks = self._waiting.pop(backend_id)
                self._waiting[backend_id] = []
                if checks:
                    question = self._observer.known_for_s(backend_id)
        except asyncio.CancelledError:
            for unknown in (*checks, *self._waiting[backend_id]):
                self._on_checked(unknown)
            raise
        finally:
            del self._waiting[backend_id]
            del self._tasks[backend_id]


def _is_outlived(
    run: WatchedRun, known_for_s: float | None, now_s: float
) -> bool:
    return known_for_s is not None and now_s - known_for_s <= run.began_at_s
