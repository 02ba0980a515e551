"""Calls to the leader from hosts that are notified of leader changes.

Each host is notified by its own replica. Replicas, calls between hosts and
disconnections run on the clock of the event loop.
"""

import asyncio
import itertools
import random

import pytest
from tests.test_replica import LoopTransport, wait_for, wait_for_leader

from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.replica import Replica
from kumquatrun.control.configuration_register import PutConfiguration
from kumquatrun.control.control import ControlService
from kumquatrun.control.control_host import FeedPublishingState
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.feed_log import FeedLog
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import (
    DeadlineExceededError,
    KumquatrunError,
    NotLeaderError,
)
from kumquatrun.membership import leader_client
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer import Address
from kumquatrun.peer.directory_messages import ControlHosts
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.runtime.clock import LoopClock

# The operator tries another control host after this time.
OPERATOR_TIMEOUT_S = 1.0
OPERATOR_BACKOFF_S = 0.2
# The platform requires the acknowledgement of a change within this time.
ACKNOWLEDGEMENT_LIMIT_S = 4.0
COMMIT_TIMEOUT_S = 3.0
OBSOLETE_ADDRESS = Address('127.0.0.1', 9)


class Hosts:
    """Three control hosts; ``cuts`` names those that are disconnected."""

    def __init__(self, monkeypatch, seed, known_addresses=None):
        self.rng = random.Random(seed)
        self.addresses = {
            f'r{number}': Address('127.0.0.1', 1 + number)
            for number in range(3)
        }
        self.cuts = set()
        self.replicas = {}
        self.services = {}
        self.calls = []
        monkeypatch.setattr(
            leader_client,
            'PeerClient',
            lambda address, identity: HostLink(self, address, identity),
        )
        self.clients = {
            name: self._build(name, known_addresses) for name in self.addresses
        }

    def _build(self, name, known_addresses):
        state = ControlState()
        feed = FeedLog()
        replica = Replica(
            ReplicaSettings(
                replica_id=name,
                data_dir='',
                listen=self.addresses[name],
                replicas=tuple(self.addresses.items()),
            ),
            FeedPublishingState(state, feed),
            LoopTransport(name, self.replicas, self.cuts),
            MemoryStorage(),
            LoopClock(),
            random.Random(self.rng.random()),
        )
        self.replicas[name] = replica
        self.services[name] = ControlService(replica, state, feed, LoopClock())
        directory = ControlDirectory(LoopClock())
        replica.on_role_change(
            lambda: directory.update(ControlHosts(group=replica.group))
        )
        return LeaderClient(
            known_addresses or tuple(self.addresses.values()),
            Hello(node_id=name, incarnation='operator'),
            LoopClock(),
            random.Random(self.rng.random()),
            directory,
        )

    async def __aenter__(self):
        for name, replica in self.replicas.items():
            await replica.start()
            await self.services[name].start()
        self.leader = (await wait_for_leader(self.replicas.values())).leader_id
        await wait_for(lambda: self.services[self.leader].serves)
        return self

    async def __aexit__(self, *_):
        for name, replica in self.replicas.items():
            await self.services[name].stop()
            await replica.stop()

    def other_names(self):
        return [name for name in self.replicas if name != self.leader]

    async def put(self, name, version):
        """Put a configuration through a host; return the response time."""
        started_s = asyncio.get_running_loop().time()
        reply = await self.clients[name].call(
            PutConfiguration(version=version, content=b'{}'), COMMIT_TIMEOUT_S
        )
        assert reply.version >= version
        return asyncio.get_running_loop().time() - started_s

    async def operate(self, version, order):
        """Call one host after the other, as the operator does.

        A host continues a call that the operator has abandoned.
        """
        started_s = asyncio.get_running_loop().time()
        backoff_s = OPERATOR_BACKOFF_S
        calls = []
        async with asyncio.timeout(2 * ACKNOWLEDGEMENT_LIMIT_S):
            for name in itertools.cycle(order):
                calls.append(asyncio.create_task(self._try_put(name, version)))
                await asyncio.wait(calls[-1:], timeout=OPERATOR_TIMEOUT_S)
                if calls[-1].done() and calls[-1].result():
                    break
                await asyncio.sleep(backoff_s)
                backoff_s *= 2
        for call in calls:
            call.cancel()
        return asyncio.get_running_loop().time() - started_s

    async def _try_put(self, name, version):
        if name in self.cuts:
            await asyncio.Event().wait()
        try:
            await self.put(name, version)
        except KumquatrunError:
            return False
        return True


