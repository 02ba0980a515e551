"""Reservations: where requests go while engines start, leave or are slow."""

import asyncio
import random
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

import pytest
from tests.gateway_fakes import request_state_of

from kumquatrun.errors import AdapterLoadError, NoCapacityError, Outcome
from kumquatrun.gateway.backends.backends import (
    BackendRecord,
    BackendTable,
    HeldAdapter,
)
from kumquatrun.gateway.placement.agent_connections import (
    AGENT_STOPPED,
    AgentUnreachableError,
)
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.model_spread import SCALE_OUT_COOLDOWN_S
from kumquatrun.gateway.placement.reservations import (
    MAX_ADAPTER_WAIT_S,
    Reservations,
)
from kumquatrun.gateway.routing.messages import AdapterReady
from kumquatrun.peer.address import Address
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime


class Agents:
    """Stands in for ``AgentCalls``; ``answers`` says what each agent does."""

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []
        self.models_asked = []
        self.kept = []

    @contextmanager
    def report_use(self, backend, request):
        self.kept.append(request.request_id)
        yield
        self.kept.remove(request.request_id)

    @asynccontextmanager
    async def pin_adapter(self, backend, request, timeout_s):
        if not request.adapter:
            self.models_asked.append((request.model, backend.backend_id))
        self.asked.append(backend.backend_id)
        answer = self.answers.get(backend.backend_id.replace('-', '_'))
        if answer == 'slow':
            await asyncio.sleep(timeout_s)
            raise NoCapacityError('slow', cause='adapter_wait')
        if answer == 'gone':
            raise AgentUnreachableError('gone')
        if answer == 'stopped' and asyncio.get_running_loop().time() < 0.8:
            raise AgentUnreachableError('stopped', cause=AGENT_STOPPED)
        if answer == 'full':
            raise NoCapacityError('full')
        if answer == 'gone for good':
            raise AgentUnreachableError('stopped', cause=AGENT_STOPPED)
        if answer == 'empty' and not request.waits_for_model:
            raise AdapterLoadError('no model yet', cause='engine_empty')
        yield type('Hold', (), {'ready': AdapterReady(version=2, load=0)})


def make_reservations(agents, count=3, models=(), adapters=()):
    table = BackendTable()
    table.update(
        [
            BackendRecord(
                backend_id=f'i-{number}',
                service='assistant',
                address=Address('10.0.0.1', 8000 + number),
                failure_domain='a',
                models=frozenset({'m'} if number in models else ()),
                adapters=frozenset(adapters),
            )
            for number in range(count)
        ],
    )
    locality = Locality(failure_domain='a', regions={'a': 'r'})
    reservations = Reservations(
        table,
        Balancer(locality, random.Random(1)),
        agents,
        lambda model, adapter: 2 if adapter == 'named' else 0,
        LoopClock(),
    )
    reservations.backends = table.of_service('assistant')
    return reservations


def request_state(adapter='a1'):
    row = request_state_of('streaming')
    row.request = replace(row.request, model='m', adapter=adapter)
    return row


async def reserved(reservations, row):
    async with reservations.reserve(row) as reservation:
        return reservation


async def test_engines_without_the_model_are_skipped():
    # Guards against requests that wait for the model of a new engine.
    for number in range(3):
        reservations = make_reservations(Agents(), models={number})
        chosen = await reserved(reservations, request_state())
        assert chosen.backend.backend_id == f'i-{number}'


async def test_unlisted_model_tries_all_engines():
    assert await reserved(make_reservations(Agents()), request_state())


async def test_total_adapter_wait_is_bounded():
    # Guards against requests that are held until their callers give up.
    agents = Agents(i_0='slow', i_1='slow', i_2='slow')
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(NoCapacityError):
        await reserved(make_reservations(agents), request_state())
    passed_s = asyncio.get_running_loop().time() - began_s
    assert passed_s <= MAX_ADAPTER_WAIT_S + 0.1


async def test_missing_agent_allows_listed_adapters():
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone', i_1='gone', i_2='gone')
    reservations = make_reservations(agents, adapters=[held])
    assert (
        await reserved(reservations, request_state())
    ).pinned_adapter is None
    with pytest.raises(NoCapacityError):
        await reserved(reservations, request_state('other'))


@pytest.mark.parametrize(('adapter', 'version'), [('named', 2), ('a1', 0)])
async def test_named_version_is_required(adapter, version):
    # Guards against a run on an older version of an adapter.
    chosen = await reserved(make_reservations(Agents()), request_state(adapter))
    assert chosen.adapter_version == version


async def test_no_backend_is_refused():
    with pytest.raises(NoCapacityError):
        await reserved(make_reservations(Agents(), count=0), request_state())


async def test_request_waits_when_all_engines_are_empty():
    # Guards against refusals after a loss of all engines: entries asked three
    # empty engines within 0.2 s and gave up.
    agents = Agents(i_0='empty', i_1='empty', i_2='empty')
    reservations = make_reservations(agents)
    assert await reserved(reservations, request_state())
    assert len(agents.asked) == 4


