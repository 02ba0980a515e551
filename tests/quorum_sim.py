"""Simulated consensus group: network, disks, clock and invariant checker."""

import hashlib
import heapq
import itertools
import os
import random
import tempfile
from dataclasses import dataclass, field

import msgpack

from kumquatrun.consensus.consensus_messages import (
    EntryKind,
    FormationState,
    VoteReply,
)
from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_node import LogNode, NodeOptions, NodeSettings
from kumquatrun.errors import NotLeaderError

OPTIONS = NodeOptions(snapshot_entries=60, kept_entries=15)
TICK_S = 0.02


class PowerLossError(Exception):
    """Simulates a power loss of a host during a storage operation."""


class InvariantViolationError(AssertionError):
    """Raised if an invariant does not hold; the test then fails."""


class FaultyStorage(MemoryStorage):
    """Storage that loses power at a given operation.

    Up to three of the unsynced entries become durable.
    """

    def __init__(self, rng):
        super().__init__()
        self._rng = rng
        self.operations_left = None

    def lose_power(self):
        self.operations_left = None
        self.crash(self._rng.randrange(4))

    def _count(self):
        if self.operations_left is None:
            return
        self.operations_left -= 1
        if self.operations_left < 0:
            self.lose_power()
            raise PowerLossError


def _counted(name):
    def method(self, *arguments):
        # The power loss may strike before or after the operation takes effect.
        self._count()
        getattr(MemoryStorage, name)(self, *arguments)
        self._count()

    return method


for _name in (
    'save_meta',
    'append',
    'truncate_from',
    'sync',
    'save_snapshot',
    'install_snapshot',
):
    setattr(FaultyStorage, _name, _counted(_name))


class TornFileStorage(FileStorage):
    """Storage in files; a power loss may cut the unsynced end at any byte."""

    def __init__(self, folder, rng):
        super().__init__(tempfile.mkdtemp(dir=folder), segment_bytes=16 * 1024)
        self._rng = rng
        self._synced = (None, 0)
        self.operations_left = None
        self.torn_records = 0

    def sync(self):
        super().sync()
        if self._segments:
            last = self._segments[-1]
            self._synced = (last.path, last.size_bytes)

    def append(self, entries):
        super().append(entries)
        if self.operations_left is not None:
            self.lose_power()
            raise PowerLossError

    def lose_power(self):
        self.operations_left = None
        last = self._segments[-1] if self._segments else None
        written = last.size_bytes if last else 0
        self.close()
        if last and last.needs_sync:
            path, last_synced_bytes = self._synced
            synced_bytes = last_synced_bytes if path == last.path else 0
            os.truncate(last.path, self._rng.randint(synced_bytes, written))
            self.torn_records += 1


class SimStateMachine:
    """State machine that keeps all commands and a digest of them."""

    def __init__(self, checker):
        self._checker = checker
        self.commands = []
        self.digest = b''

    def apply(self, index, command):
        self.commands.append(command)
        self.digest = hashlib.blake2b(
            self.digest + command, digest_size=8
        ).digest()
        self._checker.check_state(index, self.digest)
        return command

    def snapshot(self):
        return msgpack.packb((self.commands, self.digest))

    def restore(self, snapshot):
        self.commands, self.digest = msgpack.unpackb(snapshot)


