"""Responses that HTTP/1.1 does not define, on each path where one arrives.

So are codings of a response that no request has asked for.
"""

import json

import pytest
from tests.control_cluster import eventually
from tests.gateway_fakes import (
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    Caller,
    ScriptedBackend,
    chunk,
    event,
    http_response,
)
from tests.raw_server import RawServer, answer
from tests.test_engine_client import generate_call
from tests.test_forwarder import ONCE, REPEATABLE, forward, request_state
from tests.test_platform_client import ENTRY, ORDER

from kumquatrun.agent.adapter_slots import AdapterKey
from kumquatrun.agent.backend_http import BackendCall
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.agent.service_client import ServiceClient
from kumquatrun.daemon import host_list
from kumquatrun.errors import BackendError, ConnectionLostError, Outcome
from kumquatrun.gateway.engine.engine_api import OrderVerdict
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.engine import PlatformEngine
from kumquatrun.platform.listing import BackendLister

KEY = AdapterKey('a', '1')
GOOD = b'HTTP/1.1 200 OK\r\n'
# What replaces the status line of a whole response.
UNDEFINED = {
    'status 000': b'HTTP/1.1 000 Trouble\r\n',
    'status 099': b'HTTP/1.1 099 Trouble\r\n',
    'status 600': b'HTTP/1.1 600 Trouble\r\n',
    'status 999': b'HTTP/1.1 999 Trouble\r\n',
    'version 0.9': b'HTTP/0.9 200 OK\r\n',
    'version 2.0': b'HTTP/2.0 200 OK\r\n',
    'control character': b'HTTP/1.1 200 O\x01K\r\n',
    'coding': GOOD + b'Transfer-Encoding: gzip\r\n',
    'two codings': GOOD + b'Transfer-Encoding: gzip, chunked\r\n',
}

all_undefined = pytest.mark.parametrize(
    'line', UNDEFINED.values(), ids=UNDEFINED
)


def undefined(response, line):
    """Return a whole response with another status line."""
    _, _, rest = response.partition(b'\r\n')
    if b'Transfer-Encoding' in line:
        rest = rest.replace(b'Content-Length: 4\r\n', b'').replace(
            b'Transfer-Encoding: chunked\r\n', b''
        )
    return line + rest


def whole_response(kind):
    """Return a response that is complete but for its status line."""
    if kind in {'streaming', 'resumable'}:
        return STREAM_HEAD + chunk(event(1)) + LAST_CHUNK
    return http_response(b'done')


@all_undefined
@pytest.mark.parametrize('kind', ONCE)
async def test_undefined_response_is_not_delivered(kind, line):
    # Guards against a caller that gets the answer of a backend server in
    # trouble as the answer to its request.
    broken = ScriptedBackend([undefined(whole_response(kind), line), 'close'])
    spare = ScriptedBackend([whole_response(kind)])
    caller = Caller()
    with pytest.raises(BackendError) as raised:
        await forward(request_state(kind), broken, spare, caller=caller)
    assert raised.value.outcome is Outcome.UNKNOWN
    assert not caller.has_begun
    assert not spare.requests


@all_undefined
@pytest.mark.parametrize('kind', REPEATABLE)
async def test_request_with_an_undefined_response_is_repeated(kind, line):
    broken = ScriptedBackend([undefined(whole_response(kind), line), 'close'])
    spare = ScriptedBackend([whole_response(kind)])
    caller = await forward(request_state(kind), broken, spare)
    assert caller.status == 200
    assert caller.is_finished
    assert len(spare.requests) == 1


@all_undefined
async def test_undefined_response_does_not_continue_a_stream(line):
    # Guards against a resumed stream that goes on with, or ends by, the answer
    # of a backend server in trouble.
    begun = ScriptedBackend([STREAM_HEAD + chunk(event(1)), 0.02, 'reset'])
    rest = STREAM_HEAD + chunk(event(2)) + LAST_CHUNK
    broken = ScriptedBackend([undefined(rest, line), 'close'])
    spare = ScriptedBackend([rest])
    caller = await forward(
        request_state('resumable', max_attempts=3), begun, broken, spare
    )
    assert caller.body == event(1) + event(2)
    assert caller.is_finished
    # Both carry the same events, so the body does not tell which one was used.
    assert len(spare.requests) == 1


@all_undefined
@pytest.mark.parametrize('kind', ONCE)
async def test_undefined_refusal_promises_nothing(kind, line):
    # Guards against a request that runs twice: what is no answer can't say that
    # the request has not run.
    broken = ScriptedBackend([undefined(NOT_RUN, line), 'close'])
    spare = ScriptedBackend([whole_response(kind)])
    with pytest.raises(BackendError) as raised:
        await forward(request_state(kind), broken, spare)
    assert raised.value.outcome is Outcome.UNKNOWN
    assert not spare.requests


