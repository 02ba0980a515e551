"""Streams that a backend server broke off inside an event."""

import asyncio

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    Caller,
    ScriptedBackend,
    chunk,
    event,
    request_state_of,
)
from tests.gateway_host import one_service, served
from tests.test_endless_answers import forward

from kumquatrun.errors import Outcome
from kumquatrun.peer.node_messages import ReportSuspects
from kumquatrun.runtime.clock import LoopClock

EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: {id}\r\n'
EVENTS = event(1) + event(2)
WINDOWS_EVENTS = EVENTS.replace(b'\n', b'\r\n')
# What the backend server sends before it closes its connection cleanly.
CUTS = {
    'inside an event': EVENTS[:-4],
    'in the delimiter': EVENTS[:-1],
    'in a delimiter of carriage returns': WINDOWS_EVENTS[:-1],
    'after one line': WINDOWS_EVENTS[:-2],
    'before the first event ends': event(1)[:5],
    'without any event': b'',
    'in a comment': event(1) + b': keep',
}
WHOLE = {
    'line feeds': EVENTS,
    'carriage returns and line feeds': WINDOWS_EVENTS,
    'carriage returns': EVENTS.replace(b'\n', b'\r'),
    'a blank line more': EVENTS + b'\n',
    'a comment at the end': EVENTS + b': done\n\n',
}
cut_streams = pytest.mark.parametrize('sent', CUTS.values(), ids=CUTS)
whole_streams = pytest.mark.parametrize('sent', WHOLE.values(), ids=WHOLE)
types = pytest.mark.parametrize(
    'content_type',
    [b'', b'Content-Type: text/event-stream; charset=utf-8\r\n'],
    ids=['no type', 'event stream'],
)


def unframed(sent, content_type=b''):
    return ScriptedBackend([UNFRAMED + content_type + b'\r\n', sent, 'close'])


def chunked(sent):
    parts = [chunk(sent)] if sent else []
    return ScriptedBackend([STREAM_HEAD, *parts, LAST_CHUNK])


def with_length(sent):
    head = UNFRAMED + EVENT_STREAM + b'Content-Length: %d\r\n\r\n' % len(sent)
    return ScriptedBackend([head, sent])


def resumable(max_attempts=1):
    return request_state_of(
        'streaming', max_attempts=max_attempts, is_resumable=True
    )


@types
@cut_streams
async def test_cut_stream_without_a_length_is_not_finished(sent, content_type):
    # Guards against a stream that a crash cuts inside an event and that reaches
    # its caller as complete, because a clean close counts as its end.
    caller, backends, problem = await forward(
        request_state_of('streaming'), unframed(sent, content_type)
    )
    assert problem.outcome is Outcome.UNKNOWN
    assert not caller.is_finished
    assert sent.startswith(caller.body)
    assert backends[0].current_failure_rate(LoopClock().now_s()) > 0.1


@cut_streams
async def test_cut_stream_is_resumed_elsewhere(sent):
    # Guards against events that are lost, or sent twice, where a stream that
    # was cut inside an event goes on at another backend server.
    spare = ScriptedBackend([STREAM_HEAD, chunk(event(3)), LAST_CHUNK])
    caller, _, problem = await forward(resumable(2), unframed(sent), spare)
    assert problem is None
    assert caller.is_finished
    [(head, _)] = spare.requests
    known = caller.body.removesuffix(event(3))
    assert sent.startswith(known)
    newlines = known.replace(b'\r\n', b'\n')
    assert newlines in {b'', event(1)}
    assert ('last-event-id: 1\r\n' in head) is bool(known)


@cut_streams
async def test_cut_resumable_stream_without_attempts_is_not_finished(sent):
    caller, _, problem = await forward(resumable(), unframed(sent))
    assert problem.outcome is Outcome.UNKNOWN
    assert not caller.is_finished


@pytest.mark.parametrize('state', [resumable, request_state_of])
@pytest.mark.parametrize('server', [chunked, with_length])
async def test_framed_stream_that_ends_inside_an_event_is_not_finished(
    server, state
):
    # Guards against a stream whose length or last chunk is taken for the proof
    # that its content is whole.
    request_state = state() if state is resumable else state('streaming')
    caller, _, problem = await forward(request_state, server(EVENTS[:-4]))
    assert problem.outcome is Outcome.UNKNOWN
    assert not caller.is_finished


