"""Connections to backend servers: late, extra, cut and unframed answers."""

import asyncio
import socket

import pytest
from tests.endless_server import EndlessServer
from tests.gateway_fakes import Runner, answer

from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.gateway.backends.backend_connection import (
    BrokenAnswerError,
    open_connection,
)
from kumquatrun.gateway.backends.connection_pool import ConnectionPool
from kumquatrun.peer.address import Address

HEAD = b'POST / HTTP/1.1\r\nX-Kumquatrun-Attempt-Id: one\r\n\r\n'


def accepts_one(head):
    return head.header(b'x-kumquatrun-attempt-id') in {'', 'one'}


async def ask(connection):
    connection.send(HEAD, b'', accepts_one)
    head = await connection.read_head()
    return head, await head.body.read()


async def test_late_answer_to_another_request_is_dropped():
    # Guards against an answer that reaches the wrong caller.
    late = answer(b'late', request_id='zero')
    runner = await Runner([late, answer(b'mine')]).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert (head.status, body) == (200, b'mine')


@pytest.mark.parametrize('pause_s', [0, 0.02])
async def test_connection_with_extra_bytes_is_not_used_again(pause_s):
    # Guards against a second answer that is read as the next one.
    runner = await Runner(
        [answer(b'mine'), pause_s, answer(b'extra')],
        [answer(b'next')],
    ).start()
    pool = ConnectionPool(runner.address)
    connection = await pool.take(may_repeat=True)
    head, _ = await ask(connection)
    pool.give_back(connection, head)
    await asyncio.sleep(0.05)
    again = await pool.take(may_repeat=True)
    _, body = await ask(again)
    assert body == b'next'
    assert runner.connections == 2


async def test_connection_is_used_again():
    runner = await Runner([answer()], [answer()]).start()
    pool = ConnectionPool(runner.address)
    for _ in range(2):
        connection = await pool.take(may_repeat=False)
        head, _ = await ask(connection)
        pool.give_back(connection, head)
    assert runner.connections == 1


async def test_stated_idle_limit_is_kept():
    runner = await Runner(
        [answer(headers='Keep-Alive: timeout=1\r\n')],
        [answer()],
    ).start()
    pool = ConnectionPool(runner.address)
    for _ in range(2):
        connection = await pool.take(may_repeat=True)
        head, _ = await ask(connection)
        pool.give_back(connection, head)
    assert runner.connections == 2


UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf'


async def test_unframed_answer_ends_with_its_connection():
    runner = await Runner([UNFRAMED, 'close']).start()
    _, body = await ask(await open_connection(runner.address))
    assert body == b'half'


