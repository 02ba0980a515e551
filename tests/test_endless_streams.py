"""Tests of streams that do not end and callers that read slowly."""

import asyncio
import logging
import re
import time

import pytest
from tests.endless_server import EndlessServer
from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    Caller,
    ScriptedBackend,
    chunk,
    event,
    request_state_of,
)
from tests.test_endless_answers import forward

from kumquatrun.agent.sse import EventSplitter
from kumquatrun.errors import Outcome
from kumquatrun.gateway.backends.backend_connection import open_connection
from kumquatrun.gateway.backends.event_stream import MAX_EVENT_BYTES
from kumquatrun.runtime.clock import LoopClock

ENDLESS_EVENT = chunk(event(1)) + chunk(b'data: ')
PIECE = chunk(b'x' * 4096)


def resumable(max_attempts):
    return request_state_of(
        'streaming',
        max_attempts=max_attempts,
        is_resumable=True,
    )


async def test_oversized_event_fails_the_attempt(caplog):
    # The forwarder must catch the error of the event splitter, or the backend
    # server is not counted as failing.
    caplog.set_level(logging.INFO)
    server = EndlessServer(STREAM_HEAD + ENDLESS_EVENT, PIECE)
    caller, backends, problem = await forward(resumable(1), server)
    assert problem.outcome is Outcome.UNKNOWN
    assert caller.body == event(1)
    assert not caller.is_finished
    assert backends[0].current_failure_rate(LoopClock().now_s()) > 0.1
    async with asyncio.timeout(1):
        await server.closed.wait()
    (fields,) = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == 'attempt_failed'
    ]
    assert fields['request_id'] == 'attempt-1'
    assert str(MAX_EVENT_BYTES) in fields['reason']
    assert re.search(r'\d+ bytes received', fields['reason'])


async def test_oversized_event_resumes_elsewhere():
    caller, _, problem = await forward(
        resumable(2),
        EndlessServer(STREAM_HEAD + ENDLESS_EVENT, PIECE),
        ScriptedBackend([STREAM_HEAD, chunk(event(2)), LAST_CHUNK]),
    )
    assert problem is None
    assert caller.body == event(1) + event(2)
    assert caller.is_finished


async def test_endless_stream_is_not_finished():
    # A route that cannot be resumed forwards bytes as they arrive until the
    # deadline of its request.
    caller = Caller()
    server = EndlessServer(STREAM_HEAD + ENDLESS_EVENT, PIECE, 0.01)
    with pytest.raises(TimeoutError):
        await forward(
            request_state_of('streaming'),
            server,
            caller=caller,
            limit_s=0.2,
        )
    assert caller.body.startswith(event(1))
    assert not caller.is_finished
    async with asyncio.timeout(1):
        await server.closed.wait()


@pytest.mark.parametrize('line_end', [b'', b'\r', b'\n'])
def test_event_splitting_is_linear(frozen_heap, line_end):
    # An event in many small reads blocked the event loop, since each read
    # copied and searched all earlier bytes.
    splitter = EventSplitter()
    splitter.feed(b'data: ')
    piece = b'x' * 64 + line_end
    started_s = time.process_time()
    for _ in range(1_000_000 // len(piece)):
        splitter.feed(piece)
    assert time.process_time() - started_s < 0.5


# Maximum bytes of a stream that the entry buffers for the caller.
HELD_BYTES = 64 * 1024


@pytest.mark.parametrize(
    'begin',
    [
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n',
        STREAM_HEAD,
    ],
    ids=['no length', 'length', 'chunks'],
)
async def test_read_ahead_is_bounded(begin):
    # Streams with slow callers must not make the entry run out of memory.
    piece = PIECE if begin is STREAM_HEAD else b'x' * 4096
    server = await EndlessServer(begin, piece).start()
    connection = await open_connection(server.address)
    connection.send(b'GET / HTTP/1.1\r\n\r\n', b'', lambda head: True)
    head = await connection.read_head()
    await asyncio.sleep(0.2)
    assert connection.received_bytes <= HELD_BYTES
    # The stream continues when its caller reads again.
    held_bytes = connection.received_bytes
    for _ in range(20):
        await head.body.readany()
    assert connection.received_bytes > held_bytes
    connection.abort()
