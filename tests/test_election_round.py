"""Elections in which several replicas request votes at the same time.

The tests use neither real time nor processes, but the simulated cluster of
``quorum_sim`` and cores whose messages are delivered in every possible order.
"""

import random
from copy import deepcopy
from itertools import combinations

import pytest
from tests.quorum_sim import SimCluster

from kumquatrun.consensus.consensus_messages import (
    EntryKind,
    LogEntry,
    Member,
)
from kumquatrun.consensus.quorum_log import QuorumLog
from kumquatrun.consensus.quorum_types import (
    HardState,
    ReplicaMeta,
    StoredState,
    Timing,
)

NOW_S = 10.0
TERM = 1
# An election round takes a few messages of up to 5 ms and syncs of up to 4 ms.
# The next round starts after 500 ms at the earliest.
ROUND_S = 0.3


def formed_cluster(seed, size):
    cluster = SimCluster(seed, size=size)
    cluster.run_until(cluster.is_repaired)
    cluster.run(0.5)
    return cluster


def align_election_timeouts(cluster):
    """Make all running replicas campaign at once, 500 ms from now."""
    # Messages of the killed leader that are still in transit reset timeouts.
    cluster.run(0.05)
    for host in cluster.hosts.values():
        if host.node is not None:
            host.node.core.election.due_s = cluster.now_s + 0.5
    cluster.run(0.5)


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize(('size', 'killed'), [(3, 1), (5, 2)])
def test_simultaneous_campaigns_elect_leader(size, killed, seed):
    # Guards against a split vote of the remaining replicas after the leader is
    # killed: the next round would end after the lease of a host has expired.
    cluster = formed_cluster(seed, size)
    leader = cluster.leader()
    term = leader.node.core.term
    others = [name for name in cluster.hosts if name != leader.replica_id]
    for name in [leader.replica_id, *others][:killed]:
        cluster.kill(name)
    align_election_timeouts(cluster)
    cluster.run(ROUND_S)
    elected = cluster.leader()
    assert elected is not None, 'no leader in this round'
    assert elected.node.core.term == term + 1
    cluster.heal_and_check()


class Round:
    """Cores of the running replicas, and the messages between them.

    The election timeouts of the replicas in ``due`` have expired. The time
    does not advance, so no other timeout expires.
    """

    def __init__(self, running, size, due):
        names = [f'r{number}' for number in range(size)]
        members = tuple(
            Member(replica_id=name, disk_id=f'{name}-disk') for name in names
        )
        self.cores = {}
        self.due = set(due)
        # Tuples of sender, receiver, message and whether it is a reply.
        self.messages = []
        for name in running:
            meta = ReplicaMeta(f'{name}-disk', HardState(TERM), members, True)
            core = QuorumLog(
                name, StoredState(meta), Timing(), random.Random(name), 0
            )
            core.election.due_s = NOW_S if name in due else NOW_S + 1
            self.cores[name] = core

    @property
    def leaders(self):
        return [name for name, core in self.cores.items() if core.is_leader]

    def tick(self, name):
        self.due.discard(name)
        self.cores[name].tick(NOW_S)
        self._send(name)

    def deliver(self, row):
        sender, receiver, msg, is_reply = row
        self.messages.remove(row)
        reply = self.cores[receiver].receive(msg, NOW_S)
        self._send(receiver)
        if not is_reply:
            self.messages.append((receiver, sender, reply, True))

    def deliver_all(self):
        while self.messages:
            self.deliver(self.messages[0])

    def events(self):
        """Return the possible next events as method names with arguments."""
        ticks = [('tick', name) for name in sorted(self.due)]
        return ticks + [('deliver', row) for row in self.messages]

    def successors(self):
        """Yield the state after each possible next event."""
        for name, argument in self.events():
            successor = deepcopy(self)
            getattr(successor, name)(argument)
            yield successor

    def key(self):
        cores = tuple(
            (
                name,
                core.election.role,
                core.election.hard_state,
                *self._campaign_state(core),
            )
            for name, core in self.cores.items()
        )
        return cores, frozenset(self.due), frozenset(map(repr, self.messages))

    def _campaign_state(self, core):
        campaign = core.election._campaign
        granted = frozenset(campaign._granted) if campaign else None
        return core.election.due_s <= NOW_S, granted

    def _send(self, name):
        output = self.cores[name].take_output()
        for row in (*output.messages_before_sync, *output.messages_after_sync):
            if row.receiver in self.cores:
                self.messages.append((name, row.receiver, row.message, False))


