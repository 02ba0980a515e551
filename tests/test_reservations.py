"""Tests of reservations while engines or agents start, stop or are slow."""

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
from kumquatrun.gateway.placement.eligibility import Eligibility
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
    """Fake ``AgentCalls``; ``answers`` defines what each agent does."""

    def __init__(self, **answers):
        self.answers = answers
        self.called = []
        self.models_requested = []
        self.reported_uses = []

    @contextmanager
    def report_use(self, backend, request):
        self.reported_uses.append(request.request_id)
        yield
        self.reported_uses.remove(request.request_id)

    @asynccontextmanager
    async def pin_adapter(self, backend, request, timeout_s):
        if not request.adapter:
            self.models_requested.append((request.model, backend.backend_id))
        self.called.append(backend.backend_id)
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
        if answer == 'stopped for good':
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
        Eligibility(locality.regions, lambda: None),
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
    # Requests must not wait until a new engine has loaded its model.
    for number in range(3):
        reservations = make_reservations(Agents(), models={number})
        chosen = await reserved(reservations, request_state())
        assert chosen.backend.backend_id == f'i-{number}'


async def test_unlisted_model_tries_all_engines():
    assert await reserved(make_reservations(Agents()), request_state())


async def test_total_adapter_wait_is_bounded():
    # Waits at several engines must not add up until the caller gives up.
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
    # A request must not run on an older version of its adapter.
    chosen = await reserved(make_reservations(Agents()), request_state(adapter))
    assert chosen.adapter_version == version


async def test_no_backend_server_is_refused():
    with pytest.raises(NoCapacityError):
        await reserved(make_reservations(Agents(), count=0), request_state())


async def test_request_waits_when_all_engines_are_empty():
    # After a loss of all engines, entries refused requests because three empty
    # engines had refused them within 0.2 s.
    agents = Agents(i_0='empty', i_1='empty', i_2='empty')
    reservations = make_reservations(agents)
    assert await reserved(reservations, request_state())
    assert len(agents.called) == 4


async def test_empty_engine_is_skipped():
    # Requests must not wait for a restarted engine while another one can serve.
    agents = Agents(i_0='empty', i_1='empty')
    reservations = make_reservations(agents)
    for number in range(20):
        chosen = await reserved(reservations, request_state(f'a{number}'))
        assert chosen.backend.backend_id == 'i-2'


@pytest.mark.parametrize(
    ('loads', 'requested'),
    [((60, 60), [('m', 'i-2')]), ((60, 5), []), ((5, 5), [])],
)
async def test_model_on_busy_engines_scales_out(loads, requested):
    # Without scale-out, engines stay idle while others are overloaded: with
    # three base models, two engines had 50 to 90 requests each and two had
    # none.
    agents = Agents()
    reservations = make_reservations(agents, models={0, 1})
    for row, load in zip(reservations.backends, loads, strict=False):
        row.record_reported_load(load)
    for _ in range(5):
        await reserved(reservations, request_state())
    await asyncio.sleep(0.1)
    assert agents.models_requested == requested


async def test_model_is_not_requested_again_from_full_engine():
    agents = Agents(i_2='slow')
    reservations = make_reservations(agents, models={0, 1})
    for row in reservations.backends[:2]:
        row.record_reported_load(60)
    for _ in range(20):
        await reserved(reservations, request_state())
        await asyncio.sleep(1)
        for row in reservations.backends[:2]:
            row.record_reported_load(60)
    assert len(agents.models_requested) <= 2


async def test_model_on_failing_engines_scales_out():
    # If the only engine that holds a model fails, another one must load it: in
    # one deployment, 156 requests failed in 6 s while all other engines were
    # idle.
    agents = Agents()
    reservations = make_reservations(agents, models={0})
    for _ in range(10):
        reservations.backends[0].record_response(failed=True, now_s=0)
    await reserved(reservations, request_state())
    await asyncio.sleep(0.1)
    assert len(agents.models_requested) == 1


async def test_request_waits_for_agent_restart():
    # If only one engine holds the model, requests must wait for a restart of
    # its agent: they were refused within milliseconds.
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
    # Requests must not wait for a stopped agent until their callers give up.
    agents = Agents(**dict.fromkeys(('i_0', 'i_1', 'i_2'), 'stopped for good'))
    with pytest.raises(NoCapacityError) as refused:
        await reserved(make_reservations(agents), request_state())
    assert refused.value.outcome is Outcome.NOT_RUN
    passed_s = asyncio.get_running_loop().time()
    assert passed_s <= MAX_ADAPTER_WAIT_S + 0.2


async def test_stopped_agent_allows_listed_adapters():
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='stopped for good')
    reservations = make_reservations(agents, count=1, adapters=[held])
    assert (
        await reserved(reservations, request_state())
    ).pinned_adapter is None
    assert asyncio.get_running_loop().time() < 0.1


async def test_stopped_agents_do_not_count_as_attempts():
    # Requests must not be refused while half of the agents restart together and
    # other engines have room.
    stopped = {f'i_{number}': 'stopped for good' for number in range(5)}
    assert await reserved(
        make_reservations(Agents(**stopped), count=6), request_state()
    )
    assert asyncio.get_running_loop().time() < 0.1


async def test_use_is_reported_to_skipped_agent():
    # Without the report, the agent evicts the adapter of a stream that began
    # during its restart.
    held = HeldAdapter(model='m', adapter='a1', version=1)
    agents = Agents(i_0='stopped for good')
    reservations = make_reservations(agents, count=1, adapters=[held])
    row = request_state()
    async with reservations.reserve(row):
        assert agents.reported_uses == [row.request.request_id]
    assert not agents.reported_uses


async def test_model_is_requested_again_after_agent_restart():
    # After its agent was stopped, an engine must not be excluded for 15 s as
    # if it had no room for the model.
    agents = Agents(i_2='stopped')
    reservations = make_reservations(agents, models={0, 1})
    for _ in range(2):
        for row in reservations.backends[:2]:
            row.record_reported_load(60)
        await reserved(reservations, request_state())
        await asyncio.sleep(SCALE_OUT_COOLDOWN_S + 0.1)
    assert len(agents.models_requested) == 2
