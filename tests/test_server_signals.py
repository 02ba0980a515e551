"""Backend servers that leave, or want no requests from this host for a while.

Guards against a request that is sent to a server after an answer of that server
asked for none, whatever kind of answer it was and whatever the listing says.
"""

import asyncio
import random
from contextlib import suppress
from dataclasses import replace

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    Caller,
    ScriptedBackend,
    chunk,
    event,
    http_response,
    request_state_of,
)
from tests.gateway_host import crash_watch

from kumquatrun.errors import BackendError, KumquatrunError, NoCapacityError
from kumquatrun.gateway.backends.backends import BackendRecord, BackendTable
from kumquatrun.gateway.backends.response_head import Framing, ResponseHead
from kumquatrun.gateway.backends.server_signals import (
    MAX_QUIET_S,
    RESTART_CONFIRMATION_S,
)
from kumquatrun.gateway.forwarding.forwarder import Forwarder
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.eligibility import (
    ALL_LEAVING,
    ALL_QUIET,
    LEAVING_RETRY_AFTER_S,
    Eligibility,
)
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.peer.address import Address
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

LEAVING = 'Server-Leaving: 1\r\n'
REFUSED = '503 Service Unavailable'
UNRUN = 'X-Kumquatrun-Not-Executed: 1\r\n'
LEAVING_STREAM = STREAM_HEAD.replace(
    b'\r\n\r\n', b'\r\nServer-Leaving: 1\r\n\r\n'
)
ANSWERS = {
    'success': [http_response(headers=LEAVING)],
    'refusal': [http_response(b'', REFUSED, LEAVING + UNRUN)],
    'error': [http_response(b'', '500 Internal Server Error', LEAVING)],
    'not there': [http_response(b'', '421 Misdirected Request', LEAVING)],
    'late answer': [http_response(headers=LEAVING, request_id='old'), 'close'],
}


def quiet(retry_after):
    return http_response(b'', REFUSED, f'Retry-After: {retry_after}\r\n{UNRUN}')


class ManualClock:
    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


def record(number, address=None, **more):
    return BackendRecord(
        backend_id=f'i-{number}',
        service='assistant',
        address=address or Address('10.0.0.1', 8000 + number),
        failure_domain='a',
        **more,
    )


class Gateway:
    """The parts of an entry that choose a server and send to it."""

    def __init__(self, *records, clock=None):
        self.clock = clock or LoopClock()
        self.table = BackendTable(clock=self.clock)
        self.table.update(records)
        self.reservations = Reservations(
            self.table,
            Balancer(
                Locality(failure_domain='a', regions={'a': 'r'}),
                random.Random(1),
            ),
            None,
            lambda model, adapter: 0,
            Eligibility({'a': 'r'}, lambda: None, self.clock),
            self.clock,
        )
        self.forwarder = Forwarder(
            PlatformFormat(),
            self.reservations,
            SharedRetryBudgets(0.2, 100, 10),
            PlannedStop(LoopClock()).check,
            crash_watch(),
            LoopClock(),
        )

    def backend(self, number):
        return self.table.by_id()[f'i-{number}']

    async def send(self, kind='idempotent', caller=None):
        caller = caller or Caller()
        await self.forwarder.run(request_state_of(kind), caller)
        return caller

    async def chosen(self):
        row = request_state_of('idempotent')
        async with self.reservations.reserve(row) as reservation:
            return reservation.backend.backend_id


async def started(*backends):
    addresses = [(await backend.start()).address for backend in backends]
    return Gateway(
        *(record(number, address) for number, address in enumerate(addresses))
    )


@pytest.mark.parametrize('kind', ANSWERS)
async def test_answer_of_any_kind_says_that_the_server_leaves(kind):
    leaving = ScriptedBackend(ANSWERS[kind], [http_response()])
    gateway = await started(leaving)
    with suppress(KumquatrunError):
        await gateway.send('non_idempotent')
    with pytest.raises(NoCapacityError) as caught:
        await gateway.send()
    assert caught.value.cause == ALL_LEAVING
    assert caught.value.retry_after_s == LEAVING_RETRY_AFTER_S
    assert len(leaving.requests) == 1


