"""Replica in asyncio: groups over loopback TCP with synced files, and simulated
groups."""

import asyncio
import random
import socket
from contextlib import AsyncExitStack, asynccontextmanager, suppress

import pytest

from kumquatrun.consensus import pending_calls
from kumquatrun.consensus.consensus_messages import JoinRequest
from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.quorum_types import MembershipChange, Timing
from kumquatrun.consensus.replica import MAX_COMMAND_BYTES, Replica
from kumquatrun.consensus.replica_transport import TcpTransport
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import (
    CorruptLogError,
    DeadlineExceededError,
    InvalidRequestError,
    KumquatrunError,
    NotLeaderError,
    Outcome,
    OutcomeUnknownError,
    RequestTooLargeError,
    SettingError,
)
from kumquatrun.peer import Address, PeerClient, PeerServer
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.runtime.clock import LoopClock

# Disk size on the platform of the users.
DISK_BYTES = 64 * 1024 * 1024


class ListMachine:
    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b'%d' % len(self.commands)

    def snapshot(self):
        return b'\n'.join(self.commands)

    def restore(self, snapshot):
        self.commands = snapshot.split(b'\n') if snapshot else []


def reserve_addresses(count):
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind(('127.0.0.1', 0))
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return tuple(
        (f'r{number}', Address('127.0.0.1', port))
        for number, port in enumerate(ports)
    )


async def wait_for(condition, timeout_s=8):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110  # polls several replicas
            await asyncio.sleep(0.01)


def make_replica(
    replicas, replica_id, transport, storage, options=None, **more
):
    settings = ReplicaSettings(
        replica_id=replica_id,
        data_dir='',
        replicas=replicas,
        **{'listen': dict(replicas).get(replica_id), **more},
    )
    rng = random.Random(replica_id)
    return Replica(
        settings, ListMachine(), transport, storage, LoopClock(), rng, options
    )


class MountedHandler:
    """Handler that serves other requests besides those of the replica."""

    def __init__(self, replica):
        self._replica = replica

    async def handle(self, request, context):
        if isinstance(request, Ack):
            return request
        return await self._replica.handle(request, context)


@asynccontextmanager
async def tcp_replica(folder, replicas, replica_id, options=None, **more):
    identity = Hello(node_id=replica_id, incarnation='1')
    transport = TcpTransport(identity, random.Random(replica_id))
    storage = FileStorage(folder)
    replica = make_replica(
        replicas, replica_id, transport, storage, options, **more
    )
    server = PeerServer(identity, MountedHandler(replica))
    await replica.start()
    await server.start(more.get('listen') or dict(replicas)[replica_id])
    try:
        yield replica
    finally:
        await server.stop()
        await replica.stop()


async def enter_group(stack, folder, replicas, options=None, count=None):
    return [
        await stack.enter_async_context(
            tcp_replica(folder / name, replicas, name, options)
        )
        for name, _ in replicas[:count]
    ]


async def wait_for_leader(group):
    await wait_for(lambda: any(row.is_leader for row in group))
    return next(row for row in group if row.is_leader)


async def wait_until_equal(group):
    await wait_for(lambda: len({row.applied_index for row in group}) == 1)
    machines = [row._machine.commands for row in group]
    assert all(commands == machines[0] for commands in machines)


@pytest.mark.parametrize('size', [1, 3])
async def test_commit_and_apply_in_order(tmp_path, size):
    replicas = reserve_addresses(size)
    async with AsyncExitStack() as stack:
        group = await enter_group(stack, tmp_path, replicas)
        leader = await wait_for_leader(group)
        results = await asyncio.gather(
            *(leader.propose(b'%d' % number, 5) for number in range(50))
        )
        assert results == [b'%d' % number for number in range(1, 51)]
        assert await leader.read_barrier(1) <= leader.applied_index
        await wait_until_equal(group)
        for row in group:
            assert row.leader_address == dict(replicas)[leader.leader_id]
            if row is not leader:
                with pytest.raises(NotLeaderError):
                    await row.propose(b'x', 1)


async def test_restart_from_files(tmp_path):
    # Guards against entries or snapshots that are lost when all processes end.
    replicas = reserve_addresses(3)
    options = NodeOptions(snapshot_entries=150, kept_entries=20)
    expected = [b'%d' % number for number in range(700)]
    for start in (0, 350):
        async with AsyncExitStack() as stack:
            group = await enter_group(stack, tmp_path, replicas, options)
            leader = await wait_for_leader(group)
            await leader.read_barrier(2)
            assert leader._machine.commands == expected[:start]
            for first in range(start, start + 350, 10):
                await asyncio.gather(
                    *(
                        leader.propose(command, 5)
                        for command in expected[first : first + 10]
                    )
                )
            await wait_until_equal(group)
    async with AsyncExitStack() as stack:
        group = await enter_group(stack, tmp_path, replicas, options)
        await (await wait_for_leader(group)).read_barrier(2)
        await wait_until_equal(group)
        assert group[0]._machine.commands == expected


