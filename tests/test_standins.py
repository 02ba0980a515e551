"""Stand-ins: they behave as the design page describes the real systems."""

import asyncio

import aiohttp
import pytest
from click.testing import CliRunner
from tests.fakes import eventually

from kumquatrun_standins.cli import main
from kumquatrun_standins.engine import FENCING_HEADER, Engine
from kumquatrun_standins.engine_core import (
    CRASH_MARK,
    PREFIX_BLOCK_CHARS,
    EngineCore,
    EngineOptions,
    Generation,
    PrefixCache,
)
from kumquatrun_standins.host_list import HostList
from kumquatrun_standins.plain_service import PlainService
from kumquatrun_standins.weight_store import WeightStore

FAST = EngineOptions(load_s=0.01, token_interval_s=0.005, restart_s=0.05)
LEGAL = {'adapter': 'legal', 'version': '3'}


@pytest.fixture
async def http():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def start():
    """Start stand-ins that are stopped at the end of the test."""
    servers = []

    async def start_one(server):
        servers.append(server)
        return await server.start()

    yield start_one
    for server in servers:
        await server.stop()


async def order(http, engine, action, body=LEGAL, number=1):
    headers = {FENCING_HEADER: str(number)}
    url = f'{engine.url}/orders/{action}'
    async with http.post(url, json=body, headers=headers) as reply:
        return reply.status, await reply.json()


def completion(**fields):
    return {'model': 'legal@3', 'prompt': 'hi', 'max_tokens': 3} | fields


async def complete(http, engine, request_id='r1', **fields):
    async with http.post(
        f'{engine.url}/v1/completions',
        json=completion(**fields),
        headers={'X-Request-Id': request_id},
    ) as reply:
        return reply.status, await reply.json()


async def test_answer_names_what_ran(http, start):
    engine = await start(Engine(FAST))
    await order(http, engine, 'load')
    status, body = await complete(http, engine)
    assert status == 200
    assert body['choices'][0]['text'] == 'legal@3:0 legal@3:1 legal@3:2 '
    assert body['served_by'] == {
        **LEGAL,
        'incarnation': engine.core.incarnation,
    }


# Orders with their fencing numbers, whether numbers are checked, statuses.
ORDERS = {
    'load_twice': ([('load', 1), ('load', 1)], True, [200, 200]),
    'old_number': ([('load', 2), ('unload', 1)], True, [200, 409]),
    'unchecked': ([('load', 2), ('unload', 1)], False, [200, 200]),
}


@pytest.mark.parametrize('name', ORDERS)
async def test_orders(name, http, start):
    orders, checks, statuses = ORDERS[name]
    options = EngineOptions(load_s=0.01, check_fencing=checks)
    engine = await start(Engine(options))
    seen = []
    for action, number in orders:
        status, _ = await order(http, engine, action, number=number)
        seen.append(status)
    assert seen == statuses


async def test_engine_refuses_more_adapters_than_slots(http, start):
    engine = await start(Engine(EngineOptions(load_s=0.01, slots=1)))
    assert (await order(http, engine, 'load'))[0] == 200
    other = {'adapter': 'other', 'version': '1'}
    assert (await order(http, engine, 'load', other))[0] == 507
    status, body = await complete(http, engine, model='other@1')
    assert (status, body['code']) == (404, 'adapter_not_loaded')


async def test_failed_and_stuck_loads(http, start):
    options = EngineOptions(load_s=0.01, hang_loads=1, fail_loads=1)
    engine = await start(Engine(options))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await order(http, engine, 'load')
    assert (await order(http, engine, 'load'))[0] == 500
    assert (await order(http, engine, 'load'))[0] == 200


async def test_batch_is_continuous_bounded_and_honours_priority(http, start):
    options = EngineOptions(load_s=0, token_interval_s=0.01, max_batch=2)
    engine = await start(Engine(options))
    await order(http, engine, 'load')
    calls = [
        complete(http, engine, f'r{n}', priority=n, max_tokens=5)
        for n in range(5)
    ]
    tasks = [asyncio.create_task(call) for call in calls]
    await eventually(lambda: len(engine.core.running) == 2)
    assert len(engine.core.waiting) == 3
    assert all(status == 200 for status, _ in await asyncio.gather(*tasks))
    admitted = [request_id for request_id, _, _ in engine.core.executions]
    assert admitted[2:] == sorted(admitted[2:], reverse=True)


