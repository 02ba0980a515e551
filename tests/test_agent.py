"""Agent: each fault at each step of a dispatch, drain, crash suspects."""

import asyncio
import json
from dataclasses import replace

import pytest
from tests.fake_engine import PIECES, FakeEngine
from tests.fakes import INCARNATION, FakeSession

from kumquatrun.agent import engine_runner
from kumquatrun.agent.adapter_slots import AdapterSlots
from kumquatrun.agent.agent import Agent
from kumquatrun.agent.engine_runner import EngineRunner
from kumquatrun.agent.reload_costs import AdapterKey
from kumquatrun.agent.seen_requests import SeenRequests
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import ClearSuspect, ReportSuspects
from kumquatrun.peer.request_messages import Dispatch, Finished, Started
from kumquatrun.runtime import invariants
from kumquatrun.runtime.clock import LoopClock

A = AdapterKey('a', '1')
OLD = AdapterKey('old', '1')

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def clear_violations():
    invariants.violations.clear()
    yield
    invariants.violations.clear()


class FakeContext:
    """Call context that records the sent messages and items."""

    def __init__(self):
        self.outcome = Outcome.UNKNOWN
        self.started = None
        self.body = b''

    async def send_message(self, message):
        assert isinstance(message, Started)
        assert not self.body
        self.started = message

    async def send_item(self, item):
        assert self.started is not None
        self.body += item


def dispatch(request_id='r1', key=A, **fields):
    body = json.dumps({'prompt': 'hi', 'model': key.adapter}).encode()
    defaults = {
        'request_id': request_id,
        'attempt': 1,
        'agent_incarnation': INCARNATION,
        'account': 'acme',
        'service': 'assistant',
        'adapter': key.adapter,
        'version': key.version,
        'path': '/v1/completions',
        'method': 'POST',
        'body': body,
        'stream': True,
        'deadline_s': 30,
        'repeatable': False,
        'fingerprint': f'fp-{request_id}',
    }
    return Dispatch(**(defaults | fields))


class Result:
    """Reply or error of one dispatch."""

    def __init__(self, context):
        self.context = context
        self.error = None
        self.reply = None

    @property
    def outcome(self):
        if self.reply is not None:
            return self.reply.outcome
        if self.error is not None:
            return self.error.outcome
        return self.context.outcome  # the peer server replies with it


class ShiftedClock(LoopClock):
    shift_s = 0

    def now_s(self):
        return super().now_s() + self.shift_s


class AgentHarness:
    """An agent with a fake engine; calls ``handle`` without a connection."""

    def __init__(self, capacity=1, **fields):
        self.engine = FakeEngine(capacity)
        self.session = FakeSession()
        self.settings = AgentSettings(
            host_id='host-a',
            listen=Address('127.0.0.1', 0),
            service='assistant',
            backend_url='',
            **fields,
        )
        self.clock = ShiftedClock()
        self.agent = Agent(
            self.settings,
            self.session,
            self.engine,
            self.clock,
        )
        self.tasks = []
        self.results = []

    async def __aenter__(self):
        await self.agent.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.agent.stop()

    async def run(self, message):
        context = FakeContext()
        result = Result(context)
        self.results.append((message, result))
        try:
            result.reply = await self.agent.handle(message, context)
        except KumquatrunError as error:
            result.error = error
        except asyncio.CancelledError:
            if self.agent.state == 'stopped':
                raise
        return result

    def send(self, message):
        task = asyncio.create_task(self.run(message))
        self.tasks.append(task)
        return task

    # Faults.

    async def restart(self):
        self.engine.restart()

    async def crash_for_a_while(self):
        self.engine.is_down = True
        self.engine.restart()
        loop = asyncio.get_running_loop()
        loop.call_later(1, setattr, self.engine, 'is_down', False)

    async def lose_adapters(self):
        # As by another agent's order to an engine that ignores fencing numbers.
        self.engine.held.clear()

    async def go_silent(self):
        self.engine.is_silent = True
        loop = asyncio.get_running_loop()
        loop.call_later(1, setattr, self.engine, 'is_silent', False)

    async def cancel(self):
        self.tasks[-1].cancel()

    async def pass_the_deadline(self):
        await asyncio.sleep(31)

    async def lose_the_lease(self):
        self.session.set_lease(False)

    async def drain(self):
        self.session.record = replace(self.session.record, draining=True)
        self.session.notify()

    async def register_again(self):
        record = replace(self.session.record, incarnation='agent-2')
        self.session.record = record

    async def lose_control(self):
        self.session.control.is_reachable = False

    async def fail_load(self):
        self.engine.fail_loads = 1

    async def hang_load(self):
        self.engine.hang_loads = 1

    async def run_the_wrong_version(self):
        self.engine.mislabel = AdapterKey('a', '9')

    async def fence(self):
        self.engine.newest_number = 99

    async def hold_a_suspect(self):
        self.engine.faults['middle'] = self.pass_the_deadline
        self.send(dispatch('long'))
        await asyncio.sleep(0.1)
        self.send(dispatch('suspect', alone=True))

    async def compete(self):
        self.send(dispatch('rival', AdapterKey('rival', '1')))
        await asyncio.sleep(3)

    async def duplicate(self):
        self.send(self.results[-1][0])
        await asyncio.sleep(0.01)


