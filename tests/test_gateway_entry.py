"""Gateway entry over HTTP: routes, keys, failures, stops and crash limits."""

import asyncio
import json
import logging
import random
import zlib
from contextlib import asynccontextmanager

import aiohttp
import msgpack
import pytest
from tests.gateway_fakes import (
    CONFIGURATION,
    LAST_CHUNK,
    STREAM_HEAD,
    Runner,
    answer,
    chunk,
    configuration,
    event,
)

from kumquatrun.control.allowance_pool import AllowanceReply
from kumquatrun.gateway import entry as entry_module
from kumquatrun.gateway.backends import BackendRecord
from kumquatrun.gateway.entry import GatewayEntry
from kumquatrun.gateway.listing_follower import ListingFollower, encode_records
from kumquatrun.gateway.settings import GatewayEntrySettings
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import Address
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import FeedItem, HostRecord
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

LOOPBACK = Address('127.0.0.1', 0)


class Session:
    """Stands in for the membership of this host."""

    def __init__(self):
        self.view = ClusterView()
        self.control = self
        self.listeners = []
        self.calls = []
        # Holds back the answers to charges until it is set.
        self.charges_in = None
        self.record = HostRecord(
            host_id='entry-1',
            incarnation='i',
            role='entry',
            address='127.0.0.1:1',
            region='r',
            failure_domain='a',
        )

    def on_change(self, listener):
        self.listeners.append(listener)

    async def call(self, request, timeout_s):
        self.calls.append(request)
        if hasattr(request, 'amounts'):
            if self.charges_in is not None:
                await self.charges_in.wait()
            return AllowanceReply(granted=len(request.amounts))
        return Ack()

    def configure(self, content):
        index = self.view.applied_index + 1
        version = json.loads(content)['version']
        body = msgpack.packb([version, zlib.compress(content)])
        self.view.apply(
            FeedItem(index=index, kind='configuration', body=body),
        )
        for listener in self.listeners:
            listener()


class Served:
    """A started entry with its callers' session."""

    def __init__(self, entry, session, http):
        self.entry = entry
        self.session = session
        self.http = http
        self.port = entry._server.sockets[0].getsockname()[1]

    def ask(
        self,
        path,
        key='key-1',
        request_id='attempt-1',
        tokens='',
        **more,
    ):
        headers = {
            'Host': 'shop.example',
            'X-Kumquatrun-Attempt-Id': request_id,
            'X-Kumquatrun-Deadline-Ms': '3000',
        }
        if key:
            headers['Api-Key'] = key
        if tokens:
            headers['X-Kumquatrun-Token-Usage'] = tokens
        return self.http.request(
            'POST',
            f'http://127.0.0.1:{self.port}{path}',
            headers=headers,
            **more,
        )

    async def answer(self, path, **more):
        async with self.ask(path, **more) as response:
            return response.status, await response.read()


@asynccontextmanager
async def served(*runners, content=None):
    session = Session()
    started = [await runner.start() for runner in runners]
    records = [
        BackendRecord(
            backend_id=f'i-{number}',
            service='assistant',
            address=runner.address,
            failure_domain='a',
        )
        for number, runner in enumerate(started)
    ]

    async def read():
        return encode_records(records)

    entry = GatewayEntry(
        GatewayEntrySettings(
            host_id='entry-1',
            listing_address=LOOPBACK,
            http_listen=LOOPBACK,
            ready_listen=LOOPBACK,
            failure_domain='a',
        ),
        session,
        PlatformFormat(),
        lambda table: ListingFollower(table, read, LoopClock()),
        LoopClock(),
        random.Random(1),
    )
    await entry.start()
    if content is not None:
        session.configure(content)
    await asyncio.sleep(0.01)
    async with aiohttp.ClientSession() as http:
        yield Served(entry, session, http)
    await entry.stop()


def one_service():
    """Return a configuration whose routes all lead to one service."""
    routes = [dict(row) for row in CONFIGURATION['routes']]
    for row in routes:
        row.pop('split', None)
        row['service'] = 'assistant'
    return configuration(routes=routes)


async def test_request_waits_for_the_first_configuration():
    # Guards against refusals after a restart of the whole system: entries
    # answered before a leader could tell them the configuration.
    async with served(Runner([answer()])) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        host.session.configure(one_service())
        assert (await asked)[0] == 200


async def test_entry_without_a_configuration_is_not_ready():
    # Guards against a new host that answers 404 for routes it does not know.
    async with served(Runner([answer()])) as host:
        assert host.entry.not_ready_reason()
        assert (await host.answer('/draft/a'))[0] == 503


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/draft/a', 'key-1', 200),
        ('/draft/a', 'key-9', 401),
        ('/draft/a', '', 401),
        ('/draft/long/a', '', 200),
        ('/other/a', 'key-1', 404),
    ],
)
async def test_routes_and_keys_decide(path, key, status):
    async with served(Runner([answer()]), content=one_service()) as host:
        assert (await host.answer(path, key=key))[0] == status