async def test_large_entries_disk_usage(tmp_path):
    # Guards against a log of large entries that fills the disk: the disks of
    # all replicas would then refuse writes at about the same time.
    replicas = reserve_addresses(1)
    async with tcp_replica(tmp_path, replicas, 'r0') as replica:
        await wait_for(lambda: replica.is_leader)
        for number in range(160):
            await replica.propose(b'%d' % number + bytes(400_000), 5)
            # Keep only the last command, as the real state would.
            del replica._machine.commands[:-1]
        used_bytes = sum(path.stat().st_size for path in tmp_path.iterdir())
        assert used_bytes < DISK_BYTES / 2
        log = replica._node.core.entries
        assert log.last_index - log.base_index < 30
    async with tcp_replica(tmp_path, replicas, 'r0') as replica:
        await wait_for(lambda: replica.is_leader)
        await replica.read_barrier(5)
        assert replica._machine.commands[-1].startswith(b'159')


@pytest.mark.parametrize('at_new_address', [False, True])
async def test_empty_replacement_becomes_voter(tmp_path, at_new_address):
    # Guards against a replacement that is never promoted to voter.
    replicas = reserve_addresses(4)
    initial, spare = replicas[:3], replicas[3][1]
    options = NodeOptions(
        timing=Timing(chunk_bytes=200), snapshot_entries=60, kept_entries=5
    )
    more = {'listen': spare, 'join': True} if at_new_address else {}
    settings = initial
    if at_new_address:
        settings = (*initial[:2], ('r2', spare))
    async with AsyncExitStack() as stack:
        group = await enter_group(stack, tmp_path, initial, options, 2)
        async with tcp_replica(tmp_path / 'lost', initial, 'r2', options):
            await wait_for(lambda: all(row.members for row in group))
        leader = await wait_for_leader(group)
        for number in range(100):
            await leader.propose(b'%d' % number, 5)
        replacement = await stack.enter_async_context(
            tcp_replica(tmp_path / 'new', settings, 'r2', options, **more)
        )
        await wait_for(
            lambda: any(
                row.disk_id == replacement.disk_id and row.voter
                for row in replacement.members
            )
        )
        await wait_until_equal([*group, replacement])


class LoopTransport:
    """Transport between replicas in one event loop; connections can be cut."""

    def __init__(self, own_id, network, cuts):
        self.own_id = own_id
        self._network = network
        self._cuts = cuts
        self._tasks = set()
        self.rng = random.Random(own_id)

    def send(self, receiver, msg):
        task = asyncio.create_task(self._call(receiver, msg))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, receiver, msg):
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if receiver in self._network and self.own_id not in self._cuts:
            if receiver in self._cuts:
                return
            with suppress(NotLeaderError):
                reply = await self._network[receiver].handle(msg, None)
                if self.own_id not in self._cuts:
                    self._listener(reply)

    def set_addresses(self, addresses):
        """Do nothing; replicas are addressed by their id."""

    def on_reply(self, listener):
        self._listener = listener

    async def close(self):
        """Do nothing; messages in transit are still delivered."""


class Group:
    """Group of replicas with storage in memory, for a simulated clock."""

    def __init__(self, size=3):
        names = [f'r{number}' for number in range(size)]
        self.replicas = tuple((name, Address('127.0.0.1', 1)) for name in names)
        self.cuts = set()
        self.network = {}
        self.storages = {name: MemoryStorage() for name in names}
        for name in names:
            self.build(name)

    def build(self, name):
        self.network[name] = make_replica(
            self.replicas,
            name,
            LoopTransport(name, self.network, self.cuts),
            self.storages[name],
            NodeOptions(snapshot_entries=50, kept_entries=10),
        )
        return self.network[name]

    async def crash(self, name):
        await self.network.pop(name).stop()
        self.storages[name].crash()

    async def restart(self, name):
        await self.build(name).start()

    async def __aenter__(self):
        for replica in self.network.values():
            await replica.start()
        self.leader = await wait_for_leader(self.network.values())
        await self.leader.read_barrier(2)
        return self

    async def __aexit__(self, *_):
        for replica in self.network.values():
            await replica.stop()