STEPS = [
    'unload',
    'order',
    'load',
    'connect',
    'sent',
    'first',
    'middle',
    'last',
]
BEFORE_SENDING = {'unload', 'order', 'load', 'connect'}
FAULTS = [
    'restart',
    'crash_for_a_while',
    'lose_adapters',
    'go_silent',
    'cancel',
    'pass_the_deadline',
    'lose_the_lease',
    'drain',
    'register_again',
    'lose_control',
    'fail_load',
    'hang_load',
    'run_the_wrong_version',
    'fence',
    'duplicate',
    'compete',
]
CASES = [(fault, step) for fault in FAULTS for step in STEPS]
# These affect the engine's response only, at whichever step they are set.
ACTS_AFTER_SENDING = {'go_silent', 'run_the_wrong_version'}
# After these the agent is expected to refuse further dispatches.
ENDS_SERVICE = {
    'lose_the_lease',
    'drain',
    'register_again',
    'lose_control',
    'run_the_wrong_version',
    'fence',
}


def check_result(message, result, executions):
    """Check the result of one dispatch against the engine's record."""
    key = AdapterKey(message.adapter, message.version)
    runs = [ran for ran in executions if ran[0] == message.request_id]
    assert len(runs) <= 1, 'executed more than once'
    assert all(ran[1] == key for ran in runs), 'executed on another adapter'
    if result.outcome is Outcome.NOT_RUN:
        assert not runs, 'reported not_run but was executed'
    if result.context.started is not None:
        assert result.context.started.adapter == key.adapter
        assert result.context.started.version == key.version
    for piece in result.context.body.decode().split():
        assert piece.startswith(f'{key}:'), 'output of another adapter'
    if isinstance(result.reply, Finished):
        assert result.outcome is Outcome.RAN
        assert len(result.context.body.split()) == PIECES, (
            'response is incomplete'
        )


async def run_case(fault, step):
    """Run one dispatch with a fault, a resend and a later request."""
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up', OLD))
        await asyncio.sleep(2)
        message = dispatch()
        harness.engine.faults[step] = getattr(harness, fault)
        result = await harness.send(message)
        assert step not in harness.engine.faults, 'the step was not reached'
        await asyncio.gather(*harness.tasks)
        await harness.run(message)
        await asyncio.sleep(6)
        harness.engine.fail_loads = harness.engine.hang_loads = 0
        later = await harness.run(dispatch('later', OLD, deadline_s=20))
        for sent, ended in harness.results:
            check_result(sent, ended, harness.engine.executions)
        assert not harness.engine.evicted_in_use, 'evicted in use'
        return result, later


@pytest.mark.parametrize(('fault', 'step'), CASES)
async def test_fault_at_each_step(fault, step):
    result, later = await run_case(fault, step)
    if step in BEFORE_SENDING and fault not in ACTS_AFTER_SENDING:
        assert result.reply or result.outcome is Outcome.NOT_RUN
    if fault not in ENDS_SERVICE:
        assert isinstance(later.reply, Finished), later.error
    if fault != 'run_the_wrong_version':
        assert not invariants.violations


def disable_verification(patch):
    patch.setattr(EngineRunner, '_verify', lambda *args: None)


def disable_seen_requests(patch):
    patch.setattr(SeenRequests, 'check', lambda *args: None)


def disable_sent_callback(patch):
    original = FakeEngine.generate

    def generate(engine, call, on_sent):
        return original(engine, call, lambda: None)

    patch.setattr(FakeEngine, 'generate', generate)


