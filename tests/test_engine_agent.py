"""Tests of the engine agent: loads, slots, versions, restarts."""

import asyncio
import logging
from contextlib import asynccontextmanager

import pytest
from tests.gateway_fakes import Engine, FreezingClock

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
    CheckEngine,
    PromptRead,
    UseAdapter,
)
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime


class Call:
    """Fake ``CallContext``."""

    def __init__(self):
        self.ready = asyncio.get_running_loop().create_future()
        self.messages = []

    async def send_message(self, msg):
        self.messages.append(msg)
        if isinstance(msg, AdapterReady):
            self.ready.set_result(msg)


@asynccontextmanager
async def agent_of(
    engine,
    versions=None,
    models=('m',),
    host_id='host',
    spec=None,
    clock=None,
):
    spec = spec or EngineSpec(
        adapter_slots=engine.slots,
        base_models=tuple(BaseModelSpec(name=name) for name in models),
        check_path='/health',
    )
    agent = EngineAgent(
        host_id,
        engine,
        lambda: spec,
        lambda model, adapter: (versions or {}).get(adapter, 0),
        clock or LoopClock(),
    )
    await agent.start()
    await asyncio.sleep(0.01)
    yield agent
    await agent.stop()


class AdapterCall:
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
        uses = [AdapterCall(agent, 'a1', str(number)) for number in range(3)]
        for use in uses:
            await use.ready()
    assert [order.adapter for order in engine.orders] == ['a1']


