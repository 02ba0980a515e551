"""Counts of ended backend servers, blocks and trial runs."""

import msgpack
import pytest
from tests.shared_state import Cluster

from kumquatrun.control.commands import Unblock
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.crash_register import (
    JOINT_TRIAL_FACTOR,
    PART_TRIAL_DELAYS_MS,
    TRIAL_DELAYS_MS,
)
from kumquatrun.control.ended_runs import BREAK_LIMIT, EndedRun, EndedRuns
from kumquatrun.control.part_keys import part_key
from kumquatrun.control.quarantine import BLOCKED_MS, SUSPECT_MS
from kumquatrun.peer.node_messages import (
    ClearEndedRuns,
    ReportSuspects,
    TakeTrialRun,
)


def ended(backend_id, *fingerprints, run_age_ms=5, end_age_ms=1, host='e-1'):
    names = fingerprints or ('f',)
    return ReportSuspects(
        host_id=host,
        fingerprints=names,
        backend_id=backend_id,
        run_ages_ms=(run_age_ms,) * len(names),
        end_ages_ms=(end_age_ms,) * len(names),
    )


PART = part_key('5c1e07a2')
COMPLETED = ClearEndedRuns(host_id='e-1', fingerprint='f')
TRIAL = TakeTrialRun(host_id='e-1', fingerprint='f')
THREE_ENDS = [ended('b1'), 1000, ended('b2'), 1000, ended('b3')]


def alive(backend_id):
    return ClearEndedRuns(host_id='e-1', fingerprint='f', backend_id=backend_id)


def part_ended(backend_id, request, *parts, age_ms=1, run_age_ms=None):
    names = parts or (PART,)
    return ReportSuspects(
        host_id='e-1',
        fingerprints=names,
        backend_id=backend_id,
        run_ages_ms=(run_age_ms or age_ms + 4,) * len(names),
        end_ages_ms=(age_ms,) * len(names),
        requests=(request,) * len(names),
    )


def answered(age_ms=0, part=PART):
    return ClearEndedRuns(host_id='e-1', fingerprint=part, age_ms=age_ms)


def part_alive(backend_id):
    return ClearEndedRuns(
        host_id='e-1', fingerprint=PART, backend_id=backend_id
    )


def played(steps):
    cluster = Cluster()
    for step in steps:
        if isinstance(step, int):
            cluster.run(elapsed_ms=step)
        else:
            cluster.run(step)
    return cluster


def fingerprints_of(cluster):
    return cluster.state.status()['fingerprints']


@pytest.mark.parametrize(
    ('steps', 'state'),
    [
        ([ended('b1')], 'suspect'),
        ([ended('b1'), 1000, ended('b2')], 'suspect'),
        (THREE_ENDS, 'blocked'),
        # Three copies of the request end three backend servers at once.
        ([ended('b1'), ended('b2'), ended('b3')], 'blocked'),
        # Several entries see one end, and a report that is sent again.
        ([ended('b1'), ended('b1', host='e-2'), ended('b1')], 'suspect'),
        ([ended('b1'), ended('b2'), ended('b2', host='e-2')], 'suspect'),
        # A backend server that starts again under its id ends again.
        ([ended('b1'), 3000, ended('b1'), 3000, ended('b1')], 'blocked'),
        # A late report of a run that ended with an end that is counted.
        ([ended('b1'), 3000, ended('b1', run_age_ms=3100)], 'suspect'),
        ([*THREE_ENDS, COMPLETED], 'clear'),
        ([ended('b1'), 1000, ended('b2'), COMPLETED, ended('b3')], 'suspect'),
        ([*THREE_ENDS, alive('b2')], 'suspect'),
        ([alive('b2')], 'clear'),
        ([*THREE_ENDS, BLOCKED_MS - 1], 'blocked'),
        ([*THREE_ENDS, BLOCKED_MS], 'clear'),
        ([ended('b1'), SUSPECT_MS], 'clear'),
        # What was counted is gone after that time.
        ([ended('b1'), ended('b2'), SUSPECT_MS, ended('b3')], 'suspect'),
    ],
)
def test_state_follows_counted_ends(steps, state):
    cluster = played(steps)
    assert fingerprints_of(cluster).get('f', 'clear') == state
    restored = cluster.restored().status()['fingerprints']
    assert restored.get('f', 'clear') == state


THIRD_END = [1000, part_ended('b3', 'r1')]
PART_ENDS = [part_ended('b1', 'r1'), 1000, part_ended('b2', 'r2')]