async def test_withdrawn_key_stops_working():
    async with served(Runner([answer()]), content=one_service()) as host:
        host.session.configure(configuration(version=8, tenants=[]))
        assert (await host.answer('/draft/a'))[0] == 401


async def test_stream_reaches_the_caller():
    script = [STREAM_HEAD, chunk(event(1)), chunk(event(2)), LAST_CHUNK]
    async with served(Runner(script), content=one_service()) as host:
        status, body = await host.answer('/draft/a')
    assert (status, body) == (200, event(1) + event(2))


async def test_failure_after_a_send_promises_nothing():
    async with served(Runner(['close']), content=one_service()) as host:
        assert (await host.answer('/draft/long/a'))[0] == 502


async def test_route_timeout_is_kept():
    # Guards against a caller that is held past the time of its route.
    async with served(Runner([3]), content=one_service()) as host:
        began_s = asyncio.get_running_loop().time()
        assert (await host.answer('/draft/long/a'))[0] == 504
        assert asyncio.get_running_loop().time() - began_s < 1.3


async def test_runner_stops_when_the_caller_leaves():
    # Guards against work that goes on for a caller that has left.
    runner = Runner([STREAM_HEAD, chunk(event(1)), 0.2, chunk(event(2)), 5])
    async with served(runner, content=one_service()) as host:
        async with host.ask('/draft/a') as response:
            await response.content.readany()
            response.close()
        await asyncio.sleep(0.4)
        assert host.entry.open_requests == 0


async def test_request_that_crashes_backend_servers_is_refused():
    # Guards against a request that takes down one backend server after
    # another when its caller sends it again.
    runners = [Runner(['close'], ['close'], ['close'], ['close'])]
    async with served(*runners, content=one_service()) as host:
        statuses = [
            (await host.answer('/draft/long/a', data=b'poison'))[0]
            for _ in range(6)
        ]
    assert statuses[:3] == [502, 502, 502]
    assert set(statuses[3:]) == {503}
    assert len(runners[0].requests) == 3


async def test_planned_stop_cuts_no_request(monkeypatch):
    # Guards against the loss of a request that is answered during a stop.
    monkeypatch.setattr(entry_module, 'TAKE_NEW_S', 0.05)
    runner = Runner([0.3, answer(b'late')])
    async with served(runner, content=one_service()) as host:
        asked = asyncio.create_task(host.answer('/draft/long/a'))
        await asyncio.sleep(0.1)
        await host.entry.drain(5)
        assert await asked == (200, b'late')


async def test_request_long_after_the_start_of_a_stop_is_refused_unrun(
    monkeypatch,
):
    # Guards against a request that the end of the process cuts: on the
    # users' bench one was taken 5.7 s after SIGTERM.
    monkeypatch.setattr(entry_module, 'TAKE_NEW_S', 0.05)
    runner = Runner([answer()], [0.5, answer()])
    async with served(runner, content=one_service()) as host:
        await host.answer('/draft/long/a')
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        open_request = asyncio.create_task(host.answer('/draft/long/a'))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(host.entry.drain(5))
        await asyncio.sleep(0.2)
        assert await reader.read() == b''
        with pytest.raises(aiohttp.ClientConnectorError):
            await host.answer('/draft/long/a')
        await drain
        assert (await open_request)[0] == 200
        writer.close()


async def test_readiness_is_withdrawn_at_once():
    async with served(Runner([answer()]), content=one_service()) as host:
        assert not host.entry.not_ready_reason()
        drain = asyncio.create_task(host.entry.drain(5))
        await asyncio.sleep(0.01)
        assert host.entry.not_ready_reason() == 'draining'
        drain.cancel()


def stream_of(duration_s):
    """Return the script of a stream that lasts this long."""
    return [
        STREAM_HEAD,
        chunk(event(1)),
        duration_s,
        chunk(event(2)),
        LAST_CHUNK,
    ]


@pytest.mark.parametrize(
    ('timeout_s', 'status'),
    [(2, 503), (3.2, 503), (3.6, 200)],
)
async def test_request_is_taken_during_a_stop_if_its_limit_ends_in_time(
    timeout_s,
    status,
):
    # Guards against streams that the end of the process cuts: on the users'
    # bench two were taken 1.4 s after SIGTERM and lasted longer than 6.1 s.
    # The caller's limit is 3 s, and the process needs 0.4 s to end.
    runner = Runner(stream_of(0.1))
    async with served(runner, content=one_service()) as host:
        drain = asyncio.create_task(host.entry.drain(timeout_s))
        await asyncio.sleep(0.01)
        async with host.ask('/draft/a') as response:
            await response.read()
            assert response.status == status
            assert response.headers['Connection'] == 'close'
            if status == 503:
                assert float(response.headers['Retry-After']) < 0.2
        assert len(runner.requests) == (status == 200)
        drain.cancel()


