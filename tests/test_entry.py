"""Tests of the entry: HTTP requests, responses and dispatches."""

import asyncio
import gzip
import json
import logging
import re
from contextlib import asynccontextmanager

import aiohttp
import pytest

from entry_fakes import KEY, FakeAgent, FakeSession
from kumquatrun.daemon.settings import EntrySettings
from kumquatrun.entry.entry import Entry
from kumquatrun.entry.request_body import BodyMemory
from kumquatrun.errors import BackendError
from kumquatrun.peer import Address
from kumquatrun.runtime.clock import LoopClock
from kumquatrun.runtime.invariants import Invariants

AUTH = {'Authorization': f'Bearer {KEY}'}
COMPLETION = {'model': 'wheat', 'prompt': 'hello', 'max_tokens': 8}
EVENTS = tuple(b'data: {"n":%d}\n\n' % number for number in range(3))
MAX_BODY_BYTES = 100_000
WRITE_TIMEOUT_S = 0.4


@pytest.fixture
def session():
    return FakeSession()


@asynccontextmanager
async def running(session, **changes):
    fields = {
        'host_id': 'entry-1',
        'region': 'lahore',
        'http_listen': Address('127.0.0.1', 0),
        'max_body_bytes': MAX_BODY_BYTES,
        'write_timeout_s': WRITE_TIMEOUT_S,
        'request_timeout_s': 5,
    }
    entry = Entry(
        EntrySettings(**fields | changes),
        session,
        LoopClock(),
        invariants=Invariants(is_strict=True),
    )
    await entry.start()
    yield entry
    await entry.stop()


@pytest.fixture
async def entry(session):
    async with running(session) as entry:
        yield entry


@asynccontextmanager
async def agent_of(session, service):
    agent = FakeAgent(host_id=f'{service}-agent', service=service)
    await agent.start(session)
    yield agent
    await agent.stop()


@pytest.fixture
async def agent(session):
    async with agent_of(session, 'assistant') as agent:
        yield agent


@pytest.fixture
async def ledger(session):
    async with agent_of(session, 'ledger') as agent:
        agent.chunks = (b'book', b'ed')
        yield agent


@pytest.fixture
async def client(entry):
    async with aiohttp.ClientSession(f'http://{entry.address}') as client:
        yield client


async def send_raw(entry, sent, wait_s=2.0):
    """Send bytes on a new connection and return the response."""
    address = entry.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(sent)
        async with asyncio.timeout(wait_s):
            received = b''
            while chunk := await reader.read(65536):
                received += chunk
                if is_complete(received):
                    break
            return received
    except (ConnectionResetError, TimeoutError):
        return b''
    finally:
        writer.transport.abort()


def is_complete(response):
    head, _, body = response.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: (\d+)', head)
    return length is not None and len(body) == int(length[1])


async def wait_until(condition, timeout_s=2.0):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - any state is awaited
            await asyncio.sleep(0.005)


async def check_serving(client, entry):
    """Check that the entry serves a request and no request stays open."""
    async with client.post(
        '/v1/completions', json=COMPLETION, headers=AUTH
    ) as (response):
        assert response.status == 200
        await response.read()
    await wait_until(lambda: entry.open_requests == 0)


async def test_completion_reaches_the_agent(client, agent):
    async with client.post(
        '/v1/completions', json=COMPLETION, headers=AUTH
    ) as response:
        assert response.status == 200
        assert await response.json() == {'choices': []}
        assert response.headers['x-kumquatrun-outcome'] == 'ran'
        assert len(response.headers['x-request-id']) == 32
    [dispatch] = agent.executions
    assert (dispatch.adapter, dispatch.version) == ('wheat', '2')
    assert (dispatch.account, dispatch.path) == ('a', '/v1/completions')
    assert KEY not in repr(dispatch)


