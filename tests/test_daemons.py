"""Tests of daemons: order of start and stop, signals, drain."""

import asyncio
import logging
import os
import signal
from functools import cache
from unittest.mock import ANY

import aiohttp
import pytest
from bench.local_cluster import free_ports
from click.testing import CliRunner

from kumquatrun.command_line import daemons
from kumquatrun.command_line.cli import main
from kumquatrun.daemon.lifecycle import SIGNALS, Daemon, run_daemon
from kumquatrun.daemon.setting_builder import build_settings
from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.platform.settings import PATH_VARIABLE
from kumquatrun.runtime.clock import LoopClock
from kumquatrun.runtime.metrics import Metrics

SETTINGS = DaemonSettings(host_id='h1', drain_timeout_s=7)
STOPS = ('stop c', 'stop b', 'stop a')


class FakeComponent:
    def __init__(self, name, calls, fail=''):
        self.name = name
        self.calls = calls
        self.fail = fail
        self.drained = asyncio.Event()

    def _call(self, what):
        self.calls.append(f'{what} {self.name}')
        if self.fail == what:
            raise OSError(f'{what} {self.name} failed')

    async def start(self):
        self._call('start')
        if self.fail == 'hang':
            await asyncio.Event().wait()

    async def drain(self, timeout_s):
        self._call(f'drain {timeout_s}')
        await self.drained.wait()

    async def stop(self):
        self._call('stop')


def daemon_of(calls, **fail):
    components = [
        FakeComponent(name, calls, fail.get(name, '')) for name in 'abc'
    ]
    return Daemon(SETTINGS, components, components[2]), components[2]


async def poll(condition):
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('condition not met in 2 s')


@pytest.fixture(autouse=True)
def default_sighup():
    """Start from the default action of SIGHUP, which nohup changes."""
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, former)


async def until(daemon, state):
    await poll(lambda: daemon.state == state)


@pytest.mark.parametrize('number', SIGNALS)
async def test_first_signal_drains_before_the_stop(number):
    calls = []
    daemon, server = daemon_of(calls)
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    os.kill(os.getpid(), number)
    await until(daemon, 'draining')
    await asyncio.sleep(0.02)
    # Guards against a stop that interrupts open requests.
    assert calls == ['start a', 'start b', 'start c', 'drain 7 c']
    server.drained.set()
    await task
    assert calls[4:] == list(STOPS)
    assert daemon.state == 'stopped'


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGHUP'])
async def test_repeated_signal_keeps_draining(caplog, name):
    # Guards against requests that are interrupted because a supervisor or an
    # overlapping rolling restart sends SIGTERM again, or because a terminal
    # is closed.
    caplog.set_level(logging.INFO)
    calls = []
    daemon, server = daemon_of(calls)
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    for number in (signal.SIGTERM, signal.Signals[name], signal.Signals[name]):
        os.kill(os.getpid(), number)
        await until(daemon, 'draining')
        await asyncio.sleep(0.02)
    assert calls == ['start a', 'start b', 'start c', 'drain 7 c']
    assert caplog.text.count('stop_already_begun') == 2
    server.drained.set()
    async with asyncio.timeout(2):
        await task
    assert calls[4:] == list(STOPS)


async def test_ignored_sighup_stays_ignored():
    # Guards against daemons under nohup that stop when their terminal closes.
    calls = []
    daemon, _ = daemon_of(calls)
    former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        task = asyncio.create_task(run_daemon(daemon))
        await until(daemon, 'running')
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.02)
        assert daemon.state == 'running'
    finally:
        signal.signal(signal.SIGHUP, former)
    daemon.terminate('SIGTERM')
    daemon.terminate('SIGINT')
    await task


def test_sighup_during_platform_start_is_ignored():
    # Guards against a process that SIGHUP kills because the settings file
    # changed before the process started to watch it.
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        result = CliRunner(env={PATH_VARIABLE: ''}).invoke(
            main,
            ['platform', 'agent'],
        )
        assert result.exit_code != 0
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, former)


@pytest.mark.parametrize('first', [signal.SIGTERM, signal.SIGINT])
async def test_sigint_after_a_signal_stops_at_once(first):
    # An operator can end a drain that takes too long.
    calls = []
    daemon, _ = daemon_of(calls)
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    os.kill(os.getpid(), first)
    await until(daemon, 'draining')
    os.kill(os.getpid(), signal.SIGINT)
    async with asyncio.timeout(2):
        await task
    assert calls[-3:] == list(STOPS)


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGINT'])
async def test_operator_drain_is_not_a_signal(name):
    # Guards against requests that are interrupted because the platform sends
    # SIGTERM after an operator has drained the host.
    calls = []
    daemon, _ = daemon_of(calls)
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    for _ in range(3):
        daemon.request_drain('drain command')
    await until(daemon, 'draining')
    daemon.terminate(name)
    daemon.request_drain('drain command')
    await asyncio.sleep(0.02)
    assert daemon.state == 'draining'
    daemon.terminate('SIGINT')
    async with asyncio.timeout(2):
        await task
    assert calls[-3:] == list(STOPS)


