"""Fault injection tests of the consensus core.

All runs use a simulated clock and fixed seeds. ``InvariantChecker`` of
``quorum_sim`` checks the invariants after every step. Each mutant disables one
mechanism, and the checker must detect that.
"""

from dataclasses import replace
from functools import partial

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from tests.quorum_sim import (
    OPTIONS,
    FaultyStorage,
    SimCluster,
    TornFileStorage,
)

from kumquatrun.consensus.consensus_messages import SnapshotChunk
from kumquatrun.consensus.quorum_election import Election
from kumquatrun.consensus.quorum_follower import (
    AppendResult,
    Follower,
    SnapshotReceiver,
)
from kumquatrun.consensus.quorum_leader import Leadership
from kumquatrun.consensus.quorum_log import QuorumLog
from kumquatrun.consensus.quorum_node import LogNode
from kumquatrun.consensus.quorum_types import MembershipChange, Timing
from kumquatrun.consensus.quorum_votes import may_grant
from kumquatrun.errors import (
    InvalidRequestError,
    NoCapacityError,
    NotFoundError,
    NotLeaderError,
    Outcome,
)


def others(cluster, name):
    return [other for other in cluster.hosts if other != name]


def cut_outgoing(cluster, name):
    for other in others(cluster, name):
        cluster.cut(name, other)


def cut_incoming(cluster, name):
    for other in others(cluster, name):
        cluster.cut(other, name)


def cut_one_pair(cluster, name):
    other = others(cluster, name)[0]
    cluster.cut(name, other)
    cluster.cut(other, name)


def network_fault(**changes):
    def apply(cluster, _name):
        cluster.network = replace(cluster.network, **changes)

    return apply


FAULTS = {
    'kill': SimCluster.kill,
    'kill_in_storage': SimCluster.kill_in_storage,
    'lose_disk': SimCluster.lose_disk,
    'isolate': SimCluster.isolate,
    'cut_outgoing': cut_outgoing,
    'cut_incoming': cut_incoming,
    'cut_one_pair': cut_one_pair,
    'pause': SimCluster.pause,
    'hand_over': SimCluster.transfer_leadership,
    'loss': network_fault(loss=0.25),
    'duplication': network_fault(duplication=0.5),
    'reordering': network_fault(delay_s=0.15),
}


def formed_cluster(seed, **options):
    cluster = SimCluster(seed, **options)
    cluster.run_until(cluster.is_repaired)
    cluster.run(0.5)
    return cluster


def pick_leader(cluster):
    cluster.run_until(cluster.is_repaired)
    return cluster.leader().replica_id


@pytest.mark.parametrize('first', FAULTS)
@pytest.mark.parametrize('second', FAULTS)
def test_two_overlapping_faults(first, second):
    # Guards against lost or changed entries, two leaders and stale reads if a
    # second fault occurs during the first one.
    cluster = formed_cluster(f'{first} {second}')
    leader = pick_leader(cluster)
    FAULTS[first](cluster, leader)
    cluster.run(cluster.rng.uniform(0.05, 1.2))
    if first == second == 'lose_disk':
        # The group cannot survive the simultaneous loss of two of three disks,
        # so the second disk is lost right after the repair.
        cluster.heal()
        cluster.run_until(cluster.is_repaired)
    name = cluster.rng.choice(others(cluster, leader))
    FAULTS[second](cluster, name)
    cluster.run(1.5)
    cluster.heal_and_check()


def random_faults(cluster, rounds):
    """Apply random faults to random hosts; lose at most one disk at a time."""
    for _ in range(rounds):
        for _ in range(cluster.rng.randrange(1, 4)):
            name = cluster.rng.choice(list(cluster.hosts))
            fault = cluster.rng.choice(list(FAULTS))
            if fault != 'lose_disk':
                FAULTS[fault](cluster, name)
            elif cluster.is_repaired():
                cluster.lose_disk(name)
            cluster.run(cluster.rng.uniform(0.01, 0.7))
        cluster.heal()
        cluster.run(cluster.rng.uniform(0, 1.2))


