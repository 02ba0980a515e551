"""Agent over real connections, with stand-in backend servers."""

import asyncio
import json
from dataclasses import replace

import pytest
from aiohttp import web
from tests.fakes import INCARNATION, FakeSession, eventually
from tests.raw_server import HEAD, RawServer, answer, chunk

from kumquatrun.agent.agent import Agent, backend_for
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.document.document import ServiceKind
from kumquatrun.errors import KumquatrunError, Outcome, SettingError
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import ClearSuspect, ReportSuspects
from kumquatrun.peer.request_messages import Dispatch, Finished, Started
from kumquatrun.runtime.clock import LoopClock
from kumquatrun_standins.engine import Engine
from kumquatrun_standins.engine_core import CRASH_MARK, EngineOptions
from kumquatrun_standins.plain_service import PlainService

ENGINE = EngineOptions(load_s=0.02, token_interval_s=0.005, restart_s=0.1)


class Node:
    """An agent of one backend server, and a peer client of the agent."""

    def __init__(self, backend_url, kind):
        self.session = FakeSession(kind)
        self.settings = AgentSettings(
            host_id='host-a',
            listen=Address('127.0.0.1', 0),
            service='assistant',
            backend_url=backend_url,
        )
        backend = backend_for(self.session, self.settings)
        self.agent = Agent(self.settings, self.session, backend, LoopClock())

    async def __aenter__(self):
        await self.agent.start()
        identity = Hello(node_id='entry', incarnation='1')
        self.client = PeerClient(self.agent.address, identity)
        return self

    async def __aexit__(self, *exc_info):
        await self.client.close()
        await self.agent.stop()

    async def send(self, message):
        """Return the items, and the reply or the error of the call."""
        items = []
        try:
            async with self.client.stream(message) as call:
                items.extend([item async for item in call])
        except KumquatrunError as error:
            return items, error
        return items, call.reply


def completion(request_id='r1', prompt='hi', adapter='legal', **fields):
    content = {'prompt': prompt, 'max_tokens': fields.pop('max_tokens', 4)}
    defaults = {
        'request_id': request_id,
        'attempt': 1,
        'agent_incarnation': INCARNATION,
        'account': 'acme',
        'service': 'assistant',
        'adapter': adapter,
        'version': '3',
        'path': '/v1/completions',
        'method': 'POST',
        'body': json.dumps(content).encode(),
        'stream': True,
        'fingerprint': f'fp-{request_id}',
    }
    return Dispatch(**(defaults | fields))


def service_call(request_id='b1', **fields):
    defaults = {
        'adapter': '',
        'path': '/bookings',
        'body': json.dumps({'id': request_id}).encode(),
        'repeatable': False,
        'stream': False,
    }
    return completion(request_id, **(defaults | fields))


@pytest.fixture
async def engine():
    engine = await Engine(ENGINE).start()
    yield engine
    await engine.stop()


@pytest.fixture
async def node(engine):
    async with Node(engine.url, ServiceKind.ENGINE) as node:
        yield node


@pytest.mark.parametrize('path', ['/v1/completions', '/v1/chat/completions'])
@pytest.mark.parametrize('stream', [True, False])
async def test_answer_names_adapter_and_version(node, path, stream):
    items, reply = await node.send(completion(path=path, stream=stream))
    assert isinstance(items[0], Started)
    assert (items[0].adapter, items[0].version) == ('legal', '3')
    body = b''.join(items[1:]).decode()
    assert all(f'legal@3:{number} ' in body for number in range(4))
    assert body.endswith('data: [DONE]\n\n') is stream
    assert reply == Finished(
        outcome=Outcome.RAN,
        prompt_tokens=1,
        output_tokens=4,
    )


@pytest.mark.parametrize('body', [b'', b'{"code": "busy"}'])
async def test_engine_error_status_is_relayed(node, engine, body):
    await node.send(completion())

    async def refuse(request):
        return web.Response(status=503, body=body)

    engine.answer_with = refuse
    items, reply = await node.send(completion('r2'))
    assert items[0].status == 503
    assert b''.join(items[1:]) == body
    assert reply.outcome is Outcome.RAN


