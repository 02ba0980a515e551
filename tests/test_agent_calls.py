"""Tests of calls to frozen, unreachable, slow and restarting agents."""

import asyncio
import random
from dataclasses import replace

import pytest
from bench.local_cluster import free_ports
from tests.gateway_fakes import Engine, request_state_of

from kumquatrun.errors import (
    AdapterLoadError,
    DrainingError,
    NoCapacityError,
)
from kumquatrun.gateway.backends.backends import (
    Backend,
    BackendRecord,
    BackendTable,
)
from kumquatrun.gateway.backends.connection_pool import ConnectionPool
from kumquatrun.gateway.placement.agent_calls import AgentCalls
from kumquatrun.gateway.placement.agent_connections import (
    AGENT_STOPPED,
    STOPPED_BACKOFF_S,
    AgentUnreachableError,
)
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.eligibility import Eligibility
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.gateway.roles.agent import GatewayAgent
from kumquatrun.gateway.roles.settings import GatewayAgentSettings
from kumquatrun.gateway.routing.messages import (
    AdapterInUse,
    AdapterQueued,
    AdapterReady,
    CheckEngine,
    EngineState,
    PromptRead,
    UseAdapter,
)
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.peer import PeerServer
from kumquatrun.peer.address import Address
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

REQUEST = UseAdapter(request_id='r', model='m', adapter='a')
HELLO = Hello(node_id='n', incarnation='i')


class Agent:
    """Fake agent with configurable behaviour."""

    def __init__(self):
        self.acknowledges = True
        self.is_ready = True
        self.error = None
        self.prompts_read = []
        self.ended = asyncio.Event()
        self.in_use = []
        self.engine_state = EngineState(known_for_ms=1500)

    async def handle(self, request, context):
        if isinstance(request, CheckEngine):
            if not self.is_ready:
                await asyncio.Event().wait()
            return self.engine_state
        if isinstance(request, PromptRead):
            self.prompts_read.append(request.request_id)
            return Ack()
        if isinstance(request, AdapterInUse):
            self.in_use.append(request.request_id)
            try:
                await asyncio.Event().wait()
            finally:
                self.in_use.remove(request.request_id)
        try:
            if self.acknowledges:
                await context.send_message(AdapterQueued())
            if self.error:
                raise self.error
            if self.acknowledges and self.is_ready:
                await context.send_message(AdapterReady(version=3, load=1))
            await asyncio.Event().wait()
        finally:
            self.ended.set()


class View:
    def __init__(self, *addresses):
        self.addresses = addresses

    def agents_of(self, service):
        return [
            HostRecord(
                host_id=str(address),
                incarnation='i',
                role='agent',
                address=str(address),
                region='r',
                failure_domain='a',
                service=service,
            )
            for address in self.addresses
        ]


@pytest.fixture
async def agent():
    fake = Agent()
    server = PeerServer(HELLO, fake)
    fake.address = await server.start(Address('127.0.0.1', 0))
    fake.stop = lambda: asyncio.create_task(server.stop())
    yield fake
    await server.stop()


def backend():
    address = Address('127.0.0.1', 8000)
    record = BackendRecord(
        backend_id='i-1',
        service='assistant',
        address=address,
        failure_domain='a',
    )
    return Backend(record, ConnectionPool(address))


def calls_to(*addresses):
    return AgentCalls(View(*addresses), lambda: HELLO)


async def test_adapter_is_pinned_inside_the_block(agent):
    calls = calls_to(agent.address)
    async with calls.pin_adapter(backend(), REQUEST, 1) as pinned_adapter:
        assert pinned_adapter.ready.version == 3
        assert not agent.ended.is_set()
        pinned_adapter.notify_prompt_read()
        await asyncio.sleep(0.05)
    await asyncio.wait_for(agent.ended.wait(), 1)
    assert agent.prompts_read == ['r']
    await calls.close()


async def test_frozen_agent_is_skipped(agent):
    # Without a backoff, every request waits for a frozen agent: on a day with a
    # frozen agent, 243 of 3,880 requests waited until their callers gave up.
    agent.acknowledges = False
    calls = calls_to(agent.address)
    began_s = asyncio.get_running_loop().time()
    for _ in range(4):
        with pytest.raises(AgentUnreachableError):
            async with calls.pin_adapter(backend(), REQUEST, 5):
                pass
    assert asyncio.get_running_loop().time() - began_s < 0.5
    await calls.close()


async def test_slow_load_is_no_capacity(agent):
    agent.is_ready = False
    calls = calls_to(agent.address)
    with pytest.raises(NoCapacityError):
        async with calls.pin_adapter(backend(), REQUEST, 0.1):
            pass
    await calls.close()


async def test_agent_refusal_is_raised(agent):
    agent.error = AdapterLoadError('lost', cause='engine_lost')
    calls = calls_to(agent.address)
    with pytest.raises(AdapterLoadError):
        async with calls.pin_adapter(backend(), REQUEST, 1):
            pass
    await calls.close()


@pytest.mark.parametrize('addresses', [(), (Address('127.0.0.1', 1),)])
async def test_missing_agent_is_unreachable(addresses):
    calls = calls_to(*addresses)
    with pytest.raises(AgentUnreachableError):
        async with calls.pin_adapter(backend(), REQUEST, 1):
            pass


async def test_agent_stop_differs_from_slow_load(agent):
    # If a stop looks like a slow load, a request skips the engine that holds
    # its adapter because the agent stopped while the request waited.
    agent.is_ready = False
    calls = calls_to(agent.address)
    asyncio.get_running_loop().call_later(0.1, agent.stop)
    for _ in range(3):
        with pytest.raises(AgentUnreachableError) as lost:
            async with calls.pin_adapter(backend(), REQUEST, 5):
                pass
        assert lost.value.cause == AGENT_STOPPED
    await calls.close()


