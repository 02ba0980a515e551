"""Planned stops of a gateway entry from the point of view of callers."""

import asyncio
import logging
import math
import socket
from contextlib import suppress

import aiohttp
import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedBackend,
    chunk,
    event,
    http_response,
)
from tests.gateway_host import one_service, served

from kumquatrun.errors import DrainingError, Outcome
from kumquatrun.gateway.roles import entry as entry_module
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.runtime.clock import LoopClock


async def test_planned_stop_cuts_no_request(monkeypatch):
    # Guards against a request that is lost although its response arrives during
    # the stop.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    runner = ScriptedBackend([0.3, http_response(b'late')])
    async with served(runner, content=one_service()) as host:
        asked = asyncio.create_task(host.answer('/draft/long/a'))
        await asyncio.sleep(0.1)
        await host.entry.drain(5)
        assert await asked == (200, b'late')


async def test_request_long_after_the_start_of_a_stop_is_refused_unrun(
    monkeypatch,
):
    # Guards against a request that the exit of the process aborts: in a user's
    # benchmark one was accepted 5.7 s after SIGTERM.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    runner = ScriptedBackend([http_response()], [0.5, http_response()])
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
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        assert not host.entry.not_ready_reason()
        drain = asyncio.create_task(host.entry.drain(5))
        await asyncio.sleep(0.01)
        assert host.entry.not_ready_reason() == 'draining'
        drain.cancel()


def stream_of(duration_s):
    """Return the script of a stream of this duration."""
    return [
        STREAM_HEAD,
        chunk(event(1)),
        duration_s,
        chunk(event(2)),
        LAST_CHUNK,
    ]


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('limit_s', 'is_taken'),
    [(7.59, True), (7.6, True), (7.61, False), (25, False)],
)
async def test_time_limit_decides_to_the_millisecond(limit_s, is_taken):
    # Guards against a limit that leaves a request open when the platform kills
    # the process 8 s after SIGTERM.
    clock = LoopClock()
    planned_stop = PlannedStop(clock)
    planned_stop.check(clock.now_s() + 25)
    planned_stop.begin(8)
    deadline_s = clock.now_s() + limit_s - 0.001
    if is_taken:
        planned_stop.check(deadline_s)
        return
    with pytest.raises(DrainingError) as refusal:
        planned_stop.check(deadline_s)
    assert refusal.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(('timeout_s', 'status'), [(2, 503), (8, 200)])
async def test_request_is_taken_during_a_stop_if_its_limit_ends_in_time(
    timeout_s,
    status,
):
    # Guards against streams that the exit of the process aborts: in a user's
    # benchmark two were accepted 1.4 s after SIGTERM and lasted longer than
    # 6.1 s. The caller's time limit is 3 s, and the process needs 0.4 s to
    # exit.
    runner = ScriptedBackend(stream_of(0.1))
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
    # Guards against a log line that gives a disconnect of the caller as the
    # cause although the stopping process closed the connection.
    caplog.set_level(logging.INFO)
    runner = ScriptedBackend(stream_of(5))
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
    # Guards against a stream that is accepted because earlier ones were short:
    # in a user's test one arrived 1.5 s after SIGTERM and was aborted 6 s
    # later.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    runner = ScriptedBackend(stream_of(2))
    async with served(runner, content=one_service()) as host:
        stopping = asyncio.create_task(stop(host, 1.8))
        await asyncio.sleep(0.01)
        assert (await host.answer('/draft/a', tokens='10,30'))[0] == 503
        assert not runner.requests
        await stopping


async def test_request_without_an_answer_at_the_end_of_a_stop_gets_one(
    monkeypatch,
):
    # Guards against a connection that closes without a response, so that the
    # caller cannot distinguish a stop from a lost host.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    async with served(ScriptedBackend([5]), content=one_service()) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        await stop(host, 0.6)
        assert (await asked)[0] == 502


async def test_request_that_waits_when_a_stop_begins_is_handed_back_unrun():
    # Guards against a long stream that is sent to its backend server after
    # SIGTERM because its request arrived shortly before.
    runner = ScriptedBackend(stream_of(2))
    async with served(runner, content=one_service()) as host:
        host.session.charges_allowed = asyncio.Event()
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(stop(host, 1.8))
        async with asyncio.timeout(0.3):
            assert (await asked)[0] == 503
        stopping.cancel()
    assert not runner.requests