async def test_head_of_a_stream_says_that_the_server_leaves():
    # The next request comes while the stream is still running.
    leaving = ScriptedBackend(
        [LEAVING_STREAM, chunk(event(1)), 0.4, LAST_CHUNK], [http_response()]
    )
    spare = ScriptedBackend([http_response()], [http_response()])
    gateway = await started(leaving, spare)
    gateway.backend(1).reported_load = 9
    caller = Caller()
    stream = asyncio.create_task(gateway.send('streaming', caller))
    await asyncio.sleep(0.1)
    assert caller.body
    gateway.backend(1).reported_load = 99
    await gateway.send()
    await stream
    assert caller.is_finished
    assert (len(leaving.requests), len(spare.requests)) == (1, 1)


@pytest.mark.parametrize('signal', ['leaving', 'quiet'])
@pytest.mark.parametrize('waits_for', ['agent', 'connection'])
async def test_request_that_was_waiting_is_sent_elsewhere(
    signal, waits_for, monkeypatch
):
    # The answer came after the choice and before the send.
    asks = ScriptedBackend([http_response()])
    spare = ScriptedBackend([http_response()])
    gateway = await started(asks, spare)
    gateway.backend(1).reported_load = 9
    backend = gateway.backend(0)

    def ask():
        if signal == 'leaving':
            backend.signals.record_leaving()
        else:
            backend.signals.record_quiet(5, gateway.clock.now_s())

    acquire = backend.pool.acquire
    reserve = gateway.reservations._try_reserve

    async def late_acquire(**options):
        connection = await acquire(**options)
        ask()
        return connection

    async def late_reserve(request_state, chosen, *rest):
        if chosen is backend:
            ask()
        return await reserve(request_state, chosen, *rest)

    if waits_for == 'agent':
        monkeypatch.setattr(gateway.reservations, '_try_reserve', late_reserve)
    else:
        monkeypatch.setattr(backend.pool, 'acquire', late_acquire)
    caller = await gateway.send('non_idempotent')
    assert caller.status == 200
    assert (len(asks.requests), len(spare.requests)) == (0, 1)


async def test_newer_listing_does_not_end_the_mark():
    # The listing lags, and a single one may lack the server.
    clock = ManualClock()
    gateway = Gateway(record(0), record(1), clock=clock)
    gateway.backend(0).signals.record_leaving()
    for listing in ([0, 1], [1], [0, 1], [0, 1]):
        clock.time_s += RESTART_CONFIRMATION_S / 4
        gateway.table.update(map(record, listing))
        assert await gateway.chosen() == 'i-1'


async def test_new_process_id_at_the_address_is_used():
    gateway = Gateway(record(0))
    gateway.backend(0).signals.record_leaving()
    gateway.table.update([replace(record(0), backend_id='i-9')])
    assert await gateway.chosen() == 'i-9'


@pytest.mark.parametrize('gone', [[], [record(0, is_draining=True)]])
async def test_process_that_restarts_under_its_id_is_used_again(gone):
    clock = ManualClock()
    gateway = Gateway(record(0), clock=clock)
    gateway.backend(0).signals.record_leaving()
    gateway.table.update(gone)
    gateway.table.update([record(0)])
    clock.time_s = RESTART_CONFIRMATION_S
    gateway.table.update([record(0)])
    assert await gateway.chosen() == 'i-0'


async def test_listed_as_draining_and_leaving_is_refused_at_once():
    # A caller would wait in vain for the listing.
    gateway = Gateway(record(0))
    gateway.backend(0).signals.record_leaving()
    gateway.table.update([record(0, is_draining=True)])
    began_s = gateway.clock.now_s()
    with pytest.raises(NoCapacityError) as caught:
        await gateway.chosen()
    assert caught.value.cause == ALL_LEAVING
    assert gateway.clock.now_s() - began_s < 0.1


