"""Hosts that lost their disk, and others outside the group, join it again."""

import asyncio
import random

import pytest
from tests.control_group import REGIONS
from tests.test_founding import memberships, wait_until_led
from tests.test_operator_hosts import play, put

from kumquatrun.consensus.consensus_messages import AppendRequest, JoinRequest
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_node import (
    LogNode,
    NodeOptions,
    NodeSettings,
)
from kumquatrun.errors import ControlUnreachableError
from kumquatrun.gateway.roles import control_search
from kumquatrun.gateway.roles.leader_watch import LeaderWatch

REPLICAS = sorted(REGIONS)
# Within the time after which the platform counts a host that came back.
VOTER_AGAIN_S = 4.0
# Time after which requests are served again once all hosts are back.
RECOVERED_S = 12.0
RESTART_S = 1.5
BETWEEN_LOSSES_S = 8.0


def is_voter(group, host):
    """Return whether the leader counts the present disk of a host."""
    leader = group.leader()
    if leader is None:
        return False
    own = group.processes[host].host._host
    if own is None:
        return False
    return any(
        row.disk_id == own.replica.disk_id
        for row in group.processes[leader].host._host.replica.members
        if row.voter
    )


async def wait_for_voter(group, host, limit_s):
    async with asyncio.timeout(limit_s):
        while not is_voter(group, host):  # noqa: ASYNC110  # polls hosts
            await asyncio.sleep(0.05)


async def wipe(group, host):
    """Take power and disk from a host, and start it after RESTART_S."""
    group.end_process(host, power=True)
    group.disks.pop(host)
    await asyncio.sleep(RESTART_S)
    await group.start_host(host)


@pytest.fixture
def directories(monkeypatch):
    """Return a list with the time until which no directory answers."""
    until_s = [0.0]
    exchange = control_search.exchange_hosts

    async def exchange_hosts(*arguments):
        if asyncio.get_running_loop().time() < until_s[0]:
            raise ControlUnreachableError('the directory does not answer')
        return await exchange(*arguments)

    monkeypatch.setattr(control_search, 'exchange_hosts', exchange_hosts)
    return until_s


@pytest.mark.parametrize('role', ['leader', 'other'])
@pytest.mark.parametrize('late_s', [0.0, 1.0, 6.0])
@pytest.mark.parametrize('seed', range(6))
def test_host_that_lost_its_disk_joins(role, late_s, seed, directories):
    # Guards against a replica that takes the leader's heartbeats for its old
    # disk for a membership: it has no address to ask and never joins.
    async def run(group):
        await group.start()
        await asyncio.sleep(1)
        host = group.pick(role)
        directories[0] = group.loop.time() + RESTART_S + late_s
        await wipe(group, host)
        await wait_for_voter(group, host, late_s + VOTER_AGAIN_S)

    play(run, seed)


@pytest.mark.parametrize('first', REPLICAS)
@pytest.mark.parametrize('second', REPLICAS)
@pytest.mark.parametrize('others', ['run', 'are killed', 'lose power'])
def test_two_disks_are_lost_one_after_the_other(first, second, others):
    # Guards against a group that the second lost disk leaves without a
    # majority, because the host of the first one never joined again.
    async def run(group):
        await group.start()
        await asyncio.sleep(1)
        await put(group, next(iter(group.processes)), 1)
        await wipe(group, first)
        await asyncio.sleep(BETWEEN_LOSSES_S - RESTART_S)
        ended = []
        if others != 'run':
            ended = [host for host in group.processes if host != second]
            for host in ended:
                group.end_process(host, power=others == 'lose power')
        wiping = asyncio.create_task(wipe(group, second))
        await asyncio.sleep(RESTART_S)
        for host in ended:
            await group.start_host(host)
        await wiping
        await wait_until_led(group, group.processes, RECOVERED_S)
        async with asyncio.timeout(RECOVERED_S):
            await put(group, next(iter(group.processes)), 2)
        await wait_for_voter(group, second, VOTER_AGAIN_S)
        async with asyncio.timeout(VOTER_AGAIN_S):
            while memberships(group) != {tuple(REPLICAS)}:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    play(run)