def disable_pins(patch):
    original = AdapterSlots.pin

    def pin(slots, key, now_s):
        made = original(slots, key, now_s)
        slots._slots[made.slot].pins = 0
        return made

    patch.setattr(AdapterSlots, 'pin', pin)
    patch.setattr(AdapterSlots, 'unpin', lambda *args: None)


# Function that disables a mechanism, fault and step that need the mechanism,
# expected failure of the check.
MECHANISMS = [
    (
        disable_verification,
        'run_the_wrong_version',
        'connect',
        'another adapter',
    ),
    (disable_seen_requests, 'duplicate', 'first', 'more than once'),
    (disable_sent_callback, 'cancel', 'first', 'reported not_run'),
    (disable_pins, 'compete', 'middle', 'evicted in use'),
]


@pytest.mark.parametrize(('disable', 'fault', 'step', 'found'), MECHANISMS)
async def test_disabled_mechanism_is_detected(
    disable,
    fault,
    step,
    found,
    monkeypatch,
):
    disable(monkeypatch)
    with pytest.raises(AssertionError, match=found):
        await run_case(fault, step)


REFUSALS = {
    'old_incarnation': ({'agent_incarnation': 'agent-0'}, None),
    'other_service': ({'service': 'ledger'}, None),
    'no_time_left': ({'deadline_s': 0}, None),
    'no_lease': ({}, 'lose_the_lease'),
    'draining': ({}, 'drain'),
    'new_incarnation': ({}, 'register_again'),
}


@pytest.mark.parametrize('name', REFUSALS)
async def test_refused_dispatch_is_not_run(name):
    fields, event = REFUSALS[name]
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        if event is not None:
            await getattr(harness, event)()
        result = await harness.run(dispatch(**fields))
        assert result.error.outcome is Outcome.NOT_RUN
        assert len(harness.engine.executions) == 1
        assert not harness.agent.open_requests


async def test_open_route_is_served_without_a_lease():
    # Requests on open routes carry no account and are served in a partition.
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        harness.session.set_lease(False)
        result = await harness.run(dispatch(account=''))
        assert isinstance(result.reply, Finished)


# Outcome of the first attempt, whether the call is repeatable, number of the
# second attempt, whether the second attempt runs.
REPEATS = {
    'same_attempt': ('ran', True, 1, False),
    'same_attempt_not_run': ('not_run', True, 1, False),
    'next_attempt_after_ran': ('ran', False, 2, False),
    'next_attempt_after_not_run': ('not_run', False, 2, True),
    'next_attempt_if_repeatable': ('ran', True, 2, True),
}


@pytest.mark.parametrize('name', REPEATS)
async def test_repeated_dispatch(name):
    # Guards against a duplicate dispatch that is executed again, or refused as
    # not_run although the request ran.
    first_outcome, repeatable, attempt, runs = REPEATS[name]
    async with AgentHarness() as harness:
        harness.engine.fail_loads = first_outcome == 'not_run'
        message = dispatch(repeatable=repeatable)
        first = await harness.run(message)
        assert first.outcome == first_outcome
        second = await harness.run(replace(message, attempt=attempt))
        assert isinstance(second.reply, Finished) is runs
        if not runs:
            assert second.outcome == first_outcome


async def test_old_requests_are_removed():
    # Guards against memory use that grows with each request.
    async with AgentHarness() as harness:
        for number in range(20):
            await harness.run(dispatch(f'r{number}'))
        await asyncio.sleep(700)
        await harness.run(dispatch('last'))
        assert len(harness.agent._seen) == 1


async def test_crash_reports_batch_and_clears_slots():
    async with AgentHarness(capacity=2) as harness:
        await harness.run(dispatch('warm-up'))
        harness.engine.faults['middle'] = harness.restart
        results = await asyncio.gather(
            *(harness.run(dispatch(name)) for name in ('r1', 'r2', 'r3')),
        )
        assert {result.outcome for result in results} == {Outcome.UNKNOWN}
        [report] = harness.session.control.sent(ReportSuspects)
        assert report.fingerprints == ('fp-r1', 'fp-r2', 'fp-r3')
        assert not report.alone
        assert harness.agent.report().adapters == ()


