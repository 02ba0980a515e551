"""A part of prompts that crashes backend servers is bounded for the fleet."""

import asyncio

import pytest
from tests.crash_fleet import DEADLY_PART, CrashingBackend, crash_fleet

# The users allow three more requests with a part that has ended five backend
# servers.
MAX_ENDS = 5 + 3
FIRST = 'aaaa0001'
PLAIN = '/draft/long/a'
# A resumable stream with two attempts.
STREAM = '/draft/a'


def backends(count=6, **more):
    return [CrashingBackend(**more) for _ in range(count)]


def blocked(fleet):
    return {
        key
        for key, state in fleet.control.fingerprints.items()
        if state == 'blocked'
    }


@pytest.mark.parametrize('entries', [1, 8, 30])
@pytest.mark.parametrize('path', [PLAIN, STREAM], ids=['plain', 'attempts'])
async def test_runs_of_a_deadly_part_are_bounded(entries, path):
    # Guards against a prompt part that crashes one backend server after the
    # other, because no two requests with it are equal.
    async with crash_fleet(entries, *backends()) as fleet:
        statuses = []
        for number in range(entries + 12):
            statuses.append(
                await fleet.try_parts(number, FIRST, DEADLY_PART, path=path)
            )
            await asyncio.sleep(0.15)
        assert fleet.crashes <= MAX_ENDS
    assert statuses[-1] == 503


@pytest.mark.parametrize('position', [0, 1, 2])
async def test_any_shared_part_may_be_the_deadly_one(position):
    parts = [FIRST, 'bbbb0001']
    parts.insert(position, DEADLY_PART)
    async with crash_fleet(2, *backends()) as fleet:
        for number in range(12):
            await fleet.try_parts(number, *parts)
            await asyncio.sleep(0.15)
        assert fleet.crashes <= MAX_ENDS


async def test_simultaneous_requests_with_a_deadly_part_end():
    # Guards against a part that arrives at all entries at the same moment.
    async with crash_fleet(8, *backends(10)) as fleet:
        for _ in range(5):
            await asyncio.gather(
                *(
                    fleet.try_parts(host, FIRST, DEADLY_PART)
                    for host in range(8)
                )
            )
            await asyncio.sleep(0.6)
        known = fleet.crashes
        statuses = await asyncio.gather(
            *(fleet.try_parts(host, FIRST, DEADLY_PART) for host in range(8))
        )
        assert set(statuses) == {503}
        assert fleet.crashes == known


async def test_two_deadly_parts_are_bounded():
    parts = (DEADLY_PART, 'dead0002')
    async with crash_fleet(4, *backends(deadly_parts=parts)) as fleet:
        for number in range(24):
            await fleet.try_parts(number, FIRST, parts[number % 2])
            await asyncio.sleep(0.15)
        assert fleet.crashes <= 2 * MAX_ENDS
        statuses = [await fleet.try_parts(0, FIRST, part) for part in parts]
        assert statuses == [503, 503]


async def test_entry_without_control_bounds_a_part_by_itself():
    # Guards against a part that crashes one backend server after the other
    # while its entry is cut off and can't report.
    async with crash_fleet(2, *backends()) as fleet:
        fleet.control.cut_off = {0}
        for _ in range(12):
            await fleet.try_parts(0, FIRST, DEADLY_PART)
            await asyncio.sleep(0.15)
        assert fleet.crashes <= MAX_ENDS


async def test_silent_crashes_of_a_part_are_bounded():
    # Guards against a part that is not counted because the backend server
    # falls silent instead of closing its connections.
    servers = backends(8, is_dark=True, down_s=5)
    async with crash_fleet(2, *servers) as fleet:
        for number in range(10):
            await fleet.try_parts(number, FIRST, DEADLY_PART)
        assert fleet.crashes <= MAX_ENDS
        assert await fleet.try_parts(0, FIRST, DEADLY_PART) == 503


async def test_part_that_was_sound_is_bounded():
    # Guards against old proof of innocence: a part may begin to crash backend
    # servers after it was answered a hundred times.
    servers = backends(deadly_parts=())
    async with crash_fleet(4, *servers) as fleet:
        for number in range(8):
            assert await fleet.try_parts(number, FIRST, 'cccc0001') == 200
        for server in servers:
            server.deadly_parts.add('cccc0001')
        for number in range(20):
            await fleet.try_parts(number, FIRST, 'cccc0001')
            await asyncio.sleep(0.15)
        assert fleet.crashes <= MAX_ENDS


async def test_sound_requests_beside_a_deadly_part_stay_served():
    # Guards against a block of the caller, the route or a part that sound
    # requests share with the deadly ones (LOST).
    async with crash_fleet(4, *backends()) as fleet:
        for number in range(16):
            await fleet.try_parts(number, FIRST, DEADLY_PART)
            await fleet.try_parts(number, FIRST, 'bbbb0001')
            await asyncio.sleep(0.1)
        statuses = [
            await fleet.try_parts(number, FIRST, 'bbbb0001')
            for number in range(20)
        ]
        assert statuses == [200] * 20
        assert await fleet.try_parts(0, FIRST, DEADLY_PART) == 503
