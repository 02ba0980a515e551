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
from kumquatrun.gateway.placement.balancer import Balancer, Place
from kumquatrun.gateway.placement.model_spread import SPREAD_PAUSE_S
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
    def keep(self, backend, request):
        self.kept.append(request.request_id)
        yield
        self.kept.remove(request.request_id)

    @asynccontextmanager
    async def hold(self, backend, request, timeout_s):
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


def reservations(agents, count=3, models=(), adapters=()):
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
    place = Place(failure_domain='a', regions={'a': 'r'})
    found = Reservations(
        table,
        Balancer(place, random.Random(1)),
        agents,
        lambda model, adapter: 2 if adapter == 'named' else 0,
        LoopClock(),
    )
    found.backends = table.of_service('assistant')
    return found


def request_state(adapter='a1'):
    row = request_state_of('streaming')
    row.request = replace(row.request, model='m', adapter=adapter)
    return row


async def reserved(found, row):
    async with found.reserve(row) as reservation:
        return reservation


async def test_engines_without_the_model_are_left_out():
    # Guards against requests that wait for the model of a new engine.
    for number in range(3):
        found = reservations(Agents(), models={number})
        chosen = await reserved(found, request_state())
        assert chosen.backend.backend_id == f'i-{number}'


async def test_all_engines_are_asked_if_none_is_listed_with_the_model():
    assert await reserved(reservations(Agents()), request_state())


async def test_request_is_not_held_at_one_slow_engine_after_another():
    # Guards against requests that are held until their callers give up.
    agents = Agents(i_0='slow', i_1='slow', i_2='slow')
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(NoCapacityError):
        await reserved(reservations(agents), request_state())
    passed_s = asyncio.get_running_loop().time() - began_s
    assert passed_s <= MAX_ADAPTER_WAIT_S + 0.1


async def test_engine_without_an_agent_serves_what_it_is_listed_with():
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone', i_1='gone', i_2='gone')
    found = reservations(agents, adapters=[held])
    assert (await reserved(found, request_state())).hold is None
    with pytest.raises(NoCapacityError):
        await reserved(found, request_state('other'))


@pytest.mark.parametrize(('adapter', 'version'), [('named', 2), ('a1', 0)])
async def test_named_version_is_demanded(adapter, version):
    # Guards against a run on an older version of an adapter.
    chosen = await reserved(reservations(Agents()), request_state(adapter))
    assert chosen.adapter_version == version


async def test_no_backend_server_is_a_refusal_after_a_short_wait():
    with pytest.raises(NoCapacityError):
        await reserved(reservations(Agents(), count=0), request_state())


async def test_request_waits_for_a_model_that_no_engine_holds():
    # Guards against refusals after a loss of all engines: entries asked three
    # empty engines within 0.2 s and gave up.
    agents = Agents(i_0='empty', i_1='empty', i_2='empty')
    found = reservations(agents)
    assert await reserved(found, request_state())
    assert len(agents.asked) == 4


async def test_empty_engine_is_passed_over_while_another_holds_the_model():
    # Guards against requests that wait for a restarted engine.
    agents = Agents(i_0='empty', i_1='empty')
    found = reservations(agents)
    for number in range(20):
        chosen = await reserved(found, request_state(f'a{number}'))
        assert chosen.backend.backend_id == 'i-2'


@pytest.mark.parametrize(
    ('loads', 'asked'),
    [((60, 60), [('m', 'i-2')]), ((60, 5), []), ((5, 5), [])],
)
async def test_model_whose_engines_are_busy_gets_another_engine(loads, asked):
    # Guards against engines that stay idle beside overloaded ones: with three
    # base models two engines had 50 to 90 requests each, and two had none.
    agents = Agents()
    found = reservations(agents, models={0, 1})
    for row, load in zip(found.backends, loads, strict=False):
        row.take_report(load)
    for _ in range(5):
        await reserved(found, request_state())
    await asyncio.sleep(0.1)
    assert agents.models_asked == asked


async def test_engine_without_room_for_a_model_is_not_asked_again():
    agents = Agents(i_2='slow')
    found = reservations(agents, models={0, 1})
    for row in found.backends[:2]:
        row.take_report(60)
    for _ in range(20):
        await reserved(found, request_state())
        await asyncio.sleep(1)
        for row in found.backends[:2]:
            row.take_report(60)
    assert len(agents.models_asked) <= 2


async def test_model_whose_engines_fail_gets_another_engine():
    # Guards against a model that one failing engine holds alone: on an own
    # deployment 156 requests in 6 s got its failures, all others were idle.
    agents = Agents()
    found = reservations(agents, models={0})
    for _ in range(10):
        found.backends[0].record_answer(failed=True, now_s=0)
    await reserved(found, request_state())
    await asyncio.sleep(0.1)
    assert len(agents.models_asked) == 1


async def test_request_waits_for_the_restart_of_the_only_agent():
    # Guards against refusals while an agent restarts whose engine alone holds
    # the model: requests were refused within milliseconds.
    found = reservations(Agents(i_0='stopped'), models={0})
    assert (await reserved(found, request_state())).hold is not None


async def test_request_waits_for_a_stopped_agent_while_others_have_no_room():
    agents = Agents(i_0='full', i_1='stopped', i_2='stopped')
    chosen = await reserved(reservations(agents), request_state())
    assert chosen.backend.backend_id != 'i-0'


async def test_stopped_agent_is_passed_over_while_another_engine_has_room():
    agents = Agents(i_0='stopped', i_1='stopped')
    assert await reserved(reservations(agents), request_state())
    assert asyncio.get_running_loop().time() < 0.1


async def test_agent_that_stays_away_holds_no_request_for_long():
    # Guards against requests that are held until their callers give up.
    agents = Agents(**dict.fromkeys(('i_0', 'i_1', 'i_2'), 'gone for good'))
    with pytest.raises(NoCapacityError) as refused:
        await reserved(reservations(agents), request_state())
    assert refused.value.outcome is Outcome.NOT_RUN
    passed_s = asyncio.get_running_loop().time()
    assert passed_s <= MAX_ADAPTER_WAIT_S + 0.2


async def test_engine_of_a_stopped_agent_serves_what_it_is_listed_with():
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone for good')
    found = reservations(agents, count=1, adapters=[held])
    assert (await reserved(found, request_state())).hold is None
    assert asyncio.get_running_loop().time() < 0.1


async def test_stopped_agents_do_not_use_up_the_attempts():
    # Guards against a refusal while half of the agents restart together and
    # the other engines have room.
    stopped = {f'i_{number}': 'gone for good' for number in range(5)}
    assert await reserved(
        reservations(Agents(**stopped), count=6), request_state()
    )
    assert asyncio.get_running_loop().time() < 0.1


async def test_agent_that_was_done_without_is_told_of_the_request():
    # Guards against the eviction of an adapter under a stream that began while
    # the agent of its engine restarted.
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='gone for good')
    found = reservations(agents, count=1, adapters=[held])
    row = request_state()
    async with found.reserve(row):
        assert agents.kept == [row.request.request_id]
    assert not agents.kept


async def test_engine_whose_agent_restarted_is_asked_for_a_model_again():
    # Guards against an engine that is taken for full for 15 s, because its
    # agent did not run when an entry asked it.
    agents = Agents(i_2='stopped')
    found = reservations(agents, models={0, 1})
    for _ in range(2):
        for row in found.backends[:2]:
            row.take_report(60)
        await reserved(found, request_state())
        await asyncio.sleep(SPREAD_PAUSE_S + 0.1)
    assert len(agents.models_asked) == 2
