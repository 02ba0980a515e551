"""Simulates one agent's scheduler in front of an engine with few slots.

Requests of five accounts arrive at random; the adapters follow a Zipf law
whose ranks change at half time, and one account sends several times its rate
for a while. Prints one line per policy and the mean over the seeds::

    python -m bench.agent_scheduling --policy protection_s=0 --seeds 3
"""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

import click

from kumquatrun.agent import scheduler as scheduler_module
from kumquatrun.agent.adapter_slots import PROTECTION_S, AdapterSlots
from kumquatrun.agent.reload_costs import AdapterKey, ReloadCosts
from kumquatrun.agent.scheduler import Job, Scheduler
from kumquatrun.peer.request_messages import Dispatch

TICK_S = 0.05
LOAD_S = 0.25
TOKEN_S = 0.02
ACCOUNT_SHARES = {'a': 0.45, 'b': 0.3, 'c': 0.15, 'd': 0.07, 'e': 0.03}
BURST_ACCOUNT = 'b'
BURST_FACTOR = 4


class LeastRecentlyUsed(ReloadCosts):
    """Baseline: the cost of an adapter is the time of its last use."""

    def cost_s(self, key, now_s):
        """Return the time of the last use."""
        return self._entry(key, -1.0).updated_s


@dataclass
class Policy:
    """Settings of the scheduler that the simulation varies."""

    protection_s: float = PROTECTION_S
    urgent_after_s: float = scheduler_module.URGENT_AFTER_S
    max_open_loads: float = scheduler_module.MAX_OPEN_LOADS
    lru: float = 0


@dataclass
class Load:
    """Offered load of one agent."""

    seconds: float = 300
    requests_per_s: float = 4
    adapters: int = 500
    skew: float = 1.2
    slots: int = 8
    max_running: int = 16
    mean_tokens: int = 60


@dataclass
class Outcome:
    """Results of the requests of one run."""

    waits_s: dict = field(default_factory=lambda: defaultdict(list))
    stalls_s: list = field(default_factory=list)
    requests: int = 0
    refused: int = 0
    loads: int = 0
    running_s: float = 0
    backlog_s: float = 0

    def row(self, seconds, max_running):
        """Return the figures of one run."""
        waits = sorted(itertools.chain(*self.waits_s.values()))
        worst = max(quantile(each, 0.95) for each in self.waits_s.values())
        return {
            'stalled_share': len(self.stalls_s) / self.requests,
            'stall_p50_s': quantile(self.stalls_s, 0.5),
            'stall_p95_s': quantile(self.stalls_s, 0.95),
            'wait_mean_s': sum(waits) / len(waits),
            'wait_p95_s': quantile(waits, 0.95),
            'worst_account_p95_s': worst,
            'refused': self.refused,
            'loads_per_s': self.loads / seconds,
            'batch_fill_in_backlog': self.running_s
            / max(1e-9, self.backlog_s * max_running),
        }


