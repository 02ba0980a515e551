"""Control replicas and node sessions in one process, for tests."""

import asyncio
import random
import time
import uuid
from contextlib import asynccontextmanager

from tests.link_fault import FaultyLink

from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.control.control_host import ControlHost
from kumquatrun.daemon.settings import ControlSettings
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.membership.control_client import Session
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer import Address
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.peer.operator_messages import OperatorCall
from kumquatrun.runtime.clock import LoopClock

TOKEN = 'operator-token'


async def eventually(condition, timeout_s):
    """Wait until ``condition`` holds; return the time it took."""
    started_s = time.monotonic()
    while not condition():
        assert time.monotonic() - started_s < timeout_s, (
            'condition was not met in time'
        )
        await asyncio.sleep(0.01)
    return time.monotonic() - started_s


class ControlCluster:
    """Three replicas; each is reached through its own faulty link."""

    def __init__(self, size=3, seed=1):
        self.rng = random.Random(seed)
        self.names = [f'control-{number}' for number in range(1, size + 1)]
        self.links = {}
        self.hosts = {}
        self.storages = {name: MemoryStorage() for name in self.names}
        self.sessions = []

    async def start(self):
        for name in self.names:
            link = FaultyLink(Address('127.0.0.1', 1))
            await link.start()
            self.links[name] = link
        for name in self.names:
            await self.start_replica(name)

    async def start_replica(self, name):
        settings = ControlSettings(
            host_id=name,
            operator_token=TOKEN,
            replica=ReplicaSettings(
                replica_id=name,
                data_dir='',
                listen=Address('127.0.0.1', 0),
                replicas=tuple(
                    (other, self.links[other].address) for other in self.names
                ),
            ),
        )
        host = ControlHost(
            settings,
            LoopClock(),
            storage=self.storages[name],
            rng=random.Random(self.rng.random()),
        )
        await host.start()
        self.links[name].target = host.address
        self.hosts[name] = host

    async def kill_replica(self, name):
        self.storages[name].crash()
        await self.hosts.pop(name).stop(hands_over=False)

    def leader(self):
        serving = [
            name for name, host in self.hosts.items() if host.service.serves
        ]
        return max(
            serving,
            key=lambda name: self.hosts[name].replica.term,
            default=None,
        )

    async def wait_leader(self, timeout_s=5):
        await eventually(lambda: self.leader() is not None, timeout_s)
        return self.leader()

    def addresses(self):
        return tuple(link.address for link in self.links.values())

    async def join(
        self, host_id, role='entry', service='', address='127.0.0.1:9'
    ):
        record = HostRecord(
            host_id=host_id,
            incarnation='',
            role=role,
            address=address,
            region='r',
            failure_domain='d',
            service=service,
        )
        session = Session(
            record,
            self.addresses(),
            LoopClock(),
            rng=random.Random(self.rng.random()),
        )
        self.sessions.append(session)
        await session.start()
        return session

    async def operate(self, action, operation_id=None, timeout_s=6, **fields):
        client = LeaderClient(
            self.addresses(),
            Hello(node_id='operator', incarnation='1'),
            LoopClock(),
            self.rng,
        )
        call = OperatorCall(
            action=action,
            operator='test',
            operation_id=operation_id or uuid.uuid4().hex,
            operator_token=TOKEN,
            arguments=fields,
        )
        try:
            return (await client.call(call, timeout_s)).result
        finally:
            await client.close()

    async def stop(self):
        for session in self.sessions:
            await session.stop()
        for host in self.hosts.values():
            await host.stop(hands_over=False)
        for link in self.links.values():
            await link.stop()


@asynccontextmanager
async def control_cluster(size=3, seed=1):
    cluster = ControlCluster(size, seed)
    await cluster.start()
    try:
        await cluster.wait_leader()
        yield cluster
    finally:
        await cluster.stop()