@pytest.mark.parametrize(
    ('method', 'target', 'body', 'content_type'),
    [
        ('GET', '/ledger/accounts?from=1&to=%20x', b'', ''),
        ('POST', '/ledger/book', b'\x00\xff', 'application/x-own'),
        ('PUT', '/ledger/a/b', b'x' * 90_000, 'text/plain'),
        ('DELETE', '/ledger/a%2Fb', b'', ''),
        ('PATCH', '/ledger', b'{}', 'application/json'),
    ],
)
@pytest.mark.parametrize('status', [200, 201, 404, 500])
async def test_plain_request_is_forwarded(
    client, ledger, method, target, body, content_type, status
):
    ledger.status = status
    ledger.content_type = 'application/x-answer'
    headers = AUTH | ({'Content-Type': content_type} if content_type else {})
    url = f'{client._base_url}'.rstrip('/') + target
    async with (
        aiohttp.ClientSession() as plain,
        plain.request(
            method,
            aiohttp.client.URL(url, encoded=True),
            data=body or None,
            headers=headers,
            skip_auto_headers=['Content-Type'],
        ) as response,
    ):
        assert response.status == status
        assert response.headers['Content-Type'] == 'application/x-answer'
        assert await response.read() == b'booked'
    [dispatch] = ledger.executions
    assert (dispatch.method, dispatch.path) == (method, target)
    assert (dispatch.body, dispatch.content_type) == (body, content_type)


def http(body=b'', path='/v1/completions', method='POST', **headers):
    headers = {name.replace('_', '-'): text for name, text in headers.items()}
    headers = AUTH | {'Host': 'x', 'Content-Length': len(body)} | headers
    lines = [f'{method} {path} HTTP/1.1']
    lines += [
        f'{name}: {content}'
        for name, content in headers.items()
        if content is not None
    ]
    return '\r\n'.join([*lines, 'Connection: close', '', '']).encode() + body


def completion(**changes):
    return json.dumps(COMPLETION | changes).encode()


CHUNK = b'%x\r\n%b\r\n' % (60_000, b'x' * 60_000)
CHUNKED = {'Content_Length': None, 'Transfer_Encoding': 'chunked'}
NOT_LISTED = {'Authorization': 'Bearer key-b'}
BAD_REQUESTS = {
    'malformed json': (http(b'{"model"'), 400, 'invalid_request'),
    'json list': (http(b'[]'), 400, 'invalid_request'),
    'empty body': (http(), 400, 'invalid_request'),
    'wrong type': (http(completion(prompt=5)), 400, 'invalid_request'),
    'deep json': (http(b'[' * 99_000), 400, 'invalid_request'),
    'beyond burst': (
        http(completion(max_tokens=99_999)),
        400,
        'invalid_request',
    ),
    'unknown adapter': (http(completion(model='no')), 404, 'model_not_found'),
    'unknown version': (
        http(completion(model='wheat@9')),
        404,
        'model_not_found',
    ),
    'no key': (http(completion(), Authorization=None), 401, 'invalid_key'),
    'wrong key': (
        http(completion(), Authorization='Bearer no'),
        401,
        'invalid_key',
    ),
    'basic auth': (
        http(completion(), Authorization='Basic a2V5LWE='),
        401,
        'invalid_key',
    ),
    'huge key': (
        http(completion(), Authorization='Bearer ' + 'x' * 5000),
        401,
        'invalid_key',
    ),
    'not listed': (
        http(path='/private/', **NOT_LISTED),
        403,
        'not_permitted',
    ),
    'unknown path': (http(path='/nothing'), 404, 'route_not_found'),
    'prefix only': (http(path='/v1x/completions'), 404, 'route_not_found'),
    'other endpoint': (http(path='/v1/embeddings'), 404, 'route_not_found'),
    'wrong method': (http(method='PUT'), 404, 'route_not_found'),
    'dot segments': (
        http(path='/ledger/../v1/completions'),
        400,
        'invalid_request',
    ),
    'encoded dots': (
        http(path='/ledger/%2e%2E/v1/completions'),
        400,
        'invalid_request',
    ),
    'absolute form': (http(path='http://x/v1/completions'), 400, ''),
    'long body': (
        http(b'', Content_Length=MAX_BODY_BYTES + 1),
        413,
        'request_too_large',
    ),
    'long chunked body': (
        http(CHUNK * 3 + b'0\r\n\r\n', **CHUNKED),
        413,
        'request_too_large',
    ),
    'broken chunk': (http(b'zz\r\nabc', **CHUNKED), 400, 'invalid_request'),
    'compressed': (
        http(gzip.compress(completion()), Content_Encoding='gzip'),
        400,
        'invalid_request',
    ),
    'slow body': (http(b'{', Content_Length=50), 504, 'deadline_exceeded'),
    'long header': (http(X_Long='x' * 20_000), 400, 'invalid_request'),
    'long path': (http(path='/v1/' + 'x' * 20_000), 400, 'invalid_request'),
    'many headers': (
        http(**{f'X_{number}': 'y' for number in range(500)}),
        400,
        'invalid_request',
    ),
    'long idempotency key': (
        http(completion(), Idempotency_Key='k' * 300),
        400,
        'invalid_request',
    ),
    'not http': (b'\x16\x03\x01 hello\r\n\r\n', 400, 'invalid_request'),
    'binary header': (
        http(completion(), X_Odd='a\x00b'),
        400,
        'invalid_request',
    ),
    'two lengths': (
        http(completion(), Transfer_Encoding='chunked'),
        400,
        'invalid_request',
    ),
}


