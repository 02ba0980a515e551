"""Tests of placement: affinity, bounded load, copies and regions."""

import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest

from entry_fakes import FakeAgent, FakeSession
from kumquatrun.entry.agent_pool import AVOID_S, AgentPool
from kumquatrun.entry.placement import (
    LOAD_BOUND,
    AgentLoad,
    BoundedAffinity,
    HashAffinity,
    LeastLoaded,
    PlacementRequest,
    rendezvous_order,
)
from kumquatrun.peer.node_messages import AgentReport

HOSTS = tuple(f'agent-{number}' for number in range(10))
ADAPTERS = [f'adapter-{number}' for number in range(2000)]
POLICIES = [BoundedAffinity, LeastLoaded, HashAffinity]


def request(adapter='wheat', **changes):
    fields = {'service': 's', 'adapter': adapter, 'version': '1'}
    return PlacementRequest(**fields | changes)


def agents(loads, loaded=(), remote=(), capacity=100):
    """Return agents with these loads; those in ``loaded`` have wheat@1."""
    return [
        AgentLoad(
            host_id=f'agent-{number}',
            is_local=number not in remote,
            load=load,
            capacity=capacity,
            loaded=frozenset(['wheat@1'] if number in loaded else []),
        )
        for number, load in enumerate(loads)
    ]


def test_order_spreads_adapters_evenly():
    first = Counter(rendezvous_order(name, HOSTS)[0] for name in ADAPTERS)
    # Binomial with mean 200 and standard deviation 13.4; the limit is five
    # deviations.
    assert all(abs(count - 200) < 67 for count in first.values())
    assert len(first) == len(HOSTS)


@pytest.mark.parametrize('removed', HOSTS)
def test_order_is_stable_when_a_host_leaves(removed):
    # Guards against reloads of all adapters when one host is replaced.
    remaining = tuple(host for host in HOSTS if host != removed)
    for name in ADAPTERS[:300]:
        before = [h for h in rendezvous_order(name, HOSTS) if h != removed]
        assert tuple(before) == rendezvous_order(name, remaining)


ORDER = [
    int(host.removeprefix('agent-'))
    for host in rendezvous_order('s\0wheat\x001', HOSTS[:4])
]
FIRST, SECOND, THIRD, LAST = ORDER


def loads_with(**named):
    """Return loads of four agents, given by place in the order of wheat@1."""
    loads = [10] * 4
    for name, load in named.items():
        loads[ORDER[('first', 'second', 'third', 'last').index(name)]] = load
    return loads


CASES = {
    'none loaded': ([10] * 4, (), (), 0, FIRST),
    'loaded first': ([10] * 4, (FIRST, LAST), (), 0, FIRST),
    'only last loaded': ([10] * 4, (LAST,), (), 0, LAST),
    'first above bound': (loads_with(first=20), (FIRST, LAST), (), 0, LAST),
    'all loaded above': (
        loads_with(first=30, second=25, third=1, last=1),
        (FIRST, SECOND),
        (),
        0,
        SECOND,
    ),
    'popular gets a copy': (
        loads_with(first=30, second=25, third=1, last=1),
        (FIRST, SECOND),
        (),
        40,
        THIRD,
    ),
    'cold gets no copy': (loads_with(first=40), (FIRST,), (), 1, FIRST),
    'idle fleet': ([0] * 4, (), (), 0, FIRST),
    'local before remote': ([10] * 4, (LAST,), (LAST,), 0, FIRST),
    'spill when full': (
        loads_with(first=100, second=100, third=100),
        (FIRST,),
        (LAST,),
        0,
        LAST,
    ),
    'all full stays local': ([100] * 4, (LAST,), (LAST,), 0, FIRST),
    'only remote': ([10] * 4, (), (0, 1, 2, 3), 0, FIRST),
}


@pytest.mark.parametrize(
    ('loads', 'loaded', 'remote', 'demand', 'expected'),
    CASES.values(),
    ids=CASES,
)
def test_default_policy(loads, loaded, remote, demand, expected):
    chosen = BoundedAffinity().choose(
        request(demand=demand), agents(loads, loaded, remote)
    )
    assert chosen == f'agent-{expected}'


@pytest.mark.parametrize('policy_class', POLICIES)
def test_no_agent_gives_no_choice(policy_class):
    assert policy_class().choose(request(), []) is None


@pytest.mark.parametrize('service_only', [True, False])
def test_plain_service_needs_no_adapter(service_only):
    plain = request(adapter='', version='')
    loads = [50, 1, 1, 1] if service_only else [1, 50, 1, 1]
    chosen = BoundedAffinity().choose(plain, agents(loads))
    assert chosen != f'agent-{loads.index(50)}'