@pytest.mark.parametrize(
    ('size', 'seed'),
    [(3, seed) for seed in range(9)] + [(5, seed) for seed in range(4)],
)
def test_random_faults(size, seed):
    cluster = SimCluster(seed, size=size)
    random_faults(cluster, rounds=16)
    cluster.heal_and_check()
    assert len(cluster.checker.acknowledged) > 100


@pytest.mark.parametrize('seed', range(2))
def test_torn_records_in_files(tmp_path, seed):
    # Guards against a difference between simulated and real storage: here a
    # power loss cuts the last record in a file.
    cluster = formed_cluster(
        seed, storage_type=partial(TornFileStorage, tmp_path)
    )
    for _ in range(12):
        name = cluster.rng.choice([*cluster.hosts, pick_leader(cluster)])
        cluster.kill_in_storage(name)
        cluster.run(cluster.rng.uniform(0.1, 1.5))
        cluster.heal()
        cluster.run(cluster.rng.uniform(0.1, 1.5))
    cluster.heal_and_check()
    storages = [host.storage for host in cluster.hosts.values()]
    assert sum(storage.torn_records for storage in storages) > 5


def mutant(core=None, **types):
    """Return a node type whose core uses other classes for its parts."""
    core_type = type('Core', (core or QuorumLog,), types)
    return type('Node', (LogNode,), {'core_type': core_type})


class VoteWithoutLogCheck(Election):
    def _may_grant(self, request):
        up_to_date = replace(request, last_term=2**60)
        return may_grant(up_to_date, self.hard_state, self._log)


class CommitOfEarlierTerms(Leadership):
    def advance_commit(self):
        index = self._majority_of('match_index', self._log.saved_index)
        self._log.commit_to(index)


class RoundConfirmedOnReply(Leadership):
    def _update_confirmed(self):
        super()._update_confirmed()
        if self.confirmed_at_s > 0:
            self.confirmed_at_s = max(
                self._round_sent_s.values(), default=self.confirmed_at_s
            )


class NoLogMatching(Follower):
    def _accept_entries(self, request):
        log = self._log
        if request.prev_index > log.last_index:
            return AppendResult(success=False, match_index=log.last_index)
        log.append(
            [row for row in request.entries if row.index > log.last_index]
        )
        match_index = request.prev_index + len(request.entries)
        log.commit_to(min(request.commit_index, match_index))
        return AppendResult(success=True, match_index=match_index)


class UnconfirmedBarrier(QuorumLog):
    def is_confirmed(self, barrier):
        self.require_leader()
        return True


class ChangeBeforeCommit(QuorumLog):
    def _change_is_allowed(self, leader):
        return self.entries.commit_index >= self.entries.membership_index


class ReplaceInOneStep(QuorumLog):
    def _append_membership(self, membership, now_s):
        for row in membership.members:
            if row.promote:
                membership = membership.with_member(
                    replace(row, voter=True, promote=False)
                )
        return super()._append_membership(membership, now_s)


class UnsyncedStorage(FaultyStorage):
    def sync(self):
        """Do not make written entries durable."""


class UnstoredVoteStorage(FaultyStorage):
    def save_meta(self, meta):
        known = self.durable.meta
        if known is not None:
            meta = replace(meta, hard_state=known.hard_state)
        super().save_meta(meta)


def random_faults_scenario(cluster):
    random_faults(cluster, rounds=15)


def restart_scenario(cluster):
    """Restart hosts repeatedly during elections."""
    for _ in range(40):
        for name in cluster.rng.sample(list(cluster.hosts), 2):
            cluster.kill(name)
        cluster.run(cluster.rng.uniform(0, 0.02))
        cluster.heal()
        cluster.run(cluster.rng.uniform(0.4, 0.9))


def isolated_leader_scenario(cluster):
    """Isolate the leader repeatedly."""
    for _ in range(15):
        cluster.isolate(pick_leader(cluster))
        cluster.run(1.5)
        cluster.heal()
        cluster.network.delay_s = 0.03
        cluster.run(1.2)


