"""What a host takes for the end of a backend server."""

import asyncio
from dataclasses import dataclass, replace

import msgpack
import pytest
from tests.gateway_fakes import request_state_of
from tests.gateway_host import NoObserver, Session

from kumquatrun.control.crash_register import CrashRegister
from kumquatrun.control.part_keys import request_identity
from kumquatrun.control.quarantine import QuarantineRegister
from kumquatrun.errors import ControlUnreachableError, QuarantinedError
from kumquatrun.gateway.crashes.crash_watch import (
    PART_RETRY_AFTER_S,
    REFUSED_STATES,
    CrashWatch,
)
from kumquatrun.gateway.crashes.fingerprints import (
    MAX_PART_KEYS,
    fingerprint_of,
    part_keys_of,
)
from kumquatrun.gateway.crashes.trial_requests import FIRST_TRIAL_S
from kumquatrun.gateway.crashes.watched_run import RunEnding
from kumquatrun.peer.node_messages import (
    ClearEndedRuns,
    FeedItem,
    ReportSuspects,
    TakeTrialRun,
    TrialRunReply,
)


class PausedClock:
    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


@dataclass
class Connection:
    opened_at_s: float
    received_at_s: float = float('-inf')


class Watch:
    """A watch on a paused clock, with its reports."""

    def __init__(self):
        self.clock = PausedClock()
        self.session = Session()
        self.watch = CrashWatch(self.session, self.clock, NoObserver())
        self.state = request_state_of('non_idempotent')
        self.state.fingerprint = 'f'

    def begin(
        self, backend_id='b', connected_s=None, fingerprint='f', parts=()
    ):
        opened_at_s = self.clock.time_s if connected_s is None else connected_s
        self.state.fingerprint = fingerprint
        self.state.part_keys = parts
        self.state.identity = f'identity of {fingerprint}'
        return self.watch.begin(self.state, backend_id, Connection(opened_at_s))

    def end(self, run, ending):
        self.watch.end(run, ending)

    def show(self, fingerprint, state):
        """Apply a feed item with the state of a fingerprint."""
        view = self.session.view
        body = msgpack.packb([fingerprint, state])
        index = view.applied_index + 1
        view.apply(FeedItem(index=index, kind='quarantine', body=body))

    async def sent(self, kind):
        await asyncio.sleep(0.01)
        return [row for row in self.session.calls if isinstance(row, kind)]


@pytest.mark.parametrize(
    ('ending', 'is_counted'),
    [
        (RunEnding.COMPLETED, False),
        (RunEnding.ANSWERED, False),
        (RunEnding.BROKEN, True),
        (RunEnding.SILENT, True),
        (RunEnding.ABANDONED, False),
    ],
)
async def test_ending_of_a_run(ending, is_counted):
    host = Watch()
    host.end(host.begin(), ending)
    assert bool(await host.sent(ReportSuspects)) is is_counted


async def test_runs_within_one_millisecond_are_counted_one_by_one():
    # Guards against a request that goes on to crash backend servers, since its
    # caller sends it again in the millisecond in which the last run ended.
    host = Watch()
    for _ in range(3):
        run = host.begin()
        host.clock.time_s += 0.0003
        host.end(run, RunEnding.BROKEN)
        host.clock.time_s += 0.0001
    with pytest.raises(QuarantinedError):
        host.watch.check(host.state)
    register = CrashRegister(QuarantineRegister())
    (report,) = await host.sent(ReportSuspects)
    ((_, _, state),) = register.report(report, now_ms=1000)
    assert state in REFUSED_STATES


async def test_timeout_at_an_answering_server_is_not_counted():
    # Guards against overload taken for crashes: requests time out while the
    # backend server answers others.
    host = Watch()
    slow = host.begin()
    other = host.begin(fingerprint='g')
    host.clock.time_s += 1
    host.end(other, RunEnding.COMPLETED)
    host.clock.time_s += 0.4
    host.end(slow, RunEnding.SILENT)
    assert not await host.sent(ReportSuspects)