@pytest.mark.parametrize('server', [unframed, chunked, with_length])
@pytest.mark.parametrize('is_resumable', [False, True])
@whole_streams
async def test_whole_stream_is_finished(sent, is_resumable, server):
    # Guards against whole streams that are taken for broken-off ones.
    request_state = request_state_of('streaming', is_resumable=is_resumable)
    caller, backends, problem = await forward(request_state, server(sent))
    assert problem is None
    assert (caller.body, caller.is_finished) == (sent, True)
    assert not backends[0].current_failure_rate(LoopClock().now_s())


@pytest.mark.parametrize('server', [chunked, with_length])
async def test_framed_stream_without_events_is_finished(server):
    # A resumed stream may have nothing left to send.
    caller, _, problem = await forward(resumable(), server(b''))
    assert problem is None
    assert caller.is_finished


@pytest.mark.parametrize(
    'headers',
    [b'Content-Type: application/json\r\n', b'Content-Encoding: gzip\r\n'],
    ids=['another type', 'encoded'],
)
async def test_body_that_is_not_plain_events_is_relayed(headers):
    # Guards against bodies that are taken for broken-off streams, although
    # they have no event delimiters or hide them.
    backend = unframed(b'{"a": 1}', headers)
    caller, _, problem = await forward(request_state_of('streaming'), backend)
    assert problem is None
    assert (caller.body, caller.is_finished) == (b'{"a": 1}', True)


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
async def test_response_without_a_body_is_finished(status):
    head = UNFRAMED.replace(b'200 OK', status) + b'\r\n'
    caller, _, problem = await forward(
        request_state_of('streaming'), ScriptedBackend([head, 'close'])
    )
    assert problem is None
    assert caller.is_finished


async def test_events_are_not_held_back():
    # Guards against bytes that wait for the end of their event although the
    # stream can't be resumed, which delays the first token.
    backend = unframed(event(1)[:5])
    backend.scripts[0].insert(2, 5)
    request_state = request_state_of('streaming')
    caller = Caller()
    with pytest.raises(TimeoutError):
        await forward(request_state, backend, caller=caller, limit_s=0.2)
    assert caller.body == event(1)[:5]


async def test_cut_stream_is_counted_as_an_ended_run():
    # Guards against a crash whose cut response clears the suspicion of the
    # request, and counts as a success of the backend server.
    async with served(unframed(EVENTS[:-4]), content=one_service()) as host:
        with pytest.raises(Exception, match='payload'):
            await host.answer('/draft/a', data=b'x')
        reports = [
            row for row in host.session.calls if isinstance(row, ReportSuspects)
        ]
        assert len(reports) == 1


async def read_to_end(port, version):
    """Send one request; return the response and whether it was cut off."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST /draft/a HTTP/%s\r\nHost: shop.example\r\nApi-Key: key-1\r\n'
        b'Connection: close\r\nX-Kumquatrun-Attempt-Id: attempt-1\r\n'
        b'X-Kumquatrun-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n' % version
    )
    received = b''
    try:
        while part := await reader.read(4096):
            received += part
    except ConnectionResetError:
        return received, True
    finally:
        writer.close()
    is_chunked = b'transfer-encoding: chunked' in received.lower()
    return received, is_chunked and not received.endswith(LAST_CHUNK)


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize('is_cut', [False, True])
async def test_caller_sees_whether_a_stream_was_cut(version, is_cut):
    # Guards against a caller that does not know chunks and takes the close of
    # its connection for the end of a stream that was broken off.
    backend = unframed(EVENTS[:-4] if is_cut else EVENTS)
    async with served(backend, content=one_service()) as host:
        async with asyncio.timeout(2):
            received, was_cut = await read_to_end(host.port, version)
    assert received.startswith(b'HTTP/%s 200' % version)
    assert was_cut is is_cut
    if not is_cut:
        assert b'id: 2' in received
