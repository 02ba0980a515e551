"""Orders that an engine carries out late, and the process they are for."""

import asyncio

import pytest
from tests.gateway_fakes import Engine
from tests.test_engine_agent import AdapterCall, agent_of

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize('delay_s', [2, 12])
@pytest.mark.parametrize('count', [1, 3])
async def test_late_orders_do_not_exceed_slots(delay_s, count):
    # An engine that carries out old orders after newer ones must not exceed its
    # slots, and requests must not wait for such an order.
    engine = Engine(slots=2)
    engine.late_orders = count
    engine.late_s = delay_s
    async with agent_of(engine) as agent:
        for number in range(6):
            use = AdapterCall(agent, f'a{number}', str(number))
            began_s = asyncio.get_running_loop().time()
            await use.ready()
            assert asyncio.get_running_loop().time() - began_s < 2
            await use.end()
            await asyncio.sleep(1)
        await asyncio.sleep(delay_s)
    assert engine.max_held <= 2


async def use_in_turn(agent, *adapters):
    """Use each adapter once, one after the other."""
    for adapter in adapters:
        use = AdapterCall(agent, adapter, adapter)
        await use.ready()
        await use.end()
        # The grace of the adapter before its eviction.
        await asyncio.sleep(0.5)


@pytest.mark.parametrize('late_s', [3, 8])
@pytest.mark.parametrize(
    ('keeps_id', 'checks_process_id', 'checks_fencing_number'),
    [
        pytest.param(False, True, False, id='new id, fences ignored'),
        pytest.param(False, False, True, id='new id, ids ignored'),
        pytest.param(True, True, True, id='same id'),
    ],
)
async def test_order_for_an_earlier_process_is_void(
    keeps_id, checks_process_id, checks_fencing_number, late_s
):
    # Guards against a load that a later process of the engine carries out: its
    # number of orders may be the expected one again while its slots are full.
    engine = Engine(slots=2)
    engine.checks_process_id = checks_process_id
    engine.checks_fencing_number = checks_fencing_number
    engine.late_orders, engine.late_s, engine.late_adapter = 1, late_s, 'a3'
    async with agent_of(engine) as agent:
        # Two loads and an unload: the late load expects three orders.
        await use_in_turn(agent, 'a1', 'a2', 'a3')
        engine.restart(keeps_id=keeps_id)
        await asyncio.sleep(0.5)
        # The base model and two loads are three orders again.
        await use_in_turn(agent, 'a1', 'a2')
        assert engine.count == 3
        assert len(engine.held) == 2
        await asyncio.sleep(late_s)
    assert engine.max_held == 2


async def test_order_of_an_earlier_agent_is_void_after_both_restart():
    # Guards against an agent whose fencing numbers begin anew: an engine that
    # keeps its id would carry out a load of the agent before it.
    engine = Engine(slots=2)
    engine.late_orders, engine.late_s, engine.late_adapter = 1, 8, 'a3'
    async with agent_of(engine) as agent:
        await use_in_turn(agent, 'a1', 'a2', 'a3')
    engine.restart(keeps_id=True)
    async with agent_of(engine) as agent:
        await asyncio.sleep(0.5)
        await use_in_turn(agent, 'a1', 'a2')
        assert engine.count == 3
        await asyncio.sleep(8)
    assert engine.max_held == 2


async def test_engine_that_saw_a_higher_fencing_number_gets_orders():
    # Guards against an agent whose orders are refused for good, because the
    # agent before it ran while the clock was ahead.
    engine = Engine()
    engine.seen_fencing_number = 1000 * engine.started_ms
    async with agent_of(engine) as agent:
        async with asyncio.timeout(5):
            await AdapterCall(agent, 'a1').ready()
    assert engine.held


async def test_id_of_a_process_that_has_ended_is_not_used():
    # Guards against an id that was read from one process and given to orders
    # for the next: the engine would refuse all of them.
    engine = Engine()
    async with agent_of(engine) as agent:
        await use_in_turn(agent, 'a1')
        engine.restart()
        engine.identify_restarts = True
        await asyncio.sleep(0.5)
        await use_in_turn(agent, 'a2')
        refused = [
            order
            for order in engine.orders
            if order.process_id not in {'', 'engine-1', engine.process_id}
        ]
        assert not refused
        assert engine.orders[-1].process_id == engine.process_id


async def test_engine_without_an_id_gets_orders_and_few_checks():
    # Guards against an agent that waits for an id that the engine never names,
    # or asks for it with each report.
    engine = Engine()
    engine.is_unidentified = True
    async with agent_of(engine) as agent:
        await AdapterCall(agent, 'a1').ready()
        assert engine.held
        await asyncio.sleep(60)
    assert engine.identifications <= 8


async def test_refused_id_is_read_again():
    # Guards against an agent that keeps a wrong id, with which the engine
    # refuses every order.
    engine = Engine()
    async with agent_of(engine) as agent:
        await use_in_turn(agent, 'a1')
        engine.process_id = 'other'
        async with asyncio.timeout(5):
            await use_in_turn(agent, 'a2', 'a3')
        await asyncio.sleep(3)
        await use_in_turn(agent, 'a4')
        assert engine.orders[-1].process_id == 'other'