def lost_disk_scenario(cluster):
    """Lose the disk with the only other copy of entries a follower lacks."""
    leader = pick_leader(cluster)
    lagging, lost = others(cluster, leader)
    cluster.isolate(lagging)
    cluster.run(0.5)
    cluster.lose_disk(lost)
    cluster.partition([lagging, lost], [leader])
    cluster.start(lost)
    cluster.run(4)


def early_change_scenario(cluster):
    """Request a membership change as soon as a leader is elected."""

    def has_new_leader():
        return cluster.leader() is not None

    old = pick_leader(cluster)
    cluster.kill(old)
    cluster.run_until(has_new_leader, step_s=0.0005)
    change = MembershipChange('remove', old)
    try:
        cluster.leader().node.core.change_membership(change, cluster.now_s)
    except NotLeaderError as error:
        assert error.cause == 'change_pending'
    cluster.run(0.2)


def earlier_term_scenario(cluster):
    """Run figure 8 of the Raft paper, with one entry per message."""
    first = pick_leader(cluster)
    second, *majority = others(cluster, first)
    cluster.partition([first, second], majority)

    def rival():
        host = cluster.leader()
        return host if host and host.replica_id in majority else None

    cluster.run_until(rival, step_s=0.0005)
    rival_name = rival().replica_id
    rest = [name for name in majority if name != rival_name]
    # The rival does not replicate the first entry of its term.
    cluster.partition([first, second, *rest], [rival_name])
    contested = cluster.hosts[rival_name].node.core.leadership.first_index

    def contested_is_committed():
        commits = [
            cluster.hosts[name].node.core.entries.commit_index
            for name in (first, second)
        ]
        return max(commits) >= contested

    cluster.run_until(contested_is_committed, step_s=0.0005)
    cluster.partition([first, second], [rival_name, *rest])
    cluster.run(3)


ONE_ENTRY_PER_MESSAGE = replace(
    OPTIONS, timing=Timing(append_bytes=1), snapshot_entries=10_000
)

# Disabled mechanism: how it is disabled, and a scenario that depends on it.
MUTANTS = {
    'sync before acknowledging': (
        {'storage_type': UnsyncedStorage},
        random_faults_scenario,
    ),
    'stored term and vote': (
        {'storage_type': UnstoredVoteStorage},
        restart_scenario,
    ),
    'disk identities': ({'disk_identities': False}, lost_disk_scenario),
    'vote only for a complete log': (
        {'node_type': mutant(election_type=VoteWithoutLogCheck)},
        random_faults_scenario,
    ),
    'commit rule of the current term': (
        {'node_type': mutant(leadership_type=CommitOfEarlierTerms)},
        earlier_term_scenario,
    ),
    'lease counted from the send time': (
        {'node_type': mutant(leadership_type=RoundConfirmedOnReply)},
        isolated_leader_scenario,
    ),
    'log matching': (
        {'node_type': mutant(follower_type=NoLogMatching)},
        random_faults_scenario,
    ),
    'confirmation round of a barrier': (
        {'node_type': mutant(UnconfirmedBarrier)},
        isolated_leader_scenario,
    ),
    'change only after a commit': (
        {'node_type': mutant(ChangeBeforeCommit)},
        early_change_scenario,
    ),
    'one voter per change': (
        {'node_type': mutant(ReplaceInOneStep)},
        random_faults_scenario,
    ),
}
SCENARIO_OPTIONS = {
    earlier_term_scenario: {'size': 5, 'options': ONE_ENTRY_PER_MESSAGE},
}


def run_scenario(scenario, seed, **changes):
    cluster = formed_cluster(
        seed, **SCENARIO_OPTIONS.get(scenario, {}), **changes
    )
    scenario(cluster)
    cluster.heal_and_check()


