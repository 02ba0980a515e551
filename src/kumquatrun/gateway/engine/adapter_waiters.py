"""Queue of requests that wait until an engine has loaded their adapter."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.engine.residency import AdapterName
from kumquatrun.gateway.routing.messages import ENGINE_WITHOUT_MODEL, UseAdapter
from kumquatrun.runtime.clock import Clock


@dataclass(eq=False)
class AdapterWaiter:
    """One waiting request.

    ``version`` is the oldest acceptable version. ``urgency`` consists of the
    priority and the arrival time; the smallest value is the most urgent.
    """

    name: AdapterName
    version: int
    urgency: tuple[int, float]
    waits_for_model: bool
    future: asyncio.Future = field(repr=False)

    def complete(self, version: int) -> None:
        """Complete the wait with the version that the engine holds."""
        if not self.future.done():
            self.future.set_result(version)

    def refuse(self, error: KumquatrunError) -> None:
        """Fail the wait with an error."""
        if not self.future.done():
            self.future.set_exception(error)


class AdapterWaiters:
    """Requests that wait for an adapter of one engine."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiters: list[AdapterWaiter] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    async def wait(
        self,
        name: AdapterName,
        version: int,
        request: UseAdapter,
    ) -> int:
        """Wait for an adapter and return the version that the engine holds."""
        waiter = AdapterWaiter(
            name,
            version,
            (request.priority, self._clock.now_s()),
            request.waits_for_model,
            asyncio.get_running_loop().create_future(),
        )
        self._waiters.append(waiter)
        try:
            return await waiter.future
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def complete(
        self,
        held_version: Callable[[AdapterName, int], int | None],
    ) -> None:
        """Complete the waits of requests whose adapter the engine holds."""
        for waiter in list(self._waiters):
            held = held_version(waiter.name, waiter.version)
            if held is not None:
                waiter.complete(held)
                self._waiters.remove(waiter)

    def refuse_affected(self, error: KumquatrunError) -> None:
        """Refuse the waiting requests that an error of the engine affects.

        If the error is that the engine has no base model, requests with
        ``waits_for_model`` continue to wait; all others are refused.
        """
        for waiter in list(self._waiters):
            if not can_wait_for_model(waiter, error):
                waiter.refuse(error)
                self._waiters.remove(waiter)

    def by_urgency(self) -> list[AdapterWaiter]:
        """Return the most urgent request of each adapter, most urgent first."""
        most_urgent: dict[AdapterName, AdapterWaiter] = {}
        for waiter in sorted(self._waiters, key=lambda row: row.urgency):
            most_urgent.setdefault(waiter.name, waiter)
        return list(most_urgent.values())


def can_wait_for_model(
    waiting: UseAdapter | AdapterWaiter,
    problem: KumquatrunError,
) -> bool:
    """Return whether a request waits until the engine has a base model."""
    return waiting.waits_for_model and problem.cause == ENGINE_WITHOUT_MODEL