async def test_adapter_slots_are_not_exceeded():
    # An engine crashes if it is ordered to load more than it has slots for.
    engine = Engine(slots=4)
    async with agent_of(engine) as agent:
        for number in range(30):
            use = AdapterCall(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
    assert engine.max_held <= 4


async def test_adapter_in_use_is_not_evicted():
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        running = AdapterCall(agent, 'kept', 'k')
        await running.ready()
        for number in range(5):
            use = AdapterCall(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert 'kept' in engine.held


async def test_least_recently_used_adapter_is_evicted():
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for adapter in ('a1', 'a2', 'a1', 'a3'):
            use = AdapterCall(agent, adapter, adapter)
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert set(engine.held) == {'a1', 'a3'}


async def test_newer_version_is_refused_while_older_is_in_use():
    # An engine replaces a version only after the requests that use it have
    # ended, so a request would wait for the end of long streams.
    versions = {}
    engine = Engine()
    async with agent_of(engine, versions) as agent:
        old = AdapterCall(agent, 'a1', 'old')
        assert (await old.ready()).version == 1
        versions['a1'] = 2
        with pytest.raises(NoCapacityError, match='older version'):
            await AdapterCall(agent, 'a1', 'new').ready()
        await old.end()
        assert (await AdapterCall(agent, 'a1', 'newer').ready()).version == 2


async def test_engine_restart_restores_the_model():
    engine = Engine()
    async with agent_of(engine) as agent:
        await AdapterCall(agent, 'a1', 'r1').ready()
        engine.restart()
        await asyncio.sleep(0.5)
        assert engine.models == ('m',)
        await AdapterCall(agent, 'a2', 'r2').ready()
        assert 'a2' in engine.held


async def test_empty_engine_refuses_requests():
    # Requests must not wait for the model of a new engine: on a day of
    # releases, 434 of 2,351 requests waited until their callers gave up.
    engine = Engine()
    engine.models = ()
    engine.model_load_s = 3
    async with agent_of(engine) as agent:
        with pytest.raises(AdapterLoadError, match='no model'):
            await AdapterCall(agent, 'a1').ready()
        await asyncio.sleep(4)
        await AdapterCall(agent, 'a1').ready()


async def test_request_is_acknowledged_before_the_load():
    # Without the acknowledgement, a loading agent looks like a frozen one.
    engine = Engine(load_s=5)
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a1')
        await asyncio.sleep(0.01)
        assert [type(item) for item in use.call.messages] == [AdapterQueued]


@pytest.mark.parametrize('state', ['is_silent', 'is_draining'])
async def test_lost_or_draining_engine_refuses(state):
    engine = Engine()
    async with agent_of(engine) as agent:
        setattr(engine, state, True)
        await asyncio.sleep(1.5)
        with pytest.raises(AdapterLoadError):
            await AdapterCall(agent, 'a1').ready()


async def test_lost_engine_refuses_waiting_request():
    engine = Engine(load_s=100)
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a1')
        await asyncio.sleep(0.2)
        engine.is_silent = True
        with pytest.raises(AdapterLoadError):
            await use.ready()


async def test_freeze_of_the_agent_does_not_refuse_waiting_requests():
    # Guards against an agent that has stood still and takes its engine for
    # lost: its report call fails by its time limit, though the engine is up.
    engine = Engine(load_s=2)
    engine.report_s = 0.05
    clock = FreezingClock()
    async with agent_of(engine, clock=clock) as agent:
        use = AdapterCall(agent, 'a1')
        await asyncio.sleep(0.5)
        clock.freeze_s = 7.0
        engine.failing_reports = 1
        await use.ready()
    assert 'a1' in engine.held


async def test_prompts_wait_for_earlier_ones():
    engine = Engine()
    async with agent_of(engine) as agent:
        first = AdapterCall(agent, 'a1', 'first', prompt_tokens=5000)
        await first.ready()
        second = AdapterCall(agent, 'a1', 'second', prompt_tokens=500)
        await asyncio.sleep(0.2)
        assert not second.call.ready.done()
        await agent.handle(PromptRead(request_id='first'), None)
        await second.ready()


async def test_cancelled_call_does_not_stop_the_agent():
    # Refusing a request that was cancelled meanwhile must not stop the agent
    # from sending orders.
    engine = Engine()
    async with agent_of(engine) as agent:
        cancelled = AdapterCall(agent, 'a1', 'r1')
        cancelled.task.cancel()
        other = AdapterCall(agent, 'a1', 'r2', model='unknown')
        other.task.cancel()
        await asyncio.sleep(0.3)
        await AdapterCall(agent, 'a2', 'r3').ready()


async def test_missing_model_is_loaded_if_there_is_room():
    # A model that no engine holds must be loaded somewhere.
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
    used = AdapterCall(agent, '', 'r1')
    await used.ready()
    with pytest.raises(NoCapacityError, match='no room'):
        await AdapterCall(agent, '', 'r2', model='rare').ready()
    await used.end()
    await asyncio.sleep(6)
    with pytest.raises(AdapterLoadError, match='no model'):
        await AdapterCall(agent, '', 'r3', model='rare').ready()
    await asyncio.sleep(1)
    await AdapterCall(agent, '', 'r4', model='rare').ready()
    assert engine.models == ('rare',)
    await agent.stop()


@pytest.mark.parametrize('waits', [True, False])
async def test_request_waits_for_the_model_to_reload(waits):
    # Requests must not be refused while all engines reload their model.
    engine = Engine()
    engine.model_load_s = 0.9
    engine.restart()
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a1', waits_for_model=waits)
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
        use = AdapterCall(agent, 'a1', waits_for_model=True)
        await asyncio.sleep(0.1)
        engine.is_silent = True
        with pytest.raises(AdapterLoadError):
            await use.ready()


async def test_empty_engines_load_different_models():
    # After a loss of all hosts, new agents do not know which base model their
    # engine held; with several base models, engines stayed empty.
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
    # An engine unloads an adapter only after the requests that use it have
    # ended. An agent that loaded another adapter at once exceeded the slots,
    # which crashed the engine with all its streams.
    engine = Engine(slots=2)
    engine.reports_runs = False
    engine.held = {'a1': 1, 'a2': 1}
    engine.runs = {'r1': 'a1', 'r2': 'a2'}
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a3')
        await asyncio.sleep(1)
        assert not use.call.ready.done()
        engine.end_run('r1')
        await use.ready()
    assert engine.max_held <= 2


async def test_unloading_adapter_is_reloaded():
    # An engine refuses requests for an adapter that is being unloaded, so they
    # must not be sent until it is loaded again.
    engine = Engine(slots=1)
    engine.reports_runs = False
    engine.held = {'a1': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        other = AdapterCall(agent, 'a2', 'other')
        await asyncio.sleep(0.3)
        await other.end()
        use = AdapterCall(agent, 'a1', 'again')
        await asyncio.sleep(0.3)
        assert not use.call.ready.done()
        engine.end_run('r1')
        await use.ready()
        assert engine.held == {'a1': 1}
    assert engine.max_held <= 1


async def test_restarted_agent_keeps_adapters_in_use():
    # A restarted agent has no calls for streams that began before its restart
    # and must not evict their adapters.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for number in (1, 2):
            await AdapterCall(agent, f'a{number}', f'r{number}').ready()
        engine.runs = {'r1': 'a1', 'r2': 'a2'}
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a3')
        await asyncio.sleep(5)
        assert set(engine.held) == {'a1', 'a2'}
        assert all(order.is_load for order in engine.orders)
        engine.end_run('r1')
        engine.end_run('r2')
        await use.ready()


async def test_stream_keeps_its_adapter_after_a_lost_call():
    # A lost connection between hosts ends the call but not the stream, which
    # uses another connection, so its adapter must not be evicted.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        lost = AdapterCall(agent, 'a1', 'r1')
        await lost.ready()
        engine.runs['r1'] = 'a1'
        await asyncio.sleep(0.2)
        await lost.end()
        for number in range(2, 6):
            await asyncio.sleep(1)
            use = AdapterCall(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
        unloaded = {row.adapter for row in engine.orders if not row.is_load}
        assert unloaded == {'a2', 'a3', 'a4'}
        engine.end_run('r1')
        await asyncio.sleep(1)
        for number in (6, 7):
            use = AdapterCall(agent, f'a{number}', str(number))
            await use.ready()
            await use.end()
            await asyncio.sleep(1)
        assert 'a1' not in engine.held


@pytest.mark.parametrize('restarts', [True, False])
async def test_base_model_in_use_is_not_unloaded(restarts):
    # A base model was unloaded while streams used it: streams older than 5 s
    # and streams from before a restart of the agent did not count as use.
    engine = Engine()
    models = (
        BaseModelSpec(name='m', weights_mb=40),
        BaseModelSpec(name='rare', weights_mb=40),
    )
    spec = EngineSpec(adapter_slots=4, weights_mb=60, base_models=models)
    async with agent_of(engine, spec=spec) as agent:
        await AdapterCall(agent, '', 'r1').ready()
        engine.runs['r1'] = ''
        await asyncio.sleep(6)
        if not restarts:
            with pytest.raises(NoCapacityError, match='no room'):
                await AdapterCall(agent, '', 'r2', model='rare').ready()
    async with agent_of(engine, spec=spec) as agent:
        await asyncio.sleep(6)
        with pytest.raises(NoCapacityError, match='no room'):
            await AdapterCall(agent, '', 'r2', model='rare').ready()
    assert engine.models == ('m',)


async def test_duplicate_request_id_keeps_both_adapters():
    # If a caller reuses a request id, neither adapter may be evicted.
    engine = Engine(slots=2)
    async with agent_of(engine) as agent:
        for adapter in ('a1', 'a2'):
            await AdapterCall(agent, adapter, 'same').ready()
        use = AdapterCall(agent, 'a3')
        await asyncio.sleep(2)
        assert set(engine.held) == {'a1', 'a2'}
        await use.end()


async def test_first_request_after_a_start_is_served():
    # A restarted agent that listens before the first report of its engine
    # refuses requests.
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
    assert (await AdapterCall(agent, 'a1').ready()).version == 1
    await agent.stop()


async def test_unknown_capacity_is_not_exceeded():
    # A restarted agent without a configuration assumed 8 slots, which crashed
    # an engine that has fewer.
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
    uses = [
        AdapterCall(agent, f'b{number}', str(number)) for number in range(3)
    ]
    await asyncio.sleep(2)
    assert engine.max_held == 2
    for use in uses:
        await use.end()
    specs.append(EngineSpec(adapter_slots=3))
    await asyncio.sleep(0.5)
    await AdapterCall(agent, 'c').ready()
    await agent.stop()
    assert engine.max_held == 3


async def test_stopping_agent_refuses_waiting_calls():
    # A lost connection does not show that a request was not run, so a stopping
    # agent must refuse its waiting requests explicitly.
    engine = Engine(load_s=100)
    engine.held = {'a1': 1}
    async with agent_of(engine) as agent:
        running = AdapterCall(agent, 'a1', 'running', prompt_tokens=5000)
        await running.ready()
        for_adapter = AdapterCall(agent, 'a2', 'adapter')
        for_prompt = AdapterCall(agent, 'a1', 'prompt', prompt_tokens=5000)
        await asyncio.sleep(0.1)
        agent.end_calls()
        late = AdapterCall(agent, 'a1', 'late')
        for use in (for_adapter, for_prompt, late):
            with pytest.raises(DrainingError) as refused:
                await use.ready()
            assert refused.value.outcome is Outcome.NOT_RUN
        assert isinstance(await running.task, AdapterReleased)


async def test_restarted_agent_evicts_unused_adapters():
    # Without reported use, a restarted agent loads no new adapter until the
    # last stream from before its restart has ended.
    engine = Engine(slots=2)
    engine.held = {'a1': 1, 'a2': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a3')
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
            await AdapterCall(agent, 'a1', 'new').ready()
        call.cancel()
        await asyncio.sleep(0)
        assert (await AdapterCall(agent, 'a1', 'newer').ready()).version == 2


async def test_end_of_unload_is_noticed_quickly():
    # If an engine drops an adapter shortly after it accepted the unload order,
    # the next load must not wait for the regular report interval.
    engine = Engine(slots=1)
    engine.reports_runs = False
    engine.held = {'a1': 1}
    engine.runs = {'r1': 'a1'}
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a2')
        await asyncio.sleep(0.002)
        assert engine.unloading
        engine.end_run('r1')
        began_s = asyncio.get_running_loop().time()
        await use.ready()
        elapsed_s = asyncio.get_running_loop().time() - began_s
    assert elapsed_s < engine.load_s + 3 * BUSY_REPORT_INTERVAL_S


async def test_engine_loss_is_logged_once(caplog):
    # The loss was logged only if the limit passed during a call for a report,
    # so calls that fail at once logged nothing.
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
    # A reported use must not cause a refusal for a version in use if the engine
    # has dropped the adapter and can load it at once.
    engine = Engine()
    async with agent_of(engine) as agent:
        message = AdapterInUse(request_id='r1', model='m', adapter='a1')
        reporting = asyncio.create_task(agent.handle(message, Call()))
        await asyncio.sleep(0.01)
        use = AdapterCall(agent, 'a1', 'r2')
        await use.ready()
        await use.end()
        reporting.cancel()
    assert [order.adapter for order in engine.orders] == ['a1']


async def test_agent_says_how_long_its_engine_has_been_running():
    # Guards against a restart that an entry takes for a living process, and
    # against an answer from an old report while the engine is down.
    engine = Engine()
    async with agent_of(engine) as agent:
        await asyncio.sleep(5)
        state = await agent.handle(CheckEngine(), Call())
        assert state.known_for_ms >= 5000
        engine.restart()
        state = await agent.handle(CheckEngine(), Call())
        assert state.known_for_ms < 100
        engine.is_silent = True
        state = await agent.handle(CheckEngine(), Call())
        assert state.known_for_ms is None


async def test_answer_carries_pace_and_prompts_in_hand():
    # An entry sees too few requests of one engine to learn its pace.
    engine = Engine()
    async with agent_of(engine) as agent:
        for number in range(8):
            use = AdapterCall(agent, 'a1', f'r{number}', prompt_tokens=1000)
            ready = await use.ready()
            await asyncio.sleep(0.1)
            await agent.handle(PromptRead(request_id=f'r{number}'), Call())
            await use.end()
    assert ready.queued_tokens == 1000
    assert ready.tokens_per_s == pytest.approx(10000, rel=0.01)
