"""Formation of the control group, and its discovery on later starts."""

import asyncio
import itertools
import random

import pytest
from tests.control_group import REGIONS
from tests.test_operator_hosts import play, put

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.consensus.group_formation import FormationStep, GroupFormation
from kumquatrun.consensus.quorum_types import ReplicaMeta

FORMED_S = 5.0
FOUND_S = 3.0
JOINED_S = 6.0
REPLICAS = sorted(REGIONS)
HOSTS_WITHOUT_REPLICA = ['10.1.9.0', '10.2.9.1', '10.3.9.2']
SEEDS = {
    'no replica': HOSTS_WITHOUT_REPLICA,
    'one replica': [*HOSTS_WITHOUT_REPLICA[:2], REPLICAS[2]],
    'all replicas': REPLICAS,
    'hosts that are gone': [HOSTS_WITHOUT_REPLICA[0], '10.1.7.7', '10.3.7.7'],
}


def is_led(group, hosts):
    return all(
        group.processes[host].host.session.control.has_leader for host in hosts
    )


async def wait_until_led(group, hosts, limit_s):
    """Wait until all hosts know the leader."""
    async with asyncio.timeout(limit_s):
        while not is_led(group, hosts):  # noqa: ASYNC110  # polls hosts
            await asyncio.sleep(0.05)


def memberships(group):
    """Return the sets of voters that the running replicas know."""
    hosts = [group.processes[name].host._host for name in group.replicas()]
    return {
        tuple(
            sorted(row.replica_id for row in host.replica.members if row.voter)
        )
        for host in hosts
        if host is not None
    }


async def start_group(group, seeds):
    group.seeds = seeds
    await group.start()
    await wait_until_led(group, group.processes, FORMED_S)


@pytest.mark.parametrize('seeds', SEEDS.values(), ids=SEEDS)
@pytest.mark.parametrize('seed', range(3))
def test_formation_with_any_seeds(seeds, seed):
    # Guards against control hosts that cannot form a group because the seeds in
    # their settings are not replicas.
    async def run(group):
        await start_group(group, seeds)
        assert memberships(group) == {tuple(REPLICAS)}
        for version, host in enumerate(group.processes, 1):
            await put(group, host, version)

    play(run, seed)


@pytest.mark.parametrize(
    'seeds', [HOSTS_WITHOUT_REPLICA, [HOSTS_WITHOUT_REPLICA[1], '10.1.7.7']]
)
def test_join_through_hosts_without_replica(seeds):
    # Guards against a replacement that never finds its group because its seeds
    # have no replica.
    async def run(group):
        await start_group(group, HOSTS_WITHOUT_REPLICA)
        group.seeds = seeds
        lost = group.pick('other')
        region = group.network.regions[lost]
        group.remove_host(lost)
        await asyncio.sleep(1)
        new = group.add_host(region)
        await group.start_host(new)
        async with asyncio.timeout(JOINED_S):
            while not any(new in row for row in memberships(group)):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await wait_until_led(group, group.processes, FOUND_S)

    play(run)


@pytest.mark.parametrize('seeds', SEEDS.values(), ids=SEEDS)
def test_power_loss_of_all_hosts(seeds):
    # Guards against entries and agents that find no replica after a restart,
    # because none of them has stored state.
    async def run(group):
        await start_group(group, seeds)
        for host in list(group.processes):
            group.end_process(host, power=True)
        await asyncio.sleep(1)
        for host in list(group.processes):
            await group.start_host(host)
        await wait_until_led(group, group.processes, 2 * FORMED_S)
        assert memberships(group) == {tuple(REPLICAS)}

    play(run)


@pytest.mark.parametrize(
    'seeds', [HOSTS_WITHOUT_REPLICA, ['10.1.7.7', '10.3.7.7']]
)
@pytest.mark.parametrize('away_s', [0.5, 5.0])
def test_restarted_hosts_find_running_group(seeds, away_s):
    # Guards against restarted hosts that never find the running replicas,
    # because their seeds are only each other or removed hosts.
    async def run(group):
        await start_group(group, HOSTS_WITHOUT_REPLICA)
        group.seeds = seeds
        for host in HOSTS_WITHOUT_REPLICA:
            group.end_process(host, power=True)
        await asyncio.sleep(away_s)
        for host in HOSTS_WITHOUT_REPLICA:
            await group.start_host(host)
        await wait_until_led(group, group.processes, 2 * FOUND_S)

    play(run)


