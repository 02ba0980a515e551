"""Adapter slots: pins, duplicate loads, eviction, restarts."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from kumquatrun.agent.adapter_slots import PROTECTION_S, AdapterSlots
from kumquatrun.agent.reload_costs import AdapterKey, ReloadCosts
from kumquatrun.runtime import invariants
from kumquatrun.runtime.invariants import InvariantError
from kumquatrun.runtime.statechart import TransitionError

CAPACITY = 3
KEYS = [AdapterKey(name, version) for name in 'abcd' for version in '12']
A, B, C, D = (AdapterKey(name, '1') for name in 'abcd')


@pytest.fixture(autouse=True)
def clear_violations():
    invariants.violations.clear()
    yield
    invariants.violations.clear()


def loaded_slots(*keys, now_s=0.0, capacity=CAPACITY):
    slots = AdapterSlots(capacity)
    for key in keys:
        slots.load_finished(slots.place(key, now_s), now_s)
    return slots


def test_equal_loads_are_joined():
    # Guards against an adapter that is loaded twice for two waiting requests.
    slots = AdapterSlots(CAPACITY)
    assert slots.open_load(A)
    assert not slots.open_load(A)
    ticket = slots.place(A, 0)
    assert slots.place(A, 0) is None
    slots.load_finished(ticket, 0)
    slots.close_load(A)
    assert slots.loaded() == (A,)


def test_cheapest_adapter_is_evicted():
    slots = loaded_slots(A, B, C)
    for key, uses in ((A, 3), (B, 1), (C, 2)):
        for _ in range(uses):
            slots.unpin(slots.pin(key, 0))
    assert slots.place(D, 2).evict == B


def test_old_use_counts_less():
    costs = ReloadCosts()
    for _ in range(5):
        costs.record_use(A, 0)
    costs.record_use(B, 600)
    assert costs.cost_s(A, 600) < costs.cost_s(B, 600)


# Time of the request, adapters that other requests wait for, whether the load
# is urgent, pinned adapters, whether a slot is found.
PLACE_CASES = {
    'free_choice': (2.0, (), False, (), True),
    'all_protected': (PROTECTION_S / 2, (), False, (), False),
    'all_pinned': (2.0, (), True, (A, B, C), False),
    'others_wait_for_all': (2.0, (A, B, C), False, (), False),
    'urgent_takes_a_wanted_one': (2.0, (A, B, C), True, (), True),
    'urgent_respects_protection': (PROTECTION_S / 2, (), True, (), False),
    'one_unpinned': (2.0, (), False, (A, C), True),
}


@pytest.mark.parametrize('name', PLACE_CASES)
def test_place_respects_pins_protection_and_demand(name):
    # Guards against thrashing and against eviction of an adapter in use.
    now_s, wanted, urgent, pinned, expected = PLACE_CASES[name]
    slots = loaded_slots(A, B, C)
    for key in pinned:
        slots.pin(key, 0)
    assert slots.could_place(D, now_s, wanted, urgent) is expected
    ticket = slots.place(D, now_s, wanted, urgent)
    assert (ticket is not None) is expected
    if ticket is not None:
        assert ticket.evict not in pinned


def test_urgent_load_retires_one_busy_adapter():
    # Guards against busy adapters that keep all slots pinned indefinitely.
    slots = loaded_slots(A, B, C)
    pins = [slots.pin(key, 0) for key in (A, B, C)]
    slots.pin(B, 0)
    slots.pin(C, 0)
    assert slots.retire(D, 2)
    assert not slots.is_ready(A)
    assert not slots.retire(AdapterKey('e', '1'), 2)
    assert not slots.could_place(D, 2, urgent=True)
    slots.unpin(pins[0])
    assert slots.place(D, 2).evict == A


def test_retirement_is_cancelled_without_waiters():
    slots = loaded_slots(A, capacity=1)
    slots.pin(A, 0)
    slots.retire(D, 2)
    slots.reopen_unneeded({A})
    assert slots.is_ready(A)


# Calls on the slots during a load of D that replaces A; state of the slot
# afterwards and the adapter that the next load must unload first.
RESULT_CASES = {
    'done': (('evicted', 'load_finished'), 'loaded', D),
    'unload_refused': (('load_failed',), 'uncertain', A),
    'unload_unanswered': (('load_uncertain',), 'uncertain', A),
    'load_refused': (('evicted', 'load_failed'), 'empty', None),
    'load_unanswered': (('evicted', 'load_uncertain'), 'uncertain', D),
}


@pytest.mark.parametrize('name', RESULT_CASES)
def test_slot_after_each_result_of_the_orders(name):
    # Guards against use of a slot whose state in the engine is unknown after
    # an order without a response.
    calls, state, held = RESULT_CASES[name]
    slots = loaded_slots(A, capacity=1)
    ticket = slots.place(D, 2)
    assert ticket.evict == A
    for call in calls:
        args = (2,) if call == 'load_finished' else ()
        getattr(slots, call)(ticket, *args)
    assert slots.states() == ((state, held, 0),)
    assert slots.is_ready(D) is (state == 'loaded')
    if state != 'loaded':
        assert slots.place(B, 9).evict == held


def test_results_before_restart_are_ignored():
    slots = loaded_slots(A, capacity=2)
    pin = slots.pin(A, 0)
    ticket = slots.place(B, 0)
    slots.reset(2)
    slots.unpin(pin)
    assert not slots.load_finished(ticket, 0)
    assert slots.loaded() == ()


def test_reconcile_finds_lost_and_unknown_adapters():
    # Guards against an engine slot whose adapter the agent does not know.
    slots = loaded_slots(A, capacity=2)
    slots.reconcile([B], 0)
    assert slots.loaded() == (B,)
    assert slots.place(C, 0).evict == A


class SlotMachine(RuleBasedStateMachine):
    """Runs requests, orders, restarts and lost responses in random order.

    ``engine`` holds the adapters in the engine; ``running`` holds the adapter
    and the pin of each running request.
    """

    slots_class = AdapterSlots

    def __init__(self):
        super().__init__()
        self.slots = self.slots_class(CAPACITY)
        self.engine = set()
        self.now_s = 0.0
        self.loads = []
        self.running = []

    @rule(seconds=st.sampled_from([0.1, 2.0]))
    def wait(self, seconds):
        self.now_s += seconds

    @rule(key=st.sampled_from(KEYS), urgent=st.booleans())
    def request(self, key, urgent):
        if self.slots.is_ready(key):
            self.running.append((key, self.slots.pin(key, self.now_s)))
            return
        ticket = self.slots.place(key, self.now_s, (), urgent)
        if ticket is not None:
            self.loads.append(ticket)
        elif urgent:
            self.slots.retire(key, self.now_s)

    @precondition(lambda self: self.loads)
    @rule(data=st.data(), result=st.sampled_from(['ok', 'fail', 'lost']))
    def answer(self, data, result):
        ticket = self.loads.pop(
            data.draw(st.integers(0, len(self.loads) - 1)),
        )
        if ticket.epoch != self.slots.epoch:
            # The engine received the order before its restart.
            assert not self.slots.load_finished(ticket, self.now_s)
            return
        if ticket.evict is not None:
            self.engine_unload(ticket.evict)
            self.slots.evicted(ticket)
        if result == 'fail':
            self.slots.load_failed(ticket)
            return
        self.engine.add(ticket.key)
        if result == 'ok':
            self.slots.load_finished(ticket, self.now_s)
        else:
            self.slots.load_uncertain(ticket)

    def engine_unload(self, key):
        assert key not in self.running_keys(), 'adapter evicted in use'
        self.engine.discard(key)

    def running_keys(self):
        epoch = self.slots.epoch
        return {key for key, pin in self.running if pin.epoch == epoch}

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data):
        index = data.draw(st.integers(0, len(self.running) - 1))
        self.slots.unpin(self.running.pop(index)[1])

    @rule()
    def restart(self):
        self.engine.clear()
        self.slots.reset(CAPACITY)

    @invariant()
    def requests_run_on_their_adapter(self):
        assert self.running_keys() <= self.engine

    @invariant()
    def loaded_adapters_are_in_the_engine(self):
        assert set(self.slots.loaded()) <= self.engine

    @invariant()
    def engine_stays_within_capacity(self):
        assert len(self.engine) <= CAPACITY

    @invariant()
    def no_violation_is_recorded(self):
        assert not invariants.violations


MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=60,
)


def test_races_never_evict_a_pinned_adapter():
    run_state_machine_as_test(SlotMachine, settings=MACHINE_SETTINGS)


class SlotsWithoutPins(AdapterSlots):
    """Broken variant: pins are not counted."""

    def pin(self, key, now_s):
        pin = super().pin(key, now_s)
        self._slots[pin.slot].pins = 0
        return pin

    def unpin(self, pin):
        """Nothing to release."""


class SlotsWithoutUncertainty(AdapterSlots):
    """Broken variant: a load without a response counts as failed."""

    def load_uncertain(self, ticket):
        return self.load_failed(ticket)


class SlotsWithoutEpochs(AdapterSlots):
    """Broken variant: late results from before a restart are applied."""

    def load_finished(self, ticket, now_s, load_s=0.25):
        late = ticket._replace(epoch=self._epoch)
        return super().load_finished(late, now_s, load_s)


@pytest.mark.parametrize(
    'broken',
    [SlotsWithoutPins, SlotsWithoutUncertainty, SlotsWithoutEpochs],
)
def test_broken_slots_are_detected(broken):
    class Machine(SlotMachine):
        slots_class = broken

    # Shrinking takes minutes and only makes a failure easier to read.
    unshrunk = settings(
        MACHINE_SETTINGS,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises((AssertionError, TransitionError)):
        run_state_machine_as_test(Machine, settings=unshrunk)


def test_evicting_pinned_adapter_is_violation():
    slots = loaded_slots(A, capacity=1)
    slots.pin(A, 0)
    slots._is_evictable = lambda *args: True
    with pytest.raises(InvariantError):
        slots.place(B, 2)
    assert invariants.violations['pinned_adapter_stays'] == 1
    assert slots.is_ready(A)
