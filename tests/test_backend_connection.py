"""Tests of connections to backend servers and their faulty responses."""

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
from kumquatrun.gateway.backends.response_head import (
    Framing,
)
from kumquatrun.peer.address import Address

HEAD = b'POST / HTTP/1.1\r\nX-Kumquatrun-Attempt-Id: one\r\n\r\n'


def matches_attempt_one(head):
    return head.header(b'x-kumquatrun-attempt-id') in {'', 'one'}


async def exchange(connection):
    connection.send(HEAD, b'', matches_attempt_one)
    head = await connection.read_head()
    return head, await head.body.read()


async def test_late_response_is_dropped():
    # A late response must not reach the caller of the next request.
    late = http_response(b'late', request_id='zero')
    scripted = await ScriptedBackend([late, http_response(b'mine')]).start()
    connection = await open_connection(scripted.address)
    head, body = await exchange(connection)
    assert (head.status, body) == (200, b'mine')


@pytest.mark.parametrize('pause_s', [0, 0.02])
async def test_connection_with_extra_bytes_is_not_reused(pause_s):
    # On reuse, the extra response would be read as that of the next request.
    scripted = await ScriptedBackend(
        [http_response(b'mine'), pause_s, http_response(b'extra')],
        [http_response(b'next')],
    ).start()
    pool = ConnectionPool(scripted.address)
    connection = await pool.acquire(may_repeat=True)
    head, _ = await exchange(connection)
    pool.release(connection, head)
    await asyncio.sleep(0.05)
    second = await pool.acquire(may_repeat=True)
    _, body = await exchange(second)
    assert body == b'next'
    assert scripted.connections == 2


async def test_connection_is_reused():
    scripted = await ScriptedBackend(
        [http_response()], [http_response()]
    ).start()
    pool = ConnectionPool(scripted.address)
    for _ in range(2):
        connection = await pool.acquire(may_repeat=False)
        head, _ = await exchange(connection)
        pool.release(connection, head)
    assert scripted.connections == 1


async def test_keep_alive_timeout_is_respected():
    scripted = await ScriptedBackend(
        [http_response(headers='Keep-Alive: timeout=1\r\n')],
        [http_response()],
    ).start()
    pool = ConnectionPool(scripted.address)
    for _ in range(2):
        connection = await pool.acquire(may_repeat=True)
        head, _ = await exchange(connection)
        pool.release(connection, head)
    assert scripted.connections == 2


UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf'


async def test_unframed_response_ends_at_close():
    scripted = await ScriptedBackend([UNFRAMED, 'close']).start()
    _, body = await exchange(await open_connection(scripted.address))
    assert body == b'half'


@pytest.mark.parametrize(
    ('response', 'framing'),
    [
        (UNFRAMED, Framing.CLOSE),
        (http_response(b'whole'), Framing.LENGTH),
        (http_response(b''), Framing.EMPTY),
        (b'HTTP/1.1 204 No Content\r\n\r\n', Framing.EMPTY),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            Framing.CHUNKS,
        ),
    ],
    ids=['close', 'length', 'length zero', 'no body', 'chunks'],
)
async def test_framing_of_a_response_is_known(response, framing):
    # Guards against log lines that do not say how a response was framed, so
    # that a cut stream without a length is not told from other broken ones.
    scripted = await ScriptedBackend([response, 'close']).start()
    head, _ = await exchange(await open_connection(scripted.address))
    assert head.framing is framing