async def test_draining_agent_counts_as_stopped(agent):
    agent.error = DrainingError('the agent is stopping')
    calls = calls_to(agent.address)
    with pytest.raises(AgentUnreachableError) as refused:
        async with calls.pin_adapter(backend(), REQUEST, 5):
            pass
    assert refused.value.cause == AGENT_STOPPED
    agent.error = None
    await asyncio.sleep(STOPPED_BACKOFF_S + 0.05)
    async with calls.pin_adapter(backend(), REQUEST, 5):
        pass
    await calls.close()


class Session:
    """Fake session of an agent."""

    def __init__(self, address):
        self.view = ClusterView()
        self.directory = ControlDirectory(LoopClock())
        self.record = View(address).agents_of('assistant')[0]

    def on_change(self, listener):
        pass

    def report_agent(self, source):
        pass


def gateway_agent(address, engine):
    settings = GatewayAgentSettings(
        host_id='side',
        listen=address,
        operator_listen=address,
        service='assistant',
        engine_address=address,
        listing_address=address,
    )
    return GatewayAgent(
        settings,
        Session(address),
        PlatformFormat(),
        engine,
        LoopClock(),
    )


async def test_sigterm_refuses_waiting_requests():
    # A stop must refuse waiting requests instead of only closing connections.
    address = Address('127.0.0.1', free_ports(1)[0])
    engine = Engine(load_s=100)
    engine.held = {'a': 1}
    agent = gateway_agent(address, engine)
    await agent.start()
    calls = calls_to(address)
    async with calls.pin_adapter(backend(), REQUEST, 5):
        missing = replace(REQUEST, adapter='missing', request_id='waits')
        held = calls.pin_adapter(backend(), missing, 5)
        waiting = asyncio.create_task(held.__aenter__())
        await asyncio.sleep(0.1)
        await agent.drain(8)
        with pytest.raises(
            AgentUnreachableError, match='the agent is stopping'
        ):
            await asyncio.wait_for(waiting, 1)
        await agent.stop()
    await calls.close()


async def reserve(reservations, adapter):
    request_state = request_state_of('streaming')
    request_state.request = replace(
        request_state.request,
        model='m',
        adapter=adapter,
        request_id=adapter,
    )
    async with reservations.reserve(request_state) as reservation:
        return reservation


@pytest.mark.parametrize('is_planned', [True, False])
async def test_agent_restart_loses_no_request(is_planned):
    # A restart of the agent beside the only engine of a model, planned or not,
    # must neither refuse requests nor evict an adapter in use.
    address = Address('127.0.0.1', free_ports(1)[0])
    engine = Engine(slots=3, load_s=0.4)
    engine.held = {'a1': 1, 'idle-1': 1, 'idle-2': 1}
    engine.runs = {'r1': 'a1'}
    agent = gateway_agent(address, engine)
    await agent.start()
    calls = calls_to(address)
    table = BackendTable()
    table.update([replace(backend().record, models=frozenset({'m'}))])
    reservations = Reservations(
        table,
        Balancer(Locality(failure_domain='a', regions={}), random.Random(1)),
        calls,
        lambda model, adapter: 0,
        Eligibility({}, lambda: None),
        LoopClock(),
    )
    running = replace(REQUEST, adapter='a1', request_id='r1')
    async with calls.pin_adapter(backend(), running, 1):
        before = asyncio.create_task(reserve(reservations, 'a2'))
        await asyncio.sleep(0.1)
        if is_planned:
            await agent.drain(8)
        await agent.stop()
        during = asyncio.create_task(reserve(reservations, 'a3'))
        await asyncio.sleep(0.3)
        restarted = gateway_agent(address, engine)
        await restarted.start()
        for reservation in await asyncio.gather(before, during):
            assert reservation.pinned_adapter.ready.version == 1
    assert set(engine.held) == {'a1', 'a2', 'a3'}
    assert engine.max_held == 3
    await calls.close()
    await restarted.stop()


async def poll(condition):
    async with asyncio.timeout(2):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_running_requests_are_reported_to_restarted_agent(agent):
    # Without the reports, a restarted agent evicts the adapters of streams that
    # began before its restart.
    calls = calls_to(agent.address)
    async with calls.pin_adapter(backend(), REQUEST, 1):
        await agent.stop()
        restarted = Agent()
        server = PeerServer(HELLO, restarted)
        await asyncio.sleep(0.4)
        await server.start(agent.address)
        await poll(lambda: restarted.in_use == ['r'])
    await poll(lambda: not restarted.in_use)
    await calls.close()
    await server.stop()


async def test_use_is_reported_once_the_agent_answers(agent):
    calls = calls_to(agent.address)
    with calls.report_use(backend(), REQUEST):
        await poll(lambda: agent.in_use == ['r'])
    await poll(lambda: not agent.in_use)
    await calls.close()


async def test_agent_tells_how_long_an_engine_has_been_running(agent):
    calls = calls_to(agent.address)
    assert calls.has_agent(backend())
    assert await calls.engine_known_for_s(backend()) == 1.5
    agent.engine_state = EngineState()
    assert await calls.engine_known_for_s(backend()) is None
    await calls.close()


async def test_agent_without_an_answer_tells_nothing(agent):
    # Guards against an end that never counts because its agent hangs.
    agent.is_ready = False
    calls = calls_to(agent.address)
    began_s = asyncio.get_running_loop().time()
    assert await calls.engine_known_for_s(backend()) is None
    assert asyncio.get_running_loop().time() - began_s < 1
    await calls.close()
    assert not calls_to().has_agent(backend())
