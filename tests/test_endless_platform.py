"""Endless answers to the calls of a host's own, and the sum of many answers."""

import asyncio
import gzip
import tracemalloc
from contextlib import contextmanager, suppress
from functools import partial

import pytest
from tests.endless_server import EndlessServer
from tests.gateway_fakes import (
    Caller,
    FixedReservations,
    ScriptedBackend,
    http_response,
    read_request,
    request_state_of,
)
from tests.gateway_host import crash_watch
from tests.test_endless_answers import CHUNKED, HEAD, NETWORK_BYTES, endless

from kumquatrun.daemon.host_list import HostListWatcher
from kumquatrun.errors import BackendError, ConnectionLostError
from kumquatrun.gateway.backends import connection_pool
from kumquatrun.gateway.backends.backend_connection import open_connection
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.peer.address import Address
from kumquatrun.platform.client import CALL_TIMEOUT_S, PlatformClient
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

# Memory that one call may take, of the 232 MB of the smallest host.
CALL_BYTES = 8 * 1024 * 1024
# Memory that endless answers to all connections of a service may take, of the
# 300 MB of an entry.
SUM_BYTES = 150 * 1024 * 1024
CONNECTIONS = 390
LIMIT_S = 60
BOMB_BYTES = 256 * 1024 * 1024


@contextmanager
def peak_below(limit_bytes):
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < limit_bytes


def bomb():
    packed = gzip.compress(b' ' * BOMB_BYTES, 9)
    head = (
        f'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
        f'Content-Length: {len(packed)}\r\n\r\n'
    )
    return ScriptedBackend([head.encode(), packed])


@endless
async def test_endless_answer_of_the_platform_fails(begin, piece):
    # Guards against a host that keeps the bytes of a faulty list or report
    # until it is killed for its memory use.
    server = await EndlessServer(begin, piece).start()
    client = PlatformClient()
    with peak_below(CALL_BYTES), pytest.raises(ConnectionLostError):
        async with asyncio.timeout(2 * CALL_TIMEOUT_S):
            await client.get(server.address, '/instances')
    await client.close()


async def test_packed_answer_of_the_platform_is_not_unpacked():
    # Guards against an answer of a few bytes that unpacks to more than the
    # memory of the host.
    server = await bomb().start()
    client = PlatformClient()
    with peak_below(CALL_BYTES), pytest.raises(ConnectionLostError):
        await client.get(server.address, '/instances')
    [(head, _)] = server.requests
    assert 'Accept-Encoding: identity\r\n' in head
    await client.close()


@pytest.mark.parametrize(
    'begin', [HEAD + b'\r\n', CHUNKED], ids=['body', 'chunk']
)
async def test_endless_list_of_hosts_is_not_kept(begin):
    # Guards against a host that keeps the bytes of a faulty list until it is
    # killed for its memory use.
    piece = b' ' * 65536
    if begin is CHUNKED:
        piece = b'10000\r\n%s\r\n' % piece
    server = await EndlessServer(begin, piece).start()
    watcher = HostListWatcher(server.url, 'agent-1', lambda: None)
    with peak_below(CALL_BYTES):
        await watcher.start()
        async with asyncio.timeout(3):
            await server.closed.wait()
        await watcher.stop()
    assert server.sent_bytes < NETWORK_BYTES


async def test_packed_list_of_hosts_is_not_unpacked():
    server = await bomb().start()
    watcher = HostListWatcher(
        f'http://{server.address}', 'agent-1', lambda: None
    )
    with peak_below(CALL_BYTES):
        await watcher.start()
        await asyncio.sleep(1.5)
        await watcher.stop()
    assert server.requests


class EndlessConnections:
    """Backend server that answers all requests without end, at the same time.

    It begins once ``CONNECTIONS`` requests have arrived.
    """

    def __init__(self, begin, piece):
        self.requests = 0
        self.all_arrived = asyncio.Event()
        self._begin = begin
        self._piece = piece

    async def start(self):
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=CONNECTIONS
        )
        self.address = Address(*server.sockets[0].getsockname())
        return self

    async def _serve(self, reader, writer):
        with suppress(OSError, EOFError):
            await read_request(reader)
            self.requests += 1
            if self.requests == CONNECTIONS:
                self.all_arrived.set()
            await self.all_arrived.wait()
            writer.write(self._begin.replace(b'{id}', b'attempt-1'))
            while True:
                writer.write(self._piece)
                await writer.drain()
                # Leaves the loop time for the requests beside it.
                await asyncio.sleep(0.05)
        writer.transport.abort()


def forwarder_to(backend):
    return Forwarder(
        PlatformFormat(),
        FixedReservations(backend),
        SharedRetryBudgets(0.2, 100, 10),
        PlannedStop(LoopClock()).check,
        crash_watch(),
        LoopClock(),
    )


@pytest.mark.parametrize(
    ('kind', 'begin', 'piece'),
    [
        ('non_idempotent', HEAD + b'\r\n', b'x' * 32768),
        ('non_idempotent', HEAD, b'A: b\r\n' * 512),
        ('streaming', HEAD + b'\r\n', b'x' * 16384),
    ],
    ids=['body', 'head', 'event'],
)
async def test_sum_of_endless_answers_is_bounded(
    kind, begin, piece, monkeypatch
):
    # Guards against an entry that bounds one endless answer and is killed for
    # its memory use by many at once; requests beside them stay served.
    # The servers share the event loop of the entry, so connecting takes longer
    # than between hosts.
    monkeypatch.setattr(
        connection_pool,
        'open_connection',
        partial(open_connection, timeout_s=LIMIT_S),
    )
    endless_server = await EndlessConnections(begin, piece).start()
    sound = await ScriptedBackend(*[[http_response(b'whole')]] * 20).start()

    async def run_endless():
        request_state = request_state_of(kind, is_resumable=True)
        request_state.deadline_s += LIMIT_S
        with pytest.raises(BackendError):
            await forwarder_to(endless_server).run(request_state, Caller())

    async def run_sound():
        served = 0
        await endless_server.all_arrived.wait()
        for _ in range(20):
            caller = Caller()
            request_state = request_state_of('non_idempotent')
            request_state.deadline_s += LIMIT_S
            await forwarder_to(sound).run(request_state, caller)
            served += caller.body == b'whole'
            await asyncio.sleep(0.02)
        return served

    with peak_below(SUM_BYTES):
        async with asyncio.timeout(LIMIT_S):
            served, *_ = await asyncio.gather(
                run_sound(), *(run_endless() for _ in range(CONNECTIONS))
            )
    assert served == 20
    assert endless_server.requests == CONNECTIONS