@pytest.mark.looptime
async def test_leadership_lost_during_proposal():
    # Guards against a proposal that is reported as not run although another
    # leader may still commit it.
    async with Group() as group:
        group.cuts.add(group.leader.leader_id)
        before_s = asyncio.get_running_loop().time()
        with pytest.raises(OutcomeUnknownError):
            await group.leader.propose(b'x', 10)
        assert not group.leader.is_leader
        # Election timeout of 1 s plus heartbeat interval plus tick.
        assert asyncio.get_running_loop().time() - before_s < 1.2
        with pytest.raises(NotLeaderError):
            await group.leader.propose(b'y', 1)
        rest = [row for row in group.network.values() if row != group.leader]
        successor = await wait_for_leader(rest)
        await successor.propose(b'z', 1)
        assert successor.term > group.leader.term


@pytest.mark.looptime
@pytest.mark.parametrize('call', ['propose', 'read_barrier'])
async def test_deadline_without_majority(call):
    async with Group() as group:
        group.cuts.add(group.leader.leader_id)
        arguments = (b'x', 0.3) if call == 'propose' else (0.3,)
        with pytest.raises(DeadlineExceededError):
            await getattr(group.leader, call)(*arguments)


@pytest.mark.looptime
async def test_leadership_lost_during_barrier():
    # Guards against a stale read from a leader that has lost its majority.
    async with Group() as group:
        group.cuts.add(group.leader.leader_id)
        with pytest.raises(NotLeaderError):
            await group.leader.read_barrier(10)


@pytest.mark.looptime
async def test_confirmation_time_without_majority():
    # Guards against leases that are extended although the leader has lost its
    # majority.
    async with Group() as group:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1)
        # Heartbeat interval plus round trip plus two ticks.
        assert loop.time() - group.leader.quorum_confirmed_at_s < 0.15
        cut_s = loop.time()
        group.cuts.add(group.leader.leader_id)
        await asyncio.sleep(0.5)
        assert group.leader.is_leader
        assert group.leader.quorum_confirmed_at_s <= cut_s
        await asyncio.sleep(1)
        assert group.leader.quorum_confirmed_at_s == float('-inf')


@pytest.mark.looptime
async def test_concurrent_proposals_share_syncs():
    # Guards against a separate sync for each proposal.
    async with Group() as group:
        before = {name: row.sync_count for name, row in group.storages.items()}
        await asyncio.gather(
            *(group.leader.propose(b'%d' % number, 5) for number in range(300))
        )
        for name, storage in group.storages.items():
            assert storage.sync_count - before[name] <= 5


@pytest.mark.looptime
async def test_role_listeners():
    async with Group() as group:
        seen = []
        for replica in group.network.values():
            replica.on_role_change(lambda row=replica: seen.append(row))
        group.cuts.add(group.leader.leader_id)
        await asyncio.sleep(3)
        assert set(seen) == set(group.network.values())


@pytest.mark.looptime
async def test_failed_sync():
    # Guards against a replica that continues after a failed sync although it is
    # unknown what is durable: a repeated sync can succeed without the lost
    # pages.
    async with Group() as group:

        def fail():
            raise OSError('input/output error')

        group.storages[group.leader.leader_id].sync = fail
        with pytest.raises(OutcomeUnknownError):
            await group.leader.propose(b'x', 5)
        assert isinstance(group.leader.failure, OSError)
        assert not group.leader.is_leader
        with pytest.raises(NotLeaderError):
            await group.leader.propose(b'y', 5)
        rest = [row for row in group.network.values() if row != group.leader]
        await (await wait_for_leader(rest)).propose(b'z', 5)


async def propose_repeatedly(group, number, results):
    """Propose unique commands to random replicas and record the outcomes."""
    rng = random.Random(number)
    for count in range(10_000):
        await asyncio.sleep(rng.uniform(0, 0.1))
        replica = group.network[rng.choice(sorted(group.network))]
        command = b'%d-%d' % (number, count)
        try:
            await replica.propose(command, 3)
            results[command] = Outcome.RAN
        except KumquatrunError as error:
            results[command] = error.outcome


