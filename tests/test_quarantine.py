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

NUMBERS = iter(range(10**6))


def crash(*fingerprints, alone=False, report_id=None):
    return ReportSuspects(
        host_id='agent-1',
        fingerprints=fingerprints,
        alone=alone,
        report_id=report_id or f'report-{next(NUMBERS)}',
    )


FINISHED = ClearSuspect(host_id='agent-1', fingerprint='f')
SHARED = crash('f', 'g')
ALONE = crash('f', alone=True)
TWICE = [SHARED, ALONE]


@pytest.mark.parametrize(
    ('steps', 'state'),
    [
        ([], 'clear'),
        ([SHARED], 'suspect'),
        # One crash does not suffice, even if the request ran alone: the host
        # may have been lost.
        ([ALONE], 'suspect'),
        ([ALONE, crash('f', alone=True)], 'quarantined'),
        ([SHARED, FINISHED], 'clear'),
        ([SHARED, ALONE], 'quarantined'),
        ([SHARED, crash('f', 'h')], 'quarantined'),
        ([SHARED, FINISHED, crash('f', 'h')], 'suspect'),
        # Two equal requests in one batch are one crash.
        ([crash('f', 'f')], 'suspect'),
        # A resent report is the same crash.
        ([SHARED, SHARED], 'suspect'),
        ([SHARED, SUSPECT_MS - 1], 'suspect'),
        ([SHARED, SUSPECT_MS], 'clear'),
        ([*TWICE, QUARANTINE_MS - 1], 'quarantined'),
        ([*TWICE, QUARANTINE_MS], 'suspect'),
        ([*TWICE, FINISHED], 'quarantined'),
        ([*TWICE, FINISHED, QUARANTINE_MS], 'suspect'),
        ([*TWICE, 9, crash('f'), QUARANTINE_MS - 1], 'quarantined'),
        ([*TWICE, QUARANTINE_MS, FINISHED], 'clear'),
        ([*TWICE, QUARANTINE_MS, crash('f', 'h')], 'quarantined'),
        ([*TWICE, QUARANTINE_MS, SUSPECT_MS], 'clear'),
    ],
)
def test_fingerprint_state(steps, state):
    cluster = Cluster()
    for step in steps:
        if isinstance(step, int):
            cluster.run(elapsed_ms=step)
        else:
            cluster.run(step)
    view, new_view = ClusterView(), ClusterView()
    for item in cluster.feed:
        view.apply(item)
    new_view.apply(cluster.restored().snapshot_feed())
    assert view.fingerprint_state('f') == state
    assert new_view.fingerprint_state('f') == state


def test_only_crashing_request_is_quarantined():
    cluster = Cluster(SHARED, crash('g', alone=True), FINISHED)
    assert cluster.state.status()['fingerprints'] == {'g': 'quarantined'}


def test_suspect_limit():
    register = QuarantineRegister(max_fingerprints=2)
    for number in range(4):
        register.handle(f'f{number}', 'crash_shared', number)
    assert register.expire(5) == [
        ('f0', 'suspect', 'clear'),
        ('f1', 'suspect', 'clear'),
    ]
    assert register.states() == {'f2': 'suspect', 'f3': 'suspect'}
