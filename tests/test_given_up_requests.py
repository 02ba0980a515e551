"""Expired and abandoned requests at engines that stall and then resume."""

import asyncio

import pytest
from tests.gateway_fakes import (
    Caller,
    Engine,
    FixedReservations,
    request_state_of,
)
from tests.gateway_host import crash_watch
from tests.test_engine_agent import AdapterCall, agent_of

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.backends import connection_pool
from kumquatrun.gateway.backends.backend_connection import BackendConnection
from kumquatrun.gateway.forwarding.forwarder import (
    RESPONSE_MARGIN_MS,
    Forwarder,
)
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.roles.planned_stop import PlannedStop
from kumquatrun.peer.address import Address
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime

REQUEST_TIMEOUT_S = 2.0
DEADLINE_HEADER = 'x-kumquatrun-deadline-ms: '


class FakeTransport:
    """Transport to a ``StalledEngine``; an abort drops unread bytes."""

    def __init__(self, engine):
        self.engine = engine
        self.unread = b''
        self.is_aborted = False

    def write(self, data):
        self.unread += data
        self.engine.sent_requests.append((_now_s(), data.decode()))
        if not self.engine.is_stalled:
            self.engine.read(self)

    def abort(self):
        self.is_aborted = True
        self.unread = b''

    def is_closing(self):
        return self.is_aborted

    def get_extra_info(self, name):
        return None


class StalledEngine:
    """Engine that reads nothing until it resumes, and then all unread bytes.

    It accepts a connection only after ``accept_delay_s``.
    """

    def __init__(self, accept_delay_s=0.0):
        self.address = Address('10.0.0.1', 8000)
        self.accept_delay_s = accept_delay_s
        self.is_stalled = True
        self.transports = []
        self.sent_requests = []
        self.started = []

    async def connect(self):
        await asyncio.sleep(self.accept_delay_s)
        connection = BackendConnection(asyncio.get_running_loop())
        transport = FakeTransport(self)
        connection.connection_made(transport)
        self.transports.append(transport)
        return connection

    def resume(self):
        self.is_stalled = False
        for transport in self.transports:
            self.read(transport)

    def read(self, transport):
        if transport.unread:
            self.started.append(transport.unread)
            transport.unread = b''

    def sends_and_limits_ms(self):
        """Return the time of each send and the time limit in its header."""
        return [
            (
                at_s,
                int(
                    head.lower().partition(DEADLINE_HEADER)[2].split('\r\n')[0]
                ),
            )
            for at_s, head in self.sent_requests
        ]


@pytest.fixture
def engines(monkeypatch):
    fake_engines = [StalledEngine(), StalledEngine()]
    fake_engines[1].address = Address('10.0.0.2', 8000)
    by_address = {engine.address: engine for engine in fake_engines}

    async def open_connection(address):
        return await by_address[address].connect()

    monkeypatch.setattr(connection_pool, 'open_connection', open_connection)
    return fake_engines


async def forward(request_state, engines, *, has_idle_connections=False):
    """Forward a request as an entry does, until its deadline."""
    reservations = FixedReservations(*engines)
    if has_idle_connections:
        for engine, backend in zip(engines, reservations.backends, strict=True):
            backend.pool._idle.append(await engine.connect())
    forwarder = Forwarder(
        PlatformFormat(),
        reservations,
        SharedRetryBudgets(0.2, 100, 10),
        PlannedStop(LoopClock()).check,
        crash_watch(),
        LoopClock(),
    )
    async with asyncio.timeout_at(request_state.deadline_s):
        await forwarder.run(request_state, Caller())


def request_state(kind):
    is_resumable = kind == 'resumable'
    state = request_state_of(
        'streaming' if is_resumable else kind,
        max_attempts=2,
        is_resumable=is_resumable,
    )
    state.deadline_s = _now_s() + REQUEST_TIMEOUT_S
    return state


KINDS = ('idempotent', 'non_idempotent', 'streaming', 'resumable')


@pytest.mark.parametrize('kind', KINDS)
async def test_expired_request_is_not_run(
    kind,
    engines,
):
    # Guards against a run on an engine that stalled and resumes after the
    # deadline of the request.
    with pytest.raises((TimeoutError, KumquatrunError)):
        await forward(request_state(kind), engines)
    assert any(engine.sent_requests for engine in engines)
    for engine in engines:
        engine.resume()
        assert not engine.started


@pytest.mark.parametrize('kind', KINDS)
async def test_abandoned_request_is_not_run(
    kind,
    engines,
):
    # Guards against a run on a resumed engine after the caller disconnected.
    work = asyncio.create_task(forward(request_state(kind), engines))
    await asyncio.sleep(0.1)
    assert any(engine.sent_requests for engine in engines)
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)
    for engine in engines:
        engine.resume()
        assert not engine.started


async def test_abandoned_request_is_not_sent(engines):
    # Guards against a send to a backend server whose connection was established
    # only after the caller disconnected.
    for engine in engines:
        engine.accept_delay_s = 1
    work = asyncio.create_task(
        forward(request_state('non_idempotent'), engines)
    )
    await asyncio.sleep(0.5)
    work.cancel()
    await asyncio.sleep(1)
    assert not any(engine.sent_requests for engine in engines)


@pytest.mark.parametrize('kind', ['idempotent', 'resumable'])
async def test_remaining_time_is_forwarded(kind, engines):
    # Guards against an engine that works for longer than the caller waits: a
    # retry must forward a shorter time limit than the first attempt.
    state = request_state(kind)
    with pytest.raises((TimeoutError, KumquatrunError)):
        await forward(state, engines)
    limits = [engine.sends_and_limits_ms() for engine in engines]
    assert [len(sends) for sends in limits] == [1, 1]
    for ((sent_s, limit_ms),) in limits:
        expected_ms = (state.deadline_s - sent_s) * 1000 - RESPONSE_MARGIN_MS
        assert limit_ms == pytest.approx(expected_ms, abs=1)
    assert limits[0][0][1] > limits[1][0][1] + 100


@pytest.mark.parametrize('late_s', [0, 0.5])
async def test_expired_request_is_not_sent(late_s, engines):
    # Guards against a request that is sent on an idle connection after its
    # deadline: its body arrived slowly, or it waited for tokens.
    state = request_state('non_idempotent')
    state.deadline_s = _now_s() - late_s
    with pytest.raises((TimeoutError, KumquatrunError)):
        await forward(state, engines, has_idle_connections=True)
    assert not any(engine.sent_requests for engine in engines)


async def test_adapter_of_abandoned_request_is_not_loaded():
    # Guards against a useless load: the host of the agent stalled, so the agent
    # reads the start and the cancellation of a call at the same time.
    engine = Engine()
    async with agent_of(engine) as agent:
        use = AdapterCall(agent, 'a1')
        await asyncio.sleep(0)
        await use.end()
        await asyncio.sleep(1)
        assert not engine.orders


async def test_adapter_without_waiters_is_not_loaded():
    # Guards against a load for a caller that disconnected while its adapter
    # waited for the slot of another adapter.
    engine = Engine(slots=1)
    async with agent_of(engine) as agent:
        first = AdapterCall(agent, 'a1', 'first')
        await first.ready()
        second = AdapterCall(agent, 'a2', 'second')
        await asyncio.sleep(0.5)
        await second.end()
        await first.end()
        await asyncio.sleep(1)
        assert [order.adapter for order in engine.orders] == ['a1']


def _now_s():
    return asyncio.get_running_loop().time()