def test_changed_seeds():
    # Guards against a host that ignores seeds set after its start.
    async def run(group):
        await start_group(group, REPLICAS)
        host = HOSTS_WITHOUT_REPLICA[0]
        group.seeds = ['10.1.7.7']
        group.end_process(host)
        group.network.cut_links |= {(row, host) for row in group.replicas()}
        await group.start_host(host)
        await asyncio.sleep(1)
        assert not is_led(group, [host])
        group.network.heal()
        group.processes[host].host.set_seeds([HOSTS_WITHOUT_REPLICA[1]])
        await wait_until_led(group, [host], FOUND_S)

    play(run)


def test_no_second_group_from_empty_disks():
    # Guards against a new group without the acknowledged changes, after more
    # disks were lost than the group tolerates.
    async def run(group):
        await start_group(group, REPLICAS)
        for host in group.replicas():
            group.end_process(host, power=True)
            group.disks.pop(host)
        await asyncio.sleep(1)
        for host in group.replicas():
            await group.start_host(host)
        await asyncio.sleep(20)
        assert group.leader() is None

    play(run)


def test_formation_without_one_failure_domain():
    # Guards against a formation that waits forever for a failure domain without
    # a control host. The late host then joins the group.
    async def run(group):
        late = REPLICAS[1]
        await group.start_hosts(set(group.network.regions) - {late})
        await wait_until_led(group, group.processes, 2 * FORMED_S)
        await group.start_host(late, is_first_start=True)
        async with asyncio.timeout(JOINED_S):
            while memberships(group) != {tuple(REPLICAS)}:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    play(run)


@pytest.mark.parametrize('is_first_start', [False, True])
@pytest.mark.parametrize('stop', REPLICAS)
def test_replica_killed_during_formation(stop, is_first_start):
    # Guards against initial members that wait forever for one of them: it has
    # stored a membership, is killed, and only sends join requests after its
    # restart.
    async def run(group):
        starting = group.loop.create_task(
            group.start_hosts(group.network.regions)
        )
        while not initial_of(group, stop):  # noqa: ASYNC110  # polls a disk
            await asyncio.sleep(0.001)
        group.end_process(stop)
        await starting
        await asyncio.sleep(1)
        await group.start_host(stop, is_first_start=is_first_start)
        await wait_until_led(group, group.processes, 2 * FORMED_S)
        assert memberships(group) == {tuple(REPLICAS)}
        # It is a voter, so the group tolerates the loss of another one.
        group.end_process(
            next(row for row in REPLICAS if row != stop), power=True
        )
        await asyncio.sleep(FORMED_S)
        assert group.leader() is not None

    play(run)


def initial_of(group, host):
    disk = group.disks.get(host)
    meta = disk.durable.meta if disk is not None else None
    return meta.initial if meta is not None else ()


def test_no_group_from_minority_of_failure_domains():
    # Guards against two groups, one on each side of a network partition during
    # the first start.
    async def run(group):
        alone = REPLICAS[0]
        others = set(group.network.regions) - {alone}
        group.network.cut_links |= {
            pair
            for other in others
            for pair in ((alone, other), (other, alone))
        }
        await group.start_hosts(group.network.regions)
        await asyncio.sleep(10)
        replica = group.processes[alone].host.control._host
        assert replica is None
        assert group.leader() in others
        group.network.heal()
        async with asyncio.timeout(JOINED_S):
            while memberships(group) != {tuple(REPLICAS)}:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    play(run)