async def run_with_faults(seed):
    """Run random faults; return reported outcomes and applied commands."""
    rng = random.Random(seed)
    results = {}
    async with Group() as group:
        clients = [
            asyncio.create_task(propose_repeatedly(group, number, results))
            for number in range(4)
        ]
        for _ in range(6):
            leaders = [
                name for name, row in group.network.items() if row.is_leader
            ]
            name = rng.choice([*group.network, *leaders])
            if rng.random() < 0.5:
                group.cuts.add(name)
                await asyncio.sleep(rng.uniform(0.1, 2))
                group.cuts.clear()
            else:
                await group.crash(name)
                await asyncio.sleep(rng.uniform(0.1, 2))
                await group.restart(name)
            await asyncio.sleep(rng.uniform(0, 1))
        for client in clients:
            client.cancel()
        await asyncio.sleep(2)
        leader = await wait_for_leader(group.network.values())
        await leader.read_barrier(1)
        return results, leader._machine.commands


def wrong_outcomes(results, commands):
    return [
        command
        for command, outcome in results.items()
        if outcome is not Outcome.UNKNOWN
        and (command in commands) != (outcome is Outcome.RAN)
    ]


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('seed', 'outcomes'),
    [
        (0, set(Outcome)),
        (14, set(Outcome)),
        (3, set(Outcome)),
        (18, {Outcome.RAN, Outcome.NOT_RUN}),
    ],
)
async def test_reported_outcomes(seed, outcomes):
    # Guards against a command that is reported as run but is missing, or that
    # is reported as not run but was applied.
    results, commands = await run_with_faults(seed)
    assert len(commands) == len(set(commands))
    assert not wrong_outcomes(results, commands)
    assert set(results.values()) == outcomes


@pytest.mark.looptime
async def test_wrong_outcome_detected(monkeypatch):
    # Shows that the test above fails if lost leadership is reported as not run.
    monkeypatch.setattr(pending_calls, 'OutcomeUnknownError', NotLeaderError)
    results, commands = await run_with_faults(3)
    assert wrong_outcomes(results, commands)


@pytest.mark.looptime
async def test_stop_ends_open_calls():
    async with Group() as group:
        group.cuts.add(group.leader.leader_id)
        call = asyncio.create_task(group.leader.propose(b'x', 5))
        await asyncio.sleep(0.1)
        await group.leader.stop()
        with pytest.raises(OutcomeUnknownError):
            await call


@pytest.mark.looptime
async def test_membership_change_waits_for_commit():
    async with Group() as group:
        change = MembershipChange('remove', group.leader.leader_id)
        await group.leader.change_membership(change, 5)
        rest = [row for row in group.network.values() if row != group.leader]
        successor = await wait_for_leader(rest)
        assert len(successor.members) == 2
        with pytest.raises(DeadlineExceededError):
            group.cuts.add(successor.leader_id)
            change = MembershipChange('add_learner', 'r9', 'disk')
            await successor.change_membership(change, 0.5)


@pytest.mark.looptime
@pytest.mark.parametrize(
    'request_',
    [
        Ack(),
        JoinRequest(sender='r9', disk_id='d', address='no port'),
    ],
)
async def test_invalid_message(request_):
    # Guards against a replica that fails because of an invalid message.
    async with Group() as group:
        with pytest.raises(InvalidRequestError):
            await group.leader.handle(request_, None)
        await group.leader.propose(b'x', 1)


@pytest.mark.looptime
async def test_oversized_command():
    # Guards against an entry that does not fit into a frame and therefore
    # blocks the replication of the log.
    async with Group(size=1) as group:
        with pytest.raises(RequestTooLargeError):
            await group.leader.propose(bytes(MAX_COMMAND_BYTES + 1), 1)
        await group.leader.propose(bytes(MAX_COMMAND_BYTES), 1)


async def test_replica_not_in_replica_list():
    replica = make_replica(reserve_addresses(2), 'r7', None, MemoryStorage())
    with pytest.raises(SettingError):
        await replica.start()


async def test_start_with_damaged_folder(tmp_path):
    replicas = reserve_addresses(1)
    async with tcp_replica(tmp_path, replicas, 'r0') as replica:
        await wait_for(lambda: replica.is_leader)
        for _ in range(3):
            await replica.propose(b'command', 5)
    path = next(tmp_path.glob('log-*.seg'))
    content = bytearray(path.read_bytes())
    content[15] ^= 1
    path.write_bytes(content)
    with pytest.raises(CorruptLogError, match='offset 0'):
        async with tcp_replica(tmp_path, replicas, 'r0'):
            pass


async def test_shared_peer_server(tmp_path):
    replicas = reserve_addresses(1)
    async with tcp_replica(tmp_path, replicas, 'r0'):
        identity = Hello(node_id='client', incarnation='1')
        client = PeerClient(replicas[0][1], identity)
        assert await client.call(Ack(), 1) == Ack()
        await client.close()
