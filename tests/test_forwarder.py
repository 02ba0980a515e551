"""Forwarding: at-most-once, retries, refusals, streams, resumed streams."""

import asyncio

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    Caller,
    FixedReservations,
    Freeze,
    ScriptedBackend,
    chunk,
    event,
    http_response,
    request_state_of,
)
from tests.gateway_host import Observer, crash_watch

from kumquatrun.errors import BackendError, NoCapacityError, Outcome
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.peer.address import Address
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

REPEATABLE = ('idempotent', 'resumable')
ONCE = ('non_idempotent', 'streaming')
FAILURE = http_response(b'failed', '500 Internal Server Error')


async def forward(
    request_state, *backends, allowance=100, caller=None, observer=None
):
    started = [await backend.start() for backend in backends]
    caller = caller or Caller()
    forwarder = Forwarder(
        PlatformFormat(),
        FixedReservations(*started),
        SharedRetryBudgets(0.2, allowance, 10),
        PlannedStop(LoopClock()).check,
        crash_watch(observer),
        LoopClock(),
    )
    await forwarder.run(request_state, caller)
    return caller


class Unreachable:
    """Backend server at an address that cannot be connected to."""

    def __init__(self, address):
        self.address = address

    async def start(self):
        return self


def request_state(kind, max_attempts=2, **more):
    if kind == 'resumable':
        return request_state_of(
            'streaming',
            max_attempts=max_attempts,
            is_resumable=True,
            **more,
        )
    return request_state_of(kind, max_attempts=max_attempts, **more)


@pytest.mark.parametrize('kind', ONCE)
@pytest.mark.parametrize('end', ['close', 'reset'])
async def test_no_resend_after_possible_run(kind, end):
    # Guards against a request that runs twice: the backend server ran it, its
    # response was lost, and the gateway sent it to another one.
    spare = ScriptedBackend([http_response()])
    with pytest.raises(BackendError) as raised:
        await forward(request_state(kind), ScriptedBackend([end]), spare)
    assert raised.value.outcome is Outcome.UNKNOWN
    assert not spare.requests


@pytest.mark.parametrize('kind', (*ONCE, 'idempotent'))
async def test_refusal_does_not_use_up_an_attempt(kind):
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(
        request_state(kind, 1), ScriptedBackend([NOT_RUN]), spare
    )
    assert caller.body == b'ok'


@pytest.mark.parametrize('port', [99999, -5, 0])
async def test_unusable_address_is_skipped(port):
    # Guards against a request that fails although another backend server
    # could answer it.
    odd = Unreachable(Address('127.0.0.1', port))
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(request_state('non_idempotent'), odd, spare)
    assert caller.body == b'ok'


@pytest.mark.parametrize('status', ['421 Misdirected Request'])
async def test_421_means_not_run(status):
    spare = ScriptedBackend([http_response(b'ok')])
    refusal = http_response(b'', status)
    caller = await forward(
        request_state('non_idempotent'), ScriptedBackend([refusal]), spare
    )
    assert caller.body == b'ok'


async def test_not_run_when_all_refuse():
    backends = [ScriptedBackend([NOT_RUN]) for _ in range(3)]
    with pytest.raises(NoCapacityError) as raised:
        await forward(request_state('non_idempotent'), *backends)
    assert raised.value.outcome is Outcome.NOT_RUN


async def test_idempotent_request_is_retried():
    caller = await forward(
        request_state('idempotent'),
        ScriptedBackend([FAILURE]),
        ScriptedBackend([http_response(b'ok')]),
    )
    assert (caller.status, caller.body) == (200, b'ok')


async def test_max_attempts_is_respected():
    # Guards against a retry on more backend servers than the route allows.
    third = ScriptedBackend([http_response()])
    caller = await forward(
        request_state('idempotent'),
        ScriptedBackend([FAILURE]),
        ScriptedBackend([FAILURE]),
        third,
    )
    assert (caller.status, caller.body) == (500, b'failed')
    assert not third.requests


async def test_failure_is_relayed_without_retry_budget():
    # Guards against a lost error response: without a retry left, the response
    # of the backend server must reach the caller.
    spare = ScriptedBackend([http_response()])
    caller = await forward(
        request_state('idempotent'),
        ScriptedBackend([FAILURE]),
        spare,
        allowance=0,
    )
    assert (caller.status, caller.body) == (500, b'failed')
    assert not spare.requests


async def test_unresponsive_backend_server_is_skipped():
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(
        request_state('idempotent'), ScriptedBackend([1]), spare
    )
    assert caller.body == b'ok'


async def test_signature_and_body_are_returned_unchanged():
    whole = http_response(
        b'\x00\xff', headers='X-Kumquatrun-Response-Signature: s\r\n'
    )
    caller = await forward(
        request_state('non_idempotent'), ScriptedBackend([whole])
    )
    assert caller.body == b'\x00\xff'
    assert ('X-Kumquatrun-Response-Signature', 's') in caller.headers


async def test_503_after_possible_run_is_not_relayed():
    # Guards against a status that means "not run" to the caller, from a backend
    # server that may have run the request.
    busy = http_response(b'', '503 Service Unavailable')
    with pytest.raises(BackendError) as raised:
        await forward(
            request_state('non_idempotent', 1), ScriptedBackend([busy])
        )
    assert raised.value.outcome is Outcome.UNKNOWN


async def test_stream_is_relayed_whole():
    script = [STREAM_HEAD, chunk(event(1)), chunk(event(2)), LAST_CHUNK]
    caller = await forward(request_state('streaming'), ScriptedBackend(script))
    assert caller.body == event(1) + event(2)
    assert caller.is_finished


