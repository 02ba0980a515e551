"""Decides which requests an agent starts and which adapters it loads."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from kumquatrun.agent.adapter_slots import (
    AdapterKey,
    AdapterSlots,
    LoadTicket,
    Pin,
)
from kumquatrun.agent.fair_queue import FairQueue, Share
from kumquatrun.agent.suspects import RunAloneGate
from kumquatrun.errors import KumquatrunError, NoCapacityError
from kumquatrun.peer.request_messages import Dispatch

# Most concurrent loads of one engine; more would only compete for the
# fleet-wide load slots and empty more adapter slots at once.
MAX_OPEN_LOADS = 3
# After this wait, a request counts as urgent: its load may evict an adapter that
# other requests wait for, or retire a busy slot. A retiring slot accepts no new
# requests until its longest request ends, so busy slots are retired only to
# prevent starvation: with a shorter time, all requests waited longer.
URGENT_AFTER_S = 2.5


@dataclass(eq=False, kw_only=True)
class Job:
    """One accepted dispatch; ``key`` is None for a plain service."""

    dispatch: Dispatch
    key: AdapterKey | None
    queued_s: float
    pin: Pin | None = None
    on_failure: Callable[[KumquatrunError], None] = lambda error: None

    def fail(self, error: KumquatrunError) -> None:
        """End a waiting job with an error."""
        self.on_failure(error)

    @property
    def share(self) -> Share:
        """Return the parameters of the job for the fair queue."""
        return Share(
            account=self.dispatch.account,
            cost_tokens=self.dispatch.cost_tokens,
            weight=self.dispatch.weight,
            priority=self.dispatch.priority,
            deadline_s=self.queued_s + self.dispatch.deadline_s,
        )


class Scheduler:
    """Starts jobs in fair order, limited by batch size and adapter slots.

    A request enters the batch only once its adapter is loaded, so that waiting
    for a load never blocks other requests.

    Parameters
    ----------
    max_running
        Most requests that run at the same time.
    max_queued
        Most requests that wait in the queue.
    slots
        Adapter slots; None for a plain service.
    """

    def __init__(
        self,
        *,
        max_running: int,
        max_queued: int,
        slots: AdapterSlots | None = None,
    ) -> None:
        self.slots = slots
        self._max_running = max_running
        self._queue: FairQueue[Job] = FairQueue(max_queued)
        self._gate = RunAloneGate()
        self._pending_suspect: Job | None = None

    @property
    def running(self) -> int:
        """Return the number of running jobs."""
        return self._gate.running

    @property
    def queued(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._queue) + (self._pending_suspect is not None)

    @property
    def is_open(self) -> bool:
        """Return whether requests that need not run alone may start."""
        return self._gate.is_open

    def push(self, job: Job) -> Result[Job | None, NoCapacityError]:
        """Queue a job; see ``FairQueue.push``."""
        return self._queue.push(job, job.share)

    def next_start(self, now_s: float) -> Job | None:
        """Return the next job to start, pinned and counted as running."""
        if self._gate.running >= self._max_running:
            return None
        job = self._next_candidate()
        if job is None:
            return None
        self._pending_suspect = None
        self._gate.start(job, job.dispatch.alone)
        if self.slots is not None and job.key is not None:
            job.pin = self.slots.pin(job.key, now_s)
        return job

    def finish(self, job: Job) -> None:
        """Record the end of a job, or remove a waiting one."""
        if job.pin is not None and self.slots is not None:
            self.slots.unpin(job.pin)
            job.pin = None
        if self._pending_suspect is job:
            self._pending_suspect = None
        self._queue.remove(job)
        self._gate.finish(job)

    def expire(self, now_s: float) -> list[Job]:
        """Remove and return the waiting jobs whose deadline has passed."""
        expired = self._queue.expire(now_s)
        suspect = self._pending_suspect
        if suspect is not None and suspect.share.deadline_s <= now_s:
            expired.append(suspect)
            self.finish(suspect)
        return expired

    def waiting_for(self, key: AdapterKey) -> list[Job]:
        """Return the jobs that wait for an adapter."""
        return [job for job in self._waiting() if job.key == key]

    def next_load(self, now_s: float) -> AdapterKey | None:
        """Return the adapter to load next and register its load."""
        slots = self.slots
        if slots is None:
            return None
        waiting = self._waiting()
        wanted = {job.key for job in waiting if job.key is not None}
        slots.reopen_unneeded(
            {key for key in wanted if not slots.is_ready(key)}
        )
        if len(slots.open_loads) >= MAX_OPEN_LOADS:
            return None
        for job in waiting:
            if job.key is None or self._is_ready_or_loading(job.key):
                continue
            urgent = now_s - job.queued_s >= URGENT_AFTER_S
            if slots.could_place(job.key, now_s, wanted, urgent):
                slots.open_load(job.key)
                return job.key
            if urgent:
                slots.retire(job.key, now_s)
        return None

    def place(self, key: AdapterKey, now_s: float) -> LoadTicket | None:
        """Choose the slot of a registered load; None if none is available."""
        if self.slots is None:
            return None
        waiting = self._waiting()
        wanted = {job.key for job in waiting if job.key is not None}
        oldest_s = min(
            (job.queued_s for job in waiting if job.key == key),
            default=now_s,
        )
        urgent = now_s - oldest_s >= URGENT_AFTER_S
        return self.slots.place(key, now_s, wanted, urgent)

    def demand(self) -> Counter[AdapterKey | None]:
        """Return the number of waiting jobs per adapter."""
        return Counter(job.key for job in self._waiting())

    def _next_candidate(self) -> Job | None:
        suspect = self._pending_suspect
        if suspect is not None:
            may_start = self._gate.may_start(suspect, alone=True)
            return suspect if may_start and self._is_ready(suspect) else None
        if not self._gate.is_open:
            return None
        job = self._queue.pop(self._is_ready)
        if job is None or self._gate.may_start(job, job.dispatch.alone):
            return job
        self._pending_suspect = job
        self._gate.block_others_for(job)
        return None

    def _waiting(self) -> list[Job]:
        suspects = (
            [] if self._pending_suspect is None else [self._pending_suspect]
        )
        return suspects + list(self._queue.in_order())

    def _is_ready(self, job: Job) -> bool:
        if self.slots is None or job.key is None:
            return True
        return self.slots.is_ready(job.key)

    def _is_ready_or_loading(self, key: AdapterKey) -> bool:
        return self.slots.is_ready(key) or key in self.slots.open_loads
