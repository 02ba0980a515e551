"""Clients of engines and plain services: no retries, framing, cancel."""

import asyncio
import json
import socket
from dataclasses import replace

import aiohttp
import pytest
from tests.fakes import eventually
from tests.raw_server import EVENTS, LAST_CHUNK, RawServer, answer, chunk

from kumquatrun.agent import backend_http
from kumquatrun.agent.backend_http import BackendCall, BackendHttp
from kumquatrun.agent.completions import GenerateCall, engine_body
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.agent.reload_costs import AdapterKey
from kumquatrun.agent.service_client import ServiceClient
from kumquatrun.agent.sse import MAX_EVENT_BYTES, EventSplitter
from kumquatrun.errors import (
    AdapterLoadError,
    BackendError,
    ConnectionLostError,
    InvalidRequestError,
    KumquatrunError,
    Outcome,
    StaleDispatchError,
)
from kumquatrun_standins.engine import Engine
from kumquatrun_standins.engine_core import EngineOptions
from kumquatrun_standins.plain_service import PlainService

KEY = AdapterKey('legal', '3')
METHODS = ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'POST', 'PATCH']


def backend_call(method='POST', path='/x', body=b'{}'):
    return BackendCall(request_id='r1', method=method, path=path, body=body)


def generate_call(stream=True, **content):
    body = json.dumps({'prompt': 'hi', 'max_tokens': 3, **content}).encode()
    return GenerateCall(
        request_id='r1',
        path='/v1/completions',
        body=body,
        key=KEY,
        stream=stream,
    )


async def send(http, call):
    """Send a call; returns the error and whether it was marked as sent."""
    marks = []
    try:
        async with http.open(call, on_sent=lambda: marks.append(1)) as response:
            async for _ in backend_http.read_chunks(response):
                pass
    except KumquatrunError as error:
        return error, bool(marks)
    finally:
        await http.close()
    return None, bool(marks)


@pytest.mark.parametrize('method', METHODS)
async def test_dropped_call_is_sent_once(method):
    # Guards against aiohttp's own retries of idempotent methods.
    server = await RawServer().start()
    error, was_sent = await send(BackendHttp(server.url), backend_call(method))
    assert len(server.requests) == 1
    assert error.outcome is Outcome.UNKNOWN
    assert was_sent
    await server.stop()


async def test_repeating_client_is_detected(monkeypatch):
    async def pass_through(request, handler):
        return await handler(request)

    monkeypatch.setattr(backend_http, '_send_once', pass_through)
    server = await RawServer().start()
    http = BackendHttp(server.url)
    with pytest.raises(aiohttp.ClientError):
        await send(http, backend_call('PUT'))
    assert len(server.requests) == 2
    await server.stop()


async def test_connections_are_not_reused():
    # Guards against a call on a stalled or closed connection.
    server = await RawServer([answer(b'ok')], answers=5).start()
    http = BackendHttp(server.url)
    for _ in range(3):
        async with http.open(backend_call('GET')) as response:
            assert await response.read() == b'ok'
        await asyncio.wait_for(server.closed.wait(), 2)
        server.closed.clear()
    await http.close()
    await server.stop()


async def test_tcp_keepalive_is_enabled():
    # Guards against a call that waits indefinitely on a dead connection.
    server = await RawServer([EVENTS], hold=True).start()
    http = BackendHttp(server.url)
    async with http.open(backend_call()) as response:
        transport = response.connection.transport
        opened = transport.get_extra_info('socket')
        for option, expected in backend_http.KEEP_ALIVE.items():
            assert opened.getsockopt(socket.IPPROTO_TCP, option) == expected
    await http.close()
    await server.stop()


async def test_refused_connection_is_not_run():
    server = await RawServer().start()
    await server.stop()
    error, was_sent = await send(BackendHttp(server.url), backend_call())
    assert error.outcome is Outcome.NOT_RUN
    assert not was_sent


ODD_ANSWERS = {
    'redirect': (b'307 Moved', b'Location: /again\r\n'),
    'cookie': (b'200 OK', b'Set-Cookie: session=secret\r\n'),
}


