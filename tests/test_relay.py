"""Tests of the relay with a fault at each step of a request.

Each case injects one fault at one step and compares the result for the caller
with the executions that the fake agents recorded.
"""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import cached_property

import pytest

from entry_fakes import (
    ACCOUNT,
    KEY,
    EndResponse,
    FakeAgent,
    FakeNetwork,
    FakeSession,
)
from kumquatrun.entry.agent_pool import AgentPool
from kumquatrun.entry.budget_client import BudgetClient
from kumquatrun.entry.claim_client import ClaimClient
from kumquatrun.entry.dispatch import Dispatcher
from kumquatrun.entry.execution import Execution, RelayRequest
from kumquatrun.entry.placement import BoundedAffinity
from kumquatrun.entry.relay import Relay
from kumquatrun.errors import (
    ConnectionLostError,
    DrainingError,
    InvalidRequestError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.peer.node_messages import GrantTokens
from kumquatrun.peer.request_messages import ClaimRequest, FinishClaim
from kumquatrun.runtime.clock import LoopClock
from kumquatrun.runtime.invariants import InvariantError, Invariants

pytestmark = pytest.mark.looptime

EVENTS = (b'data: {"a":1}\n\n', b'data: {"a":2}\n\n', b'data: [DONE]\n\n')
BOOKED = (b'booked', b' it')
TIMEOUT_S = 30


class FakeSink:
    def __init__(self):
        self.body = b''
        self.calls = 0
        self.is_started = False
        self.is_complete = False

    async def start(self, status, content_type):
        self.is_started = True

    async def write(self, chunk):
        await asyncio.sleep(0)
        self.body += chunk

    def write_now(self, chunk):
        # Accepts every second chunk; the others go through ``write``.
        self.calls += 1
        if self.calls % 2:
            self.body += chunk
        return bool(self.calls % 2)

    async def finish(self):
        self.is_complete = True

    async def send(self, answer):
        self.body = answer.body
        self.is_complete = True


class RelayHarness:
    """A relay with two agents per service and fakes of all it calls."""

    def __init__(self, broken=None, is_strict=True):
        self.invariants = Invariants(is_strict=is_strict)
        is_relay = broken is not None and issubclass(broken, Relay)
        relay_class = broken if is_relay else Relay
        dispatcher_class = Dispatcher if is_relay else broken or Dispatcher
        self.session = FakeSession()
        self.network = FakeNetwork(self.session)
        clock = LoopClock()
        rng = random.Random(1)
        self.pool = AgentPool(
            self.session, clock, BoundedAffinity(), self.network.connect
        )
        self.budgets = BudgetClient(self.session, clock)
        self.relay = relay_class(
            self.session,
            clock,
            self.pool,
            self.budgets,
            ClaimClient(self.session, clock, rng),
            rng=rng,
            invariants=self.invariants,
            dispatcher_class=dispatcher_class,
        )
        self.session.on_change(self.relay.interrupt_unauthorized)
        for service, chunks, kind in (
            ('assistant', EVENTS, 'text/event-stream'),
            ('ledger', BOOKED, 'text/plain'),
        ):
            for number in (1, 2):
                self.network.add(
                    FakeAgent(
                        host_id=f'{service}-{number}',
                        service=service,
                        chunks=chunks,
                        content_type=kind,
                    )
                )

    @cached_property
    def reports(self):
        return self.budgets.wallet.take_reports(0)

    @property
    def consumed(self):
        """Tokens charged for the finished requests."""
        return sum(report.consumed_tokens for report in self.reports)

    @property
    def abandoned(self):
        """Tokens of grants that the entry reported as abandoned."""
        return sum(
            self.session.control.grants[number]
            for report in self.reports
            for number in report.abandoned_grants
        )

    @property
    def agents(self):
        return list(self.network.agents.values())

    @property
    def executions(self):
        return [each for agent in self.agents for each in agent.executions]

    def request(self, kind, **changes):
        document = self.session.view.document
        routes = {route.path: route for route in document.routes}
        route = routes[kind.path]
        fields = {
            'request_id': 'r1',
            'route': route,
            'account': '' if kind.is_open else ACCOUNT,
            'key': '' if kind.is_open else KEY,
            'path': kind.path,
            'method': 'POST',
            'body': b'{}',
            'content_type': 'application/json',
            'fingerprint': 'f1',
            'deadline_s': asyncio.get_running_loop().time() + TIMEOUT_S,
            'prompt_tokens': 5,
            'idempotency_key': 'k1' if kind.has_key else '',
        }
        if route.service == 'assistant':
            fields |= {
                'adapter': 'wheat',
                'version': '2',
                'output_tokens': 8,
                'stream': True,
            }
        return RelayRequest(**fields | changes)

    async def run(self, kind, **changes):
        sink = FakeSink()
        execution = Execution(self.request(kind, **changes))
        result = await self.relay.run(execution, sink)
        return result, sink


@dataclass(frozen=True)
class RequestKind:
    """A kind of request."""

    path: str
    has_key: bool = False

    @property
    def is_plain(self):
        return self.path in {'/ledger/', '/stock/'}

    @property
    def is_idempotent(self):
        return self.path != '/ledger/'

    @property
    def is_open(self):
        return self.path.startswith('/open')

    def __str__(self):
        return self.path.strip('/') + ('+key' if self.has_key else '')


KINDS = [
    RequestKind('/v1/'),
    RequestKind('/v1/', has_key=True),
    RequestKind('/open/v1/'),
    RequestKind('/ledger/'),
    RequestKind('/ledger/', has_key=True),
    RequestKind('/stock/'),
]

# Faults: each is called when the request reaches the step it is injected at.


async def refuse_draining(harness, agent, call):
    raise DrainingError('draining')


async def refuse_full(harness, agent, call):
    raise NoCapacityError('full')


async def refuse_request(harness, agent, call):
    raise InvalidRequestError('refused')


async def fail_after_run(harness, agent, call):
    raise NoCapacityError('refused after the request ran')


async def fail_unexpectedly(harness, agent, call):
    raise KumquatrunError('unexpected', outcome=call.outcome)


async def refuse_connection(harness, agent, call):
    raise ConnectionLostError('refused', outcome=Outcome.NOT_RUN)


async def lose_while_sending(harness, agent, call):
    raise ConnectionLostError('write failed')


async def lose_connection(harness, agent, call):
    call.lose()
    await asyncio.sleep(60)


async def stop_responding(harness, agent, call):
    await call.stop_responding()
    await asyncio.sleep(60)


async def restart_agent(harness, agent, call):
    agent.incarnation = 'i2'
    harness.network.replace(agent, incarnation='i2')
    call.lose()
    await asyncio.sleep(60)


async def restart_unnoticed(harness, agent, call):
    agent.incarnation = 'i2'


async def hang(harness, agent, call):
    await asyncio.sleep(1000)


async def hang_without_reply(harness, agent, call):
    call.is_silent = True
    await asyncio.sleep(1000)


async def start_wrongly(agent, call, **changes):
    request = agent.executions[-1]
    await call.send_message(agent.started(request, **changes))
    await call.send_item(b'answer to another request')
    raise EndResponse


async def start_wrong_adapter(harness, agent, call):
    await start_wrongly(agent, call, adapter='rice')


async def start_wrong_version(harness, agent, call):
    await start_wrongly(agent, call, version='0')


async def answer_for_other_host(harness, agent, call):
    await start_wrongly(agent, call, host_id='other')


async def send_body_first(harness, agent, call):
    await call.send_item(b'answer to another request')


async def start_twice(harness, agent, call):
    await call.send_message(agent.started(agent.executions[-1]))


async def end_lease(harness, agent, call):
    harness.session.is_leased = False
    harness.session.changed()
    await asyncio.sleep(0.1)


async def revoke_key(harness, agent, call):
    harness.session.view.keys.clear()
    harness.session.changed()
    await asyncio.sleep(0.1)


async def disconnect_caller(harness, agent, call):
    harness.task.cancel()
    await asyncio.sleep(0.1)


CLIENT_STEPS = ('connect', 'send')
BEFORE_RUN = ('received',)
AFTER_RUN = ('executed', 'started', 'body', 'end')
AGENT_STEPS = BEFORE_RUN + AFTER_RUN
FAULTS = {
    refuse_draining: BEFORE_RUN,
    refuse_full: BEFORE_RUN,
    refuse_request: BEFORE_RUN,
    fail_after_run: ('started', 'body', 'end'),
    fail_unexpectedly: AGENT_STEPS,
    refuse_connection: ('connect',),
    lose_while_sending: ('send',),
    lose_connection: AGENT_STEPS,
    stop_responding: AGENT_STEPS,
    restart_agent: AGENT_STEPS,
    restart_unnoticed: CLIENT_STEPS,
    hang: (*CLIENT_STEPS, *AGENT_STEPS),
    hang_without_reply: AGENT_STEPS,
    start_wrong_adapter: ('executed',),
    start_wrong_version: ('executed',),
    answer_for_other_host: ('executed',),
    send_body_first: ('executed',),
    start_twice: ('started', 'body', 'end'),
    end_lease: CLIENT_STEPS + AGENT_STEPS,
    revoke_key: CLIENT_STEPS + AGENT_STEPS,
    disconnect_caller: CLIENT_STEPS + AGENT_STEPS,
}
CASES = [
    pytest.param(
        fault,
        step,
        kind,
        times,
        id='-'.join((fault.__name__, step, str(kind), str(times))),
    )
    for fault, steps in FAULTS.items()
    for step in steps
    for kind in KINDS
    for times in (1, 9)
]


def inject(harness, fault, at_step, times):
    remaining = times

    async def hook(step, agent, call):
        nonlocal remaining
        if step == at_step and remaining:
            remaining -= 1
            await fault(harness, agent, call)

    harness.network.hook = hook
    for agent in harness.agents:
        agent.hook = hook


async def run_case(harness, kind, **changes):
    """Run one request in a task that a fault can cancel."""
    harness.task = asyncio.create_task(harness.run(kind, **changes))
    try:
        result, sink = await harness.task
    except asyncio.CancelledError:
        result, sink = None, None
    await harness.relay.wait_idle()
    # Agents receive the cancellation of a call a moment later.
    await asyncio.sleep(3)
    return result, sink


def check_guarantees(harness, kind, result, sink):
    """Compare the result with what the agents recorded."""
    runs = len(harness.executions)
    assert kind.is_idempotent or runs <= 1, 'ran more than once'
    if result is not None:
        if result.outcome is Outcome.NOT_RUN:
            assert runs == 0, 'reported not_run, but it ran'
            assert harness.consumed == 0, 'charged, but not run'
        if result.outcome is Outcome.RAN:
            assert runs >= 1, 'reported ran, but it did not run'
        assert (result.error is None) is sink.is_complete
    if sink is not None and sink.is_complete:
        expected = BOOKED if kind.is_plain else EVENTS
        assert sink.body == b''.join(expected), 'not its own complete response'
    if kind.has_key:
        check_claim(harness, result)
    check_no_leaks(harness)


def check_claim(harness, result):
    """Check that a claim ends, and is released only if nothing ran."""
    states = [
        each['status'] for each in harness.session.control.claims.values()
    ]
    if harness.executions:
        assert states in (['finished'], ['unknown'])
    if result is not None:
        assert states == CLAIM_STATES[result.outcome]


CLAIM_STATES = {
    Outcome.NOT_RUN: [],
    Outcome.RAN: ['finished'],
    Outcome.UNKNOWN: ['unknown'],
}


def check_no_leaks(harness):
    assert harness.relay.open_requests == 0
    assert harness.pool.open_dispatches() == 0
    assert all(agent.open == 0 for agent in harness.agents)
    granted = 1_000_000 - harness.session.control.tokens
    idle = harness.budgets.wallet.idle_tokens(ACCOUNT)
    assert granted == idle + harness.consumed + harness.abandoned, 'tokens lost'


@pytest.mark.parametrize(('fault', 'step', 'kind', 'times'), CASES)
async def test_guarantees_under_faults(fault, step, kind, times):
    harness = RelayHarness()
    inject(harness, fault, step, times)
    result, sink = await run_case(harness, kind)
    check_guarantees(harness, kind, result, sink)


# Reported outcome by step if the fault happens once and the request must not be
# retried; 'ok' is a complete response.
LOST = dict.fromkeys(
    ('send', 'received', 'executed'), 'unknown'
) | dict.fromkeys(('started', 'body', 'end'), 'ran')
NOT_RUN = dict.fromkeys((*CLIENT_STEPS, 'received'), 'not_run')
# The agent replies to a cancelled call with the outcome that it knows.
ACKNOWLEDGED = (
    LOST | {'connect': 'not_run', 'received': 'not_run'} | {'executed': 'ran'}
)
EXPECTED_OUTCOMES = {
    refuse_request: NOT_RUN,
    refuse_draining: NOT_RUN,
    refuse_full: NOT_RUN,
    refuse_connection: NOT_RUN,
    restart_unnoticed: NOT_RUN,
    fail_after_run: LOST,
    fail_unexpectedly: ACKNOWLEDGED,
    lose_while_sending: LOST,
    lose_connection: LOST,
    stop_responding: LOST,
    restart_agent: LOST,
    hang: ACKNOWLEDGED,
    hang_without_reply: LOST,
    start_wrong_adapter: ACKNOWLEDGED,
    start_wrong_version: ACKNOWLEDGED,
    answer_for_other_host: ACKNOWLEDGED,
    send_body_first: ACKNOWLEDGED,
    start_twice: LOST,
    end_lease: ACKNOWLEDGED,
    revoke_key: ACKNOWLEDGED,
}
FAULTS_WITHOUT_RETRY = {
    refuse_request,
    hang,
    hang_without_reply,
    end_lease,
    revoke_key,
}
IGNORED_ON_OPEN_ROUTES = {end_lease, revoke_key}


def expected_result(fault, step, kind):
    if kind.is_open and fault in IGNORED_ON_OPEN_ROUTES:
        return 'ok'
    reported = EXPECTED_OUTCOMES[fault][step]
    if fault in FAULTS_WITHOUT_RETRY:
        return reported
    has_begun = not kind.is_plain and step in {'body', 'end'}
    if reported == 'not_run' or (kind.is_idempotent and not has_begun):
        return 'ok'
    return reported


@pytest.mark.parametrize(
    ('fault', 'step', 'kind'),
    [
        pytest.param(*case.values[:3], id=case.id)
        for case in CASES
        if case.values[3] == 1 and case.values[0] in EXPECTED_OUTCOMES
    ],
)
async def test_single_fault_result(fault, step, kind):
    # Guards against needless refusals, and against an unknown outcome that
    # could be known.
    harness = RelayHarness()
    inject(harness, fault, step, 1)
    result, _ = await run_case(harness, kind)
    reported = 'ok' if result.error is None else result.outcome.value
    assert reported == expected_result(fault, step, kind)


@pytest.mark.parametrize('kind', KINDS, ids=str)
@pytest.mark.parametrize('fault', [end_lease, revoke_key])
@pytest.mark.parametrize('step', AGENT_STEPS)
async def test_keyed_requests_end_within_a_second(fault, step, kind):
    # Guards against an open stream that goes on without a valid key or lease.
    harness = RelayHarness()
    loop = asyncio.get_running_loop()
    began_s = None

    async def fault_then_hang(harness, agent, call):
        nonlocal began_s
        began_s = loop.time()
        await fault(harness, agent, call)
        call.is_silent = True
        await asyncio.sleep(5)
        call.is_silent = False

    inject(harness, fault_then_hang, step, 1)
    result, _ = await harness.run(kind)
    if not kind.is_open:
        assert result.error is not None
        assert loop.time() - began_s <= 1


async def lose_reply(harness, request_class, times):
    harness.session.control.lose_replies[request_class] = times


async def lose_control(harness, request_class, times):
    original = harness.session.control.call
    remaining = times

    async def call(request, timeout_s):
        nonlocal remaining
        if isinstance(request, request_class) and remaining:
            remaining -= 1
            harness.session.control.is_reachable = False
        try:
            return await original(request, timeout_s)
        finally:
            harness.session.control.is_reachable = True

    harness.session.control.call = call


CONTROL_RESULTS = {
    (lose_control, GrantTokens, 1): ('ok', 'ran'),
    (lose_control, GrantTokens, 9): ('rate_limited', 'not_run'),
    (lose_reply, GrantTokens, 1): ('ok', 'ran'),
    (lose_reply, GrantTokens, 9): ('rate_limited', 'not_run'),
    (lose_control, ClaimRequest, 1): ('control_unreachable', 'unknown'),
    (lose_reply, ClaimRequest, 1): ('control_unreachable', 'unknown'),
    (lose_control, FinishClaim, 1): ('ok', 'ran'),
    (lose_control, FinishClaim, 3): ('ok', 'ran'),
    (lose_reply, FinishClaim, 1): ('ok', 'ran'),
    (lose_reply, FinishClaim, 3): ('ok', 'ran'),
}


@pytest.mark.parametrize('kind', [kind for kind in KINDS if kind.has_key])
@pytest.mark.parametrize(('fault', 'request_class', 'times'), CONTROL_RESULTS)
async def test_lost_control_calls(fault, request_class, times, kind):
    # Guards against a claim that stays after a lost reply, and against a
    # request that runs although its claim was not confirmed.
    harness = RelayHarness()
    await fault(harness, request_class, times)
    result, _ = await run_case(harness, kind)
    code, outcome = CONTROL_RESULTS[fault, request_class, times]
    assert result.outcome == outcome
    assert (result.error.code if result.error else 'ok') == code
    assert len(harness.executions) == (code == 'ok')
    check_no_leaks(harness)
    states = [
        each['status'] for each in harness.session.control.claims.values()
    ]
    assert states == (['finished'] if code == 'ok' else [])


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ({}, {}, 'ok'),
        ({}, {'body': b'other'}, 'idempotency_mismatch'),
        ({}, {'path': '/ledger/?other'}, 'idempotency_mismatch'),
        ({'chunks': (b'x' * 5000,)}, {}, 'already_ran'),
        ({'hook': 'executed'}, {}, 'outcome_unknown'),
        ({'hook': 'received'}, {}, 'ok'),
    ],
)
async def test_idempotency_key_runs_once(first, second, expected):
    harness = RelayHarness()
    kind = RequestKind('/ledger/', has_key=True)
    for agent in harness.agents:
        agent.chunks = first.get('chunks', agent.chunks)
    if 'hook' in first:
        inject(harness, lose_connection, first['hook'], 1)
        if first['hook'] == 'received':
            inject(harness, refuse_full, 'received', 9)
    await harness.run(kind)
    inject(harness, hang, 'never', 0)
    await harness.relay.wait_idle()
    result, sink = await harness.run(kind, request_id='r2', **second)
    assert (result.error.code if result.error else 'ok') == expected
    assert len(harness.executions) == 1
    if expected == 'ok':
        assert sink.body == b''.join(BOOKED)
    await harness.relay.wait_idle()
    check_no_leaks(harness)


