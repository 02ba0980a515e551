"""Operator calls of the platform with three control replicas."""

import asyncio
import json
import logging
import random
import socket
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest
from tests.control_cluster import control_cluster, eventually
from tests.gateway_fakes import configuration

from kumquatrun.control.allowance_pool import TakeAllowance
from kumquatrun.control.configuration_register import ReadConfiguration
from kumquatrun.control.control_state import ControlState
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer.address import Address
from kumquatrun.peer.messages import Hello
from kumquatrun.platform.operator import LARGE_BODY_BYTES, OperatorApi
from kumquatrun.runtime.clock import LoopClock

CONFIG_APPLY_S = 2.5
# The platform kills a process this long after it sends SIGTERM.
GRACE_S = 8.0


def free_port():
    with socket.socket() as opened:
        opened.bind(('127.0.0.1', 0))
        return opened.getsockname()[1]


class Operator:
    """Calls one control host over HTTP."""

    def __init__(self, port, http, leader):
        self.url = f'http://127.0.0.1:{port}'
        self.http = http
        self.leader = leader

    async def put(self, content):
        async with self.http.post(
            f'{self.url}/Config.Put', data=content
        ) as answer:
            return answer.status

    async def read(self):
        async with self.http.get(f'{self.url}/Config.Get') as answer:
            return answer.status, await answer.read()

    async def name_version(self, **fields):
        async with self.http.post(
            f'{self.url}/version-put', json=fields
        ) as answer:
            return answer.status


@asynccontextmanager
async def operator_of(cluster, state=None):
    leader = LeaderClient(
        cluster.addresses(),
        Hello(node_id='control', incarnation='i'),
        LoopClock(),
        random.Random(1),
    )
    # A session knows a leader, because it renews its lease continuously.
    await leader.call(ReadConfiguration(), 3)
    port = free_port()
    api = OperatorApi(
        OperatorProxy(leader, state or ControlState()),
        Address('127.0.0.1', port),
        LoopClock(),
    )
    await api.start()
    async with aiohttp.ClientSession() as http:
        yield Operator(port, http, leader)
    await api.stop()
    await leader.close()


async def test_configuration_is_read_back_byte_for_byte():
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        content = configuration(version=3)
        assert await operator.put(content) == 200
        assert await operator.read() == (200, content)


async def test_confirmation_log_has_durations(caplog):
    # Guards against late acknowledgements whose cause is not logged.
    caplog.set_level(logging.INFO)
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert await operator.put(configuration(version=3)) == 200
    rows = [getattr(row, 'event_fields', {}) for row in caplog.records]
    lines = {row.get('event'): row for row in rows}
    sent = lines['configuration_sent']
    assert (sent['version'], sent['base_version']) == (3, 0)
    assert (sent['parts'], sent['base_changed'], sent['in_force']) == (
        1,
        False,
        3,
    )
    confirmed = lines['configuration_confirmed']
    assert (confirmed['version'], confirmed['routes']) == (3, 2)
    assert 0 <= confirmed['read_ms'] <= confirmed['took_ms'] < 1000


async def test_resent_configuration_is_accepted_and_not_reverted():
    # Guards against a resent change that is refused, and against different
    # content under a version that is already committed.
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        newest = configuration(version=5)
        for content in (
            configuration(version=3),
            newest,
            configuration(version=3),
            configuration(version=5, tenants=[]),
            newest,
        ):
            assert await operator.put(content) == 200
        assert await operator.read() == (200, newest)


@pytest.mark.parametrize(
    'content',
    [b'', b'{', configuration(version=9)[:-20], configuration(version=0)],
)
async def test_invalid_configuration_changes_nothing(content):
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        valid = configuration(version=3)
        await operator.put(valid)
        assert await operator.put(content) == 400
        assert await operator.read() == (200, valid)


async def test_read_without_majority_is_unavailable():
    # Guards against an older configuration that is returned without a majority.
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert (await operator.read())[0] == 503
        await operator.put(configuration(version=3))
        for name in list(cluster.hosts)[:2]:
            await cluster.kill_replica(name)
        assert (await operator.read())[0] == 503
        assert await operator.put(configuration(version=4)) == 503


async def test_committed_change_is_confirmed_again_without_a_majority():
    # Guards against a committed change that no host confirms after its first
    # acknowledgement was lost, and against confirming an uncommitted change.
    async with control_cluster() as cluster:
        name = next(row for row in cluster.names if row != cluster.leader())
        state = cluster.hosts[name].state
        async with operator_of(cluster, state) as operator:
            content = configuration(version=3)
            assert await operator.put(content) == 200
            fields = {'model': 'm', 'adapter': 'a1', 'version': 2}
            assert await operator.name_version(**fields) == 200
            await eventually(lambda: state.adapter_version('m', 'a1') == 2, 2)
            for other in set(cluster.names) - {name}:
                await cluster.kill_replica(other)
            assert await operator.put(content) == 200
            assert await operator.put(configuration(version=2)) == 200
            assert await operator.name_version(**fields) == 200
            assert await operator.put(configuration(version=4)) == 503
            fields['version'] = 3
            assert await operator.name_version(**fields) == 503
            assert (await operator.read())[0] == 503