async def test_request_cut_by_a_stop_names_the_stop(caplog):
    # Guards against a log that blames the caller for a connection that the
    # stopping process closed.
    caplog.set_level(logging.INFO)
    runner = Runner(stream_of(5))
    async with served(runner, content=one_service()) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        await host.entry.stop()
        with pytest.raises(aiohttp.ClientError):
            await asked
    (cause,) = [
        record.event_fields['cause']
        for record in caplog.records
        if record.getMessage() == 'request_finished'
    ]
    assert cause == 'host_stopped'


async def stop(host, timeout_s):
    """Stop the entry as the daemon does."""
    await host.entry.drain(timeout_s)
    await host.entry.stop()


async def test_slow_stream_that_came_after_sigterm_is_not_cut(monkeypatch):
    # Guards against a stream that was taken because earlier ones were quick:
    # on the users' days one came 1.5 s after SIGTERM and was cut 6 s later.
    monkeypatch.setattr(entry_module, 'TAKE_NEW_S', 0.05)
    runner = Runner(stream_of(2))
    async with served(runner, content=one_service()) as host:
        stopping = asyncio.create_task(stop(host, 1.8))
        await asyncio.sleep(0.01)
        assert (await host.answer('/draft/a', tokens='10,30'))[0] == 503
        assert not runner.requests
        await stopping


async def test_request_without_an_answer_at_the_end_of_a_stop_gets_one(
    monkeypatch,
):
    # Guards against a connection that ends without an answer, so that its
    # caller cannot tell a stop from a lost host.
    monkeypatch.setattr(entry_module, 'TAKE_NEW_S', 0.05)
    async with served(Runner([5]), content=one_service()) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        await stop(host, 0.6)
        assert (await asked)[0] == 502


async def test_request_that_waits_when_a_stop_begins_is_handed_back_unrun():
    # Guards against a long stream that is sent to its backend server after
    # SIGTERM because it had come a moment before.
    runner = Runner(stream_of(2))
    async with served(runner, content=one_service()) as host:
        host.session.charges_in = asyncio.Event()
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(stop(host, 1.8))
        async with asyncio.timeout(0.3):
            assert (await asked)[0] == 503
        stopping.cancel()
    assert not runner.requests


def kept_request(path='/draft/long/a'):
    """Return the bytes of a request on a connection that is kept."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
        'X-Kumquatrun-Attempt-Id: attempt-1\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def test_request_that_was_read_when_idle_connections_end_is_answered():
    # Guards against a connection that counts as idle between the moment its
    # request is read and the moment it is handled.
    async with served(Runner([answer()]), content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        await asyncio.sleep(0.05)
        (connection,) = host.entry._http.connections
        connection.data_received(kept_request())
        host.entry._http.close_idle()
        assert (await reader.readline()).startswith(b'HTTP/1.1 200')
        writer.close()


async def test_kept_connection_ends_with_its_answer_during_a_stop():
    # Guards against a request that arrives on a kept connection, late in a
    # stop, at a host that can no longer serve it.
    async with served(Runner([0.3, answer()]), content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(kept_request())
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(stop(host, 5))
        async with asyncio.timeout(1):
            assert (await reader.read()).endswith(b'done')
        writer.close()
        stopping.cancel()


async def test_idle_connection_ends_when_a_stop_begins():
    # Guards against refusals on kept connections: their callers can reach
    # another host with a new one.
    async with served(Runner([answer()]), content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(host, 5))
        async with asyncio.timeout(0.3):
            assert await reader.read() == b''
        writer.close()
        stopping.cancel()


async def test_kept_connection_is_idle_after_a_body_that_came_in_parts():
    # Guards against a kept connection that stays open through a stop: a
    # booking that came on one as the process ended got no answer.
    async with served(Runner([0.1, answer()]), content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        head = kept_request().replace(b'Length: 0', b'Length: 4')
        for part in (head, b'ab', b'cd'):
            writer.write(part)
            await asyncio.sleep(0.05)
        assert (await reader.readuntil(b'done')).endswith(b'done')
        await asyncio.sleep(0.05)
        host.entry._http.close_idle()
        async with asyncio.timeout(0.3):
            assert await reader.read() == b''
        writer.close()


async def test_stop_waits_for_a_request_that_has_begun_to_arrive(monkeypatch):
    # Guards against a request that is read while the process ends.
    monkeypatch.setattr(entry_module, 'TAKE_NEW_S', 0.05)
    async with served(content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(kept_request()[:20])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(host, 3))
        await asyncio.sleep(0.5)
        writer.write(kept_request()[20:])
        assert (await reader.readline()).startswith(b'HTTP/1.1 503')
        async with asyncio.timeout(1):
            await stopping
        writer.close()
