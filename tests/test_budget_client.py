"""Tests of waiting for tokens: order, limits, shared calls, lost leases."""

import asyncio

import pytest

from entry_fakes import ACCOUNT, FakeSession
from kumquatrun.entry.budget_client import MAX_WAIT_S, BudgetClient
from kumquatrun.errors import (
    ControlUnreachableError,
    NotFoundError,
    RateLimitedError,
)
from kumquatrun.peer.node_messages import GrantReply
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime
RATE = 100


class Leader:
    """Grants from a token bucket that refills with the time of the loop."""

    def __init__(self, level=0, rate=RATE):
        self.level = level
        self.rate = rate
        self.calls = []
        self.error = None
        self.delay_s = 0.01
        self.before_reply = None
        self._filled_s = None

    async def call(self, request, timeout_s):
        self.calls.append(request)
        await asyncio.sleep(self.delay_s)
        if self.error is not None:
            raise self.error
        now_s = asyncio.get_running_loop().time()
        if self._filled_s is None:
            self._filled_s = now_s
        self.level += (now_s - self._filled_s) * self.rate
        self._filled_s = now_s
        granted = min(int(self.level), request.wanted_tokens)
        self.level -= granted
        missing = request.needed_tokens - granted
        if self.before_reply is not None:
            self.before_reply()
        return GrantReply(
            granted_tokens=granted,
            retry_after_s=max(0, missing / self.rate) if self.rate else 9,
        )


@pytest.fixture
async def session():
    session = FakeSession()
    session.control = Leader()
    return session


@pytest.fixture
async def budgets(session):
    return BudgetClient(session, LoopClock())


async def reserve_all(budgets, amounts):
    return await asyncio.gather(
        *(budgets.reserve(ACCOUNT, amount) for amount in amounts),
        return_exceptions=True,
    )


def granted(results):
    return [not isinstance(result, Exception) for result in results]


@pytest.mark.parametrize(
    ('level', 'amounts', 'expected'),
    [
        (1000, [100] * 5, [True] * 5),
        # 100 tokens/s for 2 s: the requests within the rate are served.
        (0, [50, 50, 50], [True] * 3),
        (0, [60] * 6, [True] * 3 + [False] * 3),
        # A request that cannot be served in time is refused at once and blocks
        # no other request.
        (0, [5000, 50], [False, True]),
        # Small requests that arrive later do not starve a large one.
        (0, [150, 10, 10, 10], [True] * 4),
    ],
)
async def test_tokens_are_granted_in_order(
    session, budgets, level, amounts, expected
):
    session.control.level = level
    results = await reserve_all(budgets, amounts)
    assert granted(results) == expected
    refused = [each for each in results if isinstance(each, Exception)]
    assert all(each.cause == 'over_rate' for each in refused)


async def test_waiting_requests_share_calls(session, budgets):
    # Guards against one committed grant per waiting request.
    session.control.level = 10_000
    session.control.delay_s = 0.2
    await reserve_all(budgets, [10] * 50)
    assert len(session.control.calls) <= 8


@pytest.mark.parametrize('tokens', [50, 5000])
async def test_wait_is_bounded(session, budgets, tokens):
    session.control.rate = 0
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    results = await reserve_all(budgets, [tokens] * 20)
    assert not any(granted(results))
    assert loop.time() - began_s <= MAX_WAIT_S + 0.1


@pytest.mark.parametrize(
    ('error', 'cause'),
    [(NotFoundError('no account'), 'budget_unreachable')],
)
async def test_failed_grant_cause(session, budgets, error, cause):
    session.control.error = error
    with pytest.raises(RateLimitedError) as caught:
        await budgets.reserve(ACCOUNT, 10)
    assert caught.value.cause == cause


async def test_election_refuses_no_request(session, budgets):
    # Guards against refusals within the rate while a leader is elected.
    loop = asyncio.get_running_loop()
    session.control.level = 100
    session.control.error = RateLimitedError('no leader')
    loop.call_later(1, setattr, session.control, 'error', None)
    assert await budgets.reserve(ACCOUNT, 10)