@pytest.mark.parametrize(
    ('sent', 'status', 'code'), BAD_REQUESTS.values(), ids=BAD_REQUESTS
)
async def test_bad_request_gets_a_typed_error(
    client, entry, agent, sent, status, code
):
    # Guards against errors without a type, and against a bad request that
    # prevents the entry from serving others.
    response = await send_raw(entry, sent)
    head, _, body = response.partition(b'\r\n\r\n')
    # aiohttp answers with version 1.0 when it could not parse the request.
    assert re.match(rb'HTTP/1.[01] %d ' % status, head), response[:300]
    assert b'x-kumquatrun-outcome: not_run' in head
    assert re.search(rb'x-request-id: \w{32}\r', head + b'\r')
    error = json.loads(body)['error']
    assert error['code'] == (code or error['code'])
    assert error['outcome'] == 'not_run'
    assert error['remedy']
    assert not agent.executions
    await check_serving(client, entry)


@pytest.mark.parametrize('path', ['/v1/models', '/open/v1/models'])
async def test_models_are_listed(client, path):
    async with client.get(path, headers=AUTH) as response:
        models = (await response.json())['data']
    assert [model['id'] for model in models] == ['wheat', 'rice']


async def test_missing_max_tokens_is_added_to_the_body(client, agent):
    body = {'model': 'wheat', 'prompt': 'hello'}
    async with client.post(
        '/v1/completions', json=body, headers=AUTH
    ) as response:
        await response.read()
    [dispatch] = agent.executions
    assert json.loads(dispatch.body)['max_tokens'] == 256
    assert dispatch.cost_tokens == 256 + 2


@asynccontextmanager
async def stream(client, path='/v1/completions', **kwargs):
    async with client.post(
        path, json=COMPLETION | {'stream': True}, headers=AUTH, **kwargs
    ) as response:
        yield response


def make_stream(agent, delay_s=0.0, chunks=EVENTS):
    agent.content_type = 'text/event-stream'
    agent.chunks = chunks
    agent.chunk_delay_s = delay_s


async def test_stream_is_not_buffered(client, agent):
    make_stream(agent, delay_s=0.2)
    loop = asyncio.get_running_loop()
    async with stream(client) as response:
        times = [loop.time() async for _ in response.content.iter_any()]
    assert len(times) == 3
    assert times[-1] - times[0] > 0.3