@pytest.mark.parametrize('name', MUTANTS)
def test_checker_detects_disabled_mechanism(name):
    # Guards against a checker or fault model that cannot detect violations: the
    # scenario must pass with the mechanism and fail without it.
    changes, scenario = MUTANTS[name]
    for seed in range(20):
        try:
            run_scenario(scenario, seed, **changes)
        except AssertionError as violation:
            # A run that only makes no progress does not count as detection.
            if 'not reached' in str(violation):
                continue
            run_scenario(scenario, seed)
            return
    pytest.fail(f'not detected by any run: {name}')


class NoPreVote(Election):
    def _start_pre_vote(self, now_s):
        self._transition('election_timeout', now_s)
        self._start_election('pre_votes_won', now_s)


class NoRefusalAfterHeartbeat(Election):
    def _must_refuse(self, request, leader_contact_s, now_s):
        return super()._must_refuse(request, float('-inf'), now_s)


class NoMajorityCheck(Leadership):
    def majority_is_lost(self, now_s):
        return False


def require_same_term(cluster, term):
    cluster.run_until(cluster.is_repaired)
    assert cluster.leader().node.core.term == term, 'leader was disrupted'


def returning_follower_scenario(cluster):
    term = cluster.leader().node.core.term
    cluster.isolate(others(cluster, pick_leader(cluster))[0])
    cluster.run(4)
    cluster.heal()
    cluster.run(2)
    require_same_term(cluster, term)


def unreachable_follower_scenario(cluster):
    # The group is idle, so the log of the follower is as long as the others.
    cluster.clients_run = False
    cluster.run(0.5)
    term = cluster.leader().node.core.term
    leader = pick_leader(cluster)
    cluster.cut(leader, others(cluster, leader)[0])
    cluster.run(4)
    require_same_term(cluster, term)


def deposed_leader_scenario(cluster):
    name = pick_leader(cluster)
    cluster.isolate(name)
    # Election timeout of 1 s plus heartbeat interval plus tick.
    cluster.run(1.15)
    assert not cluster.hosts[name].node.core.is_leader, 'still the leader'


LEADER_MECHANISMS = {
    'pre-vote': (
        mutant(election_type=NoPreVote),
        returning_follower_scenario,
    ),
    'vote refusal after a heartbeat': (
        mutant(election_type=NoRefusalAfterHeartbeat),
        unreachable_follower_scenario,
    ),
    'leader check of a lost majority': (
        mutant(leadership_type=NoMajorityCheck),
        deposed_leader_scenario,
    ),
}


@pytest.mark.parametrize('name', LEADER_MECHANISMS)
def test_leader_stability(name):
    # Guards against a leader that is deposed without need, and against a leader
    # that does not step down without a majority.
    node_type, scenario = LEADER_MECHANISMS[name]
    scenario(formed_cluster(name))
    with pytest.raises(AssertionError, match='leader'):
        scenario(formed_cluster(name, node_type=node_type))


def test_no_new_group_after_majority_of_disks_lost():
    # Guards against a second group that is formed by two empty replacements.
    cluster = formed_cluster(1)
    cluster.kill('r0')
    for name in ('r1', 'r2'):
        cluster.lose_disk(name)
        cluster.start(name)
    cluster.run(5)
    assert cluster.leader() is None
    cluster.heal()
    cluster.run(5)
    assert cluster.leader() is None


def test_disk_lost_during_formation():
    # Guards against members that start with different memberships. A formation
    # takes less than 120 ms here.
    formed = []
    for lost_after_ms in range(0, 120, 2):
        cluster = SimCluster(lost_after_ms)
        cluster.run(lost_after_ms / 1000)
        cluster.lose_disk('r2')
        cluster.heal()
        cluster.run(3)
        formed.append(cluster.is_repaired())
        assert formed[-1] or cluster.leader() is None
    # The runs cover a loss before the agreement, after it, and after the start.
    assert formed[0]
    assert formed[-1]
    assert not all(formed)


