"""Agent: every fault at every step of a dispatch, drain, suspects."""

import asyncio
import json
from dataclasses import replace

import pytest
from tests.fake_engine import PIECES, FakeEngine
from tests.fakes import INCARNATION, FakeSession

from kumquatrun import invariants
from kumquatrun.adapter_slots import AdapterSlots
from kumquatrun.agent import Agent
from kumquatrun.clock import LoopClock
from kumquatrun.engine_runner import EngineRunner
from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.messages import (
    Dispatch,
    Finished,
    Started,
)
from kumquatrun.peer import Address
from kumquatrun.reload_costs import AdapterKey
from kumquatrun.seen_requests import SeenRequests
from kumquatrun.settings import AgentSettings

A = AdapterKey('a', '1')
OLD = AdapterKey('old', '1')

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def clear_violations():
    invariants.violations.clear()
    yield
    invariants.violations.clear()


class FakeContext:
    """Server side of a call that keeps what was sent."""

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
    """How one dispatch ended."""

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
        return self.context.outcome  # what the peer server answers with


class Bench:
    """An agent in front of a fake engine, driven without a connection."""

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
        self.agent = Agent(
            self.settings,
            self.session,
            self.engine,
            LoopClock(),
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
        # Another agent's order at an engine that ignores fencing numbers.
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

    async def compete(self):
        self.send(dispatch('rival', AdapterKey('rival', '1')))
        await asyncio.sleep(3)

    async def duplicate(self):
        self.send(self.results[-1][0])
        await asyncio.sleep(0.01)


STEPS = ['unload', 'load', 'connect', 'sent', 'first', 'middle', 'last']
BEFORE_SENDING = {'unload', 'load', 'connect'}
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
# These act on the engine's answer only, wherever they are set.
ACTS_AFTER_SENDING = {'go_silent', 'run_the_wrong_version'}
# After these the agent rightly refuses further work.
ENDS_SERVICE = {
    'lose_the_lease',
    'drain',
    'register_again',
    'lose_control',
    'run_the_wrong_version',
    'fence',
}


def check_result(message, result, executions):
    """Check one dispatch against what the engine recorded."""
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
        assert piece.startswith(f'{key}:'), 'bytes of another adapter'
    if isinstance(result.reply, Finished):
        assert result.outcome is Outcome.RAN
        assert len(result.context.body.split()) == PIECES, 'answer is cut'


async def run_case(fault, step):
    """Run one dispatch with a fault, a resend and a later request."""
    async with Bench() as bench:
        await bench.run(dispatch('warm-up', OLD))
        await asyncio.sleep(2)
        message = dispatch()
        bench.engine.faults[step] = getattr(bench, fault)
        result = await bench.send(message)
        assert step not in bench.engine.faults, 'the step was not reached'
        await asyncio.gather(*bench.tasks)
        await bench.run(message)
        await asyncio.sleep(6)
        bench.engine.fail_loads = bench.engine.hang_loads = 0
        later = await bench.run(dispatch('later', OLD, deadline_s=20))
        for sent, ended in bench.results:
            check_result(sent, ended, bench.engine.executions)
        assert not bench.engine.evicted_in_use, 'evicted in use'
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


def no_verification(patch):
    patch.setattr(EngineRunner, '_verify', lambda *args: None)


def no_memory_of_requests(patch):
    patch.setattr(SeenRequests, 'check', lambda *args: None)


def no_marks(patch):
    original = FakeEngine.generate

    def generate(engine, call, on_sent):
        return original(engine, call, lambda: None)

    patch.setattr(FakeEngine, 'generate', generate)


def no_pins(patch):
    original = AdapterSlots.pin

    def pin(slots, key, now_s):
        made = original(slots, key, now_s)
        slots._slots[made.slot].pins = 0
        return made

    patch.setattr(AdapterSlots, 'pin', pin)
    patch.setattr(AdapterSlots, 'unpin', lambda *args: None)


# Mechanism, fault and step that need it, what the check then reports.
MECHANISMS = [
    (no_verification, 'run_the_wrong_version', 'connect', 'another adapter'),
    (no_memory_of_requests, 'duplicate', 'first', 'more than once'),
    (no_marks, 'cancel', 'first', 'reported not_run'),
    (no_pins, 'compete', 'middle', 'evicted in use'),
]


@pytest.mark.parametrize(('switch_off', 'fault', 'step', 'found'), MECHANISMS)
async def test_matrix_catches_a_mechanism_that_is_off(
    switch_off,
    fault,
    step,
    found,
    monkeypatch,
):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError, match=found):
        await run_case(fault, step)