async def test_signals_during_stop_are_ignored():
    # Guards against components that are stopped twice or not at all.
    calls = []
    daemon, server = daemon_of(calls)
    server.drained.set()
    stop = server.stop

    async def slow_stop():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.02)
        await stop()

    server.stop = slow_stop
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    daemon.terminate('SIGTERM')
    async with asyncio.timeout(2):
        await task
    assert calls[-3:] == list(STOPS)


async def test_signal_after_stop_is_ignored():
    # Guards against a repeated SIGTERM that kills the process after its stop,
    # before it has written its last log lines, with a failed exit code.
    daemon, server = daemon_of([])
    server.drained.set()
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    daemon.terminate('SIGTERM')
    await task
    assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL
    os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.sleep(0.02)
    assert daemon.state == 'stopped'


async def test_signal_at_end_of_start_drains():
    # Guards against a host that keeps serving after SIGTERM until it is killed.
    calls = []
    daemon, server = daemon_of(calls)
    server.drained.set()
    # Handled in the same loop iteration as the end of the start.
    server.start = lambda: _call_soon(daemon.terminate, 'SIGTERM')
    async with asyncio.timeout(2):
        await run_daemon(daemon)
    assert calls == ['start a', 'start b', 'drain 7 c', *STOPS]


async def _call_soon(call, *arguments):
    asyncio.get_running_loop().call_soon(call, *arguments)


async def test_signal_after_server_start_drains():
    # Guards against requests that are interrupted because SIGTERM comes while a
    # component that starts after the server is not ready yet.
    calls = []
    daemon, server = daemon_of(calls)
    daemon.add_component(FakeComponent('d', calls, 'hang'))
    task = asyncio.create_task(run_daemon(daemon))
    await poll(lambda: 'start d' in calls)
    daemon.terminate('SIGTERM')
    await poll(lambda: 'drain 7 c' in calls)
    await asyncio.sleep(0.02)
    assert calls[-1] == 'drain 7 c'
    server.drained.set()
    async with asyncio.timeout(2):
        await task
    assert calls[5:] == ['stop d', *STOPS]


async def test_signal_during_start_stops_started_components():
    calls = []
    daemon, _ = daemon_of(calls, b='hang')
    task = asyncio.create_task(run_daemon(daemon))
    await poll(lambda: 'start b' in calls)
    daemon.terminate('SIGTERM')
    async with asyncio.timeout(2):
        await task
    assert calls == ['start a', 'start b', 'stop b', 'stop a']


async def test_failed_start_stops_started_components():
    # Guards against a process that keeps some components running.
    calls = []
    daemon, _ = daemon_of(calls, b='start')
    with pytest.raises(OSError, match='start b failed'):
        await run_daemon(daemon)
    assert calls == ['start a', 'start b', 'stop b', 'stop a']
    assert daemon.state == 'stopped'


async def test_failed_stop_does_not_skip_the_others():
    calls = []
    daemon, server = daemon_of(calls, c='stop')
    server.drained.set()
    task = asyncio.create_task(run_daemon(daemon))
    await until(daemon, 'running')
    daemon.terminate('SIGTERM')
    await task
    assert calls[-3:] == list(STOPS)


def free_addresses(count):
    return [f'127.0.0.1:{port}' for port in free_ports(count)]


async def test_entry_runs_the_replica_role(tmp_path, monkeypatch):
    # Guards against a start that waits for a replica that the same process
    # starts later, and against a stop in the wrong order.
    monkeypatch.setattr(daemons, 'process_metrics', cache(Metrics))
    http, replica, admin = free_addresses(3)
    settings = build_settings(
        'entry',
        {
            'host_id': 'e1',
            'http_listen': http,
            'admin_listen': admin,
            'control_data_dir': str(tmp_path / 'data'),
            'replica_id': 'a',
            'replica_listen': replica,
            'replicas': f'a={replica}',
            'cluster_token': 'cluster-token',
        },
    )
    daemon = daemons.build_entry(settings, LoopClock())
    task = asyncio.create_task(run_daemon(daemon))
    async with asyncio.timeout(10), aiohttp.ClientSession() as session:
        while daemon.state == 'starting':  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        statuses = [
            await fetch(session, f'http://{admin}/readyz'),
            await fetch(session, f'http://{http}/v1/models'),
        ]
        page = await fetch(session, f'http://{admin}/metrics')
        daemon.terminate('SIGTERM')
        await task
    assert statuses == [(200, 'ready\n'), ANY]
    assert statuses[1][0] == 404
    for line in ('lease_valid 1', 'replica_is_leader 1', 'open_requests 0'):
        assert f'kumquatrun_{line}' in page[1]
    assert daemon.state == 'stopped'


async def fetch(session, url):
    async with session.get(url) as answer:
        return answer.status, await answer.text()
