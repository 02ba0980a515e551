"""Tests of the token wallet: a budget is shared by demand per entry."""

import heapq
from dataclasses import dataclass
from itertools import count

import pytest
from result import Err, Ok
from tests.shared_state import Cluster, host

from kumquatrun.control.commands import ReportBudgets
from kumquatrun.entry.token_wallet import TokenWallet
from kumquatrun.peer.node_messages import RegisterHost

GRANT_DELAY_S = 0.02
REPORT_PERIOD_S = 0.5


@dataclass
class Totals:
    requests: int = 0
    refused: int = 0
    waited: int = 0
    tokens: int = 0


class Simulation:
    """Entries that serve one account, without faults, in simulated time."""

    def __init__(self, rate, burst, entries, stream_s, used_share=1):
        account = {
            'name': 'acme',
            'rate_tokens_per_s': rate,
            'burst_tokens': burst,
        }
        self.cluster = Cluster(accounts=[account])
        self.wallets = []
        for number in range(entries):
            record = host(f'entry-{number}', 'run')
            self.cluster.run(RegisterHost(record=record))
            self.wallets.append(TokenWallet(f'entry-{number}', 'run'))
        self.stream_s = stream_s
        self.used_share = used_share
        self.totals = Totals()
        self.batch_ms = 0
        self.order = count()
        self.events = []
        for number in range(entries):
            self.at(REPORT_PERIOD_S, self.report, number, 1)

    def at(self, time_s, step, *arguments):
        event = (time_s, next(self.order), step, arguments)
        heapq.heappush(self.events, event)

    def run(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            time_s, _, step, arguments = heapq.heappop(self.events)
            step(time_s, *arguments)
        return self.totals

    def commit(self, now_s, command):
        elapsed_ms = int(now_s * 1000) - self.batch_ms
        self.batch_ms += elapsed_ms
        return self.cluster.run(command, elapsed_ms=elapsed_ms)

    def report(self, now_s, number, sequence):
        wallet = self.wallets[number]
        self.commit(
            now_s,
            ReportBudgets(
                host_id=f'entry-{number}',
                incarnation='run',
                sequence=sequence,
                reports=wallet.take_reports(now_s),
            ),
        )
        self.at(now_s + REPORT_PERIOD_S, self.report, number, sequence + 1)

    def request(self, now_s, number, tokens):
        self.totals.requests += 1
        if not self.admit(now_s, number, tokens):
            self.totals.waited += 1

    def admit(self, now_s, number, tokens, last=False):
        """Reserve tokens and request missing ones as the relay does."""
        wallet = self.wallets[number]
        outcome = wallet.reserve('acme', tokens, now_s)
        waiting, missing = 0, 0
        if isinstance(outcome, Err):
            waiting, missing = tokens, outcome.err_value.missing_tokens
        if waiting and last:
            return False
        message = wallet.grant_request('acme', now_s, missing)
        if message:
            send_s = now_s + GRANT_DELAY_S / 2
            self.at(send_s, self.grant, number, message, waiting)
        if waiting:
            return False
        used = int(tokens * self.used_share)
        shares = [used - 3 * (used // 4), *[used // 4] * 3]
        for part, share in enumerate(shares, start=1):
            self.at(
                now_s + self.stream_s * part / 4,
                self.stream,
                number,
                outcome.ok_value,
                share,
                part == 4,
            )
        return True

    def grant(self, now_s, number, message, waiting):
        reply = self.commit(now_s, message)
        reply_s = now_s + GRANT_DELAY_S / 2
        self.at(reply_s, self.granted, number, message, reply, waiting)

    def granted(self, now_s, number, message, reply, waiting):
        wallet = self.wallets[number]
        wallet.add_grant('acme', reply.granted_tokens, message)
        short = reply.granted_tokens < message.needed_tokens
        if waiting and not self.admit(now_s, number, waiting, last=short):
            self.totals.refused += short

    def stream(self, _, number, reservation, tokens, end):
        wallet = self.wallets[number]
        assert isinstance(wallet.consume(reservation, tokens), Ok)
        self.totals.tokens += tokens
        if end:
            wallet.settle(reservation)


# Entry of the n-th request, for five entries.
SPREADS = {
    'one entry only': lambda number: 0,
    'even': lambda number: number % 5,
    'nine of ten at one entry': lambda number: (
        1 + number % 4 if number % 10 == 0 else 0
    ),
    'moves to another entry': lambda number: (number // 50) % 5,
    'one rare large share': lambda number: 4 if number % 50 == 0 else 0,
}


def simulate(spread, rate, burst, tokens, stream_s, load=1, used_share=1):
    simulation = Simulation(rate, burst, 5, stream_s, used_share)
    for number in range(int(20 * rate * load / tokens)):
        simulation.at(
            1 + number * tokens / rate / load,
            simulation.request,
            SPREADS[spread](number),
            tokens,
        )
    return simulation.run(until_s=25)


@pytest.mark.parametrize('spread', SPREADS)
@pytest.mark.parametrize(
    ('rate', 'burst', 'tokens', 'stream_s'),
    [
        pytest.param(1000, 2000, 20, 0.2, id='small requests'),
        pytest.param(1000, 2000, 400, 0.4, id='large requests'),
        pytest.param(1000, 4000, 400, 2.0, id='long streams'),
        pytest.param(20_000, 40_000, 250, 0.8, id='high rate'),
        pytest.param(20, 100, 10, 0.4, id='low rate'),
        pytest.param(1000, 1000, 20, 0.2, id='burst of one second'),
    ],
)
def test_account_within_its_rate_is_not_refused(
    spread,
    rate,
    burst,
    tokens,
    stream_s,
):
    assert simulate(spread, rate, burst, tokens, stream_s).refused == 0


@pytest.mark.parametrize('spread', SPREADS)
def test_account_above_its_rate_gets_its_rate(spread):
    # Guards against refusing more requests than those above the rate: idle
    # tokens and unreported consumption may delay at most one burst.
    totals = simulate(spread, 1000, 2000, 100, 0.4, load=3)
    assert totals.refused
    assert 20 * 1000 - 2000 <= totals.tokens <= 25 * 1000 + 2000


def keep_idle_tokens(patch):
    patch.setattr(
        'kumquatrun.entry.token_wallet._Balance.remove_surplus', lambda *_: 0
    )


def prefetch_excessively(patch):
    patch.setattr('kumquatrun.entry.token_wallet._PREFETCH_S', 30)
    patch.setattr('kumquatrun.control.account_budgets._RESERVE_DIVISOR', 10**9)


@pytest.mark.parametrize(
    ('break_mechanism', 'load'),
    [
        # Entries keep the tokens that earlier requests left unused.
        (keep_idle_tokens, ('even', 1000, 1000, 400, 0.4, 0.2, 0.25)),
        (prefetch_excessively, ('moves to another entry', 1000, 1000, 20, 0.2)),
    ],
)
def test_mechanism_prevents_starvation(monkeypatch, break_mechanism, load):
    assert simulate(*load).refused == 0
    break_mechanism(monkeypatch)
    assert simulate(*load).refused


class WalletFixture:
    """A wallet with a grant, and shortcuts for its methods."""

    def __init__(self, tokens=100):
        self.wallet = TokenWallet('entry-1', 'a')
        self.wallet.add_grant('acme', tokens)

    def reserve(self, tokens, now_s=0):
        return self.wallet.reserve('acme', tokens, now_s)

    def request_grant(self, tokens=150, now_s=0):
        self.reserve(tokens, now_s)
        return self.wallet.grant_request('acme', now_s, 50)

    def reports(self, *times_s):
        """Return the sums of the reports taken at these times."""
        rows = [row for at in times_s for row in self.wallet.take_reports(at)]
        consumed = sum(row.consumed_tokens for row in rows)
        return consumed, sum(row.returned_tokens for row in rows)


def consume_all(fixture):
    fixture.wallet.consume(fixture.reserve(100).ok_value, 60)


def consume_beyond(fixture):
    # A prompt estimate may be too low; idle tokens cover the difference.
    assert fixture.wallet.consume(fixture.reserve(50).ok_value, 80) == Ok(0)


def settle(fixture):
    reservation = fixture.reserve(50).ok_value
    fixture.wallet.consume(reservation, 20)
    fixture.wallet.settle(reservation)
    fixture.wallet.settle(reservation)


def clear(fixture):
    consume_all(fixture)
    fixture.wallet.clear()


def clear_for_a_new_incarnation(fixture):
    consume_all(fixture)
    fixture.wallet.clear('b')


@pytest.mark.parametrize(
    ('step', 'idle', 'consumed', 'returned'),
    [
        (lambda fixture: None, 100, 0, 100),
        (consume_all, 0, 60, 0),
        (consume_beyond, 20, 80, 20),
        (settle, 80, 20, 80),
        # The control state still counts the tokens as outstanding.
        (clear, 0, 100, 0),
        (clear_for_a_new_incarnation, 0, 0, 0),
    ],
)
def test_reports_account_for_every_token(step, idle, consumed, returned):
    fixture = WalletFixture()
    step(fixture)
    assert fixture.wallet.idle_tokens('acme') == idle
    assert fixture.reports(0, 0.5, 1, 1.5, 2, 2.5) == (consumed, returned)


@pytest.mark.parametrize(
    ('times_s', 'returned'),
    [((0, 0.5), 0), ((0, 0.5, 1), 100), ((0, 0.5, 0.6, 0.7), 0)],
)
def test_grant_is_returned_after_one_idle_second(times_s, returned):
    assert WalletFixture().reports(*times_s) == (0, returned)


@pytest.mark.parametrize('tokens', [101, 1000])
def test_missing_tokens_are_requested(tokens):
    fixture = WalletFixture()
    assert fixture.reserve(tokens).err_value.missing_tokens == tokens - 100
    assert fixture.wallet.wanted('acme', 0) == tokens - 100
    assert fixture.wallet.wanted('acme', 0) == 0


def test_consuming_more_than_granted_is_refused():
    fixture = WalletFixture()
    reservation = fixture.reserve(100).ok_value
    shortage = fixture.wallet.consume(reservation, 101).err_value
    assert (shortage.missing_tokens, shortage.cause) == (1, 'over_rate')
    assert fixture.reports(0) == (0, 0)


@pytest.mark.parametrize('incarnation', [None, 'b'])
def test_stream_ends_with_the_lease(incarnation):
    fixture = WalletFixture()
    reservation = fixture.reserve(50).ok_value
    fixture.wallet.clear(incarnation)
    assert (
        fixture.wallet.consume(reservation, 1).err_value.cause == 'lease_lost'
    )
    fixture.wallet.settle(reservation)
    assert fixture.wallet.idle_tokens('acme') == 0


@pytest.mark.parametrize(
    ('step', 'abandoned'),
    [
        (lambda wallet, request: wallet.abandon_grant(request), (1,)),
        (lambda wallet, request: wallet.take_reports(5), ()),
        (lambda wallet, request: wallet.clear(), (1,)),
        (lambda wallet, request: wallet.clear('b'), ()),
    ],
)
def test_reply_to_an_abandoned_grant_is_dropped(step, abandoned):
    fixture = WalletFixture()
    request = fixture.request_grant()
    step(fixture.wallet, request)
    reports = fixture.wallet.take_reports(5.1)
    assert sum((row.abandoned_grants for row in reports), ()) == abandoned
    assert not fixture.wallet.add_grant('acme', 50, request)
    assert fixture.wallet.add_grant('acme', 50, fixture.request_grant(now_s=6))


def test_answered_grant_is_not_abandoned():
    fixture = WalletFixture()
    fixture.wallet.add_grant('acme', 50, fixture.request_grant())
    reports = fixture.wallet.take_reports(10)
    assert all(not row.abandoned_grants for row in reports)


@pytest.mark.parametrize(
    'step',
    [
        lambda fixture: fixture.reserve(-1),
        lambda fixture: fixture.wallet.add_grant('acme', -1),
        lambda fixture: fixture.wallet.consume(fixture.reserve(1).ok_value, -1),
    ],
)
def test_negative_amount_is_an_error(step):
    with pytest.raises(ValueError, match='negative'):
        step(WalletFixture())