@pytest.mark.parametrize(
    'script',
    [
        [UNFRAMED, 0.02, 'reset'],
        [answer(b'whole')[:-2], 'close'],
        [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
        [b'not http at all\r\n\r\n'],
        ['close'],
    ],
    ids=['reset', 'short', 'cut chunk', 'garbage', 'no answer'],
)
async def test_incomplete_answer_is_broken(script):
    # Guards against a cut answer that is passed on as complete.
    runner = await Runner([*script, 'close']).start()
    connection = await open_connection(runner.address)
    with pytest.raises(BrokenAnswerError) as raised:
        await ask(connection)
    assert raised.value.outcome is Outcome.UNKNOWN


async def test_unreachable_backend_server_ran_nothing():
    runner = await Runner().start()
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
async def test_address_that_cannot_be_used_ran_nothing(address):
    # Guards against a request that fails as a whole: the socket raises errors
    # of other types for a port that is out of range.
    with pytest.raises(ConnectionLostError) as raised:
        await open_connection(address)
    assert raised.value.outcome is Outcome.NOT_RUN


async def test_unrepeatable_request_takes_no_connection_that_was_idle():
    runner = await Runner([answer()], [answer()], [answer()]).start()
    pool = ConnectionPool(runner.address, unrepeatable_idle_s=0.02)
    for may_repeat, connections in ((True, 1), (False, 2), (True, 2)):
        await asyncio.sleep(0.05)
        connection = await pool.take(may_repeat=may_repeat)
        head, _ = await ask(connection)
        pool.give_back(connection, head)
        assert runner.connections == connections


async def test_request_that_is_given_up_is_reset():
    # Guards against a backend server that stood still and then runs requests
    # whose callers had left: only a reset drops what it has not read.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = Address(*listener.getsockname()[:2])
        connection = await open_connection(address)
        connection.send(HEAD, b'', accepts_one)
        await asyncio.sleep(0.05)
        connection.abort()
        await asyncio.sleep(0.05)
        peer, _ = listener.accept()
        with peer, pytest.raises(ConnectionResetError):
            while peer.recv(1024):
                pass


async def idle_connection(runner):
    pool = ConnectionPool(runner.address)
    connection = await pool.take(may_repeat=True)
    connection.send(HEAD, b'', accepts_one)
    return pool, connection, await connection.read_head()


async def test_endless_answers_after_the_answer_close_the_connection():
    # Guards against a backend server that keeps the loop busy with answers to
    # no request while the caller of the first one reads slowly.
    server = await EndlessServer(
        answer(b'mine', request_id='one'),
        answer(b'') * 100,
    ).start()
    _, connection, head = await idle_connection(server)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert connection.received_bytes < 64 * 1024
    assert await head.body.read() == b'mine'


@pytest.mark.parametrize('piece', [b'\r\n' * 99, b'x' * 99, answer(b'')])
async def test_endless_bytes_on_an_idle_connection_close_it(piece):
    server = await EndlessServer(answer(request_id='one'), piece, 0.02).start()
    pool, connection, head = await idle_connection(server)
    await head.body.read()
    pool.give_back(connection, head)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert not connection.is_open
    assert connection.received_bytes < 1024


@pytest.mark.parametrize('status', ['200 OK', '204 No Content', '304 None'])
async def test_endless_body_of_an_answer_without_one_closes_it(status):
    # Guards against a body that is read as the next answer.
    begin = answer(b'', status, request_id='one')
    server = await EndlessServer(begin, b'x' * 4096).start()
    pool = ConnectionPool(server.address)
    connection = await pool.take(may_repeat=True)
    connection.send(HEAD, b'', accepts_one, has_answer_body=False)
    head = await connection.read_head()
    assert not await head.body.read()
    pool.give_back(connection, head)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert connection.received_bytes < 64 * 1024


GARBAGE = b'\x00garbage\r\n\r\n'
FRAMINGS = {
    'length': [answer(b'mine') + GARBAGE],
    'no body': [answer(b'', '204 No Content') + GARBAGE],
    'chunks': [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'4\r\nmine\r\n0\r\n\r\n' + GARBAGE,
    ],
    'cut end of head': [answer(b'mine')[:-5], 0.02, b'\nmine' + GARBAGE],
    'interim answer': [
        b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'mine') + GARBAGE,
    ],
    'late answer': [
        answer(b'a\r\n\r\nb', request_id='zero') + answer(b'mine') + GARBAGE,
    ],
}


@pytest.mark.parametrize('script', FRAMINGS.values(), ids=FRAMINGS)
async def test_bytes_after_a_complete_answer_do_not_cost_it(script):
    # Guards against a booking whose answer came whole and that gets 502, since
    # bytes that belong to no request came with it.
    runner = await Runner(script).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert body in {b'mine', b''}
    assert head.status == (200 if body else 204)
    connection.mark_finished(head)
    assert not connection.is_clean


@pytest.mark.parametrize('cut', range(1, len(answer(b'mine'))))
async def test_answer_is_read_wherever_the_reads_are_cut(cut):
    whole = answer(b'mine', request_id='one')
    runner = await Runner([whole[:cut], 0.002, whole[cut:]]).start()
    connection = await open_connection(runner.address)
    head, body = await ask(connection)
    assert (head.status, body) == (200, b'mine')
    connection.mark_finished(head)
    assert connection.is_clean
    connection.abort()
