"""Calls to agents: frozen, unreachable and slow ones."""

import asyncio

import pytest

from kumquatrun.errors import AdapterLoadError, NoCapacityError
from kumquatrun.gateway.agent_calls import AgentCalls, AgentUnreachableError
from kumquatrun.gateway.backends import Backend, BackendRecord
from kumquatrun.gateway.connection_pool import ConnectionPool
from kumquatrun.gateway.messages import (
    AdapterQueued,
    AdapterReady,
    PromptRead,
    UseAdapter,
)
from kumquatrun.peer import PeerServer
from kumquatrun.peer.address import Address
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.peer.node_messages import HostRecord

REQUEST = UseAdapter(request_id='r', model='m', adapter='a')
HELLO = Hello(node_id='n', incarnation='i')


class Agent:
    """Agent whose behaviour each test chooses."""

    def __init__(self):
        self.gives_sign = True
        self.is_ready = True
        self.error = None
        self.told = []
        self.ended = asyncio.Event()

    async def handle(self, request, context):
        if isinstance(request, PromptRead):
            self.told.append(request.request_id)
            return Ack()
        try:
            if self.gives_sign:
                await context.send_message(AdapterQueued())
            if self.error:
                raise self.error
            if self.gives_sign and self.is_ready:
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
    found = Agent()
    server = PeerServer(HELLO, found)
    found.address = await server.start(Address('127.0.0.1', 0))
    yield found
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


async def test_adapter_is_held_inside_the_block(agent):
    calls = calls_to(agent.address)
    async with calls.hold(backend(), REQUEST, 1) as hold:
        assert hold.ready.version == 3
        assert not agent.ended.is_set()
        hold.tell_prompt_read()
        await asyncio.sleep(0.05)
    await asyncio.wait_for(agent.ended.wait(), 1)
    assert agent.told == ['r']
    await calls.close()


async def test_frozen_agent_is_passed_over_quickly_and_not_asked_again(agent):
    # Guards against requests that each wait for a frozen agent: 243 of 3,880
    # were held until their callers gave up on a day with one.
    agent.gives_sign = False
    calls = calls_to(agent.address)
    began_s = asyncio.get_running_loop().time()
    for _ in range(4):
        with pytest.raises(AgentUnreachableError):
            async with calls.hold(backend(), REQUEST, 5):
                pass
    assert asyncio.get_running_loop().time() - began_s < 0.5
    await calls.close()


async def test_agent_that_loads_for_too_long_has_no_capacity(agent):
    agent.is_ready = False
    calls = calls_to(agent.address)
    with pytest.raises(NoCapacityError):
        async with calls.hold(backend(), REQUEST, 0.1):
            pass
    await calls.close()


async def test_refusal_of_the_agent_is_passed_on(agent):
    agent.error = AdapterLoadError('lost', cause='engine_lost')
    calls = calls_to(agent.address)
    with pytest.raises(AdapterLoadError):
        async with calls.hold(backend(), REQUEST, 1):
            pass
    await calls.close()


@pytest.mark.parametrize('addresses', [(), (Address('127.0.0.1', 1),)])
async def test_missing_agent_is_unreachable(addresses):
    calls = calls_to(*addresses)
    with pytest.raises(AgentUnreachableError):
        async with calls.hold(backend(), REQUEST, 1):
            pass
