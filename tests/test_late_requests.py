"""Requests of every kind that arrive late in a planned stop of an entry."""

import asyncio

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    ScriptedBackend,
    chunk,
    event,
    http_response,
)
from tests.gateway_host import served
from tests.late_requests import (
    KINDS,
    Callers,
    SentRequest,
    SlowServer,
    configuration_of_all_kinds,
    find_faults,
    seeded_random,
)

from kumquatrun.control.allowance_pool import AllowanceReply
from kumquatrun.gateway.roles import entry as entry_module

# A short stop, and the platform's 8 s, of which 2.8 s accept new requests.
STOPS = ((2.4, 0.8), (8.0, 2.8))
# Mean pause between requests, as a fraction of the time for the stop.
PAUSE_FRACTION = 1 / 12
# After this time a caller is considered stuck on a connection that is neither
# served nor closed.
CALLERS_END_S = 10
DURATIONS_S = (0.01, 0.2, 0.6, 1.5, 3, 30)


async def play(monkeypatch, seed, stop_s, accept_period_s):
    """Stop an entry under load; return the callers' results and the runs."""
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', accept_period_s)
    rng = seeded_random(seed)
    servers = [
        SlowServer(rng, DURATIONS_S),
        SlowServer(rng, DURATIONS_S, refused_share=0.5),
        SlowServer(rng, DURATIONS_S, silent_share=0.3),
    ]
    async with served(*servers, content=configuration_of_all_kinds()) as host:

        async def charge(request, timeout_s):
            await asyncio.sleep(rng.choice((0, 0, 0.05, 0.25)))
            return AllowanceReply(granted=len(request.amounts))

        host.session.call = charge
        loop = asyncio.get_running_loop()
        callers = Callers(host.port, rng)
        before_s = 0.1 * stop_s
        sigterm_s = loop.time() + before_s
        asking = asyncio.create_task(
            callers.run(sigterm_s + stop_s, PAUSE_FRACTION * stop_s),
        )
        await asyncio.sleep(before_s)
        sigterm_s = loop.time()
        await host.entry.drain(stop_s)
        await host.entry.stop()
        stopped_s = loop.time() - sigterm_s
        async with asyncio.timeout(CALLERS_END_S):
            await asking
    runs = [run for server in servers for run in server.runs]
    return callers.requests, runs, sigterm_s, stopped_s


@pytest.mark.parametrize(('stop_s', 'accept_period_s'), STOPS)
@pytest.mark.parametrize('seed', [1])
async def test_late_request_is_answered_or_refused(
    monkeypatch,
    seed,
    stop_s,
    accept_period_s,
):
    # Guards against requests that a stopping host accepts late and then aborts,
    # among them requests that must not be repeated.
    asked, runs, sigterm_s, _ = await play(
        monkeypatch,
        seed,
        stop_s,
        accept_period_s,
    )
    late = [row for row in asked if row.began_s > sigterm_s]
    assert {row.mode for row in late} == {
        'new',
        'kept',
        'pipelined',
        'slow body',
    }
    assert any(row.status == 200 for row in late)
    assert any(row.status == 503 for row in late)
    found = find_faults(asked, runs, sigterm_s, stop_s)
    assert not found, '\n'.join(found)


async def ask(host, kind, deadline_ms):
    """Send one request on a new connection and read the response."""
    reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
    asked = SentRequest(kind, 'attempt-1', deadline_ms, 'new')
    writer.write(asked.head())
    await asked.receive(reader)
    writer.close()
    return asked


def servers_in_turn(*scripts):
    """Return two backend servers that share a list of response scripts."""
    first, second = ScriptedBackend(*scripts), ScriptedBackend()
    second.scripts = first.scripts
    return first, second


async def stop(host, stop_s):
    """Stop the entry as the daemon does."""
    await host.entry.drain(stop_s)
    await host.entry.stop()


@pytest.fixture
def short_accept_period(monkeypatch):
    """Make stops refuse new requests after 0.1 s."""
    monkeypatch.setattr(entry_module, 'ACCEPT_PERIOD_S', 0.1)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('deadline_ms', [None, 60_000])
async def test_request_outlasting_a_stop_is_refused(
    kind,
    deadline_ms,
):
    # Guards against a request without a deadline of its own, limited only by
    # the timeout of its route, that is forwarded and outlasts the process.
    runner = ScriptedBackend([5])
    async with served(runner, content=configuration_of_all_kinds()) as host:
        stopping = asyncio.create_task(stop(host, 8))
        await asyncio.sleep(0.01)
        asked = await ask(host, kind, deadline_ms)
        assert (asked.status, asked.is_complete) == (503, True)
        assert not runner.requests
        stopping.cancel()


async def test_refused_request_is_not_resent_in_a_stop(
    short_accept_period,
):
    # Guards against a first run late in a stop: the send before SIGTERM was
    # refused, and the request was then sent to another backend server.
    servers = servers_in_turn([0.3, NOT_RUN], [5])
    async with served(*servers, content=configuration_of_all_kinds()) as host:
        asking = asyncio.create_task(ask(host, 'once', None))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(stop(host, 1.4))
        asked = await asking
        assert (asked.status, asked.is_complete) == (503, True)
        assert sum(len(server.requests) for server in servers) == 1
        await stopping


async def test_retry_late_in_a_stop_is_answered(
    short_accept_period,
):
    # Guards against a connection that closes without a response because the
    # request was retried late in the stop.
    servers = servers_in_turn([5], [5])
    async with served(*servers, content=configuration_of_all_kinds()) as host:
        asking = asyncio.create_task(ask(host, 'idempotent', None))
        await asyncio.sleep(0.1)
        await stop(host, 1.2)
        asked = await asking
        assert (asked.status, asked.is_complete) == (502, True)
        assert sum(len(server.requests) for server in servers) == 2


async def test_request_waiting_for_tokens_is_not_sent_late(short_accept_period):
    # Guards against a request that is sent late in a stop because it waited for
    # its tokens until then.
    runner = ScriptedBackend([http_response()])
    async with served(runner, content=configuration_of_all_kinds()) as host:
        host.session.charges_allowed = asyncio.Event()
        asking = asyncio.create_task(ask(host, 'once', 900))
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(host, 1.6))
        await asyncio.sleep(0.2)
        host.session.charges_allowed.set()
        assert (await asking).status == 503
        assert not runner.requests
        await stopping


async def test_resumed_stream_in_a_stop_is_complete(short_accept_period):
    # Guards against a stream that is aborted because its backend server stopped
    # sending during the stop of the host.
    servers = servers_in_turn(
        [STREAM_HEAD, chunk(event(1)), 5],
        [STREAM_HEAD, chunk(event(2)), LAST_CHUNK],
    )
    async with served(*servers, content=configuration_of_all_kinds()) as host:
        stopping = asyncio.create_task(stop(host, 2))
        await asyncio.sleep(0.01)
        asked = await ask(host, 'resumable', 1500)
        assert (asked.status, asked.is_complete) == (200, True)
        assert sum(len(server.requests) for server in servers) == 2
        await stopping