class InvariantChecker:
    """Checks the invariants across all hosts for the whole run."""

    def __init__(self):
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.states = {}
        self.voter_disks = set()
        self.acknowledged = []
        self.elected_s = {}
        self.terms_with_commit = set()

    def _require(self, holds, text):
        if not holds:
            raise InvariantViolationError(text)

    def check_state(self, index, digest):
        known = self.states.setdefault(index, digest)
        self._require(known == digest, f'state machines differ at {index}')

    def check_output(self, host, output):
        """Check log matching: equal index and term imply equal logs so far."""
        log = host.node.core.entries
        for entry in output.entries:
            previous = log.term_at(entry.index - 1)
            row = (entry.kind, entry.data, previous)
            known = self.entries.setdefault((entry.index, entry.term), row)
            self._require(
                previous is None or known == row,
                f'log matching: entry {entry.index} of term {entry.term}',
            )
            if entry.kind is EntryKind.MEMBERS:
                self._check_members(log, entry)

    def _check_members(self, log, entry):
        """Check that a change affects one voter and follows a commit.

        The commit must be of an entry of the term of the leader.
        """
        members = Membership.decode(entry.data)
        self.record_voters(members.members)
        self._require(
            entry.term in self.terms_with_commit,
            f'membership changed before a commit of term {entry.term}',
        )
        before = log.membership_at(entry.index - 1)
        changed = set(before.voters.items()) ^ set(members.voters.items())
        self._require(
            not before.voters or len(changed) <= 1,
            f'{len(changed)} voters changed at once at {entry.index}',
        )

    def record_voters(self, members):
        self.voter_disks |= {
            (row.replica_id, row.disk_id) for row in members if row.voter
        }

    def check_reply(self, reply):
        if isinstance(reply, FormationState):
            self.record_voters(reply.initial)
        if isinstance(reply, VoteReply) and reply.granted:
            voter = (reply.sender, reply.disk_id)
            self._require(
                voter in self.voter_disks,
                f'vote of a disk that was never a voter: {voter}',
            )

    def check_host(self, host, now_s):
        core = host.node.core
        self._check_commits(host, core.entries)
        if not core.is_leader:
            return
        owner = (host.replica_id, host.node.disk_id)
        if core.term not in self.leaders:
            self.leaders[core.term] = owner
            self.elected_s[core.term] = now_s
            self._check_complete(core)
        self._require(
            self.leaders[core.term] == owner, f'two leaders in {core.term}'
        )
        confirmed_s = core.leadership.confirmed_at_s
        for term, elected_s in self.elected_s.items():
            self._require(
                term <= core.term or confirmed_s <= elected_s,
                f'term {core.term} confirmed after election of {term}',
            )

    def _check_commits(self, host, log):
        self._require(
            log.commit_index >= host.checked_index, 'commit index moved back'
        )
        first = max(host.checked_index, log.base_index) + 1
        for entry in log.entries_between(first, log.commit_index):
            row = (entry.term, entry.kind, entry.data)
            known = self.committed.setdefault(entry.index, row)
            self.terms_with_commit.add(entry.term)
            self._require(
                known == row, f'committed entry {entry.index} changed'
            )
        host.checked_index = log.commit_index

    def _check_complete(self, core):
        """Check leader completeness: a new leader has all committed entries."""
        for index, row in self.committed.items():
            if index > core.entries.base_index:
                self._require(
                    core.entries.term_at(index) == row[0],
                    f'leader of term {core.term} lacks entry {index}',
                )


@dataclass
class Host:
    replica_id: str
    storage: FaultyStorage
    machine: SimStateMachine
    node: LogNode | None = None
    start_number: int = 0
    joining: bool = False
    disk_number: int = 0
    paused: bool = False
    flushing: bool = False
    inbox: list = field(default_factory=list)
    pending: dict = field(default_factory=dict)
    barriers: list = field(default_factory=list)
    checked_index: int = 0


@dataclass
class Network:
    """Network faults: probabilities, maximum delay and cut connections."""

    loss: float = 0
    duplication: float = 0
    delay_s: float = 0.005
    cuts: set = field(default_factory=set)


