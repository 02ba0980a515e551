"""An agent that is told of an adapter that its engine does not hold."""

import asyncio

import pytest
from tests.gateway_fakes import Engine
from tests.test_engine_agent import Call, Use, agent_of

from kumquatrun.gateway.messages import AdapterInUse

pytestmark = pytest.mark.looptime


async def test_adapter_that_is_not_held_is_loaded_despite_a_told_use():
    # Guards against a refusal for a version that is in use, although the
    # engine has dropped the adapter and could load it at once.
    engine = Engine()
    async with agent_of(engine) as agent:
        told = AdapterInUse(request_id='r1', model='m', adapter='a1')
        telling = asyncio.create_task(agent.handle(told, Call()))
        await asyncio.sleep(0.01)
        use = Use(agent, 'a1', 'r2')
        await use.ready()
        await use.end()
        telling.cancel()
    assert [order.adapter for order in engine.orders] == ['a1']
