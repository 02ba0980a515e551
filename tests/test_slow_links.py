"""Tests of peer connections over links that are slow or lose all bytes."""

import asyncio
import random

import pytest
from tests.simulated_network import SimulatedNetwork

from kumquatrun.errors import DeadlineExceededError
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer import Address, PeerClient, PeerServer
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.peer.node_messages import FeedItem
from kumquatrun.runtime.clock import LoopClock

SERVER = Address('10.3.0.1', 7600)
CLIENT = '10.1.0.1'
# Takes 2.8 s over the link, which is longer than the silence limit.
LARGE = FeedItem(index=1, kind='k', body=bytes(5 * 1024 * 1024))


class EchoHandler:
    """Replies after ``delay_s``, 0 by default."""

    def __init__(self):
        self.delay_s = 0
        self.calls = 0

    async def handle(self, request, context):
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        return Ack()


class Directory:
    """A directory whose leader is always the server."""

    leader_address = SERVER
    member_addresses = (SERVER,)

    def on_change(self, listener):
        """Ignore the listener, as the leader never changes."""


@pytest.fixture
async def network(monkeypatch):
    network = SimulatedNetwork({CLIENT: 'near', SERVER.host: 'far'})
    network.install(monkeypatch)
    return network


async def serve(network):
    handler = EchoHandler()
    with network.on(SERVER.host):
        server = PeerServer(Hello(node_id='s', incarnation='1'), handler)
        await server.start(SERVER)
    return server, handler


@pytest.mark.looptime
async def test_large_frame_keeps_connection_open(network):
    # Guards against a receiver that closes the connection while one frame takes
    # longer to arrive than the silence limit.
    server, _ = await serve(network)
    with network.on(CLIENT):
        client = PeerClient(SERVER, Hello(node_id='c', incarnation='1'))
        assert await client.call(LARGE, 10) == Ack()
    await client.close()
    await server.stop()


def leader_client():
    return LeaderClient(
        (SERVER,),
        Hello(node_id='c', incarnation='1'),
        LoopClock(),
        random.Random(1),
        Directory(),
    )


@pytest.mark.looptime
async def test_call_timeout_keeps_other_calls_open(network):
    # Guards against a timed-out call that closes a connection which other calls
    # use; those would be resent and could time out in the same way.
    server, handler = await serve(network)
    handler.delay_s = 1.0
    with network.on(CLIENT):
        client = leader_client()
        slow = asyncio.create_task(client.call(Ack(), 3))
        await asyncio.sleep(0.3)
        with pytest.raises(DeadlineExceededError):
            await client.leader.call(Ack(), 0.5)
        assert await slow == Ack()
    assert handler.calls == 2
    await client.close()
    await server.stop()


@pytest.mark.looptime
async def test_silent_connection_is_replaced(network):
    # Guards against calls that wait on a connection whose bytes are lost.
    server, _ = await serve(network)
    with network.on(CLIENT):
        client = leader_client()
        assert await client.call(Ack(), 3) == Ack()
        network.silence_connections()
        started_s = asyncio.get_running_loop().time()
        replies = await asyncio.gather(
            *(client.call(Ack(), 3) for _ in range(5))
        )
        assert replies == 5 * [Ack()]
        assert asyncio.get_running_loop().time() - started_s < 1
    await client.close()
    await server.stop()