async def test_timeout_beside_a_running_stream_is_not_counted():
    host = Watch()
    slow = host.begin()
    stream = host.begin(fingerprint='g')
    host.clock.time_s += 1
    stream.connection.received_at_s = host.clock.time_s
    host.end(slow, RunEnding.SILENT)
    assert not await host.sent(ReportSuspects)


async def test_server_that_ends_while_a_request_waits_there():
    # Guards against a crash that is not counted because the backend server
    # still answered others between the arrival of the request and its start.
    host = Watch()
    waiting = host.begin()
    stream = host.begin(fingerprint='g')
    host.clock.time_s += 0.4
    stream.connection.received_at_s = host.clock.time_s
    host.end(host.begin(fingerprint='h'), RunEnding.COMPLETED)
    host.clock.time_s += 1.6
    host.end(waiting, RunEnding.SILENT)
    [report] = await host.sent(ReportSuspects)
    assert report.fingerprints == ('f',)


async def test_caller_who_leaves_a_dead_server_is_counted():
    # Guards against a crash that nobody counts because the callers leave the
    # silent connection before it ends.
    host = Watch()
    run = host.begin()
    host.clock.time_s += 0.5
    host.end(run, RunEnding.ABANDONED)
    assert not await host.sent(ReportSuspects)
    host.watch.record_backend_end('b')
    [report] = await host.sent(ReportSuspects)
    assert report.fingerprints == ('f',)


async def test_caller_who_leaves_a_silent_server_is_counted():
    host = Watch()
    run = host.begin()
    host.clock.time_s += 2.5
    host.end(run, RunEnding.ABANDONED)
    assert await host.sent(ReportSuspects)


async def test_answer_on_an_older_connection_refutes_an_end():
    # Guards against harmless requests that are blocked because their responses
    # broke off at backend servers that live on.
    host = Watch()
    run = host.begin()
    host.end(run, RunEnding.BROKEN)
    host.clock.time_s += 1
    newer = host.begin(fingerprint='g')
    host.end(newer, RunEnding.COMPLETED)
    assert not await host.sent(ClearEndedRuns)
    older = host.begin(connected_s=50, fingerprint='g')
    host.end(older, RunEnding.COMPLETED)
    [clear] = await host.sent(ClearEndedRuns)
    assert (clear.fingerprint, clear.backend_id) == ('f', 'b')


async def test_completed_suspect_is_cleared():
    host = Watch()
    host.end(host.begin(), RunEnding.BROKEN)
    host.end(host.begin('c'), RunEnding.COMPLETED)
    [clear] = await host.sent(ClearEndedRuns)
    assert clear.backend_id == ''


async def test_host_counts_until_control_answers():
    # Guards against a host that sends a request on while control is away, and
    # against a report that is lost.
    host = Watch()
    answer = host.session.call

    async def refuse(request, timeout_s):
        raise ControlUnreachableError('no leader')

    host.session.call = refuse
    for number in range(3):
        host.clock.time_s += 1
        host.end(host.begin(f'b{number}'), RunEnding.BROKEN)
    with pytest.raises(QuarantinedError) as refused:
        await host.watch.admit('r', 'f')
    assert refused.value.retry_after_s
    host.session.call = answer
    await asyncio.sleep(0.3)
    assert len(await host.sent(ReportSuspects)) == 3


async def test_blocked_request_asks_for_one_trial():
    host = Watch()
    body = b'\x92\xa1f\xa7blocked'
    host.session.view.apply(FeedItem(index=1, kind='quarantine', body=body))
    asked = []

    async def grant(request, timeout_s):
        asked.append(request)
        return TrialRunReply(is_granted=True)

    host.session.call = grant
    with pytest.raises(QuarantinedError):
        await host.watch.admit('r', 'f')
    host.clock.time_s += FIRST_TRIAL_S
    assert await host.watch.admit('r', 'f')
    with pytest.raises(QuarantinedError):
        await host.watch.admit('r', 'f')
    assert len(asked) == 1
    assert isinstance(asked[0], TakeTrialRun)
    host.state.is_trial = True
    host.watch.check(host.state)
    host.state.runs = 1
    with pytest.raises(QuarantinedError):
        host.watch.check(host.state)