async def test_configuration_survives_the_loss_of_its_leader():
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        content = configuration(version=3)
        await operator.put(content)
        await cluster.kill_replica(cluster.leader())
        await cluster.wait_leader()
        assert await operator.read() == (200, content)


async def test_change_reaches_the_hosts_in_time():
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        entry = await cluster.join('entry-1')
        await eventually(entry.lease_valid, 5)
        content = configuration(version=3)
        await operator.put(content)
        assert (
            await operator.name_version(model='m', adapter='a1', version=2)
            == 200
        )
        await eventually(
            lambda: entry.view.adapter_version('m', 'a1') == 2,
            CONFIG_APPLY_S,
        )
        assert entry.view.configuration == (3, content)


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'model': 'm', 'version': 'new'},
        {'model': 'm', 'version': float('inf')},
        {'model': 'm', 'version': float('nan')},
    ],
)
async def test_unreadable_version_is_refused(fields):
    # Guards against an internal error, after which the operator resends the
    # call.
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert await operator.name_version(**fields) == 400


async def test_leader_grants_by_the_newest_configuration():
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        await operator.put(configuration(version=3))
        request = TakeAllowance(account='lamps', amounts=(400, 400, 400))
        reply = await operator.leader.call(request, 2)
        assert reply.granted == 1
        account = json.loads(configuration())['tenants'][0]
        account['rate_per_s'] = account['burst'] = 0
        await operator.put(configuration(version=4, tenants=[account]))
        assert (await operator.leader.call(request, 2)).granted == 3


async def test_list_of_backend_servers_reaches_an_entry():
    async with control_cluster() as cluster:
        for host in cluster.hosts.values():
            host.service._listing = Listing()
        entry = await cluster.join('entry-1')
        received = []
        entry.follow_listing(lambda encoded, age_s: received.append(encoded))
        await eventually(lambda: len(received) >= 3, 8)
        assert received[0] == b'list'
        assert set(received[1:]) == {None}


class Listing:
    version = 'one'
    encoded = b'list'

    def age_s(self, now_s):
        return 0.1


async def test_changed_addresses_lead_to_the_leader():
    async with control_cluster() as cluster:
        leader = LeaderClient(
            (Address('127.0.0.1', 1),),
            Hello(node_id='n', incarnation='i'),
            LoopClock(),
            random.Random(1),
        )
        leader.set_addresses(cluster.addresses())
        reply = await leader.call(TakeAllowance(account='a', amounts=(1,)), 3)
        assert reply.granted == 1
        await asyncio.sleep(0)
        await leader.close()


class SlowProxy:
    """Commits a change after ``commit_s`` seconds."""

    def __init__(self, commit_s):
        self.commit_s = commit_s

    async def put(self, change):
        await asyncio.sleep(self.commit_s)
        return change.version


@asynccontextmanager
async def api_of(proxy):
    port = free_port()
    api = OperatorApi(proxy, Address('127.0.0.1', port), LoopClock())
    await api.start()
    async with aiohttp.ClientSession() as http:
        yield api, Operator(port, http, None)
    await api.stop()


async def test_open_change_is_answered_during_a_planned_stop():
    # Guards against a committed change without an acknowledgement, and against
    # new changes that are accepted by a host about to stop.
    async with api_of(SlowProxy(0.5)) as (api, operator):
        change = asyncio.create_task(operator.put(configuration(version=3)))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(api.drain(GRACE_S))
        await asyncio.sleep(0.1)
        started_s = time.monotonic()
        assert await operator.put(configuration(version=4)) == 503
        assert (await operator.read())[0] == 503
        assert time.monotonic() - started_s < 0.2
        assert await change == 200
        await drain
        await api.stop()
        async with aiohttp.ClientSession() as http:
            operator.http = http
            with pytest.raises(aiohttp.ClientConnectorError):
                await operator.put(configuration(version=5))


async def test_incomplete_body_does_not_delay_a_planned_stop():
    # Guards against a process that is killed because it still waits for the
    # rest of a body when the platform's time for a stop has passed.
    async with api_of(SlowProxy(0)) as (api, operator):
        port = int(operator.url.rpartition(':')[2])
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST /Config.Put HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: 100\r\n\r\n{'
        )
        await asyncio.sleep(0.1)
        async with asyncio.timeout(GRACE_S - 1):
            await api.drain(GRACE_S)
            await api.stop()
        writer.close()


async def test_second_large_body_at_once_is_refused():
    # Guards against a host that runs out of memory while it serves callers,
    # because it reads several of the largest bodies at once. The operator calls
    # another host.
    large = configuration(version=3, filler='x' * LARGE_BODY_BYTES)
    async with api_of(SlowProxy(0.5)) as (_, operator):
        first = asyncio.create_task(operator.put(large))
        await asyncio.sleep(0.2)
        assert await operator.put(large) == 503
        assert await operator.put(configuration(version=4)) == 200
        assert await first == 200
        assert await operator.put(large) == 200
