"""Entries and control leaders that share the rate of one account.

Drives the decisions of both sides in steps of simulated time, without tasks.
"""

import random
from collections import deque
from dataclasses import dataclass

from kumquatrun.control.account_shares import ShareHolder
from kumquatrun.control.allowance_pool import AllowancePool, TakeAllowance
from kumquatrun.control.configuration_register import AccountAllowance
from kumquatrun.gateway.admission.local_share import LocalShares
from kumquatrun.gateway.routing.configuration import GatewayAccount

STEP_S = 0.05
RENEW_INTERVAL_S = 0.5
RENEW_TIMEOUT_S = 1.0
# A leader without a majority grants nothing after this time.
OVERLAP_S = 0.5
# The bound of the users' platform on the tokens of an account in one window.
WINDOW_S = 8
OVERAGE = 0.1
SLACK_TOKENS = 11_000


class SteppedClock:
    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


@dataclass
class Leader:
    pool: AllowancePool
    ends_at_s: float = float('inf')


class Entry:
    """One entry with its links to the leaders."""

    def __init__(self, number, fleet):
        self.host_id = f'entry-{number}'
        self.fleet = fleet
        self.shares = LocalShares(
            fleet.clock, lambda: fleet.size, random.Random(number)
        )
        self.renews_at_s = fleet.now_s + RENEW_INTERVAL_S * fleet.rng.random()
        self.reaches_leader = True
        self.hears_leader = True
        self.delay_s = 0.0
        self.follows_old_leader = False

    def restart(self):
        self.shares = LocalShares(
            self.fleet.clock, lambda: self.fleet.size, random.Random(1)
        )

    def renew(self):
        now_s = self.fleet.now_s
        if now_s < self.renews_at_s:
            return
        self.renews_at_s = now_s + RENEW_INTERVAL_S
        reports = self.shares.reports(now_s)
        if self.reaches_leader:
            holder = ShareHolder(self.host_id, self.shares.boot_id, now_s)
            row = (now_s + self.delay_s, self, holder, reports)
            self.fleet.messages.append(row)

    def ask(self, amount):
        """Admit a request by the leader, or by the share without one."""
        fleet = self.fleet
        self.shares.record_demand(fleet.account, amount)
        leader = fleet.leader_of(self)
        is_slow = fleet.rng.random() < fleet.slow_fraction
        has_answer = self.reaches_leader and self.hears_leader
        if leader is None or not has_answer or is_slow:
            return self.shares.admits(fleet.account, amount)
        request = TakeAllowance(account='a', amounts=(amount,))
        return leader.pool.take(request, fleet.now_s).granted == 1


class Fleet:
    """Entries of one account; ``admitted`` holds time and tokens."""

    def __init__(self, size, seed, rate_per_s, burst, slow_fraction=0.0):
        self.rng = random.Random(seed)
        self.clock = SteppedClock()
        self.size = size
        self.slow_fraction = slow_fraction
        self.limit = AccountAllowance(
            name='a', rate_tokens_per_s=rate_per_s, burst_tokens=burst
        )
        self.account = GatewayAccount(
            name='a', rate_per_s=rate_per_s, burst=burst
        )
        self.leader = Leader(self._new_pool())
        self.old_leader = None
        self.messages = deque()
        self.events = []
        self.entries = [Entry(number, self) for number in range(size)]
        self.admitted = []
        self.refused = []

    @property
    def now_s(self):
        return self.clock.now_s()

    def at(self, time_s, action):
        """Run an action at a time after the start."""
        self.events.append((100.0 + time_s, action))

    def leader_of(self, entry):
        if entry.follows_old_leader:
            old = self.old_leader
            return old if old and self.now_s < old.ends_at_s else None
        return self.leader

    def lose_leader(self, keeps=()):
        """Lose the leader; some entries still reach it for a while."""
        self.old_leader = self.leader
        self.old_leader.ends_at_s = self.now_s + OVERLAP_S
        for entry in keeps:
            entry.follows_old_leader = True
        self.leader = None

    def elect_leader(self):
        pool = self._new_pool()
        pool.inherit([entry.host_id for entry in self.entries], self.now_s)
        self.leader = Leader(pool)

    def play(self, duration_s, tokens_per_s, amount, weights=None):
        """Let callers ask; ``weights`` spread them over the entries."""
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            self.clock.time_s += STEP_S
            self._run_events()
            for entry in self.entries:
                entry.renew()
            self._deliver()
            asked = self._count(tokens_per_s * STEP_S / amount)
            for entry in self.rng.choices(self.entries, weights, k=asked):
                is_admitted = entry.ask(amount)
                rows = self.admitted if is_admitted else self.refused
                rows.append((self.now_s, amount, entry))

    def most_tokens_in_a_window(self):
        most = tokens = 0
        window = deque()
        for time_s, amount, _ in self.admitted:
            window.append((time_s, amount))
            tokens += amount
            while window[0][0] <= time_s - WINDOW_S:
                tokens -= window.popleft()[1]
            most = max(most, tokens)
        return most

    def bound(self):
        limit = self.limit
        granted = limit.rate_tokens_per_s * WINDOW_S + limit.burst_tokens
        return granted * (1 + OVERAGE) + SLACK_TOKENS

    def _new_pool(self):
        pool = AllowancePool()
        pool.configure(1, [self.limit], self.now_s)
        return pool

    def _count(self, mean):
        """Return a random whole number with this mean."""
        return int(mean) + (self.rng.random() < mean % 1)

    def _run_events(self):
        due = [row for row in self.events if row[0] <= self.now_s]
        for row in due:
            self.events.remove(row)
            row[1]()

    def _deliver(self):
        waiting = deque()
        while self.messages:
            row = self.messages.popleft()
            due_at_s, entry, holder, reports = row
            leader = self.leader_of(entry)
            if due_at_s > self.now_s:
                waiting.append(row)
            elif leader is not None:
                grants = leader.pool.renew_shares(holder, reports, self.now_s)
                self._answer(entry, holder, grants)
        self.messages = waiting

    def _answer(self, entry, holder, grants):
        waited_s = self.now_s - holder.sent_at_s
        is_current = holder.boot_id == entry.shares.boot_id
        # The entry has given up the call, or sent another one since.
        is_late = waited_s > min(RENEW_TIMEOUT_S, RENEW_INTERVAL_S)
        if entry.hears_leader and is_current and not is_late:
            entry.shares.apply(grants, holder.sent_at_s)
