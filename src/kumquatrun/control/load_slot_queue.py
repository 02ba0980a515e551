"""Queue of calls that wait for a load slot on the leader."""

import asyncio

from kumquatrun.control.load_slots import LoadSlots
from kumquatrun.peer.node_messages import AcquireLoadSlot, LoadSlotReply
from kumquatrun.runtime.clock import Clock

SLOT_WAIT_S = 1.0
RETRY_AFTER_S = 0.05


class LoadSlotQueue:
    """Queues calls for the slots of a ``LoadSlots`` table."""

    def __init__(self, prefix: str, clock: Clock) -> None:
        self._clock = clock
        self._slots = LoadSlots(prefix)
        self._waiters: dict[int, asyncio.Future[str]] = {}

    async def acquire(self, request: AcquireLoadSlot) -> LoadSlotReply:
        """Wait for a slot; the reply has an empty id if none became free."""
        ticket = self._slots.enqueue(
            request.host_id,
            request.adapter,
            request.waiting_requests,
        )
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.number] = waiter
        self.grant_waiting()
        try:
            async with asyncio.timeout(SLOT_WAIT_S):
                return LoadSlotReply(slot_id=await waiter)
        except TimeoutError:
            return LoadSlotReply(slot_id='', retry_after_s=RETRY_AFTER_S)
        finally:
            self._waiters.pop(ticket.number, None)
            self._slots.withdraw(ticket)

    def release(self, slot_id: str) -> None:
        """Free a slot and grant it to the next waiting call."""
        self._slots.release(slot_id)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant free slots to waiting calls."""
        for granted in self._slots.grant_next(self._clock.now_s()):
            waiter = self._waiters.get(granted.ticket.number)
            if waiter is None or waiter.done():
                self._slots.release(granted.slot_id)
            else:
                waiter.set_result(granted.slot_id)
