"""Load slots: the fleet never has more loads in flight than it should."""

import random

from kumquatrun.control.load_slots import (
    MAX_LOADS_IN_FLIGHT,
    SLOT_DURATION_S,
    LoadSlots,
)


def test_order_of_load_slots():
    slots = LoadSlots('t', limit=1)
    slots.enqueue('h1', 'cold', 1)
    slots.enqueue('h2', 'hot', 9)
    granted = slots.grant_next(0)
    assert [slot.ticket.adapter for slot in granted] == ['hot']


def test_slot_of_a_dead_host_is_freed():
    # Guards against slots that leak when an agent dies during a load.
    slots = LoadSlots('t', limit=1)
    slots.enqueue('h1', 'a', 1)
    slots.grant_next(0)
    slots.enqueue('h2', 'b', 1)
    assert not slots.grant_next(SLOT_DURATION_S - 1)
    assert slots.grant_next(SLOT_DURATION_S)


def test_random_use_stays_within_the_limit():
    rng = random.Random(7)
    slots = LoadSlots('t')
    held = []
    for step in range(5000):
        action = rng.random()
        if action < 0.5:
            ticket = slots.enqueue(f'h{step}', 'a', rng.randrange(1, 5))
            if rng.random() < 0.2:
                slots.withdraw(ticket)
        elif held and action < 0.9:
            slots.release(held.pop(rng.randrange(len(held))).slot_id)
        held.extend(slots.grant_next(step * 0.01))
        assert slots.in_flight <= MAX_LOADS_IN_FLIGHT
    assert slots.waiting < 5000