async def test_invalid_json_is_not_run(node, engine):
    _, error = await node.send(completion(body=b'['))
    assert error.outcome is Outcome.NOT_RUN
    assert not engine.core.executions


async def test_many_adapters_share_few_slots(node, engine):
    # Guards against output of another adapter while slots are reused.
    messages = [
        completion(f'r{number}', adapter=f'a{number % 9}')
        for number in range(27)
    ]
    ended = await asyncio.gather(*map(node.send, messages))
    for message, (items, reply) in zip(messages, ended, strict=True):
        assert isinstance(reply, Finished), reply
        assert f'{message.adapter}@3:0 '.encode() in b''.join(items[1:])
    assert len(engine.core.executions) == len(messages)


async def test_cancelled_call_stops_generation(node, engine):
    # Guards against an engine that generates tokens after the caller left.
    message = completion(max_tokens=10_000)
    async with node.client.stream(message) as call:
        await anext(call)
        await anext(call)
        assert await call.cancel() is Outcome.RAN
    await eventually(lambda: engine.core.cancelled == ['r1'])
    assert not node.agent.open_requests


async def test_closed_entry_connection_stops_generation(node, engine):
    message = completion(max_tokens=10_000)
    async with node.client.stream(message) as call:
        await anext(call)
        await node.client.close()
        await eventually(lambda: engine.core.cancelled == ['r1'])


async def test_drain_completes_open_streams(node):
    # Guards against a planned shutdown that cuts off streams, including
    # streams whose last bytes are still in a send buffer.
    calls = [
        asyncio.create_task(node.send(completion(f'r{n}', max_tokens=40)))
        for n in range(8)
    ]
    await eventually(lambda: node.agent.open_requests == 8)
    await node.agent.drain(10)
    await node.agent.stop()
    for call in calls:
        items, reply = await call
        assert isinstance(reply, Finished)
        assert b''.join(items[1:]).endswith(b'data: [DONE]\n\n')


async def test_crashing_prompt_is_not_repeated(node, engine):
    # Guards against an agent that retries a request that crashed its engine.
    calls = [
        asyncio.create_task(node.send(completion(f'r{n}', max_tokens=1000)))
        for n in range(3)
    ]
    await eventually(lambda: len(engine.core.running) == 3)
    first_incarnation = engine.core.incarnation
    _, error = await node.send(completion('bad', prompt=CRASH_MARK))
    assert error.outcome is Outcome.UNKNOWN
    for call in calls:
        _, error = await call
        assert error.outcome is Outcome.UNKNOWN
    [report] = node.session.control.sent(ReportSuspects)
    assert set(report.fingerprints) == {'fp-bad', 'fp-r0', 'fp-r1', 'fp-r2'}
    await eventually(lambda: node.agent.report().queued == 0)
    _, reply = await node.send(completion('after'))
    assert isinstance(reply, Finished)
    assert engine.core.incarnation != first_incarnation
    runs = [request_id for request_id, _, _ in engine.core.executions]
    assert runs.count('bad') == 1


async def test_engine_down_is_not_run():
    engine = await Engine(ENGINE).start()
    await engine.stop()
    async with Node(engine.url, ServiceKind.ENGINE) as node:
        _, error = await node.send(completion())
        assert error.outcome is Outcome.NOT_RUN
        assert node.agent.report().queued == node.settings.max_queued


@pytest.mark.parametrize('checks', [True, False])
async def test_replaced_agent_sends_no_order(checks):
    # An engine that ignores fencing numbers would accept orders of a replaced
    # agent, so the agent itself sends no orders without a lease.
    options = replace(ENGINE, check_fencing=checks)
    engine = await Engine(options).start()
    async with Node(engine.url, ServiceKind.ENGINE) as node:
        await node.send(completion())
        node.session.set_lease(False)
        held = set(engine.core.adapters)
        _, error = await node.send(completion('r2', adapter='other'))
        assert error.outcome is Outcome.NOT_RUN
        _, error = await node.send(
            completion('r3', adapter='other', account=''),
        )
        assert error.outcome is Outcome.NOT_RUN
        assert engine.core.adapters == held
    await engine.stop()