class SimCluster:
    """Simulated hosts, network and clients with a simulated clock."""

    def __init__(
        self,
        seed,
        size=3,
        node_type=LogNode,
        options=OPTIONS,
        storage_type=FaultyStorage,
        disk_identities=True,
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.network = Network()
        self.checker = InvariantChecker()
        self.clients_run = True
        self._node_type = node_type
        self._storage_type = storage_type
        self._options = options
        self._disk_identities = disk_identities
        self._events = []
        self._sequence = itertools.count()
        self._commands = itertools.count()
        names = [f'r{number}' for number in range(size)]
        self.addresses = {name: f'{name}:1' for name in names}
        self.hosts = {
            name: Host(
                name, storage_type(self.rng), SimStateMachine(self.checker)
            )
            for name in names
        }
        for name in names:
            self.start(name)
        self._schedule(0, self._run_client)

    def add_host(self, name):
        """Start a host that is not an initial member."""
        storage = self._storage_type(self.rng)
        machine = SimStateMachine(self.checker)
        self.hosts[name] = Host(name, storage, machine, joining=True)
        self.start(name)

    # Faults.

    def start(self, name):
        host = self.hosts[name]
        if host.node is not None:
            return
        host.machine = SimStateMachine(self.checker)
        host.checked_index = 0
        host.flushing = False
        host.start_number += 1
        host.node = self._node_type(
            NodeSettings(name, f'{name}:1', self.addresses, host.joining),
            host.machine,
            host.storage,
            random.Random(self.rng.random()),
            self._options,
            f'{name}-disk-{host.disk_number * self._disk_identities}',
            self.now_s,
        )
        self._schedule(0, self._tick, host, host.start_number)

    def kill(self, name):
        host = self.hosts[name]
        host.storage.lose_power()
        host.node = None
        host.paused = False
        host.inbox.clear()
        host.pending.clear()
        host.barriers.clear()

    def kill_in_storage(self, name):
        """Kill the host at one of its next storage operations."""
        self.hosts[name].storage.operations_left = self.rng.randrange(8)

    def lose_disk(self, name):
        self.kill(name)
        host = self.hosts[name]
        host.storage = self._storage_type(self.rng)
        host.disk_number += 1

    def transfer_leadership(self, name):
        """Make a leader request that another replica take over."""
        host = self.hosts[name]
        if host.node is not None and not host.paused:
            host.node.core.transfer_leadership(self.now_s)
            self._wake(host)

    def pause(self, name, *, paused=True):
        self.hosts[name].paused = paused

    def isolate(self, name):
        for other in self.hosts:
            self.cut(name, other)
            self.cut(other, name)

    def cut(self, sender, receiver):
        self.network.cuts.add((sender, receiver))

    def partition(self, *groups):
        """Cut all connections except those within each group."""
        allowed = {
            pair for group in groups for pair in itertools.product(group, group)
        }
        pairs = set(itertools.product(self.hosts, self.hosts))
        self.network.cuts = pairs - allowed

    def heal(self):
        """End all faults and restart all hosts."""
        self.network = Network()
        for name, host in self.hosts.items():
            host.paused = False
            host.storage.operations_left = None
            self.start(name)

    # Observation.

    def leader(self):
        """Return the running leader with the highest term, or None."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.node is not None and host.node.core.is_leader
        ]
        return max(leaders, key=lambda host: host.node.core.term, default=None)

    def is_repaired(self):
        """Return whether the committed voters are exactly the current disks."""
        leader = self.leader()
        if leader is None:
            return False
        log = leader.node.core.entries
        disks = {
            name: host.node and host.node.disk_id
            for name, host in self.hosts.items()
        }
        return (
            log.membership_index <= log.commit_index
            and log.commit_index >= leader.node.core.leadership.first_index
            and log.membership.voters == disks
        )

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def run_until(self, condition, limit_s=20, step_s=0.05):
        end_s = self.now_s + limit_s
        while not condition():
            if self.now_s > end_s:
                raise InvariantViolationError(
                    f'not reached in {limit_s} s: {condition.__name__}'
                )
            self.run(step_s)

    def heal_and_check(self):
        """End all faults and check all hosts for the acknowledged commands."""
        self.heal()
        # An isolated leader needs this long to detect the lost majority.
        self.run(1.5)
        self.run_until(self.is_repaired)
        self.run(0.5)
        self.clients_run = False
        self.run_until(self.is_converged)
        for host in self.hosts.values():
            lost = set(self.checker.acknowledged) - set(host.machine.commands)
            if lost:
                raise InvariantViolationError(
                    f'lost acknowledged commands: {lost}'
                )

    def is_converged(self):
        states = {
            (host.node.applied_index, host.machine.digest)
            for host in self.hosts.values()
        }
        return len(states) == 1

    # Events.

    def _schedule(self, delay_s, action, *arguments):
        row = (self.now_s + delay_s, next(self._sequence), action, arguments)
        heapq.heappush(self._events, row)

    def _tick(self, host, start_number):
        if host.start_number != start_number or host.node is None:
            return
        if not host.paused:
            host.inbox.append(None)
            self._wake(host)
        self._schedule(TICK_S, self._tick, host, start_number)

    def _wake(self, host):
        if not host.flushing and not host.paused:
            host.flushing = True
            self._schedule(0.0005, self._begin_flush, host, host.start_number)

    def _send(self, sender, receiver, msg, *, is_reply=False):
        if (sender, receiver) in self.network.cuts:
            return
        copies = 1 + (self.rng.random() < self.network.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.network.loss:
                delay_s = self.rng.uniform(0.0005, self.network.delay_s)
                self._schedule(
                    delay_s, self._deliver, sender, receiver, msg, is_reply
                )

    def _deliver(self, sender, receiver, msg, is_reply):
        host = self.hosts.get(receiver)
        is_cut = (sender, receiver) in self.network.cuts
        if host is None or host.node is None or is_cut:
            return
        host.inbox.append((sender, msg, is_reply))
        self._wake(host)

    def _begin_flush(self, host, start_number):
        if host.start_number != start_number or host.node is None:
            return
        if host.paused:
            host.flushing = False
            return
        inbox = list(host.inbox)
        host.inbox.clear()
        try:
            replies = self._process(host, inbox)
        except PowerLossError:
            self.kill(host.replica_id)
            return
        messages, output = host.node.begin_flush()
        self._send_all(host, messages)
        sync_s = self.rng.uniform(0.001, 0.004) if output.needs_sync else 0
        self._schedule(
            sync_s, self._finish_flush, host, start_number, output, replies
        )

    def _process(self, host, inbox):
        replies = []
        for row in inbox:
            if row is None:
                host.node.tick(self.now_s)
                continue
            sender, msg, is_reply = row
            reply = host.node.receive(msg, self.now_s)
            if not is_reply and reply is not None:
                replies.append((sender, reply))
        return replies

    def _finish_flush(self, host, start_number, output, replies):
        if host.start_number != start_number or host.node is None:
            return
        self.checker.check_output(host, output)
        try:
            flushed = host.node.finish_flush(output, self.now_s)
        except PowerLossError:
            self.kill(host.replica_id)
            return
        for receiver, reply in replies:
            self.checker.check_reply(reply)
            self._send(host.replica_id, receiver, reply, is_reply=True)
        self._send_all(host, flushed.messages)
        self.checker.check_host(host, self.now_s)
        self._acknowledge(host, flushed.applied)
        self._check_barriers(host)
        host.flushing = False
        if host.inbox:
            self._wake(host)

    def _send_all(self, host, messages):
        for envelope in messages:
            if isinstance(envelope.message, FormationState):
                self.checker.record_voters(envelope.message.initial)
            self._send(host.replica_id, envelope.receiver, envelope.message)

    def _acknowledge(self, host, applied):
        for row in applied:
            term = host.pending.pop(row.entry.index, None)
            if term == row.entry.term:
                self.checker.acknowledged.append(row.entry.data)

    def _check_barriers(self, host):
        waiting = host.barriers
        host.barriers = []
        for barrier, acknowledged_count in waiting:
            try:
                confirmed = host.node.core.is_confirmed(barrier)
            except NotLeaderError:
                continue
            if not confirmed or host.node.applied_index < barrier.index:
                host.barriers.append((barrier, acknowledged_count))
                continue
            missing = set(self.checker.acknowledged[:acknowledged_count]) - set(
                host.machine.commands
            )
            if missing:
                raise InvariantViolationError(f'stale read: {missing}')

    def _run_client(self):
        self._schedule(self.rng.uniform(0.005, 0.03), self._run_client)
        host = self.hosts[self.rng.choice(list(self.hosts))]
        if not self.clients_run or host.node is None or host.paused:
            return
        commands = [
            b'%d' % next(self._commands) for _ in range(self.rng.randrange(4))
        ]
        core = host.node.core
        try:
            for index in core.propose(commands, self.now_s):
                host.pending[index] = core.term
            if self.rng.random() < 0.2:
                barrier = core.start_barrier(self.now_s)
                acknowledged_count = len(self.checker.acknowledged)
                host.barriers.append((barrier, acknowledged_count))
        except NotLeaderError:
            return
        self._wake(host)
