"""Connections to backend servers: late, extra, cut and unframed answers."""

import asyncio
import socket

import pytest
from tests.gateway_fakes import Runner, answer

from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.gateway.backend_connection import (
    BrokenAnswerError,
    open_connection,
)
from kumquatrun.gateway.connection_pool import ConnectionPool
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
