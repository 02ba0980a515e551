"""Requests to cold backend servers, summed over all entries.

Guards against a server that ends because the entries of the fleet together send
it more requests than it bears while it is cold.
"""

import random
from dataclasses import replace

import msgpack
import pytest
from tests.gateway_fakes import (
    CONFIGURATION,
    Caller,
    ScriptedBackend,
    configuration,
    http_response,
    request_state_of,
)
from tests.test_server_signals import Gateway, ManualClock, record

from kumquatrun.gateway.backends.listing_follower import (
    decode_records,
    encode_records,
)
from kumquatrun.gateway.placement.cold_starts import (
    LISTING_LAG_S,
    ColdStartLimits,
    ColdStarts,
    EntryGroup,
)
from kumquatrun.gateway.placement.eligibility import Eligibility
from kumquatrun.gateway.routing.configuration import (
    BackendService,
    Configuration,
)
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.platform.listing import decode_entries

LIMITS = ColdStartLimits(overage=1.5, slack=5)
SERVICE = BackendService(name='assistant', cold_start_s=3, cold_per_s=14)
BOUND = SERVICE.cold_per_s * LIMITS.overage + LIMITS.slack
COLD = record(0, is_cold=True)


def cold_starts_of(own_id, entry_ids, service=SERVICE, has_lease=True):
    return ColdStarts(
        LIMITS,
        lambda: Configuration(version=1, services=(service,)),
        lambda: EntryGroup(
            own_id=own_id, entry_ids=tuple(entry_ids), has_lease=has_lease
        ),
    )


def backend_of(row):
    return Gateway(row, clock=ManualClock()).backend(0)


def most_in_one_second(times_s):
    times_s = sorted(times_s)
    return max(
        (
            sum(began_s <= time_s <= began_s + 1 for time_s in times_s)
            for began_s in times_s
        ),
        default=0,
    )


@pytest.mark.parametrize('seed', range(50))
def test_fleet_stays_within_the_limit(seed):
    # All entries send whenever they may. Half of them still see the fleet as
    # it was before other entries replaced some; entries restart.
    rng = random.Random(seed)
    names = [f'entry-{number}' for number in range(rng.choice((1, 3, 29, 70)))]
    replaced = [f'new-{name}' for name in names]
    views = (names, replaced if len(names) > 1 else names)
    entries = [
        (name, view, cold_starts_of(name, view))
        for view in views
        for name in view
    ]
    if views[0] is views[1]:
        entries = entries[:1]
    backend = backend_of(COLD)
    sent_s = []
    now_s = 0.0
    for _ in range(400):
        now_s += rng.choice((0, 0.01, 0.02, 0.3))
        number = rng.randrange(len(entries))
        if rng.random() < 0.02:
            name, view, _ = entries[number]
            entries[number] = (name, view, cold_starts_of(name, view))
        sent_s.extend(now_s for row in entries if row[2].take(backend, now_s))
    assert most_in_one_second(sent_s) <= BOUND
    assert sent_s


def test_fleet_with_one_view_uses_the_server():
    # A server that no entry uses while it is cold is a loss for callers.
    names = [f'entry-{number}' for number in range(29)]
    entries = [cold_starts_of(name, names) for name in names]
    backend = backend_of(COLD)
    steps = [step / 100 for step in range(1000)]
    sent = sum(row.take(backend, now_s) for now_s in steps for row in entries)
    assert sent / 10 >= SERVICE.cold_per_s / 2


def test_entry_without_a_lease_sends_nothing():
    # The others may have replaced it as an owner.
    cut_off = cold_starts_of('a', ['a'], has_lease=False)
    backend = backend_of(COLD)
    assert not any(cut_off.take(backend, now_s) for now_s in range(100))


def test_limit_too_low_for_a_request_sends_nothing():
    slow = replace(SERVICE, cold_per_s=0.5)
    starts = cold_starts_of('a', ['a'], slow)
    backend = backend_of(COLD)
    assert not any(starts.take(backend, now_s) for now_s in range(100))


def test_service_without_a_limit_is_not_held_back():
    starts = cold_starts_of('a', ['a', 'b'], replace(SERVICE, cold_per_s=0))
    backend = backend_of(COLD)
    assert all(starts.take(backend, 0) for _ in range(100))


def test_new_process_counts_as_cold_but_not_those_of_the_first_listing():
    # The listing lags behind a start. An entry that has just started must not
    # take all servers for new ones.
    clock = ManualClock()
    gateway = Gateway(record(1), clock=clock)
    clock.time_s = 10.0
    gateway.table.update([record(0), record(1)])
    starts = cold_starts_of('a', ['b'])
    assert starts.may_send(gateway.backend(1), clock.time_s)
    assert not starts.may_send(gateway.backend(0), clock.time_s)
    assert starts.may_send(gateway.backend(0), 10 + SERVICE.cold_start_s)


def test_failure_domain_that_returns_counts_as_cold():
    # Its servers may have become cold while no request went there.
    starts = cold_starts_of('a', ['b'])
    backend = backend_of(record(0))
    starts.record_return('a', 5.0)
    assert not starts.may_send(backend, 5.0)
    assert starts.may_send(backend, 5.0 + SERVICE.cold_start_s + LISTING_LAG_S)


async def test_requests_that_wait_share_the_same_limit():
    # Both were chosen while one request could be sent.
    cold = ScriptedBackend(*[[http_response()]] * 2)
    warm = ScriptedBackend(*[[http_response()]] * 2)
    addresses = [(await row.start()).address for row in (cold, warm)]
    gateway = Gateway(
        record(0, addresses[0], is_cold=True), record(1, addresses[1])
    )
    starts = cold_starts_of('a', ['a'])
    starts.may_send(gateway.backend(0), gateway.clock.now_s() - 10)
    gateway.reservations._candidates._eligibility = Eligibility(
        {'a': 'r'}, lambda: None, gateway.clock, starts
    )
    gateway.backend(1).reported_load = 9
    reservation_a = gateway.reservations.reserve(request_state_of('streaming'))
    async with reservation_a as chosen:
        assert chosen.backend is gateway.backend(0)
        assert (await gateway.send('non_idempotent', Caller())).status == 200
        assert not gateway.reservations.take_share(chosen.backend)
    assert (await gateway.send('non_idempotent', Caller())).status == 200
    assert (len(cold.requests), len(warm.requests)) == (1, 1)


@pytest.mark.parametrize(
    ('remaining_ms', 'is_cold'), [(0, False), (None, False), (1.5, True)]
)
def test_listing_says_which_servers_are_cold(remaining_ms, is_cold):
    listed = {
        'id': 'i-0',
        'service': 's',
        'address': '10.0.0.1:80',
        'state': 'ready',
        'cold_remaining_ms': remaining_ms,
    }
    rows = decode_entries([listed])
    assert [row.is_cold for row in rows] == [is_cold]
    assert decode_records(encode_records(rows)) == tuple(rows)


def test_host_of_an_earlier_version_leaves_a_cold_server_out():
    # It knows no limit, and reads the column as whether the server is draining.
    (row,) = msgpack.unpackb(encode_records([COLD]))
    assert len(row) == 8
    assert row[5]


def test_configuration_holds_the_limit():
    service = {**CONFIGURATION['services'][0], 'cold_start_s': 3}
    decoded = decode_configuration(
        configuration(
            services=[
                {**service, 'cold_per_s': 14.0},
                CONFIGURATION['services'][1],
            ]
        )
    )
    assert decoded.service('assistant').cold_per_s == 14
    assert decoded.service('assistant').cold_start_s == 3
    assert decoded.service('ledger').cold_per_s == 0