class HostLink:
    """Client of one host; receives no reply if either end is disconnected."""

    def __init__(self, hosts, address, identity):
        self.address = address
        self._hosts = hosts
        self._own_name = identity.node_id

    @property
    def last_received_at_s(self):
        hosts = self._hosts
        names = {address: name for name, address in hosts.addresses.items()}
        receiver = names.get(self.address)
        is_connected = receiver == self._own_name or (
            receiver is not None
            and hosts.cuts.isdisjoint({receiver, self._own_name})
        )
        return (
            asyncio.get_running_loop().time() if is_connected else float('-inf')
        )

    def ping(self):
        """Do nothing; ``last_received_at_s`` needs no pings."""

    async def wait_idle(self):
        """Nothing is open."""

    async def call(self, request, timeout_s):
        hosts = self._hosts
        hosts.calls.append((self._own_name, self.address))
        names = {address: name for name, address in hosts.addresses.items()}
        receiver = names.get(self.address)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(0.005)
                is_local = receiver == self._own_name
                if receiver is None or not (
                    is_local
                    or hosts.cuts.isdisjoint({receiver, self._own_name})
                ):
                    await asyncio.Event().wait()
                return await hosts.services[receiver].handle(request, None)
        except TimeoutError:
            raise DeadlineExceededError(f'no reply in {timeout_s} s') from None

    async def close(self):
        """Nothing is open."""


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(5))
async def test_calls_after_leader_change(monkeypatch, seed):
    # Guards against hosts that keep calling the former leader, each for as
    # long as the operator waits.
    async with Hosts(monkeypatch, seed) as hosts:
        for name in hosts.replicas:
            await hosts.put(name, 1)
        hosts.cuts.add(hosts.leader)
        other_names = hosts.other_names()
        await wait_for_leader([hosts.replicas[name] for name in other_names])
        for number, name in enumerate(other_names):
            assert await hosts.put(name, 2 + number) < OPERATOR_TIMEOUT_S / 2


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('delay_s', [0, 0.3, 0.8])
async def test_acknowledgement_with_silent_leader(monkeypatch, seed, delay_s):
    # Guards against calls that take longer than the operator waits per host.
    async with Hosts(monkeypatch, seed) as hosts:
        for name in hosts.replicas:
            await hosts.put(name, 1)
        hosts.cuts.add(hosts.leader)
        await asyncio.sleep(delay_s)
        # The silent host comes first, as the worst case.
        order = [hosts.leader, *hosts.other_names()]
        assert await hosts.operate(2, order) < ACKNOWLEDGEMENT_LIMIT_S


@pytest.mark.looptime
async def test_open_call_moves_to_next_leader(monkeypatch):
    # Guards against a call that waits for a silent leader although its host
    # was notified of the next one.
    async with Hosts(monkeypatch, 1) as hosts:
        name = hosts.other_names()[0]
        hosts.cuts.add(hosts.leader)
        call = asyncio.create_task(hosts.put(name, 2))
        await wait_for_leader(
            [hosts.replicas[row] for row in hosts.other_names()]
        )
        elected_s = asyncio.get_running_loop().time()
        await call
        assert asyncio.get_running_loop().time() - elected_s < 0.3


@pytest.mark.looptime
async def test_obsolete_addresses(monkeypatch):
    # Guards against hosts that search for the leader only at the addresses of
    # a settings file, all of which are obsolete.
    async with Hosts(monkeypatch, 1, (OBSOLETE_ADDRESS,)) as hosts:
        for name in hosts.replicas:
            assert await hosts.put(name, 1) < OPERATOR_TIMEOUT_S / 2
        hosts.cuts.add(hosts.leader)
        other_names = hosts.other_names()
        await wait_for_leader([hosts.replicas[name] for name in other_names])
        for name in other_names:
            assert await hosts.put(name, 2) < OPERATOR_TIMEOUT_S / 2