async def test_run_without_an_event_makes_its_parts_suspects():
    # Guards against a part that is not counted, because no two requests with it
    # are equal.
    host = Watch()
    host.end(host.begin(parts=('part:a', 'part:b')), RunEnding.BROKEN)
    [report] = await host.sent(ReportSuspects)
    assert report.fingerprints == ('part:a', 'part:b', 'f')
    assert report.requests == ('identity of f', 'identity of f', '')


async def test_run_that_is_answered_has_no_suspect_parts():
    # Guards against sound parts that are blocked because the backend server
    # ended for another request while it was answering theirs.
    host = Watch()
    run = host.begin(parts=('part:a',))
    host.watch.record_answer(run)
    host.end(run, RunEnding.BROKEN)
    [report] = await host.sent(ReportSuspects)
    assert report.fingerprints == ('f',)


async def test_part_that_is_answered_beside_a_silent_run_is_not_counted():
    # Guards against parts that all requests of a route share and that are
    # blocked for runs that time out at silent backend servers.
    host = Watch()
    silent = host.begin(parts=('part:a', 'part:b'))
    host.clock.time_s += 1
    host.watch.record_answer(host.begin('c', 50, 'g', parts=('part:a',)))
    host.clock.time_s += 1
    host.end(silent, RunEnding.SILENT)
    [report] = await host.sent(ReportSuspects)
    assert report.fingerprints == ('part:b', 'f')


async def test_earlier_answer_is_reported_once_its_part_is_blocked():
    # Guards against a sound part that stays blocked: nobody sends a request
    # with it, and the answers came before the feed told of the suspicion.
    host = Watch()
    run = host.begin(parts=('part:a',))
    host.watch.record_answer(run)
    host.clock.time_s += 1
    host.show('part:a', 'blocked')
    for _ in range(2):
        with pytest.raises(QuarantinedError):
            await host.watch.admit('r', 'h', ('part:a',))
    [clear] = await host.sent(ClearEndedRuns)
    assert (clear.fingerprint, clear.age_ms) == ('part:a', 1000)


@pytest.mark.parametrize('is_local', [True, False])
async def test_answer_clears_the_parts_of_its_request(is_local):
    host = Watch()
    if is_local:
        host.end(host.begin(parts=('part:a',)), RunEnding.BROKEN)
    else:
        host.show('part:a', 'suspect')
    run = host.begin('c', fingerprint='g', parts=('part:a', 'part:b'))
    host.watch.record_answer(run)
    host.clock.time_s += 0.25
    [clear] = await host.sent(ClearEndedRuns)
    assert (clear.fingerprint, clear.backend_id) == ('part:a', '')
    assert clear.age_ms == 250


async def test_living_server_refutes_the_suspicion_of_parts():
    host = Watch()
    host.end(host.begin(parts=('part:a',)), RunEnding.BROKEN)
    host.clock.time_s += 1
    older = host.begin(connected_s=50, fingerprint='g')
    host.end(older, RunEnding.COMPLETED)
    clears = await host.sent(ClearEndedRuns)
    assert [(row.fingerprint, row.backend_id) for row in clears] == [
        ('part:a', 'b'),
        ('f', 'b'),
    ]


async def test_blocked_part_is_refused_with_its_name():
    # Guards against a refusal that names neither the part nor when to return.
    host = Watch()
    host.show('part:a', 'blocked')
    with pytest.raises(QuarantinedError, match='part:a') as refused:
        await host.watch.admit('r', 'f', ('part:b', 'part:a'))
    assert refused.value.cause == 'part_blocked'
    assert refused.value.retry_after_s == PART_RETRY_AFTER_S
    assert not await host.watch.admit('r', 'f', ('part:b',))


async def test_request_with_two_blocked_parts_asks_for_a_joint_trial():
    # Guards against parts that no trial run can clear, because each request
    # with one of them holds another blocked one.
    host = Watch()
    asked = []

    async def grant(request, timeout_s):
        asked.append(request)
        return TrialRunReply(is_granted=True)

    host.session.call = grant
    host.show('part:a', 'blocked')
    host.show('part:b', 'blocked')
    with pytest.raises(QuarantinedError):
        await host.watch.admit('r', 'f', ('part:a', 'part:b'))
    host.clock.time_s += FIRST_TRIAL_S
    assert await host.watch.admit('r', 'f', ('part:a', 'part:b'))
    [trial] = asked
    assert (trial.fingerprint, trial.others) == ('part:a', ('part:b',))