@pytest.mark.parametrize('name', ODD_ANSWERS)
async def test_redirects_and_cookies_are_ignored(name):
    # Guards against bookings that a redirect repeats, and against cookies of
    # one caller in the call of another caller.
    status, headers = ODD_ANSWERS[name]
    server = await RawServer([answer(b'', status, headers)]).start()
    http = BackendHttp(server.url)
    for _ in range(2):
        async with http.open(backend_call()) as response:
            assert response.status == int(status[:3])
    assert len(server.requests) == 2
    assert b'cookie' not in server.requests[1].lower()
    await http.close()
    await server.stop()


async def test_path_cannot_change_the_host():
    service = await PlainService().start()
    http = BackendHttp(service.url)
    for path in ('@127.0.0.1:1/', 'http://127.0.0.1:1/', ''):
        with pytest.raises(InvalidRequestError):
            async with http.open(backend_call(path=path)):
                pass
    async with http.open(backend_call('GET', '//127.0.0.1:1/')) as response:
        assert response.url.authority == str(service.address)
    await http.close()
    await service.stop()


async def test_only_known_headers_reach_the_backend_server():
    # Guards against API keys and hop-by-hop headers that reach backend servers.
    service = await PlainService().start()
    client = ServiceClient(service.url)
    call = backend_call(path='/bookings', body=b'{"id": "b1"}')
    async with client.call(call, lambda: None) as reply:
        assert reply.status == 201
        assert json.loads(b''.join([part async for part in reply]))
    seen = {name.lower() for name in service.headers_seen[0]}
    assert seen <= {
        'host',
        'content-type',
        'content-length',
        'x-request-id',
        'accept-encoding',
        'connection',
    }
    await client.close()
    await service.stop()


EVENT_STREAMS = {
    'lf': b'data: {"a": 1}\n\ndata: [DONE]\n\n',
    'crlf': b'data: {"a": 1}\r\n\r\n: note\r\n\r\ndata: [DONE]\r\n\r\n',
    'utf8': 'data: {"a": "ضد"}\n\ndata: [DONE]\n\n'.encode(),
    'two_lines': b'data: {"a":\ndata: 1}\n\ndata: [DONE]\n\n',
}


@pytest.mark.parametrize('name', EVENT_STREAMS)
def test_events_split_at_any_byte(name):
    stream = EVENT_STREAMS[name]
    whole = EventSplitter().feed(stream)
    assert b''.join(whole) == stream
    for cut in range(len(stream) + 1):
        splitter = EventSplitter()
        parts = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert parts == whole
        assert splitter.is_empty


def test_endless_event_is_refused():
    splitter = EventSplitter()
    with pytest.raises(BackendError):
        splitter.feed(b'x' * (MAX_EVENT_BYTES + 1))


FIRST = (
    b'data: {"choices": [{"text": "a"}], "served_by": {"adapter": "legal",'
    b' "version": "3", "incarnation": "e1"}}\n\n'
)
USAGE = (
    b'data: {"choices": [], "usage": {"prompt_tokens": 4,'
    b' "completion_tokens": 9}}\n\n'
)
DONE = b'data: [DONE]\n\n'


async def read_generation(pieces, hold=False, **content):
    server = await RawServer(pieces, hold=hold).start()
    client = EngineClient(server.url, silence_limit_s=0.2)
    try:
        call = generate_call(**content)
        async with client.generate(call, lambda: None) as generation:
            items = [item async for item in generation]
            return generation, b''.join(items)
    finally:
        await client.close()
        await server.stop()


async def test_stream_in_small_pieces_is_read_whole():
    stream = b''.join(chunk(b'%c' % byte) for byte in FIRST + USAGE + DONE)
    generation, body = await read_generation([EVENTS, stream, LAST_CHUNK])
    assert body == FIRST + DONE
    assert generation.served_by.incarnation == 'e1'
    assert generation.usage.output_tokens == 9


# Fields of the request, whether the engine is asked for a stream.
WHOLE_ANSWERS = {'merged': ({}, True), 'tools': ({'tools': [{}]}, False)}