class Fleet:
    """Simulated engines with a few adapter slots."""

    def __init__(self, policy, hosts=10, slots=8, seed=5):
        self.policy = policy
        self.rng = random.Random(seed)
        self.loaded = [[] for _ in range(hosts)]
        self.running = [Counter() for _ in range(hosts)]
        self.slots = slots
        self.loads = 0
        self.peak = 0

    def step(self, requests):
        """End about a third of the running requests, then start new ones."""
        for running in self.running:
            for name in list(running.elements()):
                if self.rng.random() < 1 / 3:
                    running[name] -= 1
        for name in requests:
            self._start(name)
        totals = [running.total() for running in self.running]
        self.peak = max(self.peak, max(totals) * len(totals) / sum(totals))

    def _start(self, name):
        states = [
            AgentLoad(
                host_id=f'agent-{number}',
                is_local=True,
                load=running.total(),
                capacity=1000,
                loaded=frozenset(f'{each}@1' for each in loaded),
            )
            for number, (running, loaded) in enumerate(
                zip(self.running, self.loaded, strict=True)
            )
        ]
        demand = sum(running[name] for running in self.running)
        chosen = self.policy.choose(request(name, demand=demand), states)
        number = int(chosen.removeprefix('agent-'))
        loaded = self.loaded[number]
        if name not in loaded:
            self.loads += 1
            if len(loaded) >= self.slots:
                loaded.pop(0)
        else:
            loaded.remove(name)
        loaded.append(name)
        self.running[number][name] += 1


def run_fleet(policy, steps=60, per_step=60, adapters=200, skew=1.1):
    fleet = Fleet(policy)
    weights = [1 / rank**skew for rank in range(1, adapters + 1)]
    for _ in range(steps):
        fleet.step(fleet.rng.choices(ADAPTERS[:adapters], weights, k=per_step))
    return fleet


def test_default_policy_beats_baselines():
    # Guards against a policy that is no better than the baselines: least
    # loaded loads adapters everywhere, plain hashing overloads one host.
    default, least, plain = (run_fleet(policy()) for policy in POLICIES)
    assert default.loads < least.loads
    assert default.peak < plain.peak


@pytest.mark.parametrize('skew', [0.8, 1.1, 2])
def test_load_bound_limits_peak_load(skew):
    # Without the load bound, one popular adapter overloads its host.
    bounded = run_fleet(BoundedAffinity(LOAD_BOUND), skew=skew)
    unbounded = run_fleet(BoundedAffinity(1e9), skew=skew)
    assert bounded.peak < unbounded.peak


class PoolClock:
    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


@pytest.fixture
def pool():
    session, clock = FakeSession(), PoolClock()
    pool = AgentPool(session, clock, LeastLoaded())
    pool.session, pool.clock = session, clock
    for number in (1, 2):
        record = FakeAgent(host_id=f'agent-{number}').record('127.0.0.1:1')
        session.view.agents.append(record)
    return pool


def report(pool, host_id, incarnation='i1', **changes):
    fields = {'running': 0, 'capacity': 16}
    pool.session.view.reports[host_id] = AgentReport(
        host_id=host_id, incarnation=incarnation, **fields | changes
    )


def chosen(pool, excluded=()):
    record = pool.choose('assistant', 'wheat', '1', excluded)
    return record and record.host_id


@pytest.mark.parametrize(
    ('reports', 'expected'),
    [
        ({'agent-1': {'running': 9}, 'agent-2': {'running': 8}}, 'agent-2'),
        ({'agent-1': {'queued': 1}, 'agent-2': {}}, 'agent-2'),
        # An agent that cannot serve reports capacity 0.
        ({'agent-1': {'capacity': 0}, 'agent-2': {'running': 9}}, 'agent-2'),
        # Reports of an earlier incarnation of the agent are ignored.
        (
            {
                'agent-1': {'running': 9},
                'agent-2': {'capacity': 0, 'incarnation': 'i0'},
            },
            'agent-2',
        ),
    ],
)
def test_reported_load_decides(pool, reports, expected):
    for host_id, changes in reports.items():
        report(pool, host_id, **changes)
    assert chosen(pool) == expected


def test_dispatches_since_last_report_count(pool):
    # Guards against a burst that goes to one agent between two reports.
    report(pool, 'agent-1', running=5)
    report(pool, 'agent-2', running=5)
    chosen_ids = []
    for _ in range(10):
        record = pool.choose('assistant', 'wheat', '1')
        pool.begin_dispatch(record, 'wheat', '1')
        chosen_ids.append(record.host_id)
    assert Counter(chosen_ids) == {'agent-1': 5, 'agent-2': 5}
    report(pool, 'agent-1', running=10)
    report(pool, 'agent-2', running=9)
    assert chosen(pool) == 'agent-2'


def test_refusing_agent_is_avoided(pool):
    first = pool.choose('assistant', 'wheat', '1')
    pool.avoid(first)
    assert chosen(pool) != first.host_id
    assert chosen(pool, {'agent-1', 'agent-2'}) is not None
    pool.clock.time_s = AVOID_S
    assert chosen(pool) == first.host_id


def test_restarted_agent_is_not_avoided(pool):
    first = pool.choose('assistant', 'wheat', '1')
    pool.avoid(first)
    pool.session.view.agents = [
        replace(each, incarnation='i2') for each in pool.session.view.agents
    ]
    assert chosen(pool) == first.host_id


def test_demand_is_counted_per_version(pool):
    record = pool.choose('assistant', 'wheat', '1')
    for version in itertools.islice(itertools.cycle('12'), 6):
        pool.begin_dispatch(record, 'wheat', version)
    assert pool.open_dispatches() == 6
    for version in itertools.islice(itertools.cycle('12'), 6):
        pool.end_dispatch(record, 'wheat', version)
    assert pool.open_dispatches() == 0
    assert not pool._demand
