"""Failure domains that the operator evacuates and takes back."""

import asyncio
import random
from contextlib import asynccontextmanager

import aiohttp
import msgpack
import pytest
from tests.control_cluster import control_cluster, eventually
from tests.gateway_fakes import CONFIGURATION, configuration, request_state_of
from tests.test_allowed_regions import REGIONS, configured, fleet
from tests.test_operator_hosts import on_host, play, start_with_configuration
from tests.test_platform_operator import free_port

from kumquatrun.control.commands import (
    decode_results,
    encode_batch,
)
from kumquatrun.control.configuration_register import ReadConfiguration
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.evacuations import FinishEvacuation, StartEvacuation
from kumquatrun.errors import NoCapacityError
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.gateway.placement.candidates import NONE_ELIGIBLE
from kumquatrun.gateway.placement.eligibility import Eligibility
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.gateway.roles.cluster_view_state import ClusterViewState
from kumquatrun.gateway.roles.evacuation_report import EvacuationReport
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer import Address
from kumquatrun.peer.messages import ErrorReply, Hello
from kumquatrun.peer.node_messages import FeedItem
from kumquatrun.platform.operator import OperatorApi
from kumquatrun.runtime.clock import LoopClock
from kumquatrun.runtime.metrics import Metrics

COMMANDS = {'start': StartEvacuation, 'finish': FinishEvacuation}


def command(action, domain='a1', operation_id='o'):
    return COMMANDS[action](
        failure_domain=domain, operator='amina', operation_id=operation_id
    )


class State:
    """Control state with a view that follows its feed."""

    def __init__(self):
        self.control = ControlState()
        self.view = ClusterView()
        self.index = 0

    def run(self, *commands):
        self.index += 1
        batch = encode_batch(1, commands)
        results = decode_results(self.control.apply(self.index, batch))
        for item in self.control.drain_changes():
            self.view.apply(item)
        return results

    def domains(self):
        assert self.control.status()['evacuated_domains'] == sorted(
            self.view.evacuated_domains()
        )
        return self.view.evacuated_domains()


def test_commands_take_effect_in_the_order_of_their_commit():
    # Guards against an evacuation that a repeated call reverses or refuses.
    state = State()
    for number, (action, expected) in enumerate(
        [
            ('finish', set()),
            ('start', {'a1'}),
            ('start', {'a1'}),
            ('finish', set()),
            ('finish', set()),
            ('start', {'a1'}),
        ]
    ):
        (reply,) = state.run(command(action, operation_id=str(number)))
        assert reply.is_evacuated is (action == 'start')
        assert state.domains() == expected
    actions = [row.action for row in state.control.audit()]
    assert actions == [
        f'{row}_evacuation' for row in ('start', 'finish', 'start')
    ]


def test_call_that_is_sent_again_runs_once():
    # Guards against a start that takes effect again after the finish, because
    # its first reply was lost.
    state = State()
    state.run(command('start', operation_id='1'))
    state.run(command('finish', operation_id='2'))
    state.run(command('start', operation_id='1'))
    assert state.domains() == set()


@pytest.mark.parametrize('domain', ['', 'x' * 300])
def test_invalid_name_changes_nothing(domain):
    state = State()
    (reply,) = state.run(command('start', domain))
    assert isinstance(reply, ErrorReply)
    assert state.domains() == set()


def test_snapshots_hold_evacuated_domains():
    # Guards against an evacuation that is gone after a restart of a replica, or
    # on a host that starts later; earlier snapshots have none.
    state = State()
    empty = state.control.snapshot()
    state.run(command('start', 'a1', '1'), command('start', 'b1', '2'))
    restored = ControlState()
    restored.restore(state.control.snapshot())
    assert restored.status()['evacuated_domains'] == ['a1', 'b1']
    view = ClusterView()
    view.apply(restored.snapshot_feed())
    assert view.evacuated_domains() == {'a1', 'b1'}
    body = msgpack.unpackb(restored.snapshot_feed().body)
    body.pop('evacuated_domains')
    older = FeedItem(index=9, kind='snapshot', body=msgpack.packb(body))
    assert view.apply(older)
    assert view.evacuated_domains() == set()
    restored.restore(empty)
    assert restored.status()['evacuated_domains'] == []


