"""The asyncio replica: groups over TCP on loopback with synced files."""

import asyncio
import random
import socket
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from kumquatrun.clock import LoopClock
from kumquatrun.errors import NotLeaderError
from kumquatrun.log_store import FileStorage
from kumquatrun.messages import Hello
from kumquatrun.peer import Address, PeerServer
from kumquatrun.replica import Replica
from kumquatrun.replica_transport import TcpTransport
from kumquatrun.settings import ReplicaSettings


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


@asynccontextmanager
async def running_replica(folder, replicas, replica_id, options=None):
    settings = ReplicaSettings(
        replica_id=replica_id,
        data_dir=str(folder),
        listen=dict(replicas)[replica_id],
        replicas=replicas,
    )
    identity = Hello(node_id=replica_id, incarnation='1')
    rng = random.Random(replica_id)
    replica = Replica(
        settings,
        ListMachine(),
        TcpTransport(identity, rng),
        FileStorage(folder),
        LoopClock(),
        rng,
        options,
    )
    server = PeerServer(identity, replica)
    await replica.start()
    await server.start(settings.listen)
    try:
        yield replica
    finally:
        await server.stop()
        await replica.stop()


async def wait_for(condition, timeout_s=5):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110  # polls several replicas
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('size', [1, 3])
async def test_group_commits_and_applies_in_order(tmp_path, size):
    replicas = reserve_addresses(size)
    async with AsyncExitStack() as stack:
        group = [
            await stack.enter_async_context(
                running_replica(tmp_path / name, replicas, name)
            )
            for name, _ in replicas
        ]
        await wait_for(lambda: any(row.is_leader for row in group))
        leader = next(row for row in group if row.is_leader)
        results = await asyncio.gather(
            *(leader.propose(b'%d' % number, 5) for number in range(50))
        )
        assert results == [b'%d' % number for number in range(1, 51)]
        await leader.read_barrier(1)
        await wait_for(
            lambda: all(
                row.applied_index == leader.applied_index for row in group
            )
        )
        for row in group:
            assert row.leader_address == dict(replicas)[leader.leader_id]
            if row is not leader:
                with pytest.raises(NotLeaderError):
                    await row.propose(b'x', 1)