async def test_marked_prompt_crashes_and_restarts_empty(http, start):
    engine = await start(Engine(FAST))
    await order(http, engine, 'load')
    first = engine.core.incarnation
    for _ in range(2):
        with pytest.raises(aiohttp.ClientError):
            await complete(http, engine, prompt=f'x {CRASH_MARK}')
    await asyncio.sleep(0.1)
    async with http.get(f'{engine.url}/health') as reply:
        health = await reply.json()
    assert health['incarnation'] != first
    assert health['adapters'] == []


@pytest.mark.looptime
async def test_load_report_lags():
    core = EngineCore(EngineOptions(report_lag_s=1))
    core.load_report()
    await asyncio.sleep(0.5)
    core.submit(Generation('r', 'a', '1', 'hi', 1))
    for _ in range(2):
        assert core.load_report() == (0, 0)
        await asyncio.sleep(0.6)
    assert core.load_report() == (0, 1)


def test_cache_events_are_late_and_have_gaps():
    options = EngineOptions(event_lag_s=1, event_loss=0.3, cached_blocks=20)
    cache = PrefixCache(options)
    for number in range(30):
        prompt = f'{number:02}' * PREFIX_BLOCK_CHARS
        cache.admit(Generation('r', 'a', '1', prompt, 1), 10)
    assert cache.events_after(0, 10.9) == []
    numbers = [event['sequence'] for event in cache.events_after(0, 11)]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < numbers[-1]


def test_cached_prefix_is_not_stored_again():
    cache = PrefixCache(EngineOptions())
    prompt = 'p' * PREFIX_BLOCK_CHARS * 3
    assert cache.admit(Generation('r', 'a', '1', prompt, 1), 0) == 3
    assert cache.admit(Generation('r', 'a', '1', prompt, 1), 0) == 0
    assert cache.admit(Generation('r', 'a', '2', prompt, 1), 0) == 3


# Loads at the same time and their time in seconds, from the design page:
# 0.25 s with up to eight in flight, in proportion more beyond.
LOAD_TIMES = {1: 0.25, 8: 0.25, 16: 0.5}


@pytest.mark.parametrize('loads', LOAD_TIMES)
@pytest.mark.looptime
async def test_weight_store_slows_down_above_eight_loads(loads):
    store = WeightStore(setup_s=0)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await asyncio.gather(*(store.fetch() for _ in range(loads)))
    assert loop.time() - started_s == pytest.approx(LOAD_TIMES[loads], rel=0.05)
    assert store.most_in_flight == loads


@pytest.mark.looptime
async def test_weight_store_serves_three_loads_a_second_one_at_a_time():
    store = WeightStore()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    for _ in range(9):
        await store.fetch()
    assert 9 / (loop.time() - started_s) == pytest.approx(3, rel=0.1)


async def test_engine_loads_from_the_store(http, start):
    store = await start(WeightStore(load_s=0.02, setup_s=0))
    options = EngineOptions(weight_store_url=store.url)
    engine = await start(Engine(options))
    assert (await order(http, engine, 'load'))[0] == 200
    assert store.loads == 1


async def test_plain_service_counts_executions(http, start):
    service = await start(PlainService())
    service.drop_answers = 1
    url = f'{service.url}/bookings'
    with pytest.raises(aiohttp.ClientError):
        await http.post(url, json={'id': 'b1'})
    async with http.post(url, json={'id': 'b1'}) as reply:
        assert await reply.json() == {'id': 'b1', 'count': 2}
    async with http.get(f'{service.url}/lookup/i7') as reply:
        assert reply.status == 200
    async with http.get(f'{service.url}/executions/b1') as reply:
        assert await reply.json() == {'count': 2}


async def test_host_list_answers(http, start):
    hosts = await start(HostList(lag_s=0))
    url = f'{hosts.url}/hosts'
    await http.put(f'{url}/h1', json={'state': 'live'})
    await http.put(f'{url}/h2', json={'state': 'leaving'})
    await http.delete(f'{url}/h1')
    async with http.get(url) as reply:
        assert await reply.json() == {'h2': 'leaving'}


@pytest.mark.looptime
async def test_host_list_lags():
    hosts = HostList(lag_s=5)
    hosts.set_state('h1', 'live')
    await asyncio.sleep(4.9)
    assert hosts.published() == {}
    hosts.set_state('h1', None)
    await asyncio.sleep(0.2)
    assert hosts.published() == {'h1': 'live'}
    await asyncio.sleep(5)
    assert hosts.published() == {}


@pytest.mark.parametrize('name', sorted(main.commands))
def test_each_standin_has_a_command(name):
    shown = CliRunner().invoke(main, [name, '--help'])
    assert shown.exit_code == 0
    assert '--listen' in shown.output