def test_rolling_replacement_of_all_replicas():
    # Guards against a replacement to which no replica reports that the group
    # exists.
    cluster = formed_cluster(2)
    for name in [*cluster.hosts, *cluster.hosts]:
        cluster.lose_disk(name)
        cluster.run(0.3)
        cluster.heal()
        cluster.run_until(cluster.is_repaired)
    cluster.heal_and_check()


def test_leader_lost_before_new_voter_receives_promotion():
    # Guards against a permanent loss of availability: the two old replicas
    # commit the promotion, and the leader is lost before the new replica has
    # received it. The new one must vote although its own log does not list it
    # as a voter.
    cluster = formed_cluster(3)
    leader = pick_leader(cluster)
    lost = others(cluster, leader)[0]
    cluster.lose_disk(lost)
    cluster.start(lost)

    def is_promoted():
        log = cluster.leader().node.core.entries
        return log.committed_membership.voters.get(lost) == f'{lost}-disk-1'

    def is_promoting():
        log = cluster.leader().node.core.entries
        return log.membership.voters.get(lost) == f'{lost}-disk-1'

    cluster.run_until(is_promoting, step_s=0.0005)
    cluster.cut(leader, lost)
    cluster.run_until(is_promoted, step_s=0.0005)
    own = cluster.hosts[lost].node
    assert not own.core.membership.is_voter(lost, own.disk_id)
    cluster.kill(leader)
    cluster.network.cuts.clear()
    cluster.run_until(lambda: cluster.leader() is not None, limit_s=5)
    cluster.heal_and_check()


def test_replacement_rejoins_after_entry_lost():
    # Guards against a replacement that relies on an uncommitted membership: the
    # entry that records the replacement is lost together with the old leader.
    cluster = formed_cluster(10, size=5)
    leader = pick_leader(cluster)
    lost, *rest = others(cluster, leader)
    cluster.lose_disk(lost)
    cluster.start(lost)

    def is_appended():
        membership = cluster.hosts[leader].node.core.membership
        return membership.includes(lost, f'{lost}-disk-1')

    cluster.run_until(is_appended, step_s=0.0005)
    cluster.partition([leader, lost], rest)
    cluster.run(0.5)
    assert cluster.hosts[lost].node.core.membership.includes(
        lost, f'{lost}-disk-1'
    )
    cluster.kill(leader)
    cluster.network.cuts.clear()
    cluster.run(3)
    cluster.heal_and_check()


def test_recorded_disk_returns_after_failed_replacement():
    # Guards against a leader that continues to replicate to a replacement that
    # was killed, so that the recorded disk never receives entries again.
    cluster = formed_cluster(8)
    name = others(cluster, pick_leader(cluster))[0]
    host = cluster.hosts[name]
    recorded = host.storage
    cluster.lose_disk(name)
    cluster.run(1.2)
    cluster.start(name)

    def is_admitted():
        row = cluster.leader().node.core.leadership.progress[name]
        return row.disk_id == f'{name}-disk-1'

    cluster.run_until(is_admitted, step_s=0.0005)
    cluster.kill(name)
    host.storage = recorded
    cluster.start(name)
    # A silent joining disk is dropped after 10 s.
    cluster.run(11)
    cluster.run_until(cluster.is_repaired, limit_s=2)
    cluster.heal_and_check()


def chunk(term, offset, data, total=6):
    return SnapshotChunk(
        term=term,
        sender='r0',
        disk_id='d0',
        last_index=9,
        last_term=1,
        members=(),
        offset=offset,
        total_bytes=total,
        data=data,
        round_number=1,
    )


def test_snapshot_chunks_of_two_leaders():
    # Guards against a snapshot that is assembled from two different encodings
    # of the state.
    receiver = SnapshotReceiver()
    assert receiver.accept(chunk(1, 0, b'abc')) is None
    assert receiver.accept(chunk(2, 3, b'DEF')) is None
    assert receiver.next_offset == 0
    assert receiver.accept(chunk(2, 0, b'ABC')) is None
    assert receiver.accept(chunk(2, 0, b'ABC')) is None
    assert receiver.accept(chunk(2, 3, b'DEF')).content == b'ABCDEF'