@pytest.mark.looptime
async def test_failed_local_replica(monkeypatch):
    # Guards against a host that relies on its own replica, which has failed.
    async with Hosts(monkeypatch, 1) as hosts:
        name = hosts.other_names()[0]
        hosts.replicas[name]._restarts.next_delay_s = lambda *_: 60
        hosts.replicas[name]._fail(OSError('input/output error'))
        assert await hosts.put(name, 1) < OPERATOR_TIMEOUT_S


@pytest.mark.looptime
async def test_isolated_leader_confirms_nothing(monkeypatch):
    # Guards against an acknowledgement without a majority.
    async with Hosts(monkeypatch, 1) as hosts:
        hosts.cuts.add(hosts.leader)
        with pytest.raises(KumquatrunError):
            await hosts.put(hosts.leader, 2)


@pytest.mark.looptime
async def test_slow_reply_from_live_leader(monkeypatch):
    # Guards against a large change that is abandoned and resent forever.
    async with Hosts(monkeypatch, 1) as hosts:
        handle = hosts.services[hosts.leader].handle

        async def handle_slowly(request, context):
            await asyncio.sleep(1.2)
            return await handle(request, context)

        hosts.services[hosts.leader].handle = handle_slowly
        assert await hosts.put(hosts.other_names()[0], 2) < COMMIT_TIMEOUT_S


class ElectingGroup:
    """Peer clients of a group whose leader is silent during an election."""

    def __init__(self, silent, elected_s):
        self.silent = silent
        self.elected_s = elected_s
        self.leader = Address('10.0.0.2', 1)

    def connect(self, address, _identity):
        return ElectingGroupClient(self, address)


class ElectingGroupClient:
    def __init__(self, group, address):
        self.address = address
        self._group = group
        self.last_received_at_s = float('-inf')

    def ping(self):
        """Pings are not answered."""

    async def wait_idle(self):
        """Nothing is open."""

    async def close(self):
        """Nothing is open."""

    async def call(self, request, timeout_s):
        group = self._group
        if self.address == group.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(0.001)
        now_s = asyncio.get_running_loop().time()
        if now_s < group.elected_s:
            raise NotLeaderError(f'the leader is at {group.silent}')
        if self.address != group.leader:
            raise NotLeaderError(f'the leader is at {group.leader}')
        return Ack()


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(10))
async def test_refusals_before_election(monkeypatch, seed):
    # Guards against a call that waits for the silent leader until its timeout
    # after a few quick refusals, although a new leader answers.
    loop = asyncio.get_running_loop()
    addresses = tuple(Address(f'10.0.0.{number}', 1) for number in range(3))
    group = ElectingGroup(addresses[0], loop.time() + 1.3)
    monkeypatch.setattr(leader_client, 'PeerClient', group.connect)
    client = LeaderClient(
        addresses,
        Hello(node_id='n', incarnation='i'),
        LoopClock(),
        random.Random(seed),
    )
    assert await client.call(Ack(), COMMIT_TIMEOUT_S) == Ack()
    await client.close()


class SlowLink:
    """Fake ``PeerClient`` of a live replica that answers after ``answer_s``."""

    answer_s = 0.05

    def __init__(self, address, identity):
        self.address = address
        self.last_received_at_s = float('inf')

    async def call(self, request, timeout_s):
        if timeout_s < self.answer_s:
            await asyncio.sleep(timeout_s)
            raise DeadlineExceededError(f'no reply in {timeout_s} s')
        await asyncio.sleep(self.answer_s)
        return Ack()

    def ping(self):
        """Do nothing; the replica is alive."""

    async def close(self):
        """Do nothing."""


async def test_call_that_runs_out_of_time_keeps_the_leader(monkeypatch):
    # Guards against a call with little time left that turns all other calls
    # away from the leader that has just been found, to one that stands still.
    monkeypatch.setattr(leader_client, 'PeerClient', SlowLink)
    addresses = tuple(Address('127.0.0.1', port) for port in (1, 2, 3))
    client = LeaderClient(
        addresses,
        Hello(node_id='e', incarnation='i'),
        LoopClock(),
        random.Random(1),
    )
    found = client.leader.address
    for _ in range(5):
        with pytest.raises(KumquatrunError):
            await client.call(Ack(), 0.002)
        assert client.leader.address == found
    assert await client.call(Ack(), 1.0) == Ack()