def test_return_of_a_failure_domain_is_told():
    # Guards against requests for all servers of a domain that may be cold.
    state = State()
    returned = []
    report = EvacuationReport(state.view, Metrics(), returned.append)
    for action in ('start', 'finish'):
        state.run(command(action, operation_id=action))
        report.update()
    assert returned == ['a1']


def test_change_is_reported_once(caplog):
    # Guards against a host that treats a failure domain as evacuated, without
    # an operator who can see it.
    caplog.set_level('INFO')
    state = State()
    metrics = Metrics()
    report = EvacuationReport(state.view, metrics)
    state.run(command('start'))
    report.update()
    report.update()
    events = [row.event_fields for row in caplog.records]
    assert [(row['domains'], row['before']) for row in events] == [('a1', '')]
    content, _ = metrics.render(())
    assert 'kumquatrun_evacuated_domains 1' in content.decode()


# Choice of backend servers.


def reservations_of(table, current, evacuated):
    locality = Locality(failure_domain='a1', regions=REGIONS)
    return Reservations(
        table,
        Balancer(locality, random.Random(1)),
        None,
        lambda model, adapter: 0,
        Eligibility(
            REGIONS,
            lambda: current,
            evacuated_domains=lambda: evacuated[0],
        ),
        LoopClock(),
    )


async def reserved_domain(reservations, row):
    async with reservations.reserve(row) as reservation:
        return reservation.backend.record.failure_domain


@pytest.mark.parametrize('seed', range(50))
async def test_no_request_goes_to_an_evacuated_domain(seed):
    # Guards against a request that a backend server of an evacuated failure
    # domain runs, also with allowed regions; and against a wait or a refusal
    # with another cause if none is left.
    rng = random.Random(seed)
    domains = rng.choices(sorted(REGIONS), k=rng.randint(1, 6))
    allowed = rng.sample(['a', 'b', 'c'], rng.randint(0, 2))
    evacuated = [frozenset()]
    current = configured(allowed)
    reservations = reservations_of(fleet(domains), current, evacuated)
    for _ in range(8):
        evacuated[0] = frozenset(rng.sample(sorted(REGIONS), rng.randint(0, 4)))
        left = {
            domain
            for domain in domains
            if domain not in evacuated[0]
            and (not allowed or REGIONS[domain] in allowed)
        }
        row = request_state_of('idempotent')
        if left:
            assert await reserved_domain(reservations, row) in left
            continue
        with pytest.raises(NoCapacityError) as refused:
            await asyncio.wait_for(reserved_domain(reservations, row), 0.5)
        assert refused.value.cause == NONE_ELIGIBLE


# Calls of the operator.


class Operator:
    def __init__(self, port, http):
        self.url = f'http://127.0.0.1:{port}'
        self.http = http

    async def send(self, path, method='POST', **more):
        async with self.http.request(
            method, f'{self.url}{path}', **more
        ) as answer:
            return answer.status

    async def start(self, zone, **more):
        return await self.send(f'/Evacuations.Start/{zone}', **more)

    async def finish(self, zone, **more):
        return await self.send(f'/Evacuations.Finish/{zone}', **more)


@asynccontextmanager
async def operator_of(cluster):
    leader = LeaderClient(
        cluster.addresses(),
        Hello(node_id='control', incarnation='i'),
        LoopClock(),
        random.Random(1),
    )
    await leader.call(ReadConfiguration(), 3)
    port = free_port()
    api = OperatorApi(
        OperatorProxy(leader, ClusterViewState(ClusterView())),
        Address('127.0.0.1', port),
        LoopClock(),
        REGIONS,
    )
    await api.start()
    async with aiohttp.ClientSession() as http:
        yield Operator(port, http)
    await api.stop()
    await leader.close()