@pytest.mark.parametrize('crashes', [False, True])
async def test_suspect_runs_alone(crashes):
    # Guards against other requests in the batch of a suspect: if it crashes
    # the engine, they are lost and reported too.
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        others = [harness.send(dispatch(f'r{number}')) for number in range(3)]
        await asyncio.sleep(0.02)
        suspect = harness.send(dispatch('suspect', alone=True))
        more = [harness.send(dispatch(f'm{number}')) for number in range(3)]
        await asyncio.gather(*others)
        assert not any(task.done() for task in more)
        if crashes:
            harness.engine.faults['middle'] = harness.restart
        ended = await suspect
        await asyncio.gather(*more)
        order = [request_id for request_id, _ in harness.engine.executions]
        assert order.index('suspect') == 4
        control = harness.session.control
        cleared = control.sent(ClearSuspect)
        if crashes:
            assert ended.outcome is Outcome.UNKNOWN
            assert not cleared
            [report] = control.sent(ReportSuspects)
            assert report.alone
            assert report.fingerprints == ('fp-suspect',)
        else:
            assert cleared[0].fingerprint == 'fp-suspect'


async def test_lost_connection_reports_no_suspects():
    # Guards against a request that is reported as a suspect after the loss of
    # its connection alone.
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        harness.engine.faults['middle'] = harness.go_silent
        result = await harness.run(dispatch())
        assert result.outcome is Outcome.UNKNOWN
        assert not harness.session.control.sent(ReportSuspects)


async def test_drain_finishes_the_accepted_requests():
    # Guards against a planned shutdown that interrupts accepted requests.
    async with AgentHarness(max_running=1) as harness:
        tasks = [harness.send(dispatch(f'r{number}')) for number in range(4)]
        await asyncio.sleep(0.3)
        draining = asyncio.create_task(harness.agent.drain(0.01))
        await asyncio.sleep(0.001)
        refused = await harness.run(dispatch('late'))
        assert refused.error.code == 'draining'
        await draining
        assert harness.agent.state == 'stopped'
        assert all(task.result().reply for task in tasks)


async def test_drain_timeout_logs_open_requests(caplog):
    async with AgentHarness() as harness:
        task = harness.send(dispatch())
        await asyncio.sleep(0.1)
        await harness.agent.drain(0.1)
        assert 'event=stop_incomplete open_requests=1' in caplog.text
        assert (await task).reply


async def test_load_wait_takes_no_batch_place():
    # Guards against requests that wait for a load and block others whose
    # adapter is loaded.
    async with AgentHarness(max_running=2, capacity=2) as harness:
        await harness.run(dispatch('warm-up'))
        harness.engine.hang_loads = 1
        waiting = harness.send(dispatch('w', AdapterKey('other', '1')))
        await asyncio.sleep(0.1)
        served = await asyncio.gather(
            *(harness.run(dispatch(f'r{number}')) for number in range(6)),
        )
        assert all(result.reply for result in served)
        assert harness.engine.most_running <= 2
        assert not waiting.done()


async def test_load_slot_is_acquired_and_released():
    async with AgentHarness() as harness:
        harness.session.control.free_slots = 0
        task = harness.send(dispatch())
        await asyncio.sleep(1)
        assert not harness.engine.held
        harness.session.control.free_slots = 1
        assert (await task).reply
        await asyncio.sleep(0.1)
        assert harness.session.control.free_slots == 1


async def test_rare_adapter_is_not_starved():
    # Guards against starvation of a rare adapter while a popular adapter
    # always has a request in the batch.
    async with AgentHarness() as harness:
        stop = asyncio.Event()

        async def keep_busy(name):
            number = 0
            while not stop.is_set():
                number += 1
                await harness.run(dispatch(f'{name}-{number}'))

        await harness.run(dispatch('warm-up'))
        busy = [asyncio.create_task(keep_busy(name)) for name in 'xyz']
        await asyncio.sleep(2)
        rare = await harness.run(
            dispatch('rare', AdapterKey('rare', '1'), deadline_s=5),
        )
        stop.set()
        await asyncio.gather(*busy)
        assert isinstance(rare.reply, Finished)


def is_full(report):
    return report.running + report.queued >= report.capacity


async def test_report_shows_load_and_adapters():
    async with AgentHarness() as harness:
        task = harness.send(dispatch())
        await asyncio.sleep(0.28)
        report = harness.session.agent_source()
        assert (report.running, report.adapters) == (1, ('a@1',))
        assert report.capacity == harness.settings.max_running
        assert not is_full(report)
        await task


