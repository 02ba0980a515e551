"""Forwarding: at most once, retries, refusals, streams and their resumption."""

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    Caller,
    FixedReservations,
    ScriptedBackend,
    chunk,
    course_of,
    event,
    http_response,
)

from kumquatrun.errors import BackendError, NoCapacityError, Outcome
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.retry_shares import RetryShares
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.peer.address import Address
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

REPEATABLE = ('idempotent', 'resumable')
ONCE = ('non_idempotent', 'streaming')
FAILURE = http_response(b'failed', '500 Internal Server Error')


async def forward(course, *runners, allowance=100, caller=None):
    started = [await runner.start() for runner in runners]
    caller = caller or Caller()
    forwarder = Forwarder(
        PlatformFormat(),
        FixedReservations(*started),
        RetryShares(0.2, allowance, 10),
        PlannedStop(LoopClock()).check,
        LoopClock(),
    )
    await forwarder.run(course, caller)
    return caller


class Unreachable:
    """Backend server at an address that no connection can go to."""

    def __init__(self, address):
        self.address = address

    async def start(self):
        return self


def course(kind, max_attempts=2, **more):
    if kind == 'resumable':
        return course_of(
            'streaming',
            max_attempts=max_attempts,
            is_resumable=True,
            **more,
        )
    return course_of(kind, max_attempts=max_attempts, **more)


@pytest.mark.parametrize('kind', ONCE)
@pytest.mark.parametrize('end', ['close', 'reset'])
async def test_request_that_may_have_run_is_not_sent_again(kind, end):
    # Guards against a booking that runs twice after a lost answer.
    spare = ScriptedBackend([http_response()])
    with pytest.raises(BackendError) as raised:
        await forward(course(kind), ScriptedBackend([end]), spare)
    assert raised.value.outcome is Outcome.UNKNOWN
    assert not spare.requests


@pytest.mark.parametrize('kind', (*ONCE, 'idempotent'))
async def test_request_that_was_refused_unrun_goes_elsewhere(kind):
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(course(kind, 1), ScriptedBackend([NOT_RUN]), spare)
    assert caller.body == b'ok'


@pytest.mark.parametrize('port', [99999, -5, 0])
async def test_address_that_cannot_be_used_costs_one_attempt(port):
    # Guards against a request that fails although another backend server
    # could answer it.
    odd = Unreachable(Address('127.0.0.1', port))
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(course('non_idempotent'), odd, spare)
    assert caller.body == b'ok'


@pytest.mark.parametrize('status', ['421 Misdirected Request'])
async def test_misdirected_request_was_not_run(status):
    spare = ScriptedBackend([http_response(b'ok')])
    refusal = http_response(b'', status)
    caller = await forward(
        course('non_idempotent'), ScriptedBackend([refusal]), spare
    )
    assert caller.body == b'ok'


async def test_refusal_by_all_is_a_true_not_run():
    runners = [ScriptedBackend([NOT_RUN]) for _ in range(3)]
    with pytest.raises(NoCapacityError) as raised:
        await forward(course('non_idempotent'), *runners)
    assert raised.value.outcome is Outcome.NOT_RUN


async def test_idempotent_request_is_repeated_after_a_failure():
    caller = await forward(
        course('idempotent'),
        ScriptedBackend([FAILURE]),
        ScriptedBackend([http_response(b'ok')]),
    )
    assert (caller.status, caller.body) == (200, b'ok')


async def test_attempts_of_the_route_are_kept():
    # Guards against more backend servers than the operator allows.
    third = ScriptedBackend([http_response()])
    caller = await forward(
        course('idempotent'),
        ScriptedBackend([FAILURE]),
        ScriptedBackend([FAILURE]),
        third,
    )
    assert (caller.status, caller.body) == (500, b'failed')
    assert not third.requests


async def test_failure_is_passed_on_when_no_retry_is_left():
    # Guards against an answer of a backend server that is thrown away.
    spare = ScriptedBackend([http_response()])
    caller = await forward(
        course('idempotent'),
        ScriptedBackend([FAILURE]),
        spare,
        allowance=0,
    )
    assert (caller.status, caller.body) == (500, b'failed')
    assert not spare.requests


async def test_silent_backend_server_is_passed_over_for_repeatable_requests():
    spare = ScriptedBackend([http_response(b'ok')])
    caller = await forward(course('idempotent'), ScriptedBackend([1]), spare)
    assert caller.body == b'ok'


async def test_signature_and_body_are_returned_unchanged():
    whole = http_response(
        b'\x00\xff', headers='X-Kumquatrun-Response-Signature: s\r\n'
    )
    caller = await forward(course('non_idempotent'), ScriptedBackend([whole]))
    assert caller.body == b'\x00\xff'
    assert ('X-Kumquatrun-Response-Signature', 's') in caller.headers


async def test_promise_of_a_backend_server_that_ran_is_not_passed_on():
    # Guards against a caller that is told that its request was not run.
    busy = http_response(b'', '503 Service Unavailable')
    with pytest.raises(BackendError) as raised:
        await forward(course('non_idempotent', 1), ScriptedBackend([busy]))
    assert raised.value.outcome is Outcome.UNKNOWN


async def test_stream_is_relayed_whole():
    script = [STREAM_HEAD, chunk(event(1)), chunk(event(2)), LAST_CHUNK]
    caller = await forward(course('streaming'), ScriptedBackend(script))
    assert caller.body == event(1) + event(2)
    assert caller.is_finished


async def test_stream_that_breaks_does_not_look_complete():
    script = [STREAM_HEAD, chunk(event(1)), 0.02, 'reset']
    caller = Caller()
    runner = await ScriptedBackend(script).start()
    forwarder = Forwarder(
        PlatformFormat(),
        FixedReservations(runner),
        RetryShares(0.2, 100, 10),
        PlannedStop(LoopClock()).check,
        LoopClock(),
    )
    with pytest.raises(BackendError):
        await forwarder.run(course('streaming'), caller)
    assert caller.body == event(1)
    assert not caller.is_finished


@pytest.mark.parametrize('end', ['reset', 1])
async def test_resumable_stream_goes_on_after_the_last_whole_event(end):
    # Guards against a piece that is missing or sent twice.
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
    caller = await forward(course('resumable'), first, second)
    assert caller.body == event(1) + event(2) + event(3)
    assert caller.is_finished
    assert 'last-event-id: 2' in second.requests[0][0]


async def test_body_reaches_the_backend_server_unchanged():
    runner = ScriptedBackend([http_response()])
    await forward(course('non_idempotent', body=b'\r\n\x00POST'), runner)
    head, body = runner.requests[0]
    assert body == b'\r\n\x00POST'
    assert head.startswith('POST /draft/%2e/a?b=%20c HTTP/1.1')


@pytest.mark.parametrize('kind', ONCE + REPEATABLE)
@pytest.mark.parametrize('status', ['500 Internal Server Error', '200 OK'])
async def test_failures_that_are_passed_on_count_against_the_backend_server(
    kind,
    status,
):
    # Guards against an engine that fails every request and gets more of them:
    # failures of requests that may not be repeated counted as successes.
    runner = await ScriptedBackend(*[[http_response(b'', status)]] * 4).start()
    reservations = FixedReservations(runner)
    for _ in range(4):
        forwarder = Forwarder(
            PlatformFormat(),
            reservations,
            RetryShares(0.2, 0, 10),
            PlannedStop(LoopClock()).check,
            LoopClock(),
        )
        await forwarder.run(course(kind, max_attempts=1), Caller())
    now_s = LoopClock().now_s()
    assert reservations.backends[0].is_healthy(now_s) == (status == '200 OK')