def test_too_many_uncommitted_entries():
    # Guards against a leader that runs out of memory while no majority confirms
    # its entries.
    timing = Timing(max_uncommitted_entries=20)
    cluster = formed_cluster(9, options=replace(OPTIONS, timing=timing))
    cluster.clients_run = False
    cluster.run(0.5)
    core = cluster.leader().node.core
    cluster.isolate(cluster.leader().replica_id)
    core.propose([b'x'] * 25, cluster.now_s)
    with pytest.raises(NoCapacityError) as caught:
        core.propose([b'y'], cluster.now_s)
    assert caught.value.outcome is Outcome.NOT_RUN


def test_restart_after_hundreds_of_entries():
    # Guards against a log or snapshot that is not read back completely.
    cluster = formed_cluster(4, options=replace(OPTIONS, snapshot_entries=400))
    cluster.run(25)
    assert len(cluster.checker.acknowledged) > 500
    for name in cluster.hosts:
        cluster.kill(name)
    cluster.heal_and_check()


def change(cluster, action, name, **fields):
    """Request a membership change until the leader accepts it."""

    def is_changed():
        core = cluster.leader().node.core
        try:
            core.change_membership(
                MembershipChange(action, name, **fields), cluster.now_s
            )
        except NotLeaderError as error:
            assert error.cause
            return False
        return True

    cluster.run_until(is_changed)
    cluster.run(0.3)


def test_grow_to_five_and_shrink():
    # Guards against overlapping changes, and learners counted as voters.
    cluster = formed_cluster(5)
    for name in ('r3', 'r4'):
        cluster.add_host(name)
        cluster.run(2)
        assert name in cluster.leader().node.core.membership.by_id
        assert name not in cluster.leader().node.core.membership.voters
        change(cluster, 'promote', name)
    cluster.run_until(cluster.is_repaired)
    removed = pick_leader(cluster)
    change(cluster, 'remove', removed)
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.leader().replica_id != removed
    cluster.run(3)
    assert removed not in cluster.leader().node.core.membership.by_id
    del cluster.hosts[removed]
    random_faults(cluster, rounds=3)
    cluster.heal_and_check()


@pytest.mark.parametrize(
    ('action', 'name', 'error'),
    [
        ('promote', 'r9', NotFoundError),
        ('remove', 'r9', NotFoundError),
        ('add_learner', 'r1', InvalidRequestError),
        ('replace', 'r1', InvalidRequestError),
    ],
)
def test_invalid_membership_change(action, name, error):
    cluster = formed_cluster(6)
    with pytest.raises(error):
        cluster.leader().node.core.change_membership(
            MembershipChange(action, name), cluster.now_s
        )


def test_remove_last_voter():
    cluster = formed_cluster(7, size=1)
    with pytest.raises(InvalidRequestError):
        change(cluster, 'remove', 'r0')


class GroupMachine(RuleBasedStateMachine):
    """State machine for hypothesis: faults in any order and duration."""

    names = strategies.sampled_from(['r0', 'r1', 'r2'])

    @initialize(seed=strategies.integers(0, 1000))
    def form(self, seed):
        self.cluster = formed_cluster(seed)

    @rule(name=names, fault=strategies.sampled_from(sorted(FAULTS)))
    def fail(self, name, fault):
        if fault != 'lose_disk' or self.cluster.is_repaired():
            FAULTS[fault](self.cluster, name)

    @rule(duration_s=strategies.floats(0.001, 1.5))
    def run(self, duration_s):
        self.cluster.run(duration_s)

    @rule()
    def heal(self):
        self.cluster.heal()

    def teardown(self):
        if hasattr(self, 'cluster'):
            self.cluster.heal_and_check()


def test_any_order_of_faults_keeps_all_invariants():
    run_state_machine_as_test(
        GroupMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=20,
            stateful_step_count=25,
        ),
    )