async def test_request_does_not_carry_a_suspect_part_to_the_next_server():
    host = Watch()
    host.state.part_keys = ('part:a',)
    host.show('part:a', 'suspect')
    host.watch.check(host.state)
    host.state.runs = 1
    with pytest.raises(QuarantinedError):
        host.watch.check(host.state)


async def test_host_counts_parts_until_control_answers():
    host = Watch()

    async def refuse(request, timeout_s):
        raise ControlUnreachableError('no leader')

    host.session.call = refuse
    for number in range(2):
        host.clock.time_s += 1
        run = host.begin(
            f'b{number}', fingerprint=f'{number}', parts=('part:a',)
        )
        host.end(run, RunEnding.BROKEN)
    with pytest.raises(QuarantinedError):
        await host.watch.admit('r', 'f', ('part:a',))
    await host.watch.close(0.01)


async def test_part_that_the_fleet_has_cleared_is_not_refused_for_long():
    # Guards against a host that refuses all requests with a sound part for
    # seconds, because it alone saw two ends and others have cleared them.
    host = Watch()
    for number in range(2):
        host.clock.time_s += 1
        run = host.begin(
            f'b{number}', fingerprint=f'{number}', parts=('part:a',)
        )
        host.end(run, RunEnding.BROKEN)
    with pytest.raises(QuarantinedError):
        await host.watch.admit('r', 'f', ('part:a',))
    await host.sent(ReportSuspects)
    host.clock.time_s += 0.5
    assert not await host.watch.admit('r', 'f', ('part:a',))


async def test_later_clearing_message_replaces_an_earlier_one():
    # Guards against a clearing message that waits for delivery and hides a
    # later one, so that an end between the two stays counted.
    host = Watch()
    answer = host.session.call

    async def refuse(request, timeout_s):
        raise ControlUnreachableError('no leader')

    host.session.call = refuse
    for number in range(2):
        host.end(host.begin(f'b{number}'), RunEnding.BROKEN)
        host.end(host.begin('c'), RunEnding.COMPLETED)
        host.clock.time_s += 1
    host.session.call = answer
    await asyncio.sleep(0.3)
    sent = [type(row) for row in host.session.calls]
    assert sent == [ReportSuspects, ReportSuspects, ClearEndedRuns]


async def test_shared_parts_are_bounded_and_leave_out_the_last():
    # Guards against a prompt of many parts that fills the reports, and against
    # the part of the request itself, which no other request shares.
    caller = request_state_of('streaming').request
    parts = tuple(f'{number:04x}' for number in range(MAX_PART_KEYS + 8))
    many = replace(caller, prompt_parts=parts)
    assert len(part_keys_of(many)) == MAX_PART_KEYS
    few = replace(caller, prompt_parts=('a', 'b' * 400, 'a', 'own'))
    first, second = part_keys_of(few)
    assert first == 'part:a'
    assert len(second) < 64
    assert request_identity('f', ('a',)) != request_identity('f', ('b',))


async def test_requests_of_several_accounts_differ():
    caller = request_state_of('non_idempotent').request
    same = {
        fingerprint_of(caller, 'lamps'),
        fingerprint_of(caller, 'lamps'),
    }
    assert len(same) == 1
    assert fingerprint_of(caller, 'glass') not in same


async def test_pending_reports_are_bounded():
    # Guards against memory that grows without limit while control is away.
    host = Watch()

    async def wait(request, timeout_s):
        await asyncio.sleep(10)

    host.session.call = wait
    for number in range(2500):
        run = host.begin(f'b{number}', fingerprint=f'f{number}')
        host.end(run, RunEnding.BROKEN)
    assert len(host.watch._reports._pending) == 2000
    await host.watch.close(0.01)