@pytest.mark.parametrize('status', ['200 OK', '404 Not Found', '599 Odd'])
async def test_defined_response_is_delivered(status):
    # Guards against a check that refuses what HTTP/1.1 does define.
    response = http_response(b'done', status)
    spare = ScriptedBackend([response])
    caller = await forward(
        request_state('non_idempotent'), ScriptedBackend([response]), spare
    )
    assert str(caller.status) == status[:3]
    assert caller.body == b'done'


@pytest.fixture
async def platform():
    client = PlatformClient()
    yield client
    await client.close()


@all_undefined
async def test_undefined_responses_of_an_engine_are_lost(platform, line):
    # Guards against an agent that takes the answer of an engine in trouble for
    # a report, for the id of its process, or for the verdict on an order: the
    # order may be carried out.
    report = b'{"born": 1, "sequence": 0, "models": []}'
    named = http_response(b'', headers='X-Kumquatrun-Instance-Id: i-7\r\n')
    responses = [http_response(report), named, http_response(b'done')]
    scripts = [[undefined(row, line), 'close'] for row in responses]
    engine = PlatformEngine(
        platform, (await ScriptedBackend(*scripts).start()).address
    )
    with pytest.raises(ConnectionLostError):
        await engine.report()
    with pytest.raises(ConnectionLostError):
        await engine.identify('/health')
    assert await engine.order(ORDER) is OrderVerdict.NO_ANSWER


@all_undefined
async def test_undefined_list_is_lost(platform, line):
    page = http_response(json.dumps({'instances': [ENTRY]}).encode())
    server = await ScriptedBackend([undefined(page, line), 'close']).start()
    with pytest.raises(ConnectionLostError):
        await BackendLister(platform, server.address).read()


async def call_engine(url, call):
    """Make one call to an engine of the loopback product."""
    client = EngineClient(url)
    try:
        if call == 'health':
            return await client.health()
        if call in {'load', 'unload'}:
            return await getattr(client, call)(KEY, 1)
        async with client.generate(generate_call(), lambda: None) as generation:
            return [item async for item in generation]
    finally:
        await client.close()


@all_undefined
@pytest.mark.parametrize('call', ['health', 'load', 'unload', 'generate'])
async def test_undefined_responses_are_lost_on_loopback(call, line):
    # Guards against an agent of the loopback product that relays the answer of
    # an engine in trouble, or takes it for health or a finished order.
    body = b'{"incarnation": "1", "adapters": [], "slots": 4}'
    response = undefined(answer(body), line)
    server = await RawServer([response]).start()
    with pytest.raises(ConnectionLostError) as raised:
        await call_engine(server.url, call)
    assert raised.value.outcome is Outcome.UNKNOWN


@all_undefined
async def test_undefined_response_of_a_plain_service_is_lost(line):
    server = await RawServer([undefined(answer(b'done'), line)]).start()
    client = ServiceClient(server.url)
    request = BackendCall(request_id='r', method='POST', path='/')
    with pytest.raises(ConnectionLostError) as raised:
        async with client.call(request, lambda: None):
            raise AssertionError('the response was accepted')
    assert raised.value.outcome is Outcome.UNKNOWN
    await client.close()


@pytest.mark.parametrize('status', ['404 Not Found', '503 Unavailable'])
async def test_failed_health_check_is_no_health(status):
    # Guards against an engine that says that it fails and gets requests.
    body = b'{"incarnation": "1", "adapters": [], "slots": 4}'
    server = await RawServer([answer(body, status.encode())]).start()
    with pytest.raises(ConnectionLostError):
        await call_engine(server.url, 'health')


@pytest.mark.parametrize('line', [*UNDEFINED.values(), b'HTTP/1.1 500 Odd\r\n'])
async def test_undefined_host_list_drains_no_host(line, monkeypatch):
    # Guards against a host that drains itself because of an answer that is not
    # the list.
    monkeypatch.setattr(host_list, 'POLL_INTERVAL_S', 0.01)
    listed = json.dumps({'agent-1': 'leaving'}).encode()
    empty = http_response(b'{}')
    undefined_list = undefined(http_response(listed), line)
    server = await ScriptedBackend(
        [undefined_list, 'close'], *[[empty]] * 1000
    ).start()
    calls = []
    watcher = host_list.HostListWatcher(
        f'http://{server.address}', 'agent-1', lambda: calls.append(1)
    )
    await watcher.start()
    await eventually(lambda: len(server.requests) >= 3 or calls, 5)
    await watcher.stop()
    assert not calls
