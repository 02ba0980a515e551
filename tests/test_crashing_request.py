"""Requests that crash backend servers are bounded for the whole fleet."""

import asyncio

import pytest
from tests.crash_fleet import POISON, CrashingBackend, crash_fleet

# The request ends three backend servers before it is known; the users allow
# three more runs in the whole fleet.
MAX_ENDS = 6


def backends(count=6, **more):
    return [CrashingBackend(**more) for _ in range(count)]


@pytest.mark.parametrize('entries', [1, 8, 30])
@pytest.mark.parametrize(
    ('path', 'more'),
    [
        ('/draft/long/a', {'data': POISON}),
        # A resumable stream with two attempts.
        ('/draft/a', {'data': POISON}),
        # Without a body.
        ('/draft/long/poison', {}),
        ('/draft/poison/draft/long/poison', {}),
    ],
    ids=['body', 'attempts', 'bodyless', 'bodyless-attempts'],
)
async def test_runs_do_not_grow_with_entries(entries, path, more):
    # Guards against a request that crashes one backend server for each entry
    # that it reaches, because each entry keeps its first failure to itself.
    async with crash_fleet(entries, *backends()) as fleet:
        statuses = await fleet.try_in_turn(entries + 10, path=path, **more)
        assert fleet.crashes <= MAX_ENDS
    assert statuses[-1] == 503


@pytest.mark.parametrize('entries', [1, 4])
async def test_silent_crashes_are_bounded(entries):
    # Guards against a request that ends at its time limit and is not counted,
    # because the backend server falls silent instead of closing connections.
    servers = backends(is_dark=True, down_s=5)
    async with crash_fleet(entries, *servers) as fleet:
        statuses = [
            await fleet.try_at(number, '/draft/long/a', data=POISON)
            for number in range(7)
        ]
        assert fleet.crashes <= MAX_ENDS
    assert statuses[:3] == [504, 504, 504]
    assert statuses[-1] == 503


async def test_simultaneous_tries_end():
    # Guards against a request that arrives at all entries at the same moment,
    # again and again.
    async with crash_fleet(8, *backends()) as fleet:
        for _ in range(6):
            await asyncio.gather(*(fleet.try_at(host) for host in range(8)))
            await asyncio.sleep(0.1)
        known = fleet.crashes
        statuses = await asyncio.gather(
            *(fleet.try_at(host) for host in range(8))
        )
        assert set(statuses) == {503}
        assert fleet.crashes == known


async def test_entry_without_control_stops_by_itself():
    # Guards against a request that crashes one backend server after the other
    # while its entry is cut off and can't report.
    async with crash_fleet(2, *backends()) as fleet:
        fleet.control.cut_off = {0}
        statuses = [await fleet.try_at(0) for _ in range(12)]
        assert fleet.crashes <= MAX_ENDS
        assert set(statuses[6:]) == {503}


async def test_report_is_sent_again_after_a_cut():
    # Guards against ends that are forgotten because control was unreachable
    # when they were reported.
    async with crash_fleet(2, *backends()) as fleet:
        fleet.control.cut_off = {0}
        for _ in range(4):
            await fleet.try_at(0)
            await asyncio.sleep(0.06)
        before = fleet.crashes
        fleet.control.cut_off = set()
        await asyncio.sleep(1.0)
        assert await fleet.try_at(1) == 503
        assert fleet.crashes == before


async def test_other_key_and_query_are_the_same_request():
    # Guards against a caller whose account has several keys, or who adds a
    # query, and so passes for another caller with another request.
    async with crash_fleet(2, *backends()) as fleet:
        for number in range(8):
            await fleet.try_at(
                number,
                f'/draft/poison/draft/long/poison?n={number}',
                key=f'key-{1 + number % 2}',
            )
            await asyncio.sleep(0.06)
        assert fleet.crashes <= MAX_ENDS


async def test_harmless_requests_beside_it_stay_served():
    # Guards against harmless requests that are refused because they ran on a
    # backend server that another request crashed.
    async with crash_fleet(4, *backends()) as fleet:
        refused = []

        async def send_harmless(worker):
            for number in range(40):
                status = await fleet.try_at(
                    worker, '/draft/long/a', data=b'%d-%d' % (worker, number)
                )
                refused.extend([status] if status == 503 else [])
                await asyncio.sleep(0.01)

        await asyncio.gather(
            *(send_harmless(worker) for worker in range(8)),
            fleet.try_in_turn(16),
        )
        quarantined = [
            state
            for state in fleet.control.fingerprints.values()
            if state not in {'clear', 'suspect'}
        ]
        # Every backend server may be down for a moment; that is a refusal for
        # want of capacity.
        assert len(quarantined) <= 1
        assert len(refused) <= 8
