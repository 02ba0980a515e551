"""Tests of the platform's host list: a leaving host drains itself."""

import asyncio
import json

import pytest
from tests.control_cluster import eventually
from tests.gateway_fakes import ScriptedBackend, http_response

from kumquatrun.daemon.host_list import HostListWatcher
from kumquatrun_standins.host_list import HostList

# Design page, 1.1: a leaving host gets no new work after 4 s, plus the delay of
# the list.
BOUND_S = 4.0
LAG_S = 0.2


@pytest.fixture
async def platform():
    host_list = await HostList(LAG_S).start()
    yield host_list
    await host_list.stop()


async def test_leaving_host_is_drained_once(platform):
    # Guards against a host that keeps serving although the platform removes it.
    calls = []
    watcher = HostListWatcher(platform.url, 'agent-1', lambda: calls.append(1))
    await watcher.start()
    platform.set_state('agent-1', 'live')
    platform.set_state('agent-2', 'leaving')
    await asyncio.sleep(LAG_S + 0.1)
    assert not calls
    platform.set_state('agent-1', 'leaving')
    await eventually(lambda: calls, LAG_S + BOUND_S)
    await asyncio.sleep(1.2)
    assert calls == [1]
    await watcher.stop()


async def test_unreachable_list_changes_nothing(platform):
    # Guards against a host that drains because the list is unreachable.
    calls = []
    watcher = HostListWatcher(
        f'{platform.url}/nothing', 'agent-1', lambda: calls.append(1)
    )
    await watcher.start()
    await asyncio.sleep(0.3)
    await platform.stop()
    await asyncio.sleep(1.2)
    assert not calls
    await watcher.stop()


@pytest.mark.parametrize('body', [b'[' * 100_000, b'1' * 5000, b'[]', b'\xff'])
async def test_unreadable_list_is_read_again(body):
    # Guards against a host that keeps serving although the platform removes it:
    # an unexpected type of error ended the task that polls the list.
    listed = json.dumps({'agent-1': 'leaving'}).encode()
    json_type = 'Content-Type: application/json\r\n'
    runner = await ScriptedBackend(
        [http_response(body, headers=json_type), 'close'],
        *[[http_response(listed, headers=json_type)]] * 3,
    ).start()
    calls = []
    watcher = HostListWatcher(
        f'http://{runner.address}', 'agent-1', lambda: calls.append(1)
    )
    await watcher.start()
    await eventually(lambda: calls, BOUND_S)
    await watcher.stop()
