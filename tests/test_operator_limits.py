"""Operator calls whose head or body does not end."""

import asyncio
import socket

import pytest

from kumquatrun.peer.address import Address
from kumquatrun.platform import operator_replies as operator_module
from kumquatrun.platform.operator import OperatorApi
from kumquatrun.runtime.clock import LoopClock

BEGIN = b'POST /Config.Put HTTP/1.1\r\nHost: h\r\n'
CHUNKED = BEGIN + b'Transfer-Encoding: chunked\r\n\r\n'
LONG = BEGIN + b'Content-Length: 99999999999\r\n\r\n'
SENT_AT_MOST_BYTES = 64 * 1024 * 1024
PIECE = b'x' * 65536
CHUNK = b'10000\r\n' + PIECE + b'\r\n'


class UnusedProxy:
    """Has no methods, so that a call that reaches it fails the test."""


@pytest.fixture
async def address():
    with socket.socket() as opened:
        opened.bind(('127.0.0.1', 0))
        address = Address(*opened.getsockname())
    api = OperatorApi(UnusedProxy(), address, LoopClock())
    await api.start()
    yield address
    await api.stop()


async def send_without_end(address, begin, piece, pause_s=0):
    """Return the status of the answer and the number of bytes sent before."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    answer = asyncio.create_task(reader.readline())
    sent_bytes = 0
    writer.write(begin)
    try:
        while not answer.done() and sent_bytes < SENT_AT_MOST_BYTES:
            writer.write(piece)
            await writer.drain()
            sent_bytes += len(piece)
            await asyncio.sleep(pause_s)
        return (await answer).split(b' ')[1], sent_bytes
    except OSError:
        return b'closed', sent_bytes
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    ('begin', 'piece', 'statuses'),
    [
        (LONG, PIECE, {b'413'}),
        (CHUNKED, CHUNK, {b'413'}),
        (b'POST /', PIECE, {b'400', b'closed'}),
        (BEGIN + b'A: ', PIECE, {b'400', b'closed'}),
        (BEGIN, b'A: b\r\n' * 512, {b'400', b'closed'}),
    ],
    ids=['length', 'chunks', 'target', 'header', 'headers'],
)
async def test_endless_call_is_refused(address, begin, piece, statuses):
    # Guards against a control host that runs out of memory.
    async with asyncio.timeout(5):
        status, sent_bytes = await send_without_end(address, begin, piece)
    assert status in statuses
    assert sent_bytes < SENT_AT_MOST_BYTES


@pytest.mark.parametrize(
    ('begin', 'piece'),
    [
        (LONG, b'x'),
        (LONG.replace(b'/Config.Put', b'/version-put'), b'x'),
        (CHUNKED + b'1;', b'x' * 4096),
    ],
    ids=['configuration', 'version', 'extension'],
)
async def test_slow_body_is_refused(
    address,
    begin,
    piece,
    monkeypatch,
):
    # Guards against calls that occupy up to 16 MiB of memory each for as long
    # as the caller chooses.
    monkeypatch.setattr(operator_module, 'BODY_TIMEOUT_S', 0.2)
    async with asyncio.timeout(2):
        status, _ = await send_without_end(address, begin, piece, 0.02)
    assert status == b'408'
