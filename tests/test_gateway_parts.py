"""Balancer, retry budgets, configuration register and membership keeper."""

import random
from dataclasses import dataclass, field

import pytest

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.consensus.membership_keeper import (
    MEMBER_SILENCE_LIMIT_S,
    MembershipKeeper,
)
from kumquatrun.control.commands import decode_results, encode_batch
from kumquatrun.control.configuration_register import (
    AccountAllowance,
    ConfigurationRegister,
    NameAdapterVersion,
    PutConfiguration,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.gateway.backends.backends import (
    BUSY_FRACTION,
    BackendRecord,
    BackendTable,
)
from kumquatrun.gateway.forwarding.shared_retry_budgets import (
    SharedRetryBudgets,
)
from kumquatrun.gateway.placement.balancer import Balancer, Locality
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer.address import Address


def record(number, **more):
    return BackendRecord(
        backend_id=f'i-{number}',
        service='assistant',
        address=Address('10.0.0.1', 8000 + number),
        failure_domain='abc'[number % 3],
        **more,
    )


def table_of(count):
    table = BackendTable()
    table.update([record(number) for number in range(count)])
    return table


def balancer():
    locality = Locality(
        failure_domain='a', regions={'a': 'r', 'b': 'r', 'c': 's'}
    )
    return Balancer(locality, random.Random(1))


def test_adapter_affinity():
    rows = table_of(6).of_service('assistant')
    chosen = {
        balancer().choose(rows, 0, affinity='m/a1').backend_id
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_lost_backend_server_moves_only_its_adapters():
    rows = table_of(6).of_service('assistant')
    moved = 0
    for number in range(200):
        key = f'm/a{number}'
        before = balancer().choose(rows, 0, affinity=key).backend_id
        after = balancer().choose(rows[1:], 0, affinity=key).backend_id
        moved += before != after
        assert before == after or before == rows[0].backend_id
    assert moved < 80


@pytest.mark.parametrize('slots', [16, 64])
def test_busy_adapter_gets_second_backend_server(slots):
    # Guards against a second copy of an adapter while its engine has free
    # slots: with a fixed limit of 28 requests, a fifth of all loads were second
    # copies.
    table = BackendTable()
    table.update([record(number, slots=slots) for number in range(3)])
    rows = table.of_service('assistant')
    first = balancer().choose(rows, 0, affinity='m/a1')
    first.record_reported_load(int(BUSY_FRACTION * slots))
    assert balancer().choose(rows, 0, affinity='m/a1') is first
    first.record_reported_load(slots)
    assert balancer().choose(rows, 0, affinity='m/a1') is not first


def test_failing_backend_server_is_avoided():
    rows = table_of(2).of_service('assistant')
    failing = rows[0]
    for _ in range(10):
        failing.record_response(failed=True, now_s=0)
    chosen = {balancer().choose(rows, 0).backend_id for _ in range(9)}
    assert chosen == {rows[1].backend_id}
    assert failing.current_failure_rate(20) < 0.1


def test_unreachable_backend_server_is_paused():
    rows = table_of(2).of_service('assistant')
    rows[0].record_unreachable(0)
    assert balancer().choose(rows, 0.1) is rows[1]


def test_draining_backend_server_gets_no_requests():
    table = BackendTable()
    table.update([record(0, is_draining=True), record(1)])
    rows = table.of_service('assistant')
    assert [row.backend_id for row in rows] == ['i-1']


@pytest.mark.parametrize('entries', [1, 8, 30])
def test_retries_of_all_entries_are_bounded(entries):
    # Guards against entries that each use the whole retry budget.
    total = 0
    for _ in range(entries):
        shares = SharedRetryBudgets(0.2, 64, 10)
        shares.set_entry_count(entries)
        for step in range(100):
            shares.record_request('s', step / 10)
            total += shares.take('s', step / 10)
    assert total <= 0.2 * 100 * entries + 64


def put(version, content=b'{}'):
    allowance = AccountAllowance(
        name='lamps',
        rate_tokens_per_s=5,
        burst_tokens=7,
    )
    return PutConfiguration(
        version=version,
        content=content,
        allowances=(allowance,),
    )


def test_highest_version_is_in_force():
    # Guards against changed content under the active version, and against a
    # return to an older version.
    register = ConfigurationRegister()
    assert register.put(put(3, b'three'))
    assert not register.put(put(3, b'other'))
    assert not register.put(put(2, b'two'))
    assert (register.version, register.content()) == (3, b'three')


def test_register_survives_a_snapshot():
    register = ConfigurationRegister()
    register.put(put(3, b'three'))
    register.name_version(NameAdapterVersion(model='m', adapter='a', version=2))
    restored = ConfigurationRegister()
    restored.restore(register.snapshot())
    assert restored.content() == b'three'
    assert restored.allowances == register.allowances
    assert restored.adapter_versions == {('m', 'a'): 2}


def test_adapter_version_never_decreases():
    register = ConfigurationRegister()
    for version in (2, 1):
        register.name_version(
            NameAdapterVersion(model='m', adapter='a', version=version),
        )
    assert register.adapter_versions == {('m', 'a'): 2}


def test_view_follows_configurations_and_versions():
    state = ControlState()
    batch = encode_batch(
        0,
        [
            put(4, b'four'),
            NameAdapterVersion(model='m', adapter='a', version=2),
        ],
    )
    assert decode_results(state.apply(1, batch))[0].version == 4
    followed, restored = ClusterView(), ClusterView()
    for item in state.drain_changes():
        followed.apply(item)
    restored.apply(state.snapshot_feed())
    for view in (followed, restored):
        assert view.configuration == (4, b'four')
        assert view.adapter_version('m', 'a') == 2


@dataclass
class Group:
    """Fake ``Replica`` of a leader.

    ``silent`` members have exceeded the silence limit, ``briefly_silent``
    members have not.
    """

    voters: str
    learners: str = ''
    silent: str = ''
    briefly_silent: str = ''
    lagging: str = ''
    changes: list = field(default_factory=list)

    @property
    def members(self):
        return [
            Member(
                replica_id=name,
                disk_id=name,
                address='',
                voter=name in self.voters,
            )
            for name in self.voters + self.learners
        ]

    def ready_learners(self):
        return [name for name in self.learners if name not in self.lagging]

    def silence_s(self, now_s):
        names = self.voters + self.learners
        return {
            **dict.fromkeys(names, 0),
            **dict.fromkeys(self.briefly_silent, MEMBER_SILENCE_LIMIT_S - 1),
            **dict.fromkeys(self.silent, MEMBER_SILENCE_LIMIT_S + 1),
        }


class Now:
    def now_s(self):
        return 100


@pytest.mark.parametrize(
    ('group', 'change'),
    [
        (Group('abc'), None),
        (Group('abc', silent='c'), None),
        (Group('abc', learners='d'), ('promote', 'd')),
        (Group('abc', learners='d', silent='c'), ('promote', 'd')),
        (Group('abcd', silent='c'), ('remove', 'c')),
        (Group('abc', learners='d', silent='d'), ('remove', 'd')),
        (Group('abcdefg', learners='h'), None),
        (Group('abc', briefly_silent='c'), None),
        (Group('abc', learners='d', briefly_silent='c'), ('promote', 'd')),
        (Group('abc', learners='d', briefly_silent='d'), ('promote', 'd')),
        (Group('abcd', briefly_silent='c'), ('remove', 'c')),
        (Group('abcde', briefly_silent='c'), None),
        (Group('abcdef', briefly_silent='c'), ('remove', 'c')),
        (Group('abc', learners='d', lagging='d'), None),
        (Group('abc', learners='de', lagging='d'), ('promote', 'e')),
        (Group('abcd', learners='e', lagging='e', silent='c'), ('remove', 'c')),
    ],
)
def test_next_membership_change(group, change):
    # Guards against a group that never replaces a lost host, and against one
    # that removes a host after a short silence.
    found = MembershipKeeper(group, Now(), 1).next_change()
    assert (found and (found.action, found.replica_id)) == change