async def test_server_that_asks_for_quiet_is_left_out():
    asks = ScriptedBackend([quiet('30.5')], [http_response()])
    spare = ScriptedBackend(*[[http_response()]] * 3)
    gateway = await started(asks, spare)
    for load in (9, 99, 99):
        gateway.backend(1).reported_load = load
        caller = await gateway.send('non_idempotent')
        assert caller.status == 200
    assert (len(asks.requests), len(spare.requests)) == (1, 3)


async def test_shortest_pause_is_passed_on_if_all_ask_for_quiet():
    backends = [ScriptedBackend([quiet(value)]) for value in ('20', '7.5')]
    gateway = await started(*backends)
    for _ in range(5):
        with pytest.raises(NoCapacityError) as caught:
            await gateway.send()
        assert caught.value.cause == ALL_QUIET
        assert 7 < caught.value.retry_after_s <= 7.5
    assert [len(backend.requests) for backend in backends] == [1, 1]


async def test_server_is_used_again_after_its_pause():
    clock = ManualClock()
    gateway = Gateway(record(0), clock=clock)
    signals = gateway.backend(0).signals
    signals.record_quiet(2.5, clock.now_s())
    # An answer to a request that was sent earlier does not end it sooner.
    signals.record_quiet(0.1, clock.now_s())
    clock.time_s = 2.4
    with pytest.raises(NoCapacityError):
        await gateway.chosen()
    clock.time_s = 2.5
    assert await gateway.chosen() == 'i-0'


async def test_503_that_may_have_run_also_asks_for_quiet():
    answer = http_response(b'', REFUSED, 'Retry-After: 9\r\n')
    backend = ScriptedBackend([answer])
    gateway = await started(backend)
    with pytest.raises(BackendError):
        await gateway.send('non_idempotent')
    with pytest.raises(NoCapacityError) as caught:
        await gateway.send('non_idempotent')
    assert caught.value.cause == ALL_QUIET


def test_huge_pause_is_cut():
    backend = Gateway(record(0), clock=ManualClock()).backend(0)
    assert (
        backend.signals.record_quiet(float('1' + '0' * 400), 0) == MAX_QUIET_S
    )
    assert backend.signals.quiet_s(0) == MAX_QUIET_S


def info_of(*headers, status=503):
    head = ResponseHead(
        status=status,
        reason='',
        headers=headers,
        body=None,
        framing=Framing.EMPTY,
        keeps_alive=True,
    )
    return PlatformFormat().read_response(head)


BAD_VALUES = (
    b'',
    b'-1',
    b'nan',
    b'inf',
    b'1e400',
    b'1, 1',
    b'soon',
    b'\xd9\xa1',
    b'\xff',
    b'1_0',
)


@pytest.mark.parametrize('value', BAD_VALUES)
@pytest.mark.parametrize('name', [b'Retry-After', b'Server-Leaving'])
def test_malformed_header_counts_as_absent(name, value):
    info = info_of((name, value))
    assert (info.is_leaving, info.quiet_s) == (False, 0)
    assert info.unreadable_headers == (name.decode().lower(),)


@pytest.mark.parametrize('name', [b'Retry-After', b'Server-Leaving'])
def test_repeated_header_counts_as_absent(name):
    info = info_of((name, b'1'), (name.lower(), b'1'))
    assert (info.is_leaving, info.quiet_s) == (False, 0)
    assert info.unreadable_headers == (name.decode().lower(),)


def test_headers_are_read():
    assert info_of((b'retry-after', b' 1.5 ')).quiet_s == 1.5
    assert info_of((b'Retry-After', b'0')) == info_of()
    assert info_of((b'Retry-After', b'2'), status=429).quiet_s == 0
    assert info_of((b'SERVER-LEAVING', b'1'), status=200).is_leaving
    assert not info_of((b'Server-Leaving', b'0')).is_leaving


async def test_malformed_header_is_logged_once(caplog):
    bad = http_response(headers='Server-Leaving: maybe\r\n')
    gateway = await started(ScriptedBackend([bad], [bad]))
    with caplog.at_level('INFO'):
        for _ in range(2):
            assert (await gateway.send()).status == 200
    logged = [
        row for row in caplog.records if 'header_unreadable' in row.getMessage()
    ]
    assert len(logged) == 1