@pytest.mark.parametrize(
    'script',
    [
        [UNFRAMED, 0.02, 'reset'],
        [http_response(b'whole')[:-2], 'close'],
        [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
        [b'not http at all\r\n\r\n'],
        ['close'],
    ],
    ids=['reset', 'short', 'cut chunk', 'garbage', 'no response'],
)
async def test_incomplete_response_is_an_error(script):
    # A truncated response must not be forwarded as complete.
    scripted = await ScriptedBackend([*script, 'close']).start()
    connection = await open_connection(scripted.address)
    with pytest.raises(BrokenResponseError) as raised:
        await exchange(connection)
    assert raised.value.outcome is Outcome.UNKNOWN


async def test_unreachable_backend_server_gives_not_run():
    scripted = await ScriptedBackend().start()
    await scripted.stop()
    with pytest.raises(ConnectionLostError) as raised:
        await open_connection(scripted.address)
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
async def test_unusable_address_gives_not_run(address):
    # For an unusable address the socket raises other error types, such as
    # OverflowError, which would fail the request instead of the attempt.
    with pytest.raises(ConnectionLostError) as raised:
        await open_connection(address)
    assert raised.value.outcome is Outcome.NOT_RUN


async def test_unrepeatable_request_avoids_long_idle_connections():
    scripted = await ScriptedBackend(
        [http_response()], [http_response()], [http_response()]
    ).start()
    pool = ConnectionPool(scripted.address, unrepeatable_request_idle_s=0.02)
    for may_repeat, connections in ((True, 1), (False, 2), (True, 2)):
        await asyncio.sleep(0.05)
        connection = await pool.acquire(may_repeat=may_repeat)
        head, _ = await exchange(connection)
        pool.release(connection, head)
        assert scripted.connections == connections


async def test_connection_of_abandoned_request_is_reset():
    # A backend server that was frozen would later run requests whose callers
    # have left: only a reset drops the bytes that it has not read.
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


async def connection_with_response(scripted):
    pool = ConnectionPool(scripted.address)
    connection = await pool.acquire(may_repeat=True)
    connection.send(HEAD, b'', matches_attempt_one)
    return pool, connection, await connection.read_head()


async def test_endless_extra_responses_close_the_connection():
    # A backend server that sends responses without requests must not keep the
    # event loop busy while the caller of the first request reads slowly.
    server = await EndlessServer(
        http_response(b'mine', request_id='one'),
        http_response(b'') * 100,
    ).start()
    _, connection, head = await connection_with_response(server)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert connection.received_bytes < 64 * 1024
    assert await head.body.read() == b'mine'


@pytest.mark.parametrize('piece', [b'\r\n' * 99, b'x' * 99, http_response(b'')])
async def test_endless_bytes_on_an_idle_connection_close_it(piece):
    server = await EndlessServer(
        http_response(request_id='one'), piece, 0.02
    ).start()
    pool, connection, head = await connection_with_response(server)
    await head.body.read()
    pool.release(connection, head)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert not connection.is_open
    assert connection.received_bytes < 1024


@pytest.mark.parametrize('status', ['200 OK', '204 No Content', '304 None'])
async def test_endless_body_after_bodiless_response_closes_connection(status):
    # The body must not be read as the next response.
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
SCRIPTS_WITH_TRAILING_BYTES = {
    'length': [http_response(b'mine') + GARBAGE],
    'no body': [http_response(b'', '204 No Content') + GARBAGE],
    'chunks': [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'4\r\nmine\r\n0\r\n\r\n' + GARBAGE,
    ],
    'cut end of head': [http_response(b'mine')[:-5], 0.02, b'\nmine' + GARBAGE],
    'interim response': [
        b'HTTP/1.1 100 Continue\r\n\r\n' + http_response(b'mine') + GARBAGE,
    ],
    'late response': [
        http_response(b'a\r\n\r\nb', request_id='zero')
        + http_response(b'mine')
        + GARBAGE,
    ],
}


@pytest.mark.parametrize(
    'script',
    SCRIPTS_WITH_TRAILING_BYTES.values(),
    ids=SCRIPTS_WITH_TRAILING_BYTES,
)
async def test_trailing_bytes_do_not_discard_the_response(script):
    # A request whose response arrived completely must not get 502 because bytes
    # that belong to no request arrived with it.
    scripted = await ScriptedBackend(script).start()
    connection = await open_connection(scripted.address)
    head, body = await exchange(connection)
    assert body in {b'mine', b''}
    assert head.status == (200 if body else 204)
    connection.mark_finished(head)
    assert not connection.is_reusable


@pytest.mark.parametrize('cut', range(1, len(http_response(b'mine'))))
async def test_response_split_at_any_byte(cut):
    whole = http_response(b'mine', request_id='one')
    scripted = await ScriptedBackend([whole[:cut], 0.002, whole[cut:]]).start()
    connection = await open_connection(scripted.address)
    head, body = await exchange(connection)
    assert (head.status, body) == (200, b'mine')
    connection.mark_finished(head)
    assert connection.is_reusable
    connection.abort()
