"""Claims: a request with an idempotency key runs at most once."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from tests.shared_state import Cluster, host
from tests.test_account_budgets import MACHINE

from kumquatrun.control import claims
from kumquatrun.control.claims import ClaimRegister
from kumquatrun.control.commands import ExpireHost
from kumquatrun.errors import Outcome
from kumquatrun.peer.node_messages import RegisterHost
from kumquatrun.peer.request_messages import (
    ClaimRequest,
    FinishClaim,
    StoredAnswer,
)
from kumquatrun.runtime.invariants import set_fatal

DAY_MS = 24 * 60 * 60 * 1000
ANSWER = StoredAnswer(status=200, content_type='text/plain', body=b'done')


def claim(request_id='r1', key='k', digest=b'd', host_id='entry-1', run='a'):
    return ClaimRequest(
        claim_key=key,
        body_digest=digest,
        host_id=host_id,
        incarnation=run,
        request_id=request_id,
    )


def finish(outcome, request_id='r1', answer=None, key='k'):
    return FinishClaim(
        claim_key=key,
        request_id=request_id,
        outcome=Outcome(outcome),
        answer=answer,
    )


def elapse(milliseconds):
    return milliseconds


RAN = finish('ran', answer=ANSWER)
EXPIRE = ExpireHost(host_id='entry-1', incarnation='a')
OTHER = RegisterHost(record=host('entry-2', 'b'))
LARGE = StoredAnswer(status=200, content_type='', body=b'x' * 4097)
REPEAT = claim('r2', host_id='entry-2', run='b')


@pytest.mark.parametrize(
    ('steps', 'status', 'answer'),
    [
        ([], 'granted', None),
        ([claim()], 'in_progress', None),
        ([claim(), RAN], 'finished', ANSWER),
        ([claim(), finish('ran', answer=LARGE)], 'finished', None),
        ([claim(), finish('unknown')], 'unknown', None),
        ([claim(digest=b'other')], 'mismatch', None),
        ([claim(digest=b'other'), RAN], 'mismatch', None),
        # Only the holder releases, and only with proof.
        ([claim(), finish('not_run')], 'granted', None),
        ([claim(), finish('not_run', 'r9')], 'in_progress', None),
        ([claim(), finish('ran', 'r9')], 'in_progress', None),
        ([claim(), RAN, finish('not_run')], 'finished', ANSWER),
        # An expired host's claim is unknown until its holder reports.
        ([claim(), EXPIRE], 'unknown', None),
        ([claim(), EXPIRE, RAN], 'finished', ANSWER),
        ([claim(), EXPIRE, finish('not_run')], 'granted', None),
        ([claim(), finish('unknown'), RAN], 'finished', ANSWER),
        # A replaced process may still run the request.
        (
            [claim(), RegisterHost(record=host(incarnation='c'))],
            'in_progress',
            None,
        ),
        # Claims are kept for a day of state machine time.
        ([claim(), RAN, elapse(DAY_MS - 1)], 'finished', ANSWER),
        ([claim(), RAN, elapse(DAY_MS)], 'granted', None),
    ],
)
def test_reply_to_repeated_claim(steps, status, answer):
    cluster = Cluster(OTHER)
    for step in steps:
        if isinstance(step, int):
            cluster.run(elapsed_ms=step)
        else:
            cluster.run(step)
    cluster.state = cluster.restored()
    reply = cluster.run(REPEAT)
    assert (reply.status, reply.answer) == (status, answer)


@pytest.mark.parametrize(
    ('steps', 'command', 'code'),
    [
        ([], claim(run='old'), 'stale_incarnation'),
        ([EXPIRE], claim(), 'stale_incarnation'),
        ([], claim(key='x' * 1025), 'invalid_request'),
        # A resend of the claim after its release would hold it for nobody.
        ([claim(), finish('not_run')], claim(), 'invalid_request'),
    ],
)
def test_claim_is_refused(steps, command, code):
    assert Cluster(*steps).run(command).code == code


def test_repeated_claim_of_holder():
    cluster = Cluster(claim())
    assert cluster.run(claim()).status == 'granted'


@pytest.mark.parametrize('outcome', list(Outcome))
def test_full_register_refuses_claims(outcome):
    register = ClaimRegister(lambda *_: True, max_claims=1)
    register.claim(claim(), 0)
    with pytest.raises(claims.NoCapacityError):
        register.claim(claim('r2', key='other'), 0)
    register.finish(finish(outcome), 0)
    if outcome is Outcome.NOT_RUN:
        assert register.claim(claim('r2', key='other'), 0).status == 'granted'


def test_limit_of_stored_answers():
    register = ClaimRegister(lambda *_: True, max_answers_bytes=28)
    for key in 'abc':
        register.claim(claim(key=key), 0)
        register.finish(finish('ran', answer=ANSWER, key=key), 0)
    replies = [register.claim(claim('r2', key=key), 0) for key in 'abc']
    assert [reply.status for reply in replies] == ['finished'] * 3
    assert [reply.answer for reply in replies] == [None, ANSWER, ANSWER]


class SecondGrantError(AssertionError):
    """A claim was granted again without proof that nothing ran."""


class ClaimModel:
    """Two entries whose commands are delayed, repeated and lost."""

    def __init__(self):
        self.cluster = Cluster(OTHER)
        self.runs = {'entry-1': 'a', 'entry-2': 'b'}
        self.requests = 0
        self.open = {}
        self.sent = []
        self.granted_to = None

    def request(self, host_id):
        self.requests += 1
        request_id = f'r{self.requests}'
        self.send(claim(request_id, host_id=host_id, run=self.runs[host_id]))

    def send(self, command):
        self.sent.append(command)
        reply = self.cluster.run(command)
        status = getattr(reply, 'status', '')
        if status == 'granted' and self.granted_to != command.request_id:
            if self.granted_to is not None:
                raise SecondGrantError(command.request_id)
            self.granted_to = command.request_id
            self.open[command.request_id] = command

    def end(self, outcome):
        """Let the running request end; only ``not_run`` is proof."""
        if self.granted_to not in self.open:
            return
        request = self.open.pop(self.granted_to)
        if outcome == 'not_run':
            self.granted_to = None
        if outcome != 'lost':
            self.send(finish(outcome, request.request_id))

    def resend(self, number):
        if self.sent:
            self.send(self.sent[number % len(self.sent)])

    def expire(self, host_id):
        run = self.runs[host_id]
        self.cluster.run(ExpireHost(host_id=host_id, incarnation=run))
        self.runs[host_id] = f'run-{self.requests}-{self.cluster.index}'
        record = host(host_id, self.runs[host_id])
        self.cluster.run(RegisterHost(record=record))


HOSTS = st.sampled_from(['entry-1', 'entry-2'])


class ClaimMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.model = ClaimModel()

    @rule(host_id=HOSTS)
    def request(self, host_id):
        self.model.request(host_id)

    @rule(outcome=st.sampled_from(['ran', 'unknown', 'not_run', 'lost']))
    def end(self, outcome):
        self.model.end(outcome)

    @rule(number=st.integers(0, 20))
    def resend(self, number):
        self.model.resend(number)

    @rule(host_id=HOSTS)
    def expire(self, host_id):
        self.model.expire(host_id)

    @rule()
    def restore(self):
        self.model.cluster.state = self.model.cluster.restored()


CLAIM_MACHINE = settings(MACHINE, stateful_step_count=30)


def test_a_claim_is_granted_once_without_proof():
    run_state_machine_as_test(ClaimMachine, settings=CLAIM_MACHINE)


def release_by_anyone(register, command, now_ms):
    register._claims.pop(command.claim_key, None)


def release_on_any_outcome(register, command, now_ms):
    claimed = register._find(command.claim_key)
    if claimed and claimed.request_id == command.request_id:
        del register._claims[command.claim_key]


def grant_after_expiry(register, command, now_ms):
    held = register._find(command.claim_key)
    if held and not register._is_live(held.host_id, held.incarnation):
        del register._claims[command.claim_key]
    return original_claim(register, command, now_ms)


def forget_releases(register, command, now_ms):
    original_finish(register, command, now_ms)
    register._released.clear()


original_claim = ClaimRegister.claim
original_finish = ClaimRegister.finish


@pytest.mark.parametrize(
    ('method', 'broken'),
    [
        ('finish', release_by_anyone),
        ('finish', release_on_any_outcome),
        ('claim', grant_after_expiry),
        ('finish', forget_releases),
    ],
)
def test_model_detects_broken_mechanism(monkeypatch, method, broken):
    monkeypatch.setattr(ClaimRegister, method, broken)
    set_fatal(False)
    try:
        with pytest.raises(SecondGrantError):
            run_state_machine_as_test(
                ClaimMachine,
                settings=settings(CLAIM_MACHINE, max_examples=1000),
            )
    finally:
        set_fatal(True)