@pytest.mark.parametrize(
    ('tokens', 'lease', 'cause'),
    [(10, True, 'over_rate'), (1_000_000, False, '')],
)
async def test_refusal_cause(tokens, lease, cause):
    harness = RelayHarness()
    harness.session.control.tokens = tokens
    harness.session.is_leased = lease
    result, _ = await harness.run(KINDS[0])
    assert result.outcome is Outcome.NOT_RUN
    assert result.error.cause == cause
    assert not harness.executions


@pytest.mark.parametrize(
    ('state', 'alone', 'runs'),
    [('clear', False, 1), ('suspect', True, 1), ('quarantined', None, 0)],
)
@pytest.mark.parametrize('kind', KINDS, ids=str)
async def test_suspect_and_quarantined_requests(kind, state, alone, runs):
    harness = RelayHarness()
    harness.session.view.fingerprints['f1'] = state
    result, _ = await run_case(harness, kind)
    assert [each.alone for each in harness.executions] == [alone] * runs
    assert result.outcome == ('ran' if runs else 'not_run')


class RepeatsUnknown(Relay):
    def _may_retry(self, execution, writer, error):
        return not writer.is_started


class ReportsNotRun(Relay):
    def _result(self, execution, writer, error):
        result = super()._result(execution, writer, error)
        return replace(result, outcome=Outcome.NOT_RUN)


