"""Endless responses of backend servers: limits, outcomes and memory."""

import asyncio
import logging
import re

import pytest
from tests.endless_server import EndlessServer
from tests.gateway_fakes import (
    Caller,
    FixedReservations,
    ScriptedBackend,
    http_response,
    request_state_of,
)
from tests.gateway_host import crash_watch

from kumquatrun.errors import BackendError, Outcome
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

# Far below the time limit of a request, which is 5 s in these tests.
AT_ONCE_S = 2.0
# Limit of the bytes that the server can send: what the entry reads, and what
# the socket buffers hold.
NETWORK_BYTES = 6 * 1024 * 1024
HEAD = b'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: {id}\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
WHOLE = HEAD + b'Content-Length: 4\r\n\r\ndone'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
LATE = b'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: zero\r\n'

ENDLESS_HEADS = {
    'line ends before the head': (b'', b'\r\n' * 2048),
    'status line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'spaces in the status line': (b'HTTP/1.1 200', b' ' * 4096),
    'header name': (HEAD, b'x' * 4096),
    'header value': (HEAD + b'A: ', b'x' * 4096),
    'spaces before a header value': (HEAD + b'A:', b' ' * 4096),
    'folded header': (HEAD + b'A: b\r\n', b' x\r\n' * 1024),
    'header lines': (HEAD, b'A: b\r\n' * 512),
    'interim answers': (b'', INTERIM * 128),
    'late answers': (b'', (LATE + b'Content-Length: 0\r\n\r\n') * 64),
    'body of a late answer': (
        LATE + b'Content-Length: 99999999\r\n\r\n',
        b'x' * 4096,
    ),
}
ENDLESS_BODIES = {
    'no length': (HEAD + b'\r\n', b'x' * 4096),
    'wrong length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'x' * 4096,
    ),
    'chunks': (CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 1024),
    'chunk size': (CHUNKED, b'0' * 4096),
    'chunk extension': (CHUNKED + b'1;', b'x' * 4096),
    'spaces after a chunk size': (CHUNKED + b'1', b' ' * 4096),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n' * 512),
    'trailer': (CHUNKED + b'0\r\nA: ', b'x' * 4096),
    'spaces in a trailer': (CHUNKED + b'0\r\nA:', b' ' * 4096),
}
ENDLESS = {**ENDLESS_HEADS, **ENDLESS_BODIES}
endless = pytest.mark.parametrize(
    ('begin', 'piece'),
    ENDLESS.values(),
    ids=ENDLESS,
)


async def forward(
    request_state,
    *servers,
    caller=None,
    limit_s=AT_ONCE_S,
    backends=None,
):
    started = [await server.start() for server in servers]
    caller = caller or Caller()
    reservations = FixedReservations(*started)
    if backends is not None:
        backends.extend(reservations.backends)
    forwarder = Forwarder(
        PlatformFormat(),
        reservations,
        SharedRetryBudgets(0.2, 100, 10),
        PlannedStop(LoopClock()).check,
        crash_watch(),
        LoopClock(),
    )
    problem = None
    try:
        async with asyncio.timeout(limit_s):
            await forwarder.run(request_state, caller)
    except BackendError as error:
        problem = error
    return caller, reservations.backends, problem


@endless
async def test_endless_answer_fails_at_once(begin, piece, caplog):
    # Guards against an endless response that keeps a request open until its
    # deadline, and meanwhile fills the memory or blocks the event loop of the
    # entry.
    caplog.set_level(logging.INFO)
    server = EndlessServer(begin, piece)
    spare = ScriptedBackend([http_response()])
    caller, backends, problem = await forward(
        request_state_of('non_idempotent', max_attempts=2),
        server,
        spare,
    )
    assert problem.outcome is Outcome.UNKNOWN
    assert not caller.has_begun
    assert not spare.requests
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert server.sent_bytes < NETWORK_BYTES
    assert backends[0].current_failure_rate(LoopClock().now_s()) > 0.1
    assert not backends[0].pool.idle_count
    (fields,) = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == 'attempt_failed'
    ]
    assert fields['request_id'] == 'attempt-1'
    assert fields['backend'] == 'runner-0'
    assert re.search(r'\d+ bytes received', fields['reason'])


@endless
async def test_endless_answer_is_retried(
    begin,
    piece,
):
    caller, _, problem = await forward(
        request_state_of('idempotent', max_attempts=2),
        EndlessServer(begin, piece),
        ScriptedBackend([http_response(b'whole')]),
    )
    assert problem is None
    assert (caller.body, caller.is_finished) == (b'whole', True)


