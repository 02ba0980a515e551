"""Tests of peer connections: calls, streams, cancellation, lost peers."""

import asyncio
import logging
from contextlib import suppress

import pytest

from kumquatrun.errors import (
    ConnectionLostError,
    InvalidRequestError,
    KumquatrunError,
    Outcome,
    UnauthorizedPeerError,
    WireError,
)
from kumquatrun.peer import Address, PeerClient, PeerServer
from kumquatrun.peer.messages import Ack, Hello, encode_message
from kumquatrun.peer.node_messages import FollowFeed
from kumquatrun.peer.request_messages import Finished
from kumquatrun.peer.wire import Frame, FrameKind, FrameReader, encode_frame

LOOPBACK = Address('127.0.0.1', 0)


class Handler:
    async def handle(self, request, context):
        if isinstance(request, Ack):
            return request
        if isinstance(request, FollowFeed):
            context.outcome = Outcome.RAN
            for number in range(request.after_index):
                await context.send_item(b'%d' % number)
            return Finished(outcome=Outcome.RAN)
        raise InvalidRequestError('not known', retry_after_s=2)


@pytest.fixture
async def server():
    server = PeerServer(
        Hello(node_id='server', incarnation='1', cluster_token='t'),
        Handler(),
    )
    server.address = await server.start(LOOPBACK)
    yield server
    await server.stop()


@pytest.fixture
async def client(server):
    identity = Hello(node_id='client', incarnation='1', cluster_token='t')
    client = PeerClient(server.address, identity)
    yield client
    await client.close()


async def test_call_returns_the_reply(client):
    assert await client.call(Ack(), 1) == Ack()
    assert client.peer.node_id == 'server'


async def test_typed_error_is_returned_to_caller(client):
    with pytest.raises(InvalidRequestError) as caught:
        await client.call(Finished(outcome=Outcome.RAN), 1)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after_s == 2


async def test_long_stream_arrives_in_order(client):
    # Guards against items that are lost when the credit runs out.
    async with client.stream(FollowFeed(host_id='a', after_index=500)) as call:
        numbers = [int(item) async for item in call]
    assert numbers == list(range(500))
    assert call.reply.outcome is Outcome.RAN


async def test_cancel_returns_peer_outcome(client):
    request = FollowFeed(host_id='a', after_index=100_000)
    async with client.stream(request) as call:
        assert await anext(call) == b'0'
        assert await call.cancel() is Outcome.RAN


async def test_lost_connection_has_unknown_outcome(server, client):
    request = FollowFeed(host_id='a', after_index=100_000)
    async with client.stream(request) as call:
        await anext(call)
        await server.stop()
        with pytest.raises(ConnectionLostError) as caught:
            await call.result()
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('port', [99999, -5])
async def test_call_to_port_out_of_range_is_not_run(port):
    # Guards against an OverflowError, which callers do not handle.
    identity = Hello(node_id='client', incarnation='1', cluster_token='t')
    client = PeerClient(Address('127.0.0.1', port), identity)
    with pytest.raises(ConnectionLostError) as caught:
        await client.call(Ack(), 1)
    assert caught.value.outcome is Outcome.NOT_RUN


async def test_call_to_unreachable_peer_is_not_run(server, client):
    await server.stop()
    with pytest.raises(ConnectionLostError) as caught:
        await client.call(Ack(), 1)
    assert caught.value.outcome is Outcome.NOT_RUN


async def test_wrong_cluster_token_is_refused(server):
    identity = Hello(node_id='x', incarnation='1', cluster_token='wrong')
    client = PeerClient(server.address, identity)
    with pytest.raises(UnauthorizedPeerError):
        await client.call(Ack(), 1)
    await client.close()


FRAMES = [
    Frame(FrameKind.ITEM, number, b'x' * size)
    for number, size in enumerate((0, 1, 100, 200_000, 3, 70_000))
]


@pytest.mark.parametrize('step', [1, 7, 4096, 65_536, 1_000_000])
async def test_frames_are_split_at_any_boundary(step):
    # Guards against frames that are lost or merged when a read ends inside
    # of one.
    reader = asyncio.StreamReader(limit=2**30)
    encoded = b''.join(map(encode_frame, FRAMES))
    frames = FrameReader(reader)

    async def feed():
        for start in range(0, len(encoded), step):
            reader.feed_data(encoded[start : start + step])
            await asyncio.sleep(0)
        reader.feed_eof()

    feeding = asyncio.create_task(feed())
    assert [await frames.read() for _ in FRAMES] == FRAMES
    with pytest.raises(EOFError):
        await frames.read()
    await feeding


@pytest.mark.parametrize(
    'sent',
    [
        b'\xff\xff\xff\xff',
        b'\x00\x00\x00\x01\xc1',
        b'\x00\x00\x00\x01\x01',
        b'\x00\x00\x00\x04\x93\x63\x01\xc0',
        b'\x00\x00\x00\x04\x93\xff\x01\xc0',
    ],
)
async def test_malformed_frame_is_refused(sent):
    reader = asyncio.StreamReader()
    reader.feed_data(sent)
    with pytest.raises(WireError):
        await FrameReader(reader).read()


