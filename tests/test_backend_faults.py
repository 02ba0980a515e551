"""Faulty backend servers: repeated refusals, stream errors, cut heads."""

import pytest
from tests.gateway_fakes import (
    NOT_RUN,
    STREAM_HEAD,
    Caller,
    FixedReservations,
    ScriptedBackend,
    chunk,
    event,
    http_response,
)
from tests.gateway_host import crash_watch
from tests.test_forwarder import ONCE, REPEATABLE, forward, request_state

from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

REFUSAL_WITHOUT_ID = NOT_RUN.replace(b'X-Kumquatrun-Attempt-Id: {id}\r\n', b'')
REFUSAL_OF_ANOTHER = NOT_RUN.replace(b'{id}', b'another')
WHOLE = STREAM_HEAD + chunk(event(1)) + chunk(b'')


async def forward_twice(kind, scripted):
    """Forward two requests over one connection; return the second caller."""
    reservations = FixedReservations(await scripted.start())
    caller = Caller()
    for current in (Caller(), caller):
        forwarder = Forwarder(
            PlatformFormat(),
            reservations,
            SharedRetryBudgets(0.2, 100, 10),
            PlannedStop(LoopClock()).check,
            crash_watch(),
            LoopClock(),
        )
        await forwarder.run(request_state(kind, max_attempts=1), current)
    return caller


@pytest.mark.parametrize('kind', ONCE + REPEATABLE)
@pytest.mark.parametrize(
    'refusal',
    [REFUSAL_WITHOUT_ID, REFUSAL_OF_ANOTHER],
    ids=['without-id', 'of-another'],
)
async def test_repeated_refusal_is_ignored(kind, refusal):
    # If the repeated refusal is taken as the response to the second request,
    # that request runs but is reported as not run, or runs twice.
    whole = (
        WHOLE if kind in {'streaming', 'resumable'} else http_response(b'mine')
    )
    scripted = ScriptedBackend([whole], [refusal, 0.02, whole])
    caller = await forward_twice(kind, scripted)
    assert caller.status == 200
    assert caller.is_finished
    assert scripted.connections == 1
    assert len(scripted.requests) == 2


@pytest.mark.parametrize('kind', ['streaming', 'resumable'])
@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize(
    'status',
    ['500 Internal Server Error', '404 Not Found', '429 Too Many Requests'],
)
async def test_error_is_not_written_into_a_stream(kind, end, status):
    # An error response of the next attempt must not be written into the stream,
    # and a broken stream must not look complete.
    caller = Caller()
    first = ScriptedBackend([STREAM_HEAD, chunk(event(1)), 0.02, end])
    second = ScriptedBackend([http_response(b'error text', status)])
    with pytest.raises(KumquatrunError) as raised:
        await forward(request_state(kind), first, second, caller=caller)
    assert raised.value.outcome is Outcome.UNKNOWN
    assert caller.body == event(1)
    assert not caller.is_finished


@pytest.mark.parametrize('kind', ONCE + REPEATABLE)
@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize('cut', [12, 17, 30, -2, -1])
async def test_truncated_head_is_not_delivered(kind, end, cut):
    # A truncated head must not become a successful response with an empty or
    # short body.
    caller = Caller()
    head = b'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: {id}\r\n\r\n'
    with pytest.raises(KumquatrunError) as raised:
        await forward(
            request_state(kind, max_attempts=1),
            ScriptedBackend([head[:cut], 0.02, end]),
            caller=caller,
        )
    assert raised.value.outcome is Outcome.UNKNOWN
    assert caller.status == 0
