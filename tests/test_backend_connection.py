"""Connections to backend servers: late, extra, cut and unframed answers."""

import asyncio
import socket

import pytest
from tests.endless_server import EndlessServer
from tests.gateway_fakes import ScriptedBackend, http_response

from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.gateway.backends.backend_connection import (
    BrokenResponseError,
    open_connection,
)
from kumquatrun.gateway.backends.connection_pool import ConnectionPool
from kumquatrun.peer.address import Address

HEAD = b'POST / HTTP/1.1\r\nX-Kumquatrun-Attempt-Id: one\r\n\r\n'


def matches_attempt_one(head):
    return head.header(b'x-kumquatrun-attempt-id') in {'', 'one'}


async def ask(connection):
    connection.send(HEAD, b'', matches_attempt_one)
    head = await connection.read_head()
    return head, await head.body.read()


async def test_late_response_is_dropped():
    # Guards against an answer that reaches the wrong caller.
    late = http_response(b'late', request_id='zero')
    runner = await ScriptedBackend([late, http_response(b'mine')]).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert (head.status, body) == (200, b'mine')


@pytest.mark.parametrize('pause_s', [0, 0.02])
async def test_connection_with_extra_bytes_is_not_reused(pause_s):
    # Guards against a second answer that is read as the next one.
    runner = await ScriptedBackend(
        [http_response(b'mine'), pause_s, http_response(b'extra')],
        [http_response(b'next')],
    ).start()
    pool = ConnectionPool(runner.address)
    connection = await pool.acquire(may_repeat=True)
    head, _ = await ask(connection)
    pool.release(connection, head)
    await asyncio.sleep(0.05)
    again = await pool.acquire(may_repeat=True)
    _, body = await ask(again)
    assert body == b'next'
    assert runner.connections == 2


async def test_connection_is_reused():
    runner = await ScriptedBackend([http_response()], [http_response()]).start()
    pool = ConnectionPool(runner.address)
    for _ in range(2):
        connection = await pool.acquire(may_repeat=False)
        head, _ = await ask(connection)
        pool.release(connection, head)
    assert runner.connections == 1


async def test_keep_alive_timeout_is_respected():
    runner = await ScriptedBackend(
        [http_response(headers='Keep-Alive: timeout=1\r\n')],
        [http_response()],
    ).start()
    pool = ConnectionPool(runner.address)
    for _ in range(2):
        connection = await pool.acquire(may_repeat=True)
        head, _ = await ask(connection)
        pool.release(connection, head)
    assert runner.connections == 2


UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf'


async def test_unframed_response_ends_at_close():
    runner = await ScriptedBackend([UNFRAMED, 'close']).start()
    _, body = await ask(await open_connection(runner.address))
    assert body == b'half'