class KeepsReservation(Relay):
    async def _clean_up(self, execution, writer):
        execution.reservation = None
        await super()._clean_up(execution, writer)


class ReleasesClaim(Relay):
    async def _clean_up(self, execution, writer):
        for attempt in execution.attempts:
            attempt.outcome = Outcome.NOT_RUN
        await super()._clean_up(execution, writer)


class NeverFinishesClaim(Relay):
    async def _clean_up(self, execution, writer):
        execution.is_claimed = False
        await super()._clean_up(execution, writer)


class SkipsStartedCheck(Dispatcher):
    def _check_started(self, execution, record, started):
        """Accepts whatever the agent started."""


class LeavesDispatchOpen(Dispatcher):
    async def _cancel_call(self, attempt, call, stack):
        self.open_stack = stack


class TrustsLateRefusal(Dispatcher):
    def _close_call(self, execution, call, stack, error):
        super()._close_call(execution, call, stack, error)
        execution.attempts[-1].outcome = error.outcome


BROKEN = [
    (RepeatsUnknown, lose_connection, 'executed', RequestKind('/ledger/')),
    (SkipsStartedCheck, start_wrong_adapter, 'executed', RequestKind('/v1/')),
    (
        SkipsStartedCheck,
        start_wrong_version,
        'executed',
        RequestKind('/open/v1/'),
    ),
    (
        SkipsStartedCheck,
        answer_for_other_host,
        'executed',
        RequestKind('/stock/'),
    ),
    (ReportsNotRun, lose_connection, 'executed', RequestKind('/ledger/')),
    (KeepsReservation, refuse_request, 'received', RequestKind('/v1/')),
    (LeavesDispatchOpen, disconnect_caller, 'body', RequestKind('/v1/')),
    (ReleasesClaim, lose_connection, 'executed', RequestKind('/ledger/', True)),
    (
        NeverFinishesClaim,
        refuse_request,
        'received',
        RequestKind('/ledger/', True),
    ),
    (TrustsLateRefusal, fail_after_run, 'started', RequestKind('/ledger/')),
]


