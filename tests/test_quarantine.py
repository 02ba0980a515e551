"""Quarantine of requests that crash backend servers."""

import pytest
from tests.shared_state import Cluster

from kumquatrun.control.quarantine import (
    QUARANTINE_MS,
    SUSPECT_MS,
    QuarantineRegister,
)
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer.node_messages import ClearSuspect, ReportSuspects

REPORT_NUMBERS = iter(range(10**6))


def crash(*fingerprints, alone=False, report_id=None):
    return ReportSuspects(
        host_id='agent-1',
        fingerprints=fingerprints,
        alone=alone,
        report_id=report_id or f'report-{next(REPORT_NUMBERS)}',
    )


FINISHED_ALONE = ClearSuspect(host_id='agent-1', fingerprint='f')
SHARED = crash('f', 'g')
ALONE = crash('f', alone=True)
TWO_CRASHES = [SHARED, ALONE]


@pytest.mark.parametrize(
    ('steps', 'state'),
    [
        ([], 'clear'),
        ([SHARED], 'suspect'),
        # One crash does not suffice, even if the request ran alone: the loss
        # of the host may have caused it.
        ([ALONE], 'suspect'),
        ([ALONE, crash('f', alone=True)], 'quarantined'),
        ([SHARED, FINISHED_ALONE], 'clear'),
        ([SHARED, ALONE], 'quarantined'),
        ([SHARED, crash('f', 'h')], 'quarantined'),
        ([SHARED, FINISHED_ALONE, crash('f', 'h')], 'suspect'),
        # Two equal requests in one batch are one crash.
        ([crash('f', 'f')], 'suspect'),
        # A resent report is the same crash.
        ([SHARED, SHARED], 'suspect'),
        ([SHARED, SUSPECT_MS - 1], 'suspect'),
        ([SHARED, SUSPECT_MS], 'clear'),
        ([*TWO_CRASHES, QUARANTINE_MS - 1], 'quarantined'),
        ([*TWO_CRASHES, QUARANTINE_MS], 'suspect'),
        ([*TWO_CRASHES, FINISHED_ALONE], 'quarantined'),
        ([*TWO_CRASHES, FINISHED_ALONE, QUARANTINE_MS], 'suspect'),
        ([*TWO_CRASHES, 9, crash('f'), QUARANTINE_MS - 1], 'quarantined'),
        ([*TWO_CRASHES, QUARANTINE_MS, FINISHED_ALONE], 'clear'),
        ([*TWO_CRASHES, QUARANTINE_MS, crash('f', 'h')], 'quarantined'),
        ([*TWO_CRASHES, QUARANTINE_MS, SUSPECT_MS], 'clear'),
    ],
)
def test_fingerprint_state(steps, state):
    cluster = Cluster()
    for step in steps:
        if isinstance(step, int):
            cluster.run(elapsed_ms=step)
        else:
            cluster.run(step)
    view, view_from_snapshot = ClusterView(), ClusterView()
    for item in cluster.feed:
        view.apply(item)
    view_from_snapshot.apply(cluster.restored().snapshot_feed())
    assert view.fingerprint_state('f') == state
    assert view_from_snapshot.fingerprint_state('f') == state


def test_only_crashing_request_is_quarantined():
    cluster = Cluster(SHARED, crash('g', alone=True), FINISHED_ALONE)
    assert cluster.state.status()['fingerprints'] == {'g': 'quarantined'}


def test_oldest_suspects_above_the_limit_are_cleared():
    register = QuarantineRegister(max_fingerprints=2)
    for number in range(4):
        register.handle(f'f{number}', 'crash_shared', number)
    assert register.expire(5) == [
        ('f0', 'suspect', 'clear'),
        ('f1', 'suspect', 'clear'),
    ]
    assert register.states() == {'f2': 'suspect', 'f3': 'suspect'}