async def test_broken_stream_is_not_finished():
    script = [STREAM_HEAD, chunk(event(1)), 0.02, 'reset']
    caller = Caller()
    backend = await ScriptedBackend(script).start()
    forwarder = Forwarder(
        PlatformFormat(),
        FixedReservations(backend),
        SharedRetryBudgets(0.2, 100, 10),
        PlannedStop(LoopClock()).check,
        crash_watch(),
        LoopClock(),
    )
    with pytest.raises(BackendError):
        await forwarder.run(request_state('streaming'), caller)
    assert caller.body == event(1)
    assert not caller.is_finished


@pytest.mark.parametrize('end', ['reset', 1])
async def test_resumable_stream_continues_elsewhere(end):
    # Guards against a lost or repeated event where a stream is resumed. The
    # first backend server resets its connection or sends nothing for 1 s.
    first = ScriptedBackend(
        [
            STREAM_HEAD,
            chunk(event(1)),
            chunk(event(2) + b'id: 3\nda'),
            0.02,
            end,
        ],
    )
    second = ScriptedBackend([STREAM_HEAD, chunk(event(3)), LAST_CHUNK])
    caller = await forward(request_state('resumable'), first, second)
    assert caller.body == event(1) + event(2) + event(3)
    assert caller.is_finished
    assert 'last-event-id: 2' in second.requests[0][0]


PAUSING = [
    STREAM_HEAD,
    chunk(event(1)),
    0.6,
    chunk(event(2)),
    chunk(event(3)),
    LAST_CHUNK,
]
RESUMED = [STREAM_HEAD, chunk(event(2)), chunk(event(3)), LAST_CHUNK]


async def test_stream_that_a_living_engine_pauses_is_not_resumed():
    # Guards against sound streams that are cut: they had paused for 1.5 s at
    # living engines, and no other engine had room to resume them (LOST on the
    # large site, scale-1, seed 198989000).
    second = ScriptedBackend(RESUMED)
    caller = await forward(
        request_state('resumable'),
        ScriptedBackend(PAUSING),
        second,
        observer=Observer(60),
    )
    assert caller.body == event(1) + event(2) + event(3)
    assert caller.is_finished
    assert not second.requests


@pytest.mark.parametrize('known_for_s', [None, 0.1])
async def test_stream_of_an_engine_that_ended_is_resumed(known_for_s):
    # Guards against a stream that waits for an engine that has ended, or has
    # been replaced since the run began.
    second = ScriptedBackend(RESUMED)
    caller = await forward(
        request_state('resumable'),
        ScriptedBackend(PAUSING),
        second,
        observer=Observer(known_for_s),
    )
    assert caller.body == event(1) + event(2) + event(3)
    assert len(second.requests) == 1


async def test_stream_that_stalls_at_a_living_engine_is_resumed():
    # Guards against a stalled stream that never ends: its connection is silent
    # for good although the engine lives. Callers leave after 2 s.
    first = ScriptedBackend([STREAM_HEAD, chunk(event(1)), 4])
    second = ScriptedBackend(RESUMED)
    async with asyncio.timeout(2):
        caller = await forward(
            request_state('resumable'), first, second, observer=Observer(60)
        )
    assert caller.body == event(1) + event(2) + event(3)
    assert caller.is_finished


async def test_body_reaches_the_backend_server_unchanged():
    backend = ScriptedBackend([http_response()])
    await forward(
        request_state('non_idempotent', body=b'\r\n\x00POST'), backend
    )
    head, body = backend.requests[0]
    assert body == b'\r\n\x00POST'
    assert head.startswith('POST /draft/%2e/a?b=%20c HTTP/1.1')


@pytest.mark.parametrize('kind', ONCE + REPEATABLE)
@pytest.mark.parametrize('status', ['500 Internal Server Error', '200 OK'])
async def test_only_failures_make_backend_server_unhealthy(
    kind,
    status,
):
    # Guards against an engine that fails every request and still receives more,
    # because a relayed failure counted as a success if the request may not be
    # retried.
    backend = await ScriptedBackend(*[[http_response(b'', status)]] * 4).start()
    reservations = FixedReservations(backend)
    for _ in range(4):
        forwarder = Forwarder(
            PlatformFormat(),
            reservations,
            SharedRetryBudgets(0.2, 0, 10),
            PlannedStop(LoopClock()).check,
            crash_watch(),
            LoopClock(),
        )
        await forwarder.run(request_state(kind, max_attempts=1), Caller())
    now_s = LoopClock().now_s()
    assert reservations.backends[0].is_healthy(now_s) == (status == '200 OK')


@pytest.mark.parametrize('kind', REPEATABLE)
async def test_answer_that_arrived_during_a_freeze_is_delivered(kind):
    # Guards against an entry that has stood still and takes its backend servers
    # for silent: requests ran again elsewhere though their answer was there.
    answer = http_response()
    if kind == 'resumable':
        answer = STREAM_HEAD + chunk(event(1)) + LAST_CHUNK
    first = ScriptedBackend([0.02, Freeze(answer, 0.7)])
    spare = ScriptedBackend([http_response()])
    caller = await forward(request_state(kind), first, spare)
    assert caller.status == 200
    assert caller.is_finished
    assert not spare.requests


async def test_events_that_arrived_during_a_freeze_are_delivered():
    # Guards against an entry that has stood still and resumes its streams
    # elsewhere, though their next events wait to be read.
    rest = chunk(event(2)) + LAST_CHUNK
    begin = STREAM_HEAD + chunk(event(1))
    first = ScriptedBackend([begin, 0.05, Freeze(rest, 0.7)])
    spare = ScriptedBackend([STREAM_HEAD + chunk(event(2)) + LAST_CHUNK])
    caller = await forward(request_state('resumable'), first, spare)
    assert caller.body == event(1) + event(2)
    assert not spare.requests