def evacuated_at(cluster):
    return {
        tuple(host.state.status()['evacuated_domains'])
        for host in cluster.hosts.values()
    }


async def test_calls_are_confirmed_again():
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert await operator.finish('a1') == 200
        for zone in ('a1', 'b1', 'a1'):
            assert await operator.start(zone) == 200
        await eventually(lambda: evacuated_at(cluster) == {('a1', 'b1')}, 3)
        for _ in range(2):
            assert await operator.finish('a1') == 200
        await eventually(lambda: evacuated_at(cluster) == {('b1',)}, 3)


async def test_bad_calls_are_refused():
    # Guards against a misspelt zone or call that looks like a confirmed one.
    async def body():
        yield b'{}'

    async def no_body():
        for _ in ():
            yield b''

    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert await operator.start('d9') == 404
        assert await operator.start('') == 404
        assert await operator.start('a1/b1') == 404
        assert await operator.start('a1', method='GET') == 405
        assert await operator.finish('a1', method='PUT') == 405
        assert await operator.start('a1', data=b'x') == 400
        assert await operator.start('a1', data=body()) == 400
        assert evacuated_at(cluster) == {()}
        assert await operator.start('a1', data=no_body()) == 200


async def test_call_without_a_majority_is_unavailable():
    # Guards against a confirmation that the next loss of a host undoes.
    async with control_cluster() as cluster, operator_of(cluster) as operator:
        assert await operator.start('a1') == 200
        for name in list(cluster.hosts)[:2]:
            await cluster.kill_replica(name)
        assert await operator.start('a1') == 503
        assert await operator.finish('a1') == 503


async def test_configuration_with_unknown_region_is_refused():
    # Guards against a misspelt region, whose requests would all be refused.
    def content(version, route_regions, account_regions):
        routes = CONFIGURATION['routes']
        tenant = CONFIGURATION['tenants'][0]
        return configuration(
            version=version,
            routes=[{**routes[0], 'allowed_regions': route_regions}],
            tenants=[{**tenant, 'allowed_regions': account_regions}],
        )

    async with control_cluster() as cluster, operator_of(cluster) as operator:
        for data, status in (
            (content(1, ['a', 'x'], []), 400),
            (content(2, [], ['x']), 400),
            (content(3, ['a'], ['a', 'b']), 200),
        ):
            assert await operator.send('/Config.Put', data=data) == status


@pytest.mark.parametrize('wiped', [False, True])
@pytest.mark.parametrize('seed', range(4))
def test_confirmed_evacuation_survives_power_loss_of_all_hosts(seed, wiped):
    # Guards against a confirmed evacuation that is lost: the leader moves, then
    # all hosts lose power, and one disk may be lost as well.
    async def run(group):
        await start_with_configuration(group)
        hosts = group.rng.sample(sorted(group.processes), 2)
        for host in hosts:
            row = command('start', f'zone of {host}', host)
            await on_host(
                group, host, lambda proxy, row=row: proxy.evacuate(row)
            )
        leader = group.leader()
        expected = {f'zone of {row}' for row in hosts}
        group.end_process(leader)
        await asyncio.sleep(2)
        for name in list(group.processes):
            group.end_process(name, power=True)
        if wiped:
            group.disks.pop(group.rng.choice(group.replicas()))
        await asyncio.sleep(1)
        for name in list(group.processes):
            await group.start_host(name)
        async with asyncio.timeout(12):
            while any(  # noqa: ASYNC110  # polls hosts
                process.host.session.view.evacuated_domains() != expected
                for process in group.processes.values()
            ):
                await asyncio.sleep(0.1)

    play(run, seed)