@pytest.mark.parametrize(
    ('steps', 'state'),
    [
        ([part_ended('b1', 'r1')], 'suspect'),
        (PART_ENDS, 'blocked'),
        # One backend server ends twice.
        ([part_ended('b1', 'r1'), 3000, part_ended('b1', 'r2')], 'blocked'),
        # Ends that may have one cause, such as a lost rack.
        ([part_ended('b1', 'r1'), 150, part_ended('b2', 'r2')], 'suspect'),
        # Several runs on one backend server.
        ([part_ended('b1', 'r1'), part_ended('b1', 'r2')], 'suspect'),
        # One request may crash backend servers whatever its parts are.
        ([part_ended('b1', 'r1'), 1000, part_ended('b2', 'r1')], 'suspect'),
        ([*PART_ENDS[:2], part_ended('b2', 'r1'), *THIRD_END], 'blocked'),
        ([part_ended('b1', 'r1'), answered()], 'clear'),
        ([part_ended('b1', 'r1'), answered(), *PART_ENDS[1:]], 'suspect'),
        ([*PART_ENDS, answered()], 'clear'),
        # A late message about an answer before the ends.
        ([*PART_ENDS, 500, answered(age_ms=5000)], 'blocked'),
        # An answer between the ends, reported after them.
        ([*PART_ENDS, 500, answered(age_ms=1000)], 'suspect'),
        # Answers since the runs began, which were noticed to end much later.
        (
            [
                part_ended('b1', 'r1', run_age_ms=4000),
                1000,
                part_ended('b2', 'r2', run_age_ms=4000),
                answered(age_ms=2000),
            ],
            'clear',
        ),
        # A response broke off, and the backend server lives.
        (
            [part_ended('b1', 'r1'), part_alive('b1'), 1000, PART_ENDS[-1]],
            'suspect',
        ),
        ([*PART_ENDS, part_alive('b2')], 'suspect'),
        ([*PART_ENDS, BLOCKED_MS], 'clear'),
    ],
)
def test_state_of_a_part_follows_counted_ends(steps, state):
    # Guards against a part that crashes backend servers for ever, and against
    # a sound one that is blocked for ends with another cause.
    cluster = played(steps)
    assert fingerprints_of(cluster).get(PART, 'clear') == state
    restored = cluster.restored().status()['fingerprints']
    assert restored.get(PART, 'clear') == state


@pytest.mark.parametrize('steps', [PART_ENDS, PART_ENDS[:1], []])
def test_operator_unblocks_a_part(steps):
    # Guards against a sound part that stays blocked although an operator knows
    # that it is sound, and against ends that are still counted afterwards.
    cluster = played(steps)
    reply = cluster.run(
        Unblock(fingerprint=PART, operator='amina', operation_id='u1')
    )
    former = {3: 'blocked', 1: 'suspect', 0: 'clear'}[len(steps)]
    assert reply.former_state == former
    assert fingerprints_of(cluster) == {}
    cluster.run(part_ended('b7', 'r7'))
    assert fingerprints_of(cluster) == {PART: 'suspect'}


def test_sound_parts_beside_a_deadly_one_are_cleared():
    # Guards against sound parts that stay suspects of ends that a blocked part
    # explains, and are blocked by the next end with another cause.
    sound = part_key('aa')
    cluster = played(
        [part_ended('b1', 'r1', sound, PART), 1000, part_ended('b2', 'r2')]
    )
    assert fingerprints_of(cluster) == {PART: 'blocked'}


def test_blocked_request_does_not_explain_ends_of_its_own_parts():
    # Guards against a deadly part that is cleared because one request with it
    # was sent again until it was blocked.
    cluster = played([part_ended('b1', 'f/r1')])
    for number in range(3):
        cluster.run(ended(f'b{number + 1}', 'f'), elapsed_ms=100)
    assert fingerprints_of(cluster) == {'f': 'blocked', PART: 'suspect'}
    cluster.run(part_ended('b7', 'g/r2'), elapsed_ms=1000)
    assert fingerprints_of(cluster) == {'f': 'blocked', PART: 'blocked'}


def test_order_of_parts_does_not_decide_which_is_blocked():
    # Guards against a sound part that is blocked first and explains the ends of
    # the deadly one beside it.
    sound = part_key('aa')
    together = [
        part_ended('b1', 'r1', sound, PART),
        1000,
        part_ended('b2', 'r2', sound, PART),
    ]
    assert fingerprints_of(played(together)) == {
        sound: 'blocked',
        PART: 'blocked',
    }