def end_lease(session):
    session.is_leased = False


def new_incarnation(session):
    session.record = session.record.__class__(
        **{**session.record.__dict__, 'incarnation': 'e2'}
    )


@pytest.mark.parametrize('change', [end_lease, new_incarnation])
async def test_old_grants_are_never_spent(session, budgets, change):
    # Guards against spending tokens that the leader counts as consumed.
    session.control.level = 1000
    held = await budgets.reserve(ACCOUNT, 10)
    change(session)
    budgets.sync_session()
    budgets.consume(held, 5)
    budgets.settle(held)
    assert budgets.wallet.idle_tokens(ACCOUNT) == 0
    assert held.consumed_tokens == 0


@pytest.mark.parametrize('change', [end_lease, new_incarnation])
async def test_late_grant_is_dropped(session, budgets, change):
    session.control.level = 1000
    session.control.before_reply = lambda: change(session)
    try:
        await budgets.reserve(ACCOUNT, 10)
    except RateLimitedError as error:
        assert error.cause == 'lease_lost'
    grants = [call for call in session.control.calls if call.number]
    idle = budgets.wallet.idle_tokens(ACCOUNT)
    assert idle == 0 or grants[-1].incarnation == session.record.incarnation


@pytest.mark.parametrize(('idle', 'later'), [(0, 30), (30, 0)])
async def test_overuse_is_charged(session, budgets, idle, later):
    # Guards against exceeding a budget because the estimates are too low.
    session.control.level = 10
    session.control.rate = 0
    reservation = await budgets.reserve(ACCOUNT, 10)
    if idle:
        budgets.wallet.add_grant(ACCOUNT, idle)
    budgets.consume(reservation, 40)
    budgets.settle(reservation)
    session.control.level = later + 10
    last = await budgets.reserve(ACCOUNT, 10) if not later else None
    if later:
        budgets.wallet.add_grant(ACCOUNT, later)
        session.control.level = 10
        last = await budgets.reserve(ACCOUNT, 10)
    budgets.consume(last, 10)
    [report] = budgets.take_reports()
    assert report.consumed_tokens == 50
    assert budgets.wallet.idle_tokens(ACCOUNT) == 0


@pytest.mark.parametrize('failure', ['error', 'silence'])
async def test_leader_change_refuses_no_waiting_request(
    session, budgets, failure
):
    # Guards against queued requests that wait for a new leader and are refused
    # as if the account were over its rate.
    leader = session.control
    leader.level = 10_000
    original_call = leader.call

    async def call(request, timeout_s):
        if asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(timeout_s if failure == 'silence' else 0.01)
            raise ControlUnreachableError('no leader')
        return await original_call(request, timeout_s)

    leader.call = call
    ends_s = asyncio.get_running_loop().time() + 2.4
    results = await reserve_all(budgets, [100] * 20)
    assert granted(results) == [True] * 20


async def test_unreachable_leader_cause(session, budgets):
    session.control.error = ControlUnreachableError('no leader')
    results = await reserve_all(budgets, [100] * 5)
    assert {result.cause for result in results} == {'budget_unreachable'}


async def test_pending_smaller_grant_causes_no_refusal(session, budgets):
    # Guards against a request that waited for a new leader and is refused
    # because a pending call had not requested its tokens.
    leader = session.control
    leader.error = ControlUnreachableError('no leader')
    waiting = asyncio.create_task(reserve_all(budgets, [100]))
    await asyncio.sleep(MAX_WAIT_S + 0.2)
    leader.error, leader.level, leader.delay_s = None, 10_000, 0.3
    await asyncio.gather(*budgets._grant_tasks.values())
    now_s = asyncio.get_running_loop().time()
    budgets._start_grant_request(
        budgets.wallet.grant_request(ACCOUNT, now_s, 1)
    )
    assert granted(await waiting) == [True]
