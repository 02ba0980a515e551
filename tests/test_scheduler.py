"""Scheduler: starts of jobs while adapters are loaded and slots retired."""

from kumquatrun.agent.adapter_slots import AdapterSlots
from kumquatrun.agent.reload_costs import AdapterKey
from kumquatrun.agent.scheduler import URGENT_AFTER_S, Job, Scheduler
from kumquatrun.peer.request_messages import Dispatch

A, B, C = (AdapterKey(name, '1') for name in 'abc')


def job(key, queued_s=0.0):
    message = Dispatch(
        request_id='r',
        attempt=1,
        agent_incarnation='i',
        account='acme',
        service='s',
        adapter=key.adapter,
        version=key.version,
        path='/',
        method='POST',
        body=b'',
    )
    return Job(dispatch=message, key=key, queued_s=queued_s)


def load(scheduler, now_s):
    """Complete the next load; returns its adapter, or None if none is due."""
    key = scheduler.next_load(now_s)
    if key is None:
        return None
    ticket = scheduler.place(key, now_s)
    if ticket.evict is not None:
        scheduler.slots.evicted(ticket)
    scheduler.slots.load_finished(ticket, now_s)
    scheduler.slots.close_load(key)
    return key


def test_retiring_slot_reopens_after_load_into_another():
    # The slot of busy adapter A is retired for C, but C is loaded into the slot
    # of B. Guards against A staying closed to new requests while requests for
    # C wait.
    scheduler = Scheduler(
        max_running=2,
        max_queued=10,
        slots=AdapterSlots(2),
    )
    for key in (A, B, B):
        scheduler.push(job(key))
    assert [load(scheduler, 0), load(scheduler, 0)] == [A, B]
    running = [scheduler.next_start(0), scheduler.next_start(0)]
    for _ in range(3):
        scheduler.push(job(C))
    assert load(scheduler, URGENT_AFTER_S) is None
    assert not scheduler.slots.is_ready(A)
    scheduler.finish(running[1])
    scheduler.finish(scheduler.next_start(URGENT_AFTER_S))
    assert load(scheduler, URGENT_AFTER_S) == C
    assert scheduler.next_start(URGENT_AFTER_S).key == C
    assert scheduler.demand() == {C: 2}
    assert load(scheduler, URGENT_AFTER_S) is None
    assert scheduler.slots.is_ready(A)
