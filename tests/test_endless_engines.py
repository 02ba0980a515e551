"""Clients of engines and services with endless or invalid responses."""

import asyncio

import pytest
from tests.endless_server import MAX_SENT_BYTES, EndlessServer
from tests.raw_server import EVENTS, RawServer, answer, chunk

from kumquatrun.agent import engine_client
from kumquatrun.agent.adapter_slots import AdapterKey
from kumquatrun.agent.backend_http import MAX_CHUNK_BYTES, BackendCall
from kumquatrun.agent.completions import GenerateCall, json_object
from kumquatrun.agent.engine_client import HEALTH_TIMEOUT_S, EngineClient
from kumquatrun.agent.service_client import ServiceClient
from kumquatrun.errors import BackendError, ConnectionLostError

CLOSE_TIMEOUT_S = 3.0
NESTED = [b'[' * 100_000, b'{"a":' * 100_000]


@pytest.mark.parametrize('text', NESTED, ids=['lists', 'objects'])
def test_deeply_nested_json_is_rejected(text):
    assert json_object(text) is None


@pytest.mark.parametrize('body', NESTED, ids=['lists', 'objects'])
async def test_deeply_nested_health_is_connection_loss(body):
    # Guards against an agent that stops checking its engine: an error of
    # another type ended the task of the health checks.
    server = await RawServer([answer(body)]).start()
    client = EngineClient(server.url)
    with pytest.raises(ConnectionLostError):
        await client.health()
    await client.close()


@pytest.mark.parametrize('number', [b'1e999', b'NaN', b'1' * 5000, b'[]'])
async def test_health_with_invalid_number_is_connection_loss(number):
    # Guards against an agent that stops checking its engine: ``int`` of an
    # infinite number raises an error of another type.
    body = b'{"incarnation": "1", "adapters": [], "slots": %s}' % number
    server = await RawServer([answer(body)]).start()
    client = EngineClient(server.url)
    with pytest.raises(ConnectionLostError):
        await client.health()
    await client.close()


@pytest.mark.parametrize('garbage', [b'x' * 60000, b'\x00\xff' * 30000])
async def test_error_text_of_broken_response_is_short(garbage):
    # Guards against log lines and error responses that quote arbitrarily many
    # bytes of an engine's response.
    server = await RawServer([garbage]).start()
    client = EngineClient(server.url)
    with pytest.raises(ConnectionLostError) as raised:
        await client.health()
    assert len(str(raised.value)) < 400
    await client.close()


HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
LENGTH = b'Content-Length: 999999999\r\n\r\n'
EVENT = b'data: {"choices": [{"text": "%s"}]}\n\n' % (b'x' * 4096)
CHOICES = b'data: {"choices": [%s]}\n\n' % b', '.join(
    b'{"index": %d, "text": ""}' % index for index in range(20_000)
)
ENDLESS_GENERATIONS = {
    'one document': (HEAD + LENGTH, b' ' * 4096),
    'events': (EVENTS, chunk(EVENT)),
    'one event': (EVENTS, chunk(b'x' * 4096)),
    'choices': (EVENTS, chunk(CHOICES)),
}
GENERATE = GenerateCall(
    request_id='r',
    path='/v1/completions',
    body=b'{"prompt": "p"}',
    key=AdapterKey('a', 1),
)


async def run_completion(client):
    async with client.generate(GENERATE, lambda: None) as generation:
        async for _ in generation:
            pass


@pytest.fixture
async def endless():
    """Return a function that starts an endless server and its client."""
    opened = []

    async def start(begin, piece, pause_s=0):
        server = await EndlessServer(begin, piece, pause_s).start()
        client = EngineClient(server.url)
        opened.append(client)
        return server, client

    yield start
    for client in opened:
        await client.close()


@pytest.mark.parametrize('call', ['health', 'load', 'unload'])
async def test_endless_call_response_is_refused(endless, call):
    # Guards against an agent that buffers the response until it is killed for
    # its memory use.
    server, client = await endless(HEAD + b'\r\n', b' ' * 4096)
    arguments = () if call == 'health' else (AdapterKey('a', 1), 1)
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        with pytest.raises(ConnectionLostError, match='exceeds'):
            await getattr(client, call)(*arguments)
        await server.closed.wait()
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('begin', [b'', HEAD, HEAD + LENGTH])
async def test_slow_health_response_times_out(endless, begin):
    _, client = await endless(begin, b'1' if begin else b'\r\n', 0.1)
    async with asyncio.timeout(2 * HEALTH_TIMEOUT_S):
        with pytest.raises(ConnectionLostError):
            await client.health()


@pytest.mark.parametrize('name', ENDLESS_GENERATIONS)
async def test_endless_unstreamed_response_fails(
    endless,
    name,
    monkeypatch,
):
    # Guards against an agent that buffers an unstreamed response until it is
    # killed for its memory use.
    monkeypatch.setattr(
        engine_client, 'MAX_UNSTREAMED_RESPONSE_BYTES', 1024 * 1024
    )
    server, client = await endless(*ENDLESS_GENERATIONS[name])
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        with pytest.raises(BackendError):
            await run_completion(client)
        await server.closed.wait()
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize(
    ('begin', 'piece'),
    [(HEAD + b'\r\n', b'x' * 65536), (EVENTS, chunk(b'x' * 65536))],
    ids=['no length', 'chunks'],
)
async def test_endless_service_response_chunks_are_bounded(begin, piece):
    # Guards against a process that holds a large chunk for each item that a
    # slow caller has credit for.
    server = await EndlessServer(begin, piece).start()
    client = ServiceClient(server.url)
    call = BackendCall(request_id='r', method='GET', path='/')
    sizes_bytes = []
    async with client.call(call, lambda: None) as reply:
        parts = aiter(reply)
        for _ in range(10):
            await asyncio.sleep(0.02)
            sizes_bytes.append(len(await anext(parts)))
    assert max(sizes_bytes) <= MAX_CHUNK_BYTES
    assert sum(sizes_bytes) > MAX_CHUNK_BYTES
    async with asyncio.timeout(1):
        await server.closed.wait()
    await client.close()
