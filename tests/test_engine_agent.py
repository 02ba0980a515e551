"""Agent beside an engine: loads, slots, versions, restarts and late orders."""

import asyncio
import logging
from contextlib import asynccontextmanager

import pytest
from tests.gateway_fakes import Engine

from kumquatrun.errors import (
    AdapterLoadError,
    DrainingError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.gateway.engine.engine_agent import (
    BUSY_REPORT_INTERVAL_S,
    EngineAgent,
)
from kumquatrun.gateway.engine.engine_watch import EngineWatch
from kumquatrun.gateway.routing.configuration import BaseModelSpec, EngineSpec
from kumquatrun.gateway.routing.messages import (
    AdapterInUse,
    AdapterQueued,
    AdapterReady,
    AdapterReleased,
    PromptRead,
    UseAdapter,
)
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime


class Call:
    """Stands in for ``CallContext``."""

    def __init__(self):
        self.ready = asyncio.get_running_loop().create_future()
        self.items = []

    async def send_message(self, msg):
        self.items.append(msg)
        if isinstance(msg, AdapterReady):
            self.ready.set_result(msg)


@asynccontextmanager
async def agent_of(
    engine,
    versions=None,
    models=('m',),
    host_id='host',
    spec=None,
):
    spec = spec or EngineSpec(
        adapter_slots=engine.slots,
        base_models=tuple(BaseModelSpec(name=name) for name in models),
    )
    agent = EngineAgent(
        host_id,
        engine,
        lambda: spec,
        lambda model, adapter: (versions or {}).get(adapter, 0),
        LoopClock(),
    )
    await agent.start()
    await asyncio.sleep(0.01)
    yield agent
    await agent.stop()


class Use:
    """One open call that uses an adapter."""

    def __init__(self, agent, adapter, request_id='r', **more):
        self.call = Call()
        fields = {'model': 'm', **more}
        request = UseAdapter(
            request_id=request_id,
            adapter=adapter,
            **fields,
        )
        self.task = asyncio.create_task(agent.handle(request, self.call))

    async def ready(self):
        await asyncio.wait(
            {self.task, self.call.ready},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self.task.done():
            await self.task
        return self.call.ready.result()

    async def end(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def test_missing_adapter_is_loaded_once():
    engine = Engine()
    async with agent_of(engine) as agent:
        uses = [Use(agent, 'a1', str(number)) for number in range(3)]
        for use in uses:
            await use.ready()
    assert [order.adapter for order in engine.orders] == ['a1']


async def test_adapter_slots_are_not_exceeded():
    # Guards against the crash of an engine that is ordered too much.
    engine = Engine(slots=4)
    async with agent_of(engine) as agent:
        for number in range(30):
            use = Use(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
    assert engine.max_held <= 4


async def test_adapter_in_use_is_not_evicted():
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        kept = Use(agent, 'kept', 'k')
        await kept.ready()
        for number in range(5):
            use = Use(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert 'kept' in engine.held


async def test_least_recently_used_adapter_is_evicted():
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for adapter in ('a1', 'a2', 'a1', 'a3'):
            use = Use(agent, adapter, adapter)
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert set(engine.held) == {'a1', 'a3'}


async def test_older_version_in_use_is_refused():
    # Guards against requests that wait for the end of long streams: the
    # engine replaces a version once its runs have ended.
    versions = {}
    engine = Engine()
    async with agent_of(engine, versions) as agent:
        old = Use(agent, 'a1', 'old')
        assert (await old.ready()).version == 1
        versions['a1'] = 2
        with pytest.raises(NoCapacityError, match='older version'):
            await Use(agent, 'a1', 'new').ready()
        await old.end()
        assert (await Use(agent, 'a1', 'newer').ready()).version == 2


async def test_engine_restart_restores_the_model():
    engine = Engine()
    async with agent_of(engine) as agent:
        await Use(agent, 'a1', 'r1').ready()
        engine.restart()
        await asyncio.sleep(0.5)
        assert engine.models == ('m',)
        await Use(agent, 'a2', 'r2').ready()
        assert 'a2' in engine.held


async def test_empty_engine_refuses_requests():
    # Guards against requests that wait for the model of a new engine: 434 of
    # 2,351 were held until their callers gave up on a day of releases.
    engine = Engine()
    engine.models = ()
    engine.model_load_s = 3
    async with agent_of(engine) as agent:
        with pytest.raises(AdapterLoadError, match='no model'):
            await Use(agent, 'a1').ready()
        await asyncio.sleep(4)
        await Use(agent, 'a1').ready()


@pytest.mark.parametrize('delay_s', [2, 12])
@pytest.mark.parametrize('count', [1, 3])
async def test_late_orders_do_not_exceed_slots(delay_s, count):
    # Guards against an engine that gets more than it has slots for when it
    # carries out old orders after newer ones, and against requests that wait
    # for such an order.
    engine = Engine(slots=2)
    engine.late_orders = count
    engine.late_s = delay_s
    async with agent_of(engine) as agent:
        for number in range(6):
            use = Use(agent, f'a{number}', str(number))
            began_s = asyncio.get_running_loop().time()
            await use.ready()
            assert asyncio.get_running_loop().time() - began_s < 2
            await use.end()
            await asyncio.sleep(1)
        await asyncio.sleep(delay_s)
    assert engine.max_held <= 2


async def test_request_is_acknowledged_before_the_load():
    # Guards against a frozen agent that cannot be told from one that loads.
    engine = Engine(load_s=5)
    async with agent_of(engine) as agent:
        use = Use(agent, 'a1')
        await asyncio.sleep(0.01)
        assert [type(item) for item in use.call.items] == [AdapterQueued]


@pytest.mark.parametrize('state', ['is_silent', 'is_draining'])
async def test_lost_or_draining_engine_refuses(state):
    engine = Engine()
    async with agent_of(engine) as agent:
        setattr(engine, state, True)
        await asyncio.sleep(1.5)
        with pytest.raises(AdapterLoadError):
            await Use(agent, 'a1').ready()


async def test_lost_engine_refuses_waiting_request():
    engine = Engine(load_s=100)
    async with agent_of(engine) as agent:
        use = Use(agent, 'a1')
        await asyncio.sleep(0.2)
        engine.is_silent = True
        with pytest.raises(AdapterLoadError):
            await use.ready()


async def test_prompts_wait_for_earlier_ones():
    engine = Engine()
    async with agent_of(engine) as agent:
        first = Use(agent, 'a1', 'first', prompt_tokens=5000)
        await first.ready()
        second = Use(agent, 'a1', 'second', prompt_tokens=500)
        await asyncio.sleep(0.2)
        assert not second.call.ready.done()
        await agent.handle(PromptRead(request_id='first'), None)
        await second.ready()


async def test_cancelled_call_does_not_stop_the_agent():
    # Guards against an agent that gives no orders after it has refused a
    # request whose caller had left meanwhile.
    engine = Engine()
    async with agent_of(engine) as agent:
        lost = Use(agent, 'a1', 'r1')
        lost.task.cancel()
        other = Use(agent, 'a1', 'r2', model='unknown')
        other.task.cancel()
        await asyncio.sleep(0.3)
        await Use(agent, 'a2', 'r3').ready()


async def test_missing_model_is_loaded_if_there_is_room():
    # Guards against a model that no engine ever loads.
    engine = Engine()
    models = (
        BaseModelSpec(name='m', weights_mb=40),
        BaseModelSpec(name='rare', weights_mb=40),
    )
    agent = EngineAgent(
        'host',
        engine,
        lambda: EngineSpec(
            adapter_slots=4,
            weights_mb=60,
            base_models=models,
        ),
        lambda model, adapter: 0,
        LoopClock(),
    )
    await agent.start()
    await asyncio.sleep(0.01)
    used = Use(agent, '', 'r1')
    await used.ready()
    with pytest.raises(NoCapacityError, match='no room'):
        await Use(agent, '', 'r2', model='rare').ready()
    await used.end()
    await asyncio.sleep(6)
    with pytest.raises(AdapterLoadError, match='no model'):
        await Use(agent, '', 'r3', model='rare').ready()
    await asyncio.sleep(1)
    await Use(agent, '', 'r4', model='rare').ready()
    assert engine.models == ('rare',)
    await agent.stop()


@pytest.mark.parametrize('waits', [True, False])
async def test_request_waits_for_the_model_to_reload(waits):
    # Guards against refusals while all engines load their model again.
    engine = Engine()
    engine.model_load_s = 0.9
    engine.restart()
    async with agent_of(engine) as agent:
        use = Use(agent, 'a1', waits_for_model=waits)
        if waits:
            assert (await use.ready()).version == 1
        else:
            with pytest.raises(AdapterLoadError):
                await use.ready()
        await use.end()


async def test_lost_engine_refuses_request_waiting_for_model():
    engine = Engine()
    engine.model_load_s = 100
    engine.restart()
    async with agent_of(engine) as agent:
        use = Use(agent, 'a1', waits_for_model=True)
        await asyncio.sleep(0.1)
        engine.is_silent = True
        with pytest.raises(AdapterLoadError):
            await use.ready()


async def test_empty_engines_load_different_models():
    # Guards against engines that stay empty after a loss of all hosts where
    # there are several base models: their new agents do not know which one
    # they held, and none ever loaded one again.
    loaded = set()
    for number in range(12):
        engine = Engine()
        engine.restart()
        async with agent_of(
            engine,
            models=('m', 'n', 'o'),
            host_id=f'host-{number}',
        ):
            await asyncio.sleep(0.3)
        loaded.update(engine.models)
    assert loaded == {'m', 'n', 'o'}


async def test_restarted_engine_reloads_its_last_model():
    engine = Engine()
    engine.models = ('n',)
    async with agent_of(engine, models=('m', 'n', 'o')):
        await asyncio.sleep(0.3)
        engine.restart()
        await asyncio.sleep(0.5)
    assert engine.models == ('n',)


async def test_unloading_adapter_occupies_its_slot():
    # Guards against an engine that crashes with all its streams: it waits for
    # the runs of an adapter before it unloads it, and an agent that loaded
    # another one at once gave it more than it has slots for.
    engine = Engine(slots=2)
    engine.reports_runs = False
    engine.held = {'a1': 1, 'a2': 1}
    engine.runs = {'r1': 'a1', 'r2': 'a2'}
    async with agent_of(engine) as agent:
        use = Use(agent, 'a3')
        await asyncio.sleep(1)
        assert not use.call.ready.done()
        engine.end_run('r1')
        await use.ready()
    assert engine.max_held <= 2


async def test_unloading_adapter_is_reloaded():
    # Guards against requests that are sent to an engine which refuses them
    # until an adapter is gone.
    engine = Engine(slots=1)
    engine.reports_runs = False
    engine.held = {'a1': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        other = Use(agent, 'a2', 'other')
        await asyncio.sleep(0.3)
        await other.end()
        use = Use(agent, 'a1', 'again')
        await asyncio.sleep(0.3)
        assert not use.call.ready.done()
        engine.end_run('r1')
        await use.ready()
        assert engine.held == {'a1': 1}
    assert engine.max_held <= 1


async def test_restarted_agent_keeps_adapters_in_use():
    # Guards against the eviction of an adapter whose streams began before the
    # restart of the agent: a new agent has had no calls for them.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for number in (1, 2):
            await Use(agent, f'a{number}', f'r{number}').ready()
        engine.runs = {'r1': 'a1', 'r2': 'a2'}
    async with agent_of(engine) as agent:
        use = Use(agent, 'a3')
        await asyncio.sleep(5)
        assert set(engine.held) == {'a1', 'a2'}
        assert all(order.is_load for order in engine.orders)
        engine.end_run('r1')
        engine.end_run('r2')
        await use.ready()


async def test_stream_keeps_its_adapter_after_a_lost_call():
    # Guards against an eviction after a connection between hosts was lost: the
    # stream itself goes over another one.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        lost = Use(agent, 'a1', 'r1')
        await lost.ready()
        engine.runs['r1'] = 'a1'
        await asyncio.sleep(0.2)
        await lost.end()
        for number in range(2, 6):
            await asyncio.sleep(1)
            use = Use(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
        unloaded = {row.adapter for row in engine.orders if not row.is_load}
        assert unloaded == {'a2', 'a3', 'a4'}
        engine.end_run('r1')
        await asyncio.sleep(1)
        for number in (6, 7):
            use = Use(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert 'a1' not in engine.held


@pytest.mark.parametrize('restarts', [True, False])
async def test_base_model_in_use_is_not_unloaded(restarts):
    # Guards against a base model that is unloaded under its streams: one that
    # began 5 s ago did not count, and neither did any before a restart.
    engine = Engine()
    models = (
        BaseModelSpec(name='m', weights_mb=40),
        BaseModelSpec(name='rare', weights_mb=40),
    )
    spec = EngineSpec(adapter_slots=4, weights_mb=60, base_models=models)
    async with agent_of(engine, spec=spec) as agent:
        await Use(agent, '', 'r1').ready()
        engine.runs['r1'] = ''
        await asyncio.sleep(6)
        if not restarts:
            with pytest.raises(NoCapacityError, match='no room'):
                await Use(agent, '', 'r2', model='rare').ready()
    async with agent_of(engine, spec=spec) as agent:
        await asyncio.sleep(6)
        with pytest.raises(NoCapacityError, match='no room'):
            await Use(agent, '', 'r2', model='rare').ready()
    assert engine.models == ('m',)


async def test_duplicate_request_id_keeps_both_adapters():
    # Guards against an eviction under a request whose caller reuses its id.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for adapter in ('a1', 'a2'):
            await Use(agent, adapter, 'same').ready()
        use = Use(agent, 'a3')
        await asyncio.sleep(2)
        assert set(engine.held) == {'a1', 'a2'}
        await use.end()


async def test_first_request_after_a_start_is_served():
    # Guards against refusals by a restarted agent that listens before it has
    # the first report of its engine.
    engine = Engine()
    engine.held = {'a1': 1}
    engine.report_s = 0.05
    agent = EngineAgent(
        'host',
        engine,
        lambda: EngineSpec(adapter_slots=4),
        lambda model, adapter: 0,
        LoopClock(),
    )
    await agent.start()
    assert (await Use(agent, 'a1').ready()).version == 1
    await agent.stop()


async def test_unknown_capacity_is_not_exceeded():
    # Guards against a crash of the engine while a restarted agent has no
    # configuration: it assumed 8 slots.
    engine = Engine(slots=2)
    engine.held = {'a1': 1, 'a2': 1}
    specs = []
    agent = EngineAgent(
        'host',
        engine,
        lambda: specs[0] if specs else None,
        lambda model, adapter: 0,
        LoopClock(),
    )
    await agent.start()
    await asyncio.sleep(0.5)
    uses = [Use(agent, f'b{number}', str(number)) for number in range(3)]
    await asyncio.sleep(2)
    assert engine.max_held == 2
    for use in uses:
        await use.end()
    specs.append(EngineSpec(adapter_slots=3))
    await asyncio.sleep(0.5)
    await Use(agent, 'c').ready()
    await agent.stop()
    assert engine.max_held == 3


async def test_stopping_agent_refuses_waiting_calls():
    # Guards against requests that learn of the end of their agent only from a
    # lost connection, which does not say that they were not run.
    engine = Engine(load_s=100)
    engine.held = {'a1': 1}
    async with agent_of(engine) as agent:
        running = Use(agent, 'a1', 'running', prompt_tokens=5000)
        await running.ready()
        for_adapter = Use(agent, 'a2', 'adapter')
        for_prompt = Use(agent, 'a1', 'prompt', prompt_tokens=5000)
        await asyncio.sleep(0.1)
        agent.end_calls()
        late = Use(agent, 'a1', 'late')
        for use in (for_adapter, for_prompt, late):
            with pytest.raises(DrainingError) as refused:
                await use.ready()
            assert refused.value.outcome is Outcome.NOT_RUN
        assert isinstance(await running.task, AdapterReleased)


async def test_restarted_agent_evicts_unused_adapters():
    # Guards against an engine that takes no new adapter until the last stream
    # from before the restart of its agent has ended.
    engine = Engine(slots=2)
    engine.held = {'a1': 1, 'a2': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        use = Use(agent, 'a3')
        await asyncio.sleep(0.5)
        assert not use.call.ready.done()
        message = AdapterInUse(request_id='r1', model='m', adapter='a1')
        call = asyncio.create_task(agent.handle(message, Call()))
        await use.ready()
        assert set(engine.held) == {'a1', 'a3'}
        call.cancel()


async def test_reported_use_protects_an_older_version():
    versions = {'a1': 2}
    engine = Engine()
    engine.held = {'a1': 1}
    async with agent_of(engine, versions) as agent:
        message = AdapterInUse(request_id='r1', model='m', adapter='a1')
        call = asyncio.create_task(agent.handle(message, Call()))
        await asyncio.sleep(0)
        with pytest.raises(NoCapacityError, match='older version'):
            await Use(agent, 'a1', 'new').ready()
        call.cancel()
        await asyncio.sleep(0)
        assert (await Use(agent, 'a1', 'newer').ready()).version == 2


async def test_end_of_unload_is_noticed_quickly():
    # Guards against a pause of the usual time between reports before each load
    # where an engine drops an adapter a moment after it accepted the order.
    engine = Engine(slots=1)
    engine.reports_runs = False
    engine.held = {'a1': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        use = Use(agent, 'a2')
        await asyncio.sleep(0.002)
        assert engine.unloading
        engine.end_run('r1')
        began_s = asyncio.get_running_loop().time()
        await use.ready()
        passed_s = asyncio.get_running_loop().time() - began_s
    assert passed_s < engine.load_s + 3 * BUSY_REPORT_INTERVAL_S


async def test_engine_loss_is_logged_once(caplog):
    # Guards against a loss without a line: it was logged only if it happened
    # while a report was awaited, and calls that fail at once take no time.
    caplog.set_level(logging.INFO)
    engine = Engine()
    watch = EngineWatch(engine, lambda: None, LoopClock())
    for is_silent in (False, True, False):
        engine.is_silent = is_silent
        for _ in range(10):
            await watch.refresh()
            await asyncio.sleep(0.1)
    events = [
        record.getMessage()
        for record in caplog.records
        if record.getMessage() in {'engine_lost', 'engine_regained'}
    ]
    assert events == ['engine_regained', 'engine_lost', 'engine_regained']


async def test_reported_use_does_not_block_a_load():
    # Guards against a refusal for a version that is in use, although the
    # engine has dropped the adapter and could load it at once.
    engine = Engine()
    async with agent_of(engine) as agent:
        message = AdapterInUse(request_id='r1', model='m', adapter='a1')
        call = asyncio.create_task(agent.handle(message, Call()))
        await asyncio.sleep(0.01)
        use = Use(agent, 'a1', 'r2')
        await use.ready()
        await use.end()
        call.cancel()
    assert [order.adapter for order in engine.orders] == ['a1']