# Events after which an agent cannot start requests.
UNAVAILABLE = ['lose_the_lease', 'drain', 'crash_for_a_while', 'hold_a_suspect']


@pytest.mark.parametrize('event', UNAVAILABLE)
async def test_unavailable_agent_reports_full_queue(event):
    # Guards against placement that prefers an unavailable agent because it
    # runs no requests.
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        await getattr(harness, event)()
        await asyncio.sleep(0.6)
        report = harness.agent.report()
        assert is_full(report)
        assert report.capacity == harness.settings.max_running


async def test_expired_request_cancels_retirement():
    # Guards against a busy adapter that stays closed to new requests after the
    # request that wanted its slot has expired.
    async with AgentHarness() as harness:
        harness.engine.faults['middle'] = lambda: asyncio.sleep(20)
        long = harness.send(dispatch('long'))
        await asyncio.sleep(1)
        rare = await harness.run(
            dispatch('rare', AdapterKey('rare', '1'), deadline_s=4),
        )
        assert rare.outcome is Outcome.NOT_RUN
        assert (await harness.run(dispatch('next', deadline_s=1))).reply
        assert not long.done()


async def test_request_expired_during_pause_is_not_run():
    # In a resumed process, the end of a request may start the next request
    # before the expired timers fire.
    async with AgentHarness(max_running=1) as harness:
        tasks = [harness.send(dispatch(name)) for name in ('r1', 'r2')]
        await asyncio.sleep(0.28)
        harness.clock.shift_s = 60
        await asyncio.gather(*tasks)
        assert tasks[0].result().reply
        assert tasks[1].result().error.code == 'deadline_exceeded'
        assert tasks[1].result().outcome is Outcome.NOT_RUN


async def test_displaced_request_is_refused_at_once():
    async with AgentHarness(max_running=1, max_queued=2) as harness:
        heavy = [harness.send(dispatch(f'h{n}')) for n in range(2)]
        await asyncio.sleep(0.01)
        other = harness.send(dispatch('other', account='small'))
        await asyncio.sleep(0.01)
        assert heavy[1].result().error.code == 'no_capacity'
        assert (await other).reply


# Adapters in the engine at first, adapters later, adapters in the report.
HELD = {'taken_over': ({A}, {A}, ('a@1',)), 'lost': ({A}, set(), ())}


@pytest.mark.parametrize('name', HELD)
async def test_slots_follow_engine_state(name):
    # Guards against needless loads when the agent starts beside a running
    # engine, and against requests for adapters that another agent unloaded.
    first, later, reported = HELD[name]
    harness = AgentHarness()
    harness.engine.held = set(first)
    async with harness:
        harness.engine.held = set(later)
        await asyncio.sleep(1)
        assert harness.agent.report().adapters == reported
        assert (await harness.run(dispatch())).reply
        assert len(harness.engine.loads) == (not reported)


async def test_waiting_requests_start_without_delay():
    # Guards against requests that start only after a timer or after the
    # release of a load slot.
    async with AgentHarness(max_running=1) as harness:
        harness.session.control.release_delay_s = 1
        started_s = harness.clock.now_s()
        for task in [harness.send(dispatch(f'r{n}')) for n in range(3)]:
            assert (await task).reply
        run_s = 0.01 * (2 + PIECES)
        load_s = 0.25 + 0.01
        waited_s = harness.clock.now_s() - started_s - load_s - 3 * run_s
        assert waited_s < 0.02


async def test_wrong_adapter_is_reloaded():
    async with AgentHarness() as harness:
        await harness.run(dispatch('warm-up'))
        harness.engine.mislabel = AdapterKey('a', '9')
        assert (await harness.run(dispatch())).outcome is Outcome.UNKNOWN
        harness.engine.mislabel = None
        assert (await harness.run(dispatch('next'))).reply
        assert harness.engine.loads == [A, A]
        assert invariants.violations == {'right_adapter': 1}


@pytest.mark.parametrize('step', STEPS)
async def test_restart_is_detected_without_health_check(step, monkeypatch):
    # Guards against requests that fail because the engine restarted without
    # adapters since the last health check.
    monkeypatch.setattr(engine_runner, 'HEALTH_INTERVAL_S', 60)
    result, later = await run_case('restart', step)
    if step in BEFORE_SENDING:
        assert result.reply or result.outcome is Outcome.NOT_RUN
    assert isinstance(later.reply, Finished)