def test_unknown_service_is_a_setting_error():
    session = FakeSession()
    settings = AgentSettings(
        host_id='a',
        listen=Address('127.0.0.1', 0),
        service='other',
        backend_url='',
    )
    with pytest.raises(SettingError):
        backend_for(session, settings)


# Response pieces of a plain service, and the outcome for the caller.
SERVICE_ANSWERS = {
    'whole': ([answer(b'{}')], Outcome.RAN),
    'error_status': ([answer(b'{}', b'409 Conflict')], Outcome.RAN),
    'no_answer': ([], Outcome.UNKNOWN),
    'cut_head': ([b'HTTP/1.1 20'], Outcome.UNKNOWN),
    'cut_body': ([HEAD % b'a/b', chunk(b'part')], Outcome.UNKNOWN),
}


@pytest.mark.parametrize('method', ['POST', 'PUT', 'GET'])
@pytest.mark.parametrize('name', SERVICE_ANSWERS)
async def test_plain_service_is_called_once(name, method):
    # Guards against a repeated booking after a lost response.
    pieces, outcome = SERVICE_ANSWERS[name]
    server = await RawServer(pieces).start()
    async with Node(server.url, ServiceKind.PLAIN) as node:
        message = service_call(method=method)
        _, ended = await node.send(message)
        assert ended.outcome is outcome
        _, again = await node.send(message)
        assert again.outcome is outcome
        _, retried = await node.send(replace(message, attempt=2))
        assert retried.outcome is outcome
    assert len(server.requests) == 1
    await server.stop()


async def test_unanswered_plain_call_is_unknown():
    # Guards against a repeated booking after a deadline or a cancellation.
    server = await RawServer(hold=True).start()
    async with Node(server.url, ServiceKind.PLAIN) as node:
        # Long enough to connect on a busy machine: if the deadline passed
        # before the call was sent, not_run would be the right outcome.
        _, error = await node.send(service_call(deadline_s=1))
        assert len(server.requests) == 1
        assert error.code == 'deadline_exceeded'
        assert error.outcome is Outcome.UNKNOWN
        async with node.client.stream(service_call('b2')) as call:
            await eventually(lambda: len(server.requests) == 2)
            assert await call.cancel() is Outcome.UNKNOWN
    await server.stop()


async def test_finished_plain_suspect_is_cleared():
    service = await PlainService().start()
    async with Node(service.url, ServiceKind.PLAIN) as node:
        await node.send(service_call(alone=True))
        await eventually(lambda: node.session.control.sent(ClearSuspect))
    await service.stop()


@pytest.mark.parametrize('stays_up', [True, False])
async def test_crash_of_a_plain_service_is_reported(stays_up):
    # Guards against a call that crashes one service after another without
    # being reported, and against suspects after a single lost connection.
    server = await RawServer(hold=True).start()
    async with Node(server.url, ServiceKind.PLAIN) as node:
        calls = [
            asyncio.create_task(node.send(service_call(f'b{n}')))
            for n in range(2)
        ]
        await eventually(lambda: len(server.requests) == 2)
        if not stays_up:
            await server.stop()
        server.drop()
        assert {(await call)[1].outcome for call in calls} == {'unknown'}
        reports = node.session.control.sent(ReportSuspects)
        reported = [report.fingerprints for report in reports]
        assert reported == ([] if stays_up else [('fp-b0', 'fp-b1')])
    await server.stop()


async def test_plain_service_answer_is_relayed():
    service = await PlainService().start()
    async with Node(service.url, ServiceKind.PLAIN) as node:
        items, reply = await node.send(service_call())
        assert (items[0].status, items[0].adapter) == (201, '')
        assert json.loads(b''.join(items[1:])) == {'id': 'b1', 'count': 1}
        assert reply.outcome is Outcome.RAN
        await service.stop()
        _, error = await node.send(service_call('b2'))
        assert error.outcome is Outcome.NOT_RUN
    assert service.executions == {'b1': 1}