@pytest.mark.parametrize(('broken', 'fault', 'step', 'kind'), BROKEN)
async def test_checks_detect_broken_mechanisms(broken, fault, step, kind):
    harness = RelayHarness(broken)
    inject(harness, fault, step, 9)
    with pytest.raises((AssertionError, InvariantError)):
        result, sink = await run_case(harness, kind)
        check_guarantees(harness, kind, result, sink)


class SkipsAdmission(Relay):
    def _admit(self, execution):
        return False


class SkipsReservation(Relay):
    async def _process(self, execution, writer):
        await self._dispatch(execution, writer)


class ForgetsReservation(BudgetClient):
    def settle(self, reservation):
        """Keeps the tokens."""


class AcceptsAnyEnd(Dispatcher):
    async def _receive(self, execution, writer, record, call):
        with suppress(KumquatrunError):
            await super()._receive(execution, writer, record, call)


async def quarantine(harness, agent, call):
    harness.session.view.fingerprints['f1'] = 'quarantined'


VIOLATIONS = [
    (
        RepeatsUnknown,
        lose_connection,
        'executed',
        '/ledger/',
        'single_execution',
    ),
    (SkipsAdmission, revoke_key, 'connect', '/v1/', 'account_of_key'),
    (SkipsAdmission, quarantine, 'connect', '/v1/', 'not_quarantined'),
    (SkipsReservation, hang, 'never', '/v1/', 'tokens_reserved'),
    (
        SkipsStartedCheck,
        start_wrong_adapter,
        'executed',
        '/v1/',
        'right_adapter',
    ),
    (AcceptsAnyEnd, lose_connection, 'body', '/v1/', 'whole_answer'),
    (
        ReportsNotRun,
        lose_connection,
        'executed',
        '/ledger/',
        'accurate_not_run',
    ),
    (ForgetsReservation, hang, 'never', '/v1/', 'reservation_settled'),
]


@pytest.mark.parametrize(
    ('broken', 'fault', 'step', 'path', 'invariant'),
    VIOLATIONS,
    ids=[row[-1] for row in VIOLATIONS],
)
async def test_invariant_counts_a_violation(
    broken, fault, step, path, invariant
):
    # Guards against the check of an invariant that never fails.
    if issubclass(broken, BudgetClient):
        harness = RelayHarness(is_strict=False)
        harness.budgets.__class__ = broken
    else:
        harness = RelayHarness(broken, is_strict=False)
    harness.session._listeners.clear()
    inject(harness, fault, step, 1)
    await run_case(harness, RequestKind(path))
    assert harness.invariants.violations[invariant] >= 1


@pytest.mark.parametrize('change', [quarantine, revoke_key, end_lease])
async def test_admission_is_checked_after_connecting(change):
    # Guards against the dispatch of a request whose key, lease or fingerprint
    # became invalid while the connection was opened.
    harness = RelayHarness()
    harness.session._listeners.clear()
    inject(harness, change, 'connect', 1)
    result, _ = await run_case(harness, KINDS[0])
    assert result.outcome is Outcome.NOT_RUN
    assert not harness.executions