def kept_request(path='/draft/long/a'):
    """Return the bytes of a request on a keep-alive connection."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
        'X-Kumquatrun-Attempt-Id: attempt-1\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def test_request_that_was_read_when_idle_connections_end_is_answered():
    # Guards against a connection that counts as idle after its request was read
    # and before the handler runs.
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        await asyncio.sleep(0.05)
        (connection,) = host.entry._http.connections
        connection.data_received(kept_request())
        host.entry._http.close_idle()
        assert (await reader.readline()).startswith(b'HTTP/1.1 200')
        writer.close()


async def close_idle_at_every_turn(host, head_limit_s=math.inf):
    """Close idle connections in each event loop iteration for a while."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + 0.3
    while loop.time() < until_s:
        host.entry._http.close_idle(head_limit_s)
        await asyncio.sleep(0)


@pytest.mark.parametrize('pause_s', [0, 0.05])
async def test_request_behind_an_answered_one_is_not_cut(pause_s):
    # Guards against a connection that counts as idle between the end of one
    # request and the handler of the next one, which was already read: that
    # request was forwarded, and then its connection was closed.
    runner = ScriptedBackend(
        [http_response()], [0.1, http_response()], [http_response()]
    )
    async with served(runner, content=one_service()) as host:
        await host.answer('/draft/long/a')
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(kept_request())
        await asyncio.sleep(pause_s)
        writer.write(kept_request())
        await asyncio.sleep(0.05)
        await close_idle_at_every_turn(host)
        received = await reader.read()
        assert received.count(b'HTTP/1.1 200') == 2, (
            received,
            len(runner.requests),
        )
        writer.close()


async def test_request_whose_head_came_slowly_is_answered():
    # Guards against a connection that counts as one with an incomplete head
    # after its request is complete and before the handler runs.
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(kept_request()[:20])
        await asyncio.sleep(0.05)
        (connection,) = host.entry._http.connections
        connection.data_received(kept_request()[20:])
        await close_idle_at_every_turn(host, head_limit_s=0.01)
        assert (await reader.readline()).startswith(b'HTTP/1.1 200')
        writer.close()


async def test_kept_connection_ends_with_its_answer_during_a_stop():
    # Guards against a request that arrives on a keep-alive connection late in a
    # stop, when the host can no longer serve it.
    async with served(
        ScriptedBackend([0.3, http_response()]), content=one_service()
    ) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(kept_request())
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(stop(host, 5))
        async with asyncio.timeout(1):
            assert (await reader.read()).endswith(b'done')
        writer.close()
        stopping.cancel()


async def test_idle_connection_ends_when_a_stop_begins():
    # Guards against refusals on keep-alive connections: their callers can reach
    # another host with a new connection.
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(host, 5))
        async with asyncio.timeout(0.3):
            assert await reader.read() == b''
        writer.close()
        stopping.cancel()


async def test_kept_connection_is_idle_after_a_body_that_came_in_parts():
    # Guards against a keep-alive connection that stays open during a stop: a
    # request that arrived on one as the process exited got no response.
    async with served(
        ScriptedBackend([0.1, http_response()]), content=one_service()
    ) as host:
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
    # Guards against a request that is still being read while the process exits.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
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


@pytest.mark.parametrize('turns', range(6))
async def test_connection_that_is_accepted_as_a_stop_goes_on_ends(
    monkeypatch,
    turns,
):
    # Guards against a caller that waits forever: its connection was accepted in
    # the event loop iteration before the listener closed, and was then neither
    # served nor closed.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0)
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        # The kernel has received the request before the event loop runs again.
        with socket.create_connection(('127.0.0.1', host.port)) as caller:
            caller.sendall(kept_request())
            caller.setblocking(False)
            stopping = asyncio.create_task(stop_after(host, turns))
            with suppress(ConnectionError):
                async with asyncio.timeout(1):
                    loop = asyncio.get_running_loop()
                    received = await loop.sock_recv(caller, 1024)
                    assert not received or received.startswith(b'HTTP/1.1 ')
            await stopping


async def stop_after(host, turns):
    for _ in range(turns):
        await asyncio.sleep(0)
    await stop(host, 2)


@pytest.mark.parametrize('sent', [b'\r', b'POST /draft/a HTTP/1.1\r\nHost:'])
async def test_part_of_a_head_does_not_hold_up_a_stop(monkeypatch, sent):
    # Guards against a stop that uses all of its time because a caller has sent
    # a stray byte or an incomplete head.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        _, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(sent)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(entry_module.STOP_HEAD_TIMEOUT_S + 1):
            await host.entry.drain(7.6)
        writer.close()


async def test_stream_that_began_before_sigterm_is_not_cut(monkeypatch):
    # Guards against a response that is aborted because it lasts longer than the
    # stop of its host.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    async with served(
        ScriptedBackend(stream_of(2)), content=one_service()
    ) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        await stop(host, 0.9)
        assert await asked == (200, event(1) + event(2))
