"""Fencing numbers of the orders to one engine."""

import json

from kumquatrun.gateway.engine.order_fence import MAX_FENCING_NUMBER, OrderFence


def test_later_process_has_a_higher_number():
    # Guards against an order for an earlier process that a later one accepts,
    # also if the clock was set back between their starts.
    fence = OrderFence()
    numbers = [fence.number_of(started_ms) for started_ms in (900, 2000, 1500)]
    assert numbers == sorted(set(numbers))


def test_number_of_a_process_does_not_change():
    # Guards against orders for one process that refuse each other.
    fence = OrderFence()
    assert fence.number_of(900) == fence.number_of(900) == 900
    assert OrderFence().number_of(900) == 900


def test_raised_number_stays_exact():
    # Guards against a number that grows without a limit while an engine
    # refuses it: JSON parsers read large integers inexactly.
    fence = OrderFence()
    fence.number_of(1_700_000_000_000)
    for _ in range(100):
        fence.raise_number()
    number = fence.number_of(1_700_000_000_000)
    assert number == MAX_FENCING_NUMBER
    assert float(json.loads(json.dumps(number))) == number
