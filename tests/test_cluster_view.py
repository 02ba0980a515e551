"""Cluster view: a node's copy never reverts and equals the shared state."""

import random

import msgpack
import pytest
from tests.shared_state import Cluster, apply_document, host
from tests.test_keys import issue, revoke
from tests.test_quarantine import crash

from kumquatrun.control.commands import DrainHost, ExpireHost
from kumquatrun.document.document import EMPTY_DOCUMENT
from kumquatrun.errors import FeedGapError, WireError
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer.node_messages import AgentReport, FeedItem, RegisterHost


def agent(number, run='a', **fields):
    record = host(
        f'agent-{number}',
        run,
        role='agent',
        service='assistant',
        **fields,
    )
    return RegisterHost(record=record)


def drain(host_id, operation_id='d1'):
    return DrainHost(host_id=host_id, operator='o', operation_id=operation_id)


FEWER_ADAPTERS = apply_document(1, adapters=[], routes=[])
HISTORY = [
    [issue(), agent(1)],
    [agent(2), crash('f', 'g')],
    [FEWER_ADAPTERS, revoke()],
    [drain('agent-1')],
    [apply_document(2), agent(1, 'b')],
    [ExpireHost(host_id='agent-2', incarnation='a')],
    [issue('k2', 'other', operation_id='i2')],
]


def history():
    cluster = Cluster()
    snapshots = []
    for batch in HISTORY:
        cluster.run(*batch)
        snapshots.append(cluster.state.snapshot_feed())
    return cluster, snapshots


def view_state(view):
    return (
        view.applied_index,
        view.revision,
        view.digest,
        view.document,
        sorted(view.hosts, key=str),
        sorted(view.agents_of('assistant'), key=str),
        [view.account_of_key(key) for key in ('secret', 'other')],
        [view.fingerprint_state(name) for name in 'fgh'],
    )


def test_empty_view():
    view = ClusterView()
    assert view.document == EMPTY_DOCUMENT
    assert view.account_of_key('secret') is None
    assert not view.agents_of('assistant')
    assert view.report_of('agent-1') is None


@pytest.mark.parametrize('seed', range(10))
def test_feed_orders_give_the_same_view(seed):
    # Items are repeated, and snapshots replace any number of them.
    cluster, snapshots = history()
    complete = ClusterView()
    complete.apply(snapshots[-1])
    rng = random.Random(seed)
    view = ClusterView()
    seen = [(0, 0)]
    for item in cluster.feed:
        item = rng.choice([item, item, *snapshots])
        if item.kind == 'snapshot' or item.index == view.applied_index + 1:
            view.apply(item)
        view.apply(rng.choice(cluster.feed[: view.applied_index]))
        seen.append((view.applied_index, view.revision))
    for item in cluster.feed[view.applied_index :]:
        view.apply(item)
    assert seen == sorted(seen)
    assert view_state(view) == view_state(complete)
    assert view.document == cluster.state.document


@pytest.mark.parametrize('index', [0, 1, 4])
def test_old_item_changes_nothing(index):
    cluster, _ = history()
    view = ClusterView()
    view.apply(cluster.state.snapshot_feed())
    before = view_state(view)
    assert not view.apply(cluster.feed[index])
    assert view_state(view) == before


def test_snapshot_with_older_document():
    _, snapshots = history()
    old, new = snapshots[0], snapshots[-1]
    view = ClusterView()
    view.apply(new)
    later = FeedItem(index=new.index + 1, kind='snapshot', body=old.body)
    assert view.apply(later)
    assert view.revision == 3


def test_missing_document_is_a_gap():
    cluster, _ = history()
    view = ClusterView()
    view.apply(cluster.feed[0])
    item = next(item for item in cluster.feed if item.index == 6)
    with pytest.raises(FeedGapError):
        view.apply(item)
    assert view.revision == 1


@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        ('other', b'\xc0'),
        ('key', b'\xc0'),
        ('host', b'\x92\xa1a'),
        ('document', b''),
        ('snapshot', msgpack.packb({})),
    ],
)
def test_damaged_item_is_refused(kind, body):
    view = ClusterView()
    with pytest.raises(WireError):
        view.apply(FeedItem(index=1, kind=kind, body=body))
    assert view.applied_index == 0


def test_agents_of_service():
    cluster = Cluster(agent(1), agent(2), agent(3), drain('agent-2'))
    cluster.run(ExpireHost(host_id='agent-3', incarnation='a'))
    view = ClusterView()
    for item in cluster.feed:
        view.apply(item)
    assert [record.host_id for record in view.agents_of('assistant')] == [
        'agent-1',
    ]
    assert not view.agents_of('ledger')


@pytest.mark.parametrize(
    ('report_run', 'known'),
    [('a', False), ('b', True)],
)
def test_report_of_earlier_incarnation(report_run, known):
    cluster = Cluster(agent(1), agent(1, 'b'))
    view = ClusterView()
    view.apply(cluster.state.snapshot_feed())
    report = AgentReport(host_id='agent-1', incarnation=report_run, running=3)
    view.update_reports([report, AgentReport(host_id='x', incarnation='a')])
    assert view.report_of('agent-1') == (report if known else None)
    assert view.report_of('x') is None


def test_size_of_document_change():
    many = [
        {'name': f'adapter-{number}', 'service': 'assistant', 'versions': ['1']}
        for number in range(6000)
    ]
    cluster = Cluster(apply_document(1, adapters=many, routes=[]))
    # A change of most adapters is sent as the compressed document.
    assert len(cluster.feed[-1].body) < 50_000
    changed = [*many[1:], {**many[0], 'versions': ['1', '2']}]
    cluster.run(apply_document(2, adapters=changed, routes=[]))
    assert len(cluster.feed[-1].body) < 500
    view = ClusterView()
    for item in cluster.feed:
        view.apply(item)
    assert view.document == cluster.state.document
