"""Base models and adapters that share the memory of one engine."""

import asyncio

import pytest
from tests.test_engine_agent import AdapterCall, agent_of

from kumquatrun.errors import NoCapacityError
from kumquatrun.gateway.engine.engine_api import (
    EngineReport,
    HeldModel,
    OrderVerdict,
)
from kumquatrun.gateway.routing.configuration import BaseModelSpec, EngineSpec

pytestmark = pytest.mark.looptime

ADAPTER_MB = 5
MODELS_MB = {'m': 50, 'rare': 40}
SPEC = EngineSpec(
    adapter_slots=4,
    weights_mb=100,
    base_models=tuple(
        BaseModelSpec(name=name, weights_mb=weights_mb, adapter_mb=ADAPTER_MB)
        for name, weights_mb in MODELS_MB.items()
    ),
)
# Memory beside both base models.
ROOM_FOR_ADAPTERS = 2


class SharedMemoryEngine:
    """Fake engine that loads at once and records its largest use of memory."""

    def __init__(self):
        self.held = {'m': {}}
        self.count = 0
        self.max_mb = 0
        self.runs = {}

    async def report(self):
        return EngineReport(
            started_ms=1,
            order_count=self.count,
            models=tuple(
                HeldModel(name=name, version=1, adapters=dict(adapters))
                for name, adapters in self.held.items()
            ),
            running=len(self.runs),
            running_ids=frozenset(self.runs),
        )

    async def identify(self, check_path):
        return 'engine-1'

    async def order(self, order):
        if order.expected_count != self.count:
            return OrderVerdict.CONFLICT
        self.count += 1
        if order.adapter:
            adapters = self.held[order.model]
            if order.is_load:
                adapters[order.adapter] = 1
            else:
                del adapters[order.adapter]
        elif order.is_load:
            self.held[order.model] = {}
        else:
            del self.held[order.model]
        self.max_mb = max(self.max_mb, self._used_mb())
        return OrderVerdict.ACCEPTED

    def _used_mb(self):
        adapters = sum(map(len, self.held.values()))
        return (
            sum(MODELS_MB[name] for name in self.held) + ADAPTER_MB * adapters
        )


async def use_adapters(agent, count):
    """Use adapters of the first model, one after the other."""
    for number in range(1, count + 1):
        use = AdapterCall(agent, f'a{number}', f'r{number}')
        await use.ready()
        await use.end()
    # The grace of adapters before their eviction.
    await asyncio.sleep(0.5)


@pytest.mark.parametrize('count', [ROOM_FOR_ADAPTERS, 3, 4])
async def test_base_model_is_loaded_beside_adapters(count):
    # Guards against a base model that is ordered without regard to the adapters
    # that the engine holds: it takes more memory than there is.
    engine = SharedMemoryEngine()
    async with agent_of(engine, spec=SPEC) as agent:
        await use_adapters(agent, count)
        await AdapterCall(agent, '', 'rare', model='rare').ready()
        await AdapterCall(agent, 'b1', 'b1', model='rare').ready()
    assert set(engine.held) == {'m', 'rare'}
    assert engine.max_mb <= SPEC.weights_mb
    # Only as many adapters make way as the memory asks for.
    assert len(engine.held['m']) + len(engine.held['rare']) == ROOM_FOR_ADAPTERS


async def test_adapters_in_use_keep_their_memory():
    # Guards against adapters that are evicted in vain, or while requests use
    # them, for a base model that does not fit.
    engine = SharedMemoryEngine()
    async with agent_of(engine, spec=SPEC) as agent:
        await use_adapters(agent, 4)
        uses = [AdapterCall(agent, f'a{n}', f'u{n}') for n in range(1, 4)]
        for use in uses:
            await use.ready()
        with pytest.raises(NoCapacityError, match='no room'):
            await AdapterCall(agent, '', 'rare', model='rare').ready()
        assert set(engine.held['m']) == {'a1', 'a2', 'a3', 'a4'}
        await uses[0].end()
        await asyncio.sleep(0.5)
        await AdapterCall(agent, '', 'rare', model='rare').ready()
    assert {'a2', 'a3'} == set(engine.held['m'])
    assert engine.max_mb <= SPEC.weights_mb