@pytest.mark.parametrize('path', ['/v1/completions', '/open/v1/completions'])
@pytest.mark.parametrize('event', ['lease', 'key'])
async def test_open_keyed_streams_end(client, session, agent, path, event):
    # Guards against a stream that goes on after its key was revoked or the
    # lease of the entry was lost.
    make_stream(agent, delay_s=0.3)
    async with stream(client, path) as response:
        first = await response.content.readany()
        session.is_leased = event != 'lease'
        if event == 'key':
            session.view.keys.clear()
        session.changed()
        async with asyncio.timeout(1):
            rest = await response.read()
    if path.startswith('/open'):
        assert first + rest == b''.join(EVENTS)
        return
    error = json.loads(rest.removeprefix(b'data: '))['error']
    assert (error['code'], error['outcome']) == ('stream_cut', 'ran')
    await wait_until(lambda: agent.cancelled == 1)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize(
    'chunks',
    [
        (b'data: 1\n\n', b'', b'data: 2\n\n'),
        (b'data: 1\n', b'\n', b'data: 2\n\n'),
        (b'data: 1\n\n', b'x' * 300_000, b'\n\n'),
    ],
)
async def test_stream_bytes_are_unchanged(entry, agent, version, chunks):
    # Guards against an empty or large chunk that ends or reorders the body.
    make_stream(agent, chunks=chunks)
    sent = http(completion(stream=True)).replace(
        b'HTTP/1.1', b'HTTP/' + version.encode()
    )
    response = await send_raw(entry, sent)
    head, _, body = response.partition(b'\r\n\r\n')
    if b'chunked' in head:
        assert body.endswith(b'\r\n0\r\n\r\n')
        body = b''.join(dechunk(body))
    assert body == b''.join(chunks)


def dechunk(body):
    while True:
        size, _, body = body.partition(b'\r\n')
        if not int(size, 16):
            return
        yield body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]


async def test_incomplete_response_is_not_terminated(client, ledger):
    # Guards against an incomplete response that looks complete.
    ledger.chunks = (b'x' * 200_000,)

    async def fail(step, agent, context):
        if step == 'end':
            raise BackendError('lost the service')

    ledger.hook = fail
    with pytest.raises(aiohttp.ClientPayloadError):
        async with client.post('/ledger/', headers=AUTH) as response:
            await response.read()


async def test_incomplete_response_without_chunks_is_reset(entry, ledger):
    # Guards against a caller that does not know chunks and takes the close of
    # its connection for the end of a body that was broken off.
    ledger.chunks = (b'x' * 200_000,)

    async def fail(step, agent, context):
        if step == 'end':
            raise BackendError('lost the service')

    ledger.hook = fail
    sent = http(path='/ledger/').replace(b'HTTP/1.1', b'HTTP/1.0')
    # ``send_raw`` returns nothing after a reset.
    assert not await send_raw(entry, sent)
    ledger.hook = None
    assert (await send_raw(entry, sent)).endswith(ledger.chunks[0])


async def test_total_body_memory_is_bounded(client, entry, ledger):
    # Guards against many bodies below the size limit that fill the memory.
    entry._body_memory = BodyMemory(250_000)
    ledger.chunk_delay_s = 0.2
    body = b'x' * 90_000

    async def send():
        async with client.post('/ledger/', data=body, headers=AUTH) as response:
            return response.status, response.headers['x-kumquatrun-outcome']

    responses = await asyncio.gather(*(send() for _ in range(6)))
    assert sorted(responses) == [(200, 'ran')] * 2 + [(503, 'not_run')] * 4
    assert entry._body_memory.used_bytes == 0
    assert await send() == (200, 'ran')


async def test_connection_to_removed_host_is_closed(client, session, agent):
    # Guards against connections to replaced hosts that are never closed.
    make_stream(agent, delay_s=0.1)
    async with stream(client) as response:
        await response.content.readany()
        session.view.agents.clear()
        session.changed()
        assert (await response.read()).endswith(EVENTS[-1])
    session.changed()
    await wait_until(lambda: not agent.server._links)


async def test_disconnect_cancels_dispatch(client, entry, agent):
    make_stream(agent, delay_s=0.3)
    async with stream(client) as response:
        await response.content.readany()
        response.close()
        await wait_until(lambda: agent.cancelled == 1, 1)
    await wait_until(lambda: entry.open_requests == 0)


async def test_early_disconnect_cancels_dispatch(client, entry, agent):
    make_stream(agent, delay_s=5)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1), stream(client):
            pass
    await wait_until(lambda: agent.cancelled == 1)
    await wait_until(lambda: entry.open_requests == 0)