async def test_empty_engine_is_skipped():
    # Guards against requests that wait for a restarted engine.
    agents = Agents(i_0='empty', i_1='empty')
    reservations = make_reservations(agents)
    for number in range(20):
        chosen = await reserved(reservations, request_state(f'a{number}'))
        assert chosen.backend.backend_id == 'i-2'


@pytest.mark.parametrize(
    ('loads', 'asked'),
    [((60, 60), [('m', 'i-2')]), ((60, 5), []), ((5, 5), [])],
)
async def test_model_on_busy_engines_scales_out(loads, asked):
    # Guards against engines that stay idle beside overloaded ones: with three
    # base models two engines had 50 to 90 requests each, and two had none.
    agents = Agents()
    reservations = make_reservations(agents, models={0, 1})
    for row, load in zip(reservations.backends, loads, strict=False):
        row.record_reported_load(load)
    for _ in range(5):
        await reserved(reservations, request_state())
    await asyncio.sleep(0.1)
    assert agents.models_asked == asked


async def test_engine_without_room_is_not_asked_again():
    agents = Agents(i_2='slow')
    reservations = make_reservations(agents, models={0, 1})
    for row in reservations.backends[:2]:
        row.record_reported_load(60)
    for _ in range(20):
        await reserved(reservations, request_state())
        await asyncio.sleep(1)
        for row in reservations.backends[:2]:
            row.record_reported_load(60)
    assert len(agents.models_asked) <= 2


async def test_model_on_failing_engines_scales_out():
    # Guards against a model that one failing engine holds alone: on an own
    # deployment 156 requests in 6 s got its failures, all others were idle.
    agents = Agents()
    reservations = make_reservations(agents, models={0})
    for _ in range(10):
        reservations.backends[0].record_response(failed=True, now_s=0)
    await reserved(reservations, request_state())
    await asyncio.sleep(0.1)
    assert len(agents.models_asked) == 1


async def test_request_waits_for_agent_restart():
    # Guards against refusals while an agent restarts whose engine alone holds
    # the model: requests were refused within milliseconds.
    reservations = make_reservations(Agents(i_0='stopped'), models={0})
    assert (
        await reserved(reservations, request_state())
    ).pinned_adapter is not None


async def test_request_waits_for_stopped_agent_if_others_are_full():
    agents = Agents(i_0='full', i_1='stopped', i_2='stopped')
    chosen = await reserved(make_reservations(agents), request_state())
    assert chosen.backend.backend_id != 'i-0'


async def test_stopped_agent_is_skipped_if_another_has_room():
    agents = Agents(i_0='stopped', i_1='stopped')
    assert await reserved(make_reservations(agents), request_state())
    assert asyncio.get_running_loop().time() < 0.1


async def test_wait_for_stopped_agents_is_bounded():
    # Guards against requests that are held until their callers give up.
    agents = Agents(**dict.fromkeys(('i_0', 'i_1', 'i_2'), 'gone for good'))
    with pytest.raises(NoCapacityError) as refused:
        await reserved(make_reservations(agents), request_state())
    assert refused.value.outcome is Outcome.NOT_RUN
    passed_s = asyncio.get_running_loop().time()
    assert passed_s <= MAX_ADAPTER_WAIT_S + 0.2


async def test_stopped_agent_allows_listed_adapters():
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone for good')
    reservations = make_reservations(agents, count=1, adapters=[held])
    assert (
        await reserved(reservations, request_state())
    ).pinned_adapter is None
    assert asyncio.get_running_loop().time() < 0.1


async def test_stopped_agents_do_not_count_as_attempts():
    # Guards against a refusal while half of the agents restart together and
    # the other engines have room.
    stopped = {f'i_{number}': 'gone for good' for number in range(5)}
    assert await reserved(
        make_reservations(Agents(**stopped), count=6), request_state()
    )
    assert asyncio.get_running_loop().time() < 0.1


async def test_use_is_reported_to_skipped_agent():
    # Guards against the eviction of an adapter under a stream that began while
    # the agent of its engine restarted.
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone for good')
    reservations = make_reservations(agents, count=1, adapters=[held])
    row = request_state()
    async with reservations.reserve(row):
        assert agents.kept == [row.request.request_id]
    assert not agents.kept


async def test_restarted_agent_is_asked_for_a_model_again():
    # Guards against an engine that is taken for full for 15 s, because its
    # agent did not run when an entry asked it.
    agents = Agents(i_2='stopped')
    reservations = make_reservations(agents, models={0, 1})
    for _ in range(2):
        for row in reservations.backends[:2]:
            row.record_reported_load(60)
        await reserved(reservations, request_state())
        await asyncio.sleep(SCALE_OUT_COOLDOWN_S + 0.1)
    assert len(agents.models_asked) == 2
