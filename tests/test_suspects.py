"""Suspects: reports after a crash, and running a suspect alone."""

import pytest

from kumquatrun.agent.suspects import BatchRecord, CrashReport, RunAloneGate

# Received requests, ended requests, expected report.
CRASH_CASES = {
    'idle': ([], [], None),
    'one': ([(1, 'p')], [], CrashReport(('p',), alone=True)),
    'batch': (
        [(1, 'p'), (2, 'q')],
        [],
        CrashReport(('p', 'q'), alone=False),
    ),
    'ended_request_is_not_reported': (
        [(1, 'p'), (2, 'q')],
        [1],
        CrashReport(('q',), alone=True),
    ),
    'same_fingerprint_twice': (
        [(1, 'p'), (2, 'p')],
        [],
        CrashReport(('p',), alone=True),
    ),
    'beside_a_request_without_fingerprint': (
        [(1, 'p'), (2, '')],
        [],
        CrashReport(('p',), alone=False),
    ),
    'only_without_fingerprint': ([(1, '')], [], None),
}


@pytest.mark.parametrize('name', CRASH_CASES)
def test_crash_report_lists_the_batch(name):
    # Guards against quarantine of a request that ended before the crash, and
    # against ``alone`` in the report of a request that shared the batch.
    received, ended, expected = CRASH_CASES[name]
    batch = BatchRecord()
    for request, fingerprint in received:
        batch.add(request, fingerprint)
    for request in ended:
        batch.discard(request)
    assert batch.take_crash_report() == expected
    assert batch.take_crash_report() is None


def test_suspect_runs_between_batches():
    # Guards against other requests that run in the batch of a suspect.
    gate = RunAloneGate()
    gate.start('r1', alone=False)
    assert not gate.may_start('s', alone=True)
    gate.block_others_for('s')
    assert not gate.may_start('r2', alone=False)
    gate.finish('r1')
    assert not gate.may_start('other', alone=True)
    assert gate.may_start('s', alone=True)
    gate.start('s', alone=True)
    assert not gate.may_start('r2', alone=False)
    assert not gate.may_start('s2', alone=True)
    gate.finish('s')
    assert gate.may_start('r2', alone=False)


def test_cancelled_suspect_reopens_the_gate():
    # Guards against an agent that starts no requests after a suspect was
    # cancelled.
    gate = RunAloneGate()
    gate.start('r1', alone=False)
    gate.block_others_for('s')
    gate.finish('s')
    assert gate.may_start('r2', alone=False)