def test_trial_runs_of_a_part_are_bounded():
    # Guards against trial runs that crash more backend servers than the users
    # allow, and against a sound part that stays blocked.
    cluster = played(PART_ENDS)
    trial = TakeTrialRun(host_id='e-1', fingerprint=PART)
    first_ms, second_ms, third_ms = PART_TRIAL_DELAYS_MS
    granted = []
    for elapsed_ms in (first_ms - 1, 1, second_ms, third_ms, third_ms):
        cluster.run(elapsed_ms=elapsed_ms)
        granted.append(cluster.run(trial).is_granted)
    assert granted == [False, True, True, True, False]
    cluster.run(answered())
    assert fingerprints_of(cluster) == {}


def test_request_with_several_blocked_parts_gets_a_trial():
    # Guards against parts that stay blocked for a day because they occur
    # together only, for example after all backend servers kept ending.
    parts = [part_key(name) for name in 'abc']
    cluster = played(
        [part_ended('b1', 'r1', *parts), 1000, part_ended('b2', 'r2', *parts)]
    )
    assert set(fingerprints_of(cluster).values()) == {'blocked'}
    trial = TakeTrialRun(
        host_id='e-1', fingerprint=parts[0], others=tuple(parts[1:])
    )
    first_ms = JOINT_TRIAL_FACTOR * PART_TRIAL_DELAYS_MS[0]
    granted = []
    for elapsed_ms in (first_ms - 1, 1, 0):
        cluster.run(elapsed_ms=elapsed_ms)
        granted.append(cluster.run(trial).is_granted)
    assert granted == [False, True, False]


def test_responses_that_always_break_off_are_limited():
    # Guards against a request whose every response breaks off, and that is
    # sent again for ever because the backend servers stay alive.
    steps = []
    for number in range(BREAK_LIMIT):
        steps += [ended(f'b{number}'), 100, alive(f'b{number}'), 1000]
    cluster = played(steps[:-4])
    assert fingerprints_of(cluster) == {'f': 'suspect'}
    for step in steps[-4:]:
        if isinstance(step, int):
            cluster.run(elapsed_ms=step)
        else:
            cluster.run(step)
    assert fingerprints_of(cluster) == {'f': 'blocked'}


def test_requests_beside_the_crashing_one_are_cleared():
    # Guards against harmless requests that stay suspects of ends that another
    # request explains, and so reach the limit sooner.
    cluster = played(
        [
            ended('b1', 'f', 'g', 'h'),
            1000,
            ended('b2', 'f'),
            1000,
            ended('b9', 'h'),
            1000,
            ended('b3', 'f'),
        ]
    )
    assert fingerprints_of(cluster) == {'f': 'blocked', 'h': 'suspect'}


def test_harmless_request_does_not_explain_the_crashing_one():
    # Guards against a harmless request that ran beside the crashing one each
    # time and is counted first: the crashing one must not be cleared by it.
    cluster = played(
        [
            ended('b1', 'g', 'f'),
            1000,
            ended('b2', 'g', 'f'),
            1000,
            ended('b3', 'g', 'f'),
        ]
    )
    assert fingerprints_of(cluster) == {'f': 'blocked', 'g': 'blocked'}


def test_trial_runs_are_granted_one_at_a_time():
    # Guards against a blocked request that every entry tries again at the same
    # moment, and against a harmless one that stays blocked.
    cluster = played(THREE_ENDS)
    granted = []
    first_ms, second_ms, third_ms = TRIAL_DELAYS_MS
    for elapsed_ms in (0, first_ms - 1, 1, 0, second_ms, third_ms, 0):
        cluster.run(elapsed_ms=elapsed_ms)
        granted.append(cluster.run(TRIAL).is_granted)
    cluster.run(ended('b4'))
    cluster.run(elapsed_ms=10 * third_ms)
    granted.append(cluster.run(TRIAL).is_granted)
    assert granted == [False, False, True, False, True, True, False, False]
    assert fingerprints_of(cluster) == {'f': 'blocked'}


def test_unknown_request_gets_no_trial():
    assert not played([]).run(TRIAL).is_granted


def test_snapshot_of_an_earlier_version_is_restored():
    # Guards against an update that can't read the state of the old version.
    content = msgpack.unpackb(played([]).state.snapshot())
    registers = content['registers']
    del registers['crashes']
    del registers['quarantine']['blocked']
    state = ControlState()
    state.restore(msgpack.packb(content))
    assert state.status()['fingerprints'] == {}


def test_oldest_counts_are_dropped_one_by_one():
    runs = EndedRuns()
    for number in range(3):
        runs.add(f'f{number}', EndedRun('b', 0, 1))
    runs.add('f0', EndedRun('c', 2, 3))
    assert runs.forget_oldest() == 'f1'
    assert len(runs) == 2