async def test_slow_reader_is_disconnected(client, entry, agent):
    # Guards against buffers that grow while a caller does not read.
    make_stream(agent, chunks=(b'x' * 100_000,) * 500)
    address = entry.address
    _, writer = await asyncio.open_connection(
        address.host, address.port, limit=1024
    )
    writer.write(http(completion(stream=True)))
    await wait_until(lambda: agent.open == 1)
    await asyncio.sleep(WRITE_TIMEOUT_S / 2)
    assert agent.cancelled == 0
    check_small_buffers(entry)
    await wait_until(lambda: agent.cancelled == 1, 4 * WRITE_TIMEOUT_S)
    writer.transport.abort()
    await wait_until(lambda: entry.open_requests == 0)


def check_small_buffers(entry):
    transports = entry._http._connections.values()
    sizes = [each.get_write_buffer_size() for each in transports]
    assert 0 < sum(sizes) < 500_000


@pytest.mark.parametrize('sent', [b'', b'POST /v1/comp', b'GET / HTTP/1.1\r\n'])
async def test_idle_connection_is_closed(entry, monkeypatch, sent):
    # Guards against connections that stay open without a complete request.
    monkeypatch.setattr('kumquatrun.entry.http_server.IDLE_TIMEOUT_S', 0.2)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await send_raw(entry, sent)
    assert loop.time() - began_s < 1


async def test_connections_are_limited(session, agent):
    async with running(session, max_connections=3) as entry:
        address = entry.address
        connections = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(3)
        ]
        response = await send_raw(entry, http(completion()))
        assert b'no_capacity' in response
        assert b'x-kumquatrun-outcome: not_run' in response
        for _, writer in connections:
            writer.transport.abort()
        await asyncio.sleep(0.05)
        response = await send_raw(entry, http(completion()))
        assert response.startswith(b'HTTP/1.1 200')


async def test_drain_finishes_open_requests(client, entry, agent, caplog):
    # Guards against a planned shutdown that interrupts a request.
    caplog.set_level(logging.INFO)
    make_stream(agent, delay_s=0.2)
    async with stream(client) as response:
        await response.content.readany()
        drain = asyncio.create_task(entry.drain(0.1))
        await asyncio.sleep(0.05)
        assert not entry.is_ready
        async with client.get('/-/ready') as ready:
            assert ready.status == 503
        async with client.post(
            '/v1/completions', json=COMPLETION, headers=AUTH
        ) as refused:
            error = (await refused.json())['error']
            assert (refused.status, error['code']) == (503, 'draining')
            assert refused.headers['Connection'] == 'close'
        assert not drain.done()
        assert (await response.read()).endswith(EVENTS[-1])
    await drain
    assert 'event=stop_incomplete open_requests=1' in caplog.text


FINISHED_LINE = re.compile(
    r'event=request_finished request_id=\w{32} account=a adapter=wheat '
    r'version=2 host=assistant-agent outcome=ran status=200 code= '
    r'ttft_ms=\d+\.\d output_tokens=2$'
)


async def test_finished_request_is_logged_once(client, agent, caplog):
    caplog.set_level(logging.DEBUG)
    async with client.post(
        '/v1/completions', json=COMPLETION, headers=AUTH
    ) as response:
        await response.read()
    await wait_until(lambda: 'request_finished' in caplog.text)
    lines = [
        record.getMessage()
        for record in caplog.records
        if 'request_finished' in record.getMessage()
    ]
    assert len(lines) == 1
    assert FINISHED_LINE.match(lines[0]), lines[0]
    assert KEY not in caplog.text


async def test_disconnect_is_logged_with_final_outcome(client, agent, caplog):
    # Guards against a log line that is written before the outcome is known.
    caplog.set_level(logging.INFO)

    async def wait(step, agent, context):
        if step == 'received':
            await asyncio.sleep(5)

    agent.hook = wait
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1), stream(client):
            pass
    await wait_until(lambda: 'request_finished' in caplog.text)
    assert 'outcome=not_run status=0 code=stream_cut' in caplog.text


@pytest.mark.parametrize('expect', ['100-continue'])
async def test_expected_continue_is_sent(entry, agent, expect):
    response = await send_raw(entry, http(completion(), Expect=expect))
    assert response.startswith(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200')