class Founder:
    """Replica during the formation; its stored metadata survives a restart."""

    def __init__(self, name, known, quorum=0):
        self.quorum = quorum
        self.now_s = 0.0
        self.meta = ReplicaMeta(f'disk {name}')
        self.name = name
        self.known = set(known) | {name}
        self.open()

    def open(self):
        addresses = {name: f'{name}:1' for name in self.known}
        self.formation = GroupFormation(
            self.name,
            addresses,
            self.meta,
            joining=False,
            quorum=self.quorum,
        )

    def add_member(self, name):
        self.known.add(name)
        self.formation.add_initial_member(name, f'{name}:1')

    def receive(self, state):
        if self.meta.formed:
            return
        self.formation.record_state(state, self.now_s)
        step = self.formation.next_step(self.now_s)
        while step is FormationStep.AGREE:
            self.meta = self.formation.agree()
            step = self.formation.next_step(self.now_s)
        if step is FormationStep.FORM:
            self.meta = self.formation.form()
        assert step is not FormationStep.CONFLICT


def founders_of(rng, names):
    """Return founders, each of which knows a random majority of them."""
    majority = len(names) // 2 + 1
    return {
        name: Founder(
            name,
            rng.sample(names, rng.randint(majority, len(names))),
            majority,
        )
        for name in names
    }


def has_majority(members, living):
    """Return whether most of the members of a group are alive."""
    alive = [row for row in members if row.replica_id in living]
    return 2 * len(alive) > len(members)


def check_no_other_group(founders, formed):
    assert len(formed) == 1
    later = {row.meta.initial for row in founders.values() if row.meta.formed}
    assert later == formed


def exchange(founders, names, rounds, step_s=0.2):
    """Send the state of each founder to each other one, in rounds."""
    for _ in range(rounds):
        for name in names:
            founders[name].now_s += step_s
        for sender, receiver in itertools.permutations(names, 2):
            founders[receiver].receive(founders[sender].formation.state())


def check_one_group(founders, names, majority):
    """Check that the founders in ``names`` have formed the only group."""
    formed = {row.meta.initial for row in founders.values() if row.meta.formed}
    assert len(formed) == 1
    (members,) = formed
    assert len(members) >= majority
    # The other replicas join the group after it has formed.
    assert all(
        founders[member.replica_id].meta.formed
        for member in members
        if member.replica_id in names
    )


@pytest.mark.parametrize('seed', range(200))
def test_gradual_discovery_forms_one_group(seed):
    # Guards against two groups, and against replicas that wait forever because
    # they have accepted memberships of different sizes.
    rng = random.Random(seed)
    names = ['a', 'b', 'c', 'd', 'e'][: rng.choice((3, 5))]
    majority = len(names) // 2 + 1
    founders = founders_of(rng, names)
    for _ in range(300):
        sender, receiver = rng.sample(names, 2)
        action = rng.random()
        founders[receiver].now_s += rng.random() / 10
        if action < 0.1:
            founders[receiver].add_member(sender)
        elif action < 0.15:
            founders[receiver].open()
        else:
            founders[receiver].receive(founders[sender].formation.state())
    for sender, receiver in itertools.permutations(names, 2):
        founders[receiver].add_member(sender)
    exchange(founders, names, 20)
    check_one_group(founders, names, majority)


@pytest.mark.parametrize('seed', range(300))
def test_lost_founders_and_late_messages(seed):
    # Guards against two groups, and against founders that wait for one that
    # does not come back: messages are lost, late and repeated, hosts are killed
    # or cut off one way, and as many as possible are lost for good. The group
    # may have formed while others were cut off. If a majority of it is then
    # lost, it can't go on, and no other one may take its place.
    rng = random.Random(seed)
    names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'][: rng.choice((3, 5, 7))]
    majority = len(names) // 2 + 1
    founders = founders_of(rng, names)
    lost = rng.sample(names, rng.randint(1, len(names) - majority))
    lost_after = {name: rng.randrange(300) for name in lost}
    cuts = set()
    sent = []
    for step in range(300):
        alive = [name for name in names if lost_after.get(name, 300) > step]
        sender, receiver = rng.sample(alive, 2)
        founder = founders[receiver]
        founder.now_s += rng.random() / 5
        action = rng.random()
        if action < 0.05:
            founder.open()
        elif action < 0.1:
            founder.add_member(sender)
        elif action < 0.15:
            cuts ^= {(sender, receiver)}
        elif (sender, receiver) not in cuts:
            sent.append((receiver, founders[sender].formation.state()))
        if sent and rng.random() < 0.8:
            target, state = rng.choice(sent[-8:])
            if target in alive:
                founders[target].receive(state)
    living = [name for name in names if name not in lost]
    for sender, receiver in itertools.permutations(living, 2):
        founders[receiver].add_member(sender)
    formed = {row.meta.initial for row in founders.values() if row.meta.formed}
    exchange(founders, living, 30)
    if any(not has_majority(members, living) for members in formed):
        # The group formed while other founders were cut off, and most of its
        # members are lost since: no second group may take its place.
        check_no_other_group(founders, formed)
    else:
        check_one_group(founders, living, majority)


