"""Connections of callers during stops, errors and pipelining."""

import asyncio

from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedBackend,
    chunk,
    event,
    http_response,
)
from tests.gateway_host import one_service, served

from kumquatrun.gateway.forwarding.response_relay import ResponseRelay
from kumquatrun.gateway.roles import entry as entry_module

LONG_S = 5


def request_bytes(path, request_id, *extra, body=b''):
    """Return the bytes of one request."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: shop.example',
        'Api-Key: key-1',
        f'X-Kumquatrun-Attempt-Id: {request_id}',
        'X-Kumquatrun-Deadline-Ms: 3000',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def test_pipelined_request_is_answered_during_a_stop(monkeypatch):
    # Guards against a pipelined request without any response: the response to
    # the request before it closed the connection.
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.05)
    runner = ScriptedBackend(
        [0.5, http_response(b'one')], [http_response(b'two')]
    )
    async with served(runner, content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(request_bytes('/draft/long/a', 'attempt-1'))
        writer.write(request_bytes('/draft/long/a', 'attempt-2'))
        await asyncio.sleep(0.1)
        await host.entry.drain(5)
        received = await reader.read()
        writer.close()
    assert received.count(b'HTTP/1.1 ') == 2, received


async def test_refusal_during_a_stop_closes_connection():
    # Guards against a caller that retries on a connection that the stopping
    # host then closes.
    runner = ScriptedBackend([LONG_S, http_response()])
    async with served(runner, content=one_service()) as host:
        host.session.charges_allowed = asyncio.Event()
        asked = asyncio.create_task(host.ask('/draft/a').__aenter__())
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(host.entry.drain(2))
        response = await asked
        drain.cancel()
        host.session.charges_allowed.set()
    assert response.status == 503
    assert response.headers.get('Connection') == 'close'


async def test_unexpected_error_sends_no_second_head(monkeypatch):
    # Guards against a second response head in a body: an unexpected error ended
    # a stream, and the server wrote a 500 response into it.
    relay_events = ResponseRelay._relay_events

    async def fail_late(relay, *arguments):
        await relay_events(relay, *arguments)
        raise RuntimeError('unexpected')

    monkeypatch.setattr(ResponseRelay, '_relay_events', fail_late)
    runner = ScriptedBackend([STREAM_HEAD, chunk(event(1)), LAST_CHUNK])
    async with served(runner, content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        writer.write(request_bytes('/draft/a', 'attempt-1'))
        async with asyncio.timeout(2):
            received = await reader.read()
        writer.close()
    assert received.count(b'HTTP/1.1 ') == 1, received


async def test_expect_continue_is_answered():
    # Guards against a request that hangs: the caller sends the body only after
    # the 100 Continue response.
    runner = ScriptedBackend([http_response(b'one')])
    async with served(runner, content=one_service()) as host:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
        whole = request_bytes(
            '/draft/long/a', 'attempt-1', 'Expect: 100-continue', body=b'b'
        )
        writer.write(whole[:-1])
        async with asyncio.timeout(2):
            first = await reader.readline()
        writer.close()
    assert b'100' in first