LONG = b'Content-Length: 9999\r\n\r\n'
REFUSED = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Kumquatrun-Not-Executed: 1\r\n'
)
DRIP_S = 0.02


@pytest.mark.parametrize(
    'begin',
    [b'', HEAD, HEAD + LONG, CHUNKED],
    ids=['head', 'headers', 'body', 'chunk size'],
)
async def test_slow_answer_hits_attempt_timeout(begin):
    # Guards against a response that trickles in and never ends: a repeatable
    # request waited for it until its deadline instead of being retried.
    piece = b'\r\n' if not begin else b'1'
    server = EndlessServer(begin, piece, DRIP_S)
    caller, backends, problem = await forward(
        request_state_of('idempotent', max_attempts=2),
        server,
        ScriptedBackend([http_response(b'whole')]),
    )
    assert problem is None
    assert (caller.body, caller.is_finished) == (b'whole', True)
    assert backends[0].current_failure_rate(LoopClock().now_s()) > 0.1


@pytest.mark.parametrize('kind', ['idempotent', 'non_idempotent', 'streaming'])
@pytest.mark.parametrize('pause_s', [0, DRIP_S])
async def test_endless_refusal_is_retried(kind, pause_s):
    # Guards against a request that waits for the endless body of a refusal
    # instead of going to another backend server.
    caller, backends, problem = await forward(
        request_state_of(kind, max_attempts=1),
        EndlessServer(REFUSED + LONG, b'x', pause_s),
        ScriptedBackend([http_response(b'whole')]),
    )
    assert problem is None
    assert (caller.body, caller.is_finished) == (b'whole', True)
    assert not backends[0].pool.idle_count


async def test_plain_answer_ends_at_deadline(caplog):
    # Guards against a backend server that never ends its responses and still
    # receives requests: none of them was counted as a failure.
    caplog.set_level(logging.INFO)
    server = EndlessServer(HEAD + LONG, b'x', DRIP_S)
    request_state = request_state_of('non_idempotent')
    request_state.deadline_s = LoopClock().now_s() + 0.2
    backends = []
    with pytest.raises(TimeoutError):
        await forward(request_state, server, limit_s=0.2, backends=backends)
    async with asyncio.timeout(1):
        await server.closed.wait()
    assert backends[0].current_failure_rate(LoopClock().now_s()) > 0.1
    (fields,) = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == 'attempt_failed'
    ]
    assert fields['result'] == 'silent'
    assert re.search(r'\d+ bytes received', fields['reason'])


async def test_slow_caller_is_no_backend_failure():
    class Stalled(Caller):
        async def write(self, part):
            await asyncio.sleep(9)

    request_state = request_state_of('non_idempotent')
    request_state.deadline_s = LoopClock().now_s() + 0.1
    backends = []
    with pytest.raises(TimeoutError):
        await forward(
            request_state,
            ScriptedBackend([http_response(b'whole')]),
            caller=Stalled(),
            limit_s=0.1,
            backends=backends,
        )
    assert not backends[0].current_failure_rate(LoopClock().now_s())


@pytest.mark.parametrize(
    'garbage',
    [b'x' * 16000, b'\x00\xff' * 8000, HEAD + b'A: ' + b'x' * 64000],
    ids=['text', 'bytes', 'header'],
)
async def test_broken_answer_is_quoted_briefly(garbage):
    # Guards against log lines and error responses as long as the bytes that a
    # backend server sends.
    runner = ScriptedBackend([garbage, 'close'])
    _, _, problem = await forward(request_state_of('non_idempotent'), runner)
    assert len(str(problem)) < 400


async def test_extra_bytes_are_logged(caplog):
    # Guards against a backend server that sends extra bytes after a response
    # without a trace in the log.
    caplog.set_level(logging.INFO)
    runner = ScriptedBackend([http_response(b'whole') + b'garbage'])
    caller, backends, problem = await forward(
        request_state_of('non_idempotent'),
        runner,
    )
    assert problem is None
    assert caller.body == b'whole'
    assert not backends[0].pool.idle_count
    assert not backends[0].current_failure_rate(LoopClock().now_s())
    (fields,) = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == 'bytes_after_answer'
    ]
    assert fields['request_id'] == 'attempt-1'
    assert fields['backend'] == 'runner-0'
    assert fields['received_bytes'] > len(b'wholegarbage')