def quantile(values, share):
    """Return a quantile, 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Simulation:
    """Discrete-event simulation of arrivals, request ends, loads and ticks."""

    def __init__(self, policy, load, seed):
        scheduler_module.URGENT_AFTER_S = policy.urgent_after_s
        scheduler_module.MAX_OPEN_LOADS = int(policy.max_open_loads)
        self._load = load
        self._random = random.Random(seed)
        slots = AdapterSlots(load.slots, policy.protection_s)
        if policy.lru:
            slots._costs = LeastRecentlyUsed()
        self._scheduler = Scheduler(
            max_running=load.max_running,
            max_queued=256,
            slots=slots,
        )
        self._events = []
        self._order = itertools.count()
        self._weights = [
            1 / rank**load.skew for rank in range(1, load.adapters + 1)
        ]
        self.outcome = Outcome()

    def run(self):
        """Run until all requests have ended."""
        self._make_arrivals()
        self._at(0, self._tick)
        last_s = 0
        while self._events:
            now_s, _, action, args = heapq.heappop(self._events)
            self._account_time(now_s - last_s)
            last_s = now_s
            action(now_s, *args)
            self._pump(now_s)
        return self.outcome

    def _at(self, time_s, action, *args):
        event = (time_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def _make_arrivals(self):
        seconds = self._load.seconds
        for account, share in ACCOUNT_SHARES.items():
            now_s = 0
            while True:
                rate = self._load.requests_per_s * share
                if account == BURST_ACCOUNT and 0.6 < now_s / seconds < 0.7:
                    rate *= BURST_FACTOR
                now_s += self._random.expovariate(rate)
                if now_s >= seconds:
                    break
                self._at(now_s, self._arrive, account)

    def _arrive(self, now_s, account):
        [rank] = self._random.choices(range(len(self._weights)), self._weights)
        if now_s > self._load.seconds / 2:
            rank = (rank + 7) % len(self._weights)
        tokens = 1 + int(self._random.expovariate(1 / self._load.mean_tokens))
        message = Dispatch(
            request_id='r',
            attempt=1,
            agent_incarnation='i',
            account=account,
            service='s',
            adapter=f'a{rank}',
            version='1',
            path='/',
            method='POST',
            body=b'',
            cost_tokens=tokens,
        )
        key = AdapterKey(message.adapter, '1')
        job = Job(dispatch=message, key=key, queued_s=now_s)
        job.is_stalled = not self._scheduler.slots.is_ready(key)
        self.outcome.requests += 1
        pushed = self._scheduler.push(job)
        if pushed.is_err() or pushed.unwrap() is not None:
            self.outcome.refused += 1

    def _tick(self, now_s):
        self.outcome.refused += len(self._scheduler.expire(now_s))
        if now_s < self._load.seconds:
            self._at(now_s + TICK_S, self._tick)

    def _pump(self, now_s):
        job = self._scheduler.next_start(now_s)
        while job is not None:
            self._start(job, now_s)
            job = self._scheduler.next_start(now_s)
        key = self._scheduler.next_load(now_s)
        while key is not None:
            ticket = self._scheduler.place(key, now_s)
            self._at(now_s + LOAD_S, self._loaded, ticket)
            key = self._scheduler.next_load(now_s)

    def _start(self, job, now_s):
        wait_s = now_s - job.queued_s
        self.outcome.waits_s[job.dispatch.account].append(wait_s)
        if job.is_stalled:
            self.outcome.stalls_s.append(wait_s)
        run_s = job.dispatch.cost_tokens * TOKEN_S
        self._at(now_s + run_s, lambda _, job: self._scheduler.finish(job), job)

    def _loaded(self, now_s, ticket):
        slots = self._scheduler.slots
        if ticket.evict is not None:
            slots.evicted(ticket)
        slots.load_finished(ticket, now_s, LOAD_S)
        slots.close_load(ticket.key)
        self.outcome.loads += 1

    def _account_time(self, elapsed_s):
        if self._scheduler.queued:
            self.outcome.backlog_s += elapsed_s
            self.outcome.running_s += elapsed_s * self._scheduler.running


def set_fields(target, texts):
    """Set the fields named by ``name=value`` texts."""
    for text in texts:
        name, _, number = text.partition('=')
        kind = type(getattr(target, name))
        setattr(target, name, kind(number))
    return target


@click.command()
@click.option('--policy', multiple=True, help='Field of Policy as name=value.')
@click.option('--load', multiple=True, help='Field of Load as name=value.')
@click.option('--seeds', default=3, show_default=True)
def main(policy, load, seeds):
    """Print waiting times under the policy."""
    chosen = set_fields(Policy(), policy)
    offered = set_fields(Load(), load)
    rows = [
        Simulation(chosen, offered, seed)
        .run()
        .row(offered.seconds, offered.max_running)
        for seed in range(seeds)
    ]
    means = {
        name: sum(row[name] for row in rows) / len(rows) for name in rows[0]
    }
    text = ' '.join(f'{name}={mean:.3f}' for name, mean in means.items())
    click.echo(f'{list(policy)} {list(load)} {text}')


if __name__ == '__main__':
    main()