@pytest.mark.parametrize('path', ['/v1/completions', '/v1/chat/completions'])
@pytest.mark.parametrize('name', WHOLE_ANSWERS)
async def test_merged_response_equals_unstreamed_one(engine, name, path):
    # Guards against content that the merge of the events loses or changes.
    fields, is_streamed = WHOLE_ANSWERS[name]
    client = EngineClient(engine.url)
    await client.load(KEY, 1)
    call = replace(generate_call(stream=False, **fields), path=path)
    assert engine_body(call).is_streamed is is_streamed
    async with client.generate(call, lambda: None) as generation:
        merged = b''.join([item async for item in generation])
    assert generation.content_type.startswith('application/json')
    assert generation.usage.output_tokens == 3
    plain = json.loads(engine_body(call).encoded) | {'stream': False}
    headers = {'X-Request-Id': 'r1'}
    async with (
        aiohttp.ClientSession() as http,
        http.post(engine.url + path, json=plain, headers=headers) as whole,
    ):
        assert json.loads(merged) == await whole.json()
    await client.close()


async def test_error_event_is_an_error():
    pieces = [EVENTS, chunk(FIRST + b'data: {"error": "x"}\n\n' + DONE)]
    with pytest.raises(BackendError):
        await read_generation(pieces, stream=False)


async def test_requested_usage_event_is_relayed():
    pieces = [EVENTS, chunk(FIRST + USAGE + DONE), LAST_CHUNK]
    asked = {'stream_options': {'include_usage': True}}
    _, body = await read_generation(pieces, **asked)
    assert body == FIRST + USAGE + DONE


# Pieces of the response, and whether the connection then stays open.
CUT_STREAMS = {
    'no_head': ([], False),
    'no_event': ([EVENTS], False),
    'within_an_event': ([EVENTS, chunk(FIRST[:20])], False),
    'after_an_event': ([EVENTS, chunk(FIRST)], False),
    'end_without_done': ([EVENTS, chunk(FIRST), LAST_CHUNK], False),
    'part_of_an_event_left': ([EVENTS, chunk(DONE + b'da'), LAST_CHUNK], False),
    'silent': ([EVENTS, chunk(FIRST)], True),
}


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('name', CUT_STREAMS)
async def test_incomplete_stream_is_an_error(name, stream):
    # Guards against a truncated response that looks complete, and against a
    # wait until the deadline on a connection without traffic.
    with pytest.raises(ConnectionLostError) as caught:
        await read_generation(*CUT_STREAMS[name], stream=stream)
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.fixture
async def engine():
    engine = await Engine(
        EngineOptions(load_s=0.01, token_interval_s=0.005),
    ).start()
    yield engine
    await engine.stop()


async def test_leaving_the_block_cancels_the_generation(engine):
    # Guards against an engine that generates tokens after the caller left.
    client = EngineClient(engine.url)
    await client.load(KEY, 1)
    call = generate_call(max_tokens=10_000)
    async with client.generate(call, lambda: None) as generation:
        await anext(aiter(generation))
        assert engine.core.running
    await eventually(lambda: not engine.core.running)
    assert engine.core.cancelled == ['r1']
    await client.close()


# Fencing numbers of successive orders, whether the engine checks them, whether
# the last order is refused.
FENCING_CASES = {
    'rising': ([1, 2], True, False),
    'equal': ([2, 2], True, False),
    'old': ([2, 1], True, True),
    'old_but_unchecked': ([2, 1], False, False),
}


@pytest.mark.parametrize('name', FENCING_CASES)
async def test_fencing_numbers(name):
    numbers, checks, is_refused = FENCING_CASES[name]
    options = EngineOptions(load_s=0.01, check_fencing=checks)
    engine = await Engine(options).start()
    client = EngineClient(engine.url)
    await client.load(KEY, numbers[0])
    if is_refused:
        with pytest.raises(StaleDispatchError):
            await client.unload(KEY, numbers[1])
    else:
        await client.unload(KEY, numbers[1])
    health = await client.health()
    assert health.adapters == ((KEY,) if is_refused else ())
    await client.close()
    await engine.stop()


async def test_failed_load_is_an_error():
    engine = await Engine(EngineOptions(fail_loads=1)).start()
    client = EngineClient(engine.url)
    with pytest.raises(AdapterLoadError):
        await client.load(KEY, 1)
    await client.close()
    await engine.stop()


def test_caller_model_is_replaced():
    call = generate_call(model='other', priority=99, stream=False)
    asked = engine_body(call)
    content = json.loads(asked.encoded)
    assert content['model'] == 'legal@3'
    assert content['priority'] == 0
    assert not asked.wants_usage
    with pytest.raises(InvalidRequestError):
        engine_body(
            GenerateCall(request_id='r', path='/', body=b'[]', key=KEY),
        )