@pytest.mark.parametrize('seed', range(4))
def test_host_that_is_stuck_outside_joins_after_a_restart(seed, directories):
    # Guards against an update that leaves a host outside whose data folder an
    # earlier version wrote there: not formed, with the leader's term.
    async def run(group):
        await group.start()
        await asyncio.sleep(1)
        host = group.pick('other')
        directories[0] = group.loop.time() + 5
        await wipe(group, host)
        await asyncio.sleep(1)
        meta = group.disks[host].load_meta()
        assert not meta.formed
        assert meta.hard_state.term
        group.end_process(host)
        directories[0] = 0
        await asyncio.sleep(0.5)
        await group.start_host(host)
        await wait_for_voter(group, host, VOTER_AGAIN_S)

    play(run, seed)


def append_of(leader, term):
    """Return a heartbeat that does not match an empty log."""
    return AppendRequest(
        term=term,
        sender=leader,
        disk_id=f'disk-{leader}',
        prev_index=7,
        prev_term=1,
        commit_index=7,
        round_number=1,
    )


def joining_node(storage=None):
    return LogNode(
        NodeSettings('c', '10.0.0.3:1', {'a': '10.0.0.1:1'}, joining=True),
        None,
        storage or MemoryStorage(),
        random.Random(1),
        NodeOptions(rejoins=True),
        'disk-c',
        0.0,
    )


def join_requests(node, now_s):
    node.tick(now_s)
    _, output = node.begin_flush()
    result = node.finish_flush(output, now_s)
    return [
        row.receiver
        for row in result.messages
        if isinstance(row.message, JoinRequest)
    ]


def test_replica_without_vote_forgets_a_lost_leader():
    # Guards against a replica without a vote that trusts in its last leader
    # for ever, as no election timeout ends its term.
    node = joining_node()
    node.receive(append_of('a', 3), 1.0)
    assert node.core.election.leader_id == 'a'
    node.tick(1.05)
    assert node.core.election.leader_id == 'a'
    for step in range(100):
        node.tick(1.1 + step / 10)
    assert node.core.election.leader_id == ''


def test_join_request_is_sent_again_while_a_leader_is_heard():
    # Guards against a join request that is lost, or sent before an address is
    # known, and is not repeated because a leader is heard.
    node = joining_node()
    sent = []
    for step in range(40):
        now_s = step / 10
        node.receive(append_of('b', 3), now_s)
        if step == 20:
            node.learned_addresses['b'] = '10.0.0.2:1'
        sent.append(join_requests(node, now_s))
    assert any(row == ['a'] for row in sent[10:20])
    assert any('b' in row for row in sent[21:])


def test_leader_tells_which_voters_are_missing():
    # Guards against a group that runs with two of three voters while nobody
    # can see it: the next loss ends its majority.
    async def run(group):
        await group.start()
        await asyncio.sleep(1)
        leader = group.processes[group.pick('leader')].host._host.replica
        lost = group.pick('other')
        missing = []
        wiping = asyncio.create_task(wipe(group, lost))
        await asyncio.sleep(RESTART_S - 0.1)
        missing.append(leader.silent_voters(group.loop.time()))
        standings = leader.standings()
        await wiping
        await wait_for_voter(group, lost, VOTER_AGAIN_S)
        await asyncio.sleep(0.5)
        missing.append(leader.silent_voters(group.loop.time()))
        assert missing == [[lost], []]
        assert standings[lost].startswith('missing voter')
        own = group.processes[lost].host._host.replica
        assert own.standing_record.standing == 'voter'
        assert not own.standing_record.outside_s(group.loop.time())

    play(run)


def test_group_without_majority_is_reported(caplog):
    # Guards against silence while two of three disks are lost for good: an
    # operator must see which voters the group waits for.
    async def run(group):
        await group.start()
        await asyncio.sleep(1)
        left = group.pick('other')
        for host in group.replicas():
            if host != left:
                group.end_process(host, power=True)
        replica = group.processes[left].host._host.replica
        watch = LeaderWatch(group.loop.time())
        for _ in range(35):
            await asyncio.sleep(1)
            watch.check(replica, group.loop.time())

    with caplog.at_level('ERROR', 'kumquatrun.gateway.roles.leader_watch'):
        play(run)
    reports = [
        row.event_fields
        for row in caplog.records
        if row.getMessage() == 'group_without_leader'
        and row.event_fields['lasted_s'] >= 10
    ]
    assert len(reports) >= 3
    assert reports[0]['voters'] == ','.join(REPLICAS)
    assert reports[0]['needed'] == 2