def final_states(first):
    """Return the final states of a round for all orders of its events."""
    seen = set()
    final = []
    waiting = [first]
    while waiting:
        state = waiting.pop()
        if state.key() in seen:
            continue
        seen.add(state.key())
        next_states = [] if state.leaders else list(state.successors())
        waiting.extend(next_states)
        if not next_states:
            final.append(state)
    return final


def test_two_of_three_all_event_orders():
    # Guards against orders of events in which both replicas become candidates
    # or each one waits for the other.
    for running in combinations(['r0', 'r1', 'r2'], 2):
        for due in (running, running[:1], running[1:]):
            for state in final_states(Round(running, 3, due)):
                assert state.leaders, state.key()


def random_final_state(first, rng):
    """Return the final state of a round with a random order of events."""
    state = deepcopy(first)
    while not state.leaders and (state.due or state.messages):
        name, argument = rng.choice(state.events())
        getattr(state, name)(argument)
    return state


@pytest.mark.parametrize(('running', 'size'), [(3, 3), (3, 5)])
def test_three_campaigns_random_event_orders(running, size):
    # Guards against a ranking of campaigns that works only for two of them.
    names = [f'r{number}' for number in range(running)]
    first = Round(names, size, names)
    for seed in range(500):
        state = random_final_state(first, random.Random(seed))
        assert state.leaders, (seed, state.key())


def test_lost_request_of_preferred_candidate():
    # Guards against an election that is blocked by a preferred candidate whose
    # messages are lost.
    names = ['r0', 'r1']
    state = Round(names, 3, names)
    state.tick('r0')
    state.messages.clear()
    state.tick('r1')
    state.deliver_all()
    assert state.leaders == ['r1']


@pytest.mark.parametrize('lost_after_ms', range(0, 40, 2))
def test_preferred_candidate_killed(lost_after_ms):
    # Guards against replicas that wait for a killed candidate. The round takes
    # about 20 ms here; the next one starts after 1 s at the latest.
    cluster = formed_cluster(lost_after_ms, 5)
    leader = cluster.leader().replica_id
    preferred = min(name for name in cluster.hosts if name != leader)
    cluster.kill(leader)
    align_election_timeouts(cluster)
    cluster.run(lost_after_ms / 1000)
    cluster.kill(preferred)
    cluster.run(1 + ROUND_S)
    assert cluster.leader() is not None
    cluster.heal_and_check()


def test_granted_pre_vote_delays_own_campaign():
    # Guards against a replica that never campaigns because another one, which
    # cannot be elected, requests pre-votes repeatedly.
    state = Round(['r0', 'r1'], 3, ['r0'])
    due_s = state.cores['r1'].election.due_s
    state.tick('r0')
    state.deliver(state.messages[0])
    assert state.cores['r1'].election.due_s == due_s
    state.cores['r1'].election.due_s = NOW_S
    state.cores['r0'].election.due_s = NOW_S
    state.tick('r0')
    state.deliver(state.messages[-1])
    postponed_s = state.cores['r1'].election.due_s - NOW_S
    assert postponed_s == pytest.approx(Timing().heartbeat_s)


def test_longer_log_ranks_above_smaller_id():
    # Guards against a replica that defers to a rival that cannot be elected
    # because its log is shorter.
    names = ['r0', 'r1']
    state = Round(names, 3, names)
    longer = state.cores['r1'].entries
    longer.append([LogEntry(index=1, term=TERM, kind=EntryKind.NOOP)])
    state.cores['r1'].take_output()
    for final in final_states(state):
        assert final.leaders == ['r1'], final.key()


@pytest.mark.parametrize('seed', range(5))
def test_replica_without_incoming_messages(
    seed,
):
    # Guards against a group without a leader: a replica with the smallest id
    # receives no messages, requests pre-votes repeatedly, and the others defer
    # to it each time.
    cluster = formed_cluster(seed, 5)
    leader = cluster.leader().replica_id
    unreachable = min(name for name in cluster.hosts if name != leader)
    for name in cluster.hosts:
        cluster.cut(name, unreachable)
    cluster.run(2)
    cluster.kill(leader)
    cluster.run_until(lambda: cluster.leader() is not None, limit_s=4)
    assert cluster.leader().replica_id != unreachable
    cluster.heal_and_check()