def test_disk_replaced_before_formation():
    # Guards against a group that counts a replaced disk, which has not stored
    # the membership.
    first = Founder('a', ['b'])
    second = Founder('b', ['a'])
    first.receive(second.formation.state())
    second.receive(first.formation.state())
    first.receive(second.formation.state())
    assert first.meta.initial
    replaced = Founder('b', ['a'])
    replaced.meta = ReplicaMeta('another disk')
    replaced.open()
    first.formation.record_state(replaced.formation.state(), first.now_s)
    assert first.formation.next_step(first.now_s) is FormationStep.CONFLICT
    own = Member(replica_id='a', disk_id='disk a', address='a:1')
    assert own in first.meta.initial


def has_promised(meta):
    return meta.promised.proposer


def has_accepted(meta):
    return meta.initial


def has_formed(meta):
    return meta.formed


STEPS = {
    'started': bool,
    'promised': has_promised,
    'accepted': has_accepted,
    'formed': has_formed,
}


async def replace_host(group, host):
    group.remove_host(host)
    await asyncio.sleep(1)
    await group.start_host(group.add_host(group.network.regions[host]))


async def kill_host(group, host):
    group.end_process(host)
    await asyncio.sleep(0.5)
    await group.start_host(host)


async def cut_host(group, host):
    group.network.cut_off.add(host)
    await asyncio.sleep(3)
    group.network.heal()


FAULTS = {'replace': replace_host, 'kill': kill_host, 'cut': cut_host}


async def wait_for_step(group, host, step):
    """Wait until the disk of a host shows a step of the formation."""
    while True:
        disk = group.disks.get(host)
        meta = disk.durable.meta if disk is not None else None
        if meta is not None and STEPS[step](meta):
            return
        await asyncio.sleep(0.001)


async def check_one_led_group(group):
    """Check that all hosts are led and that every replica is a voter."""
    await wait_until_led(group, group.processes, 2 * FORMED_S)
    expected = tuple(sorted(group.replicas()))
    async with asyncio.timeout(2 * JOINED_S):
        while memberships(group) != {expected}:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    metas = [disk.durable.meta for disk in group.disks.values()]
    formed = {row.initial for row in metas if row and row.formed}
    assert len(formed - {()}) == 1


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('seen', REPLICAS)
@pytest.mark.parametrize('host', REPLICAS)
def test_fault_at_each_step_of_the_founding(host, seen, step, fault):
    # Guards against founders that wait for a host that does not come back. Its
    # replacement, or the killed host, is told that this is no first start.
    async def run(group):
        starting = group.loop.create_task(
            group.start_hosts(group.network.regions)
        )
        async with asyncio.timeout(FORMED_S):
            await wait_for_step(group, seen, step)
        await FAULTS[fault](group, host)
        await starting
        await check_one_led_group(group)

    play(run)


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('hosts', list(itertools.permutations(REPLICAS, 2)))
def test_second_fault_during_the_founding(hosts, step):
    # Guards against a founding that a kill of one host and the replacement of
    # another one after it stop for good.
    async def run(group):
        starting = group.loop.create_task(
            group.start_hosts(group.network.regions)
        )
        async with asyncio.timeout(FORMED_S):
            await wait_for_step(group, hosts[0], step)
        await kill_host(group, hosts[0])
        await replace_host(group, hosts[1])
        await starting
        await check_one_led_group(group)

    play(run)