class LargeReplyHandler:
    """Sends more than the socket buffers hold, then replies."""

    async def handle(self, request, context):
        for _ in range(10):
            await context.send_item(b'x' * 1_000_000)
        return Finished(outcome=Outcome.RAN)


@pytest.mark.parametrize('buffer_bytes', [2**16, 2**30])
async def test_wait_idle_flushes_to_slow_reader(buffer_bytes):
    # Guards against a planned stop that discards unsent data, both while the
    # call waits for the reader and after the call has ended.
    identity = Hello(node_id='a', incarnation='1')
    server = PeerServer(identity, LargeReplyHandler())
    address = await server.start(LOOPBACK)
    reader, writer = await asyncio.open_connection(
        address.host,
        address.port,
        limit=4096,
    )
    frames = [(FrameKind.HELLO, 0, identity), (FrameKind.REQUEST, 1, Ack())]
    for kind, call_id, message in frames:
        frame = Frame(kind, call_id, encode_message(message))
        writer.write(encode_frame(frame))
        await asyncio.sleep(0.1)
        [link] = server._links
        link._writer.transport.set_write_buffer_limits(high=buffer_bytes)
    idle = asyncio.create_task(server.wait_idle())
    idle.add_done_callback(lambda _: asyncio.create_task(server.stop()))
    await asyncio.sleep(0.1)
    received = FrameReader(reader)
    kinds = [(await received.read()).kind for _ in range(12)]
    assert kinds.count(FrameKind.ITEM) == 10
    assert kinds[-1] is FrameKind.REPLY
    await idle
    writer.close()


# A length prefix above the limit of any frame, and one above that of the first
# frame.
TOO_LONG = b'\xff' * 4096
LONG_HELLO = b'\x00\x10\x00\x00' + b'x' * 4096
NOT_MSGPACK = b'\x00\x00\x00\x04' + b'\xc1' * 4
NO_HELLO = encode_frame(Frame(FrameKind.HELLO, 0, encode_message(Ack())))
INVALID_HELLOS = {
    'endless bytes': TOO_LONG,
    'long hello': LONG_HELLO,
    'no msgpack': NOT_MSGPACK,
    'no hello': NO_HELLO,
    'no fields': encode_frame(Frame(FrameKind.HELLO, 0, None)),
}
each_invalid_hello = pytest.mark.parametrize(
    'first',
    INVALID_HELLOS.values(),
    ids=INVALID_HELLOS,
)


async def send_until_closed(writer, first, counts):
    """Write ``first`` and then bytes until the peer closes."""
    writer.transport.set_write_buffer_limits(high=0)
    try:
        writer.write(first)
        while counts['bytes'] < 8 * 1024 * 1024:
            await writer.drain()
            counts['bytes'] += 4096
            writer.write(b'x' * 4096)
            await asyncio.sleep(0)
    except OSError:
        counts['closed'] = True
    writer.transport.abort()


@each_invalid_hello
async def test_client_closes_on_invalid_hello(first):
    # Guards against a client connection that stays open and keeps reading after
    # a failed handshake.
    counts = {'bytes': 0, 'closed': False}
    done = asyncio.Event()

    async def serve(reader, writer):
        await send_until_closed(writer, first, counts)
        done.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname())
    client = PeerClient(address, Hello(node_id='c', incarnation='1'))
    async with asyncio.timeout(1):
        with pytest.raises(KumquatrunError) as caught:
            await client.call(Ack(), 0.9)
        await done.wait()
    assert caught.value.outcome is Outcome.NOT_RUN
    assert counts['closed']
    await client.close()
    server.close()


@each_invalid_hello
async def test_server_closes_on_invalid_hello(server, first, caplog):
    # Guards against an unauthenticated peer that fills the memory of a process
    # or its log with tracebacks.
    caplog.set_level(logging.INFO)
    reader, writer = await asyncio.open_connection(
        server.address.host,
        server.address.port,
    )
    writer.write(first)
    async with asyncio.timeout(1):
        with suppress(ConnectionResetError):
            assert not await reader.read()
    await asyncio.sleep(0)
    assert 'event=peer_closed' in caplog.text
    # asyncio logs errors that the server does not handle.
    assert not [row for row in caplog.records if row.exc_info]
    writer.close()


@pytest.mark.parametrize('credit', [10**7, -1, None, 'x'])
async def test_invalid_credit_closes_connection(
    server,
    credit,
    caplog,
):
    # Guards against one frame with a large credit that blocks the event loop,
    # since each credited item releases a semaphore.
    caplog.set_level(logging.INFO)
    reader, writer = await asyncio.open_connection(
        server.address.host,
        server.address.port,
    )
    identity = Hello(node_id='c', incarnation='1', cluster_token='t')
    feed = FollowFeed(host_id='a', after_index=100_000)
    frames = [
        Frame(FrameKind.HELLO, 0, encode_message(identity)),
        Frame(FrameKind.REQUEST, 1, encode_message(feed)),
        Frame(FrameKind.CREDIT, 1, credit),
    ]
    writer.write(b''.join(map(encode_frame, frames)))
    async with asyncio.timeout(1):
        with suppress(ConnectionResetError):
            await reader.read()
    assert 'event=peer_closed' in caplog.text
    assert not [row for row in caplog.records if row.exc_info]
    writer.close()
