"""Requests stay in the regions that their route and account allow.

Guards against a request that a backend server of another region runs: on a
busy or broken fleet, the balancer would otherwise take any backend server.
"""

import random
from dataclasses import replace

import pytest
from tests.gateway_fakes import CONFIGURATION, configuration, request_state_of

from kumquatrun.errors import DocumentError, NoCapacityError
from kumquatrun.gateway.backends.backends import BackendRecord, BackendTable
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.candidates import NONE_ELIGIBLE
from kumquatrun.gateway.placement.eligibility import Eligibility
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.peer.address import Address
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.runtime.clock import LoopClock

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
# A failure domain that the settings of this host do not name.
UNKNOWN_DOMAIN = 'd1'


def configured(route_regions=(), account_regions=()):
    route = {**CONFIGURATION['routes'][0], 'name': 'r'}
    account = CONFIGURATION['tenants'][0]
    return decode_configuration(
        configuration(
            routes=[{**route, 'allowed_regions': list(route_regions)}],
            tenants=[{**account, 'allowed_regions': list(account_regions)}],
        )
    )


def fleet(domains):
    table = BackendTable()
    table.update(
        BackendRecord(
            backend_id=f'i-{number}',
            service='assistant',
            address=Address('10.0.0.1', 8000 + number),
            failure_domain=domain,
        )
        for number, domain in enumerate(domains)
    )
    return table


def reservations_of(table, current, rng=None):
    return Reservations(
        table,
        Balancer(
            Locality(failure_domain='a1', regions=REGIONS),
            rng or random.Random(1),
        ),
        None,
        lambda model, adapter: 0,
        Eligibility(REGIONS, lambda: current[0]),
        LoopClock(),
    )


async def reserved_domain(reservations, row):
    async with reservations.reserve(row) as reservation:
        return reservation.backend.record.failure_domain


def expected_regions(route_regions, account_regions):
    allowed = set(REGIONS.values())
    for regions in (route_regions, account_regions):
        if regions:
            allowed &= set(regions)
    return allowed


@pytest.mark.parametrize('seed', range(200))
async def test_no_send_outside_of_the_allowed_regions(seed):
    # Random fleets, restrictions, failures and retries.
    rng = random.Random(seed)
    domains = rng.choices([*REGIONS, UNKNOWN_DOMAIN], k=rng.randint(1, 8))
    table = fleet(domains)
    names = ('a', 'b', 'c', 'elsewhere')
    route_regions = rng.sample(names, rng.randint(0, 3))
    account_regions = rng.sample(names, rng.randint(0, 3))
    if not (route_regions or account_regions):
        route_regions = ['a']
    allowed = expected_regions(route_regions, account_regions)
    current = [configured(route_regions, account_regions)]
    reservations = reservations_of(table, current, rng)
    row = request_state_of('idempotent')
    for backend in table.of_service('assistant'):
        backend.reported_load = rng.choice((0, 5, 100))
        backend.failure_rate = rng.random()
        backend.paused_until_s = rng.choice((0.0, 1e9))
    inside = sum(REGIONS.get(domain) in allowed for domain in domains)
    for _ in range(inside):
        domain = await reserved_domain(reservations, row)
        assert REGIONS[domain] in allowed
        row.tried_backends.add(
            next(
                backend.backend_id
                for backend in table.of_service('assistant')
                if backend.record.failure_domain == domain
                and backend.backend_id not in row.tried_backends
            )
        )
    with pytest.raises(NoCapacityError):
        await reserved_domain(reservations, row)


async def test_request_without_an_allowed_region_is_refused_at_once():
    # It must not wait for a backend server that may never come.
    current = [configured(['c'])]
    clock = LoopClock()
    began_s = clock.now_s()
    with pytest.raises(NoCapacityError) as caught:
        await reserved_domain(
            reservations_of(fleet(['a1', 'b1']), current),
            request_state_of('idempotent'),
        )
    assert caught.value.cause == NONE_ELIGIBLE
    assert clock.now_s() - began_s < 0.1


async def test_change_of_the_regions_applies_to_a_request_that_waits():
    # The request was admitted while its route allowed every region.
    current = [configured()]
    reservations = reservations_of(fleet(['a1', 'b1']), current)
    row = request_state_of('idempotent')
    assert await reserved_domain(reservations, row) == 'a1'
    current[0] = configured(['b'])
    assert await reserved_domain(reservations, row) == 'b1'


async def test_removed_route_keeps_its_regions():
    # A configuration without the route must not lift its restriction.
    current = [replace(configured(), routes=())]
    row = request_state_of('idempotent')
    row.route = replace(row.route, allowed_regions=frozenset('b'))
    reservations = reservations_of(fleet(['a1', 'b1']), current)
    assert await reserved_domain(reservations, row) == 'b1'


@pytest.mark.parametrize('regions', ['a', [7], {'a': 1}, [None]])
def test_malformed_regions_are_refused(regions):
    # A restriction that can't be read must not count as none.
    route = {**CONFIGURATION['routes'][0], 'allowed_regions': regions}
    with pytest.raises(DocumentError, match='allowed_regions'):
        decode_configuration(configuration(routes=[route]))


@pytest.mark.parametrize('regions', [None, []])
def test_missing_regions_allow_all(regions):
    route = {**CONFIGURATION['routes'][0], 'allowed_regions': regions}
    decoded = decode_configuration(configuration(routes=[route]))
    assert decoded.allowed_regions(decoded.routes[0], 'lamps') is None