@pytest.mark.parametrize(
    'script',
    [
        [UNFRAMED, 0.02, 'reset'],
        [http_response(b'whole')[:-2], 'close'],
        [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
        [b'not http at all\r\n\r\n'],
        ['close'],
    ],
    ids=['reset', 'short', 'cut chunk', 'garbage', 'no answer'],
)
async def test_incomplete_response_is_an_error(script):
    # Guards against a cut answer that is passed on as complete.
    runner = await ScriptedBackend([*script, 'close']).start()
    connection = await open_connection(runner.address)
    with pytest.raises(BrokenResponseError) as raised:
        await ask(connection)
    assert raised.value.outcome is Outcome.UNKNOWN


async def test_unreachable_backend_is_not_run():
    runner = await ScriptedBackend().start()
    await runner.stop()
    with pytest.raises(ConnectionLostError) as raised:
        await open_connection(runner.address)
    assert raised.value.outcome is Outcome.NOT_RUN


UNUSABLE = [
    Address('127.0.0.1', 99999),
    Address('127.0.0.1', -5),
    Address('127.0.0.1', 2**70),
    Address('127.0.0.1', 0),
    Address('a\0b', 80),
    Address('a..b', 80),
    Address('\ud800', 80),
]


@pytest.mark.parametrize('address', UNUSABLE, ids=repr)
async def test_unusable_address_is_not_run(address):
    # Guards against a request that fails as a whole: the socket raises errors
    # of other types for a port that is out of range.
    with pytest.raises(ConnectionLostError) as raised:
        await open_connection(address)
    assert raised.value.outcome is Outcome.NOT_RUN


async def test_unrepeatable_request_avoids_idle_connections():
    runner = await ScriptedBackend(
        [http_response()], [http_response()], [http_response()]
    ).start()
    pool = ConnectionPool(runner.address, unrepeatable_idle_s=0.02)
    for may_repeat, connections in ((True, 1), (False, 2), (True, 2)):
        await asyncio.sleep(0.05)
        connection = await pool.acquire(may_repeat=may_repeat)
        head, _ = await ask(connection)
        pool.release(connection, head)
        assert runner.connections == connections


async def test_abandoned_request_is_reset():
    # Guards against a backend server that stood still and then runs requests
    # whose callers had left: only a reset drops what it has not read.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = Address(*listener.getsockname()[:2])
        connection = await open_connection(address)
        connection.send(HEAD, b'', matches_attempt_one)
        await asyncio.sleep(0.05)
        connection.abort()
        await asyncio.sleep(0.05)
        peer, _ = listener.accept()
        with peer, pytest.raises(ConnectionResetError):
            while peer.recv(1024):
                pass


async def idle_connection(runner):
    pool = ConnectionPool(runner.address)
    connection = await pool.acquire(may_repeat=True)
    connection.send(HEAD, b'', matches_attempt_one)
    return pool, connection, await connection.read_head()


async def test_endless_extra_responses_close_the_connection():
    # Guards against a backend server that keeps the loop busy with answers to
    # no request while the caller of the first one reads slowly.
    server = await EndlessServer(
        http_response(b'mine', request_id='one'),
        http_response(b'') * 100,
    ).start()
    _, connection, head = await idle_connection(server)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert connection.received_bytes < 64 * 1024
    assert await head.body.read() == b'mine'


@pytest.mark.parametrize('piece', [b'\r\n' * 99, b'x' * 99, http_response(b'')])
async def test_endless_bytes_on_an_idle_connection_close_it(piece):
    server = await EndlessServer(
        http_response(request_id='one'), piece, 0.02
    ).start()
    pool, connection, head = await idle_connection(server)
    await head.body.read()
    pool.release(connection, head)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert not connection.is_open
    assert connection.received_bytes < 1024


@pytest.mark.parametrize('status', ['200 OK', '204 No Content', '304 None'])
async def test_endless_body_after_bodiless_response_closes_it(status):
    # Guards against a body that is read as the next answer.
    begin = http_response(b'', status, request_id='one')
    server = await EndlessServer(begin, b'x' * 4096).start()
    pool = ConnectionPool(server.address)
    connection = await pool.acquire(may_repeat=True)
    connection.send(HEAD, b'', matches_attempt_one, has_response_body=False)
    head = await connection.read_head()
    assert not await head.body.read()
    pool.release(connection, head)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert connection.received_bytes < 64 * 1024


GARBAGE = b'\x00garbage\r\n\r\n'
FRAMINGS = {
    'length': [http_response(b'mine') + GARBAGE],
    'no body': [http_response(b'', '204 No Content') + GARBAGE],
    'chunks': [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'4\r\nmine\r\n0\r\n\r\n' + GARBAGE,
    ],
    'cut end of head': [http_response(b'mine')[:-5], 0.02, b'\nmine' + GARBAGE],
    'interim answer': [
        b'HTTP/1.1 100 Continue\r\n\r\n' + http_response(b'mine') + GARBAGE,
    ],
    'late answer': [
        http_response(b'a\r\n\r\nb', request_id='zero')
        + http_response(b'mine')
        + GARBAGE,
    ],
}


@pytest.mark.parametrize('script', FRAMINGS.values(), ids=FRAMINGS)
async def test_trailing_bytes_keep_the_response(script):
    # Guards against a booking whose answer came whole and that gets 502, since
    # bytes that belong to no request came with it.
    runner = await ScriptedBackend(script).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert body in {b'mine', b''}
    assert head.status == (200 if body else 204)
    connection.mark_finished(head)
    assert not connection.is_reusable


@pytest.mark.parametrize('cut', range(1, len(http_response(b'mine'))))
async def test_response_split_at_any_byte(cut):
    whole = http_response(b'mine', request_id='one')
    runner = await ScriptedBackend([whole[:cut], 0.002, whole[cut:]]).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert (head.status, body) == (200, b'mine')
    connection.mark_finished(head)
    assert connection.is_reusable
    connection.abort()
