"""Offered load and faults of the policy measurement."""

import itertools
import json
from dataclasses import dataclass

from bench.policy_cluster import SERVICE, seeded

ADAPTERS = 3000
SKEW = 1.1
SHIFTED_RANKS = 100
MEAN_TOKENS = 40
MIN_TOKENS = 8
MAX_TOKENS = 160
PROMPT_CHARS = 200
PROMPT_TOKENS = PROMPT_CHARS // 4
# Each account requests this share of its rate, so that the policy and not the
# load causes a wait for tokens.
USED_RATE = 0.8
BURST_S = 10
ACCOUNTS = {'a': 0.4, 'b': 0.28, 'c': 0.16, 'd': 0.1, 'e': 0.06}
FLOOD_ACCOUNT = 'c'
FLOOD_FACTOR = 5
VERSION = '1'
# A request waits up to 2 s for tokens and may run after the end of the flood.
FLOOD_SETTLE_S = 2.0

# Begin and end of each fault, as fractions of the run.
FAULTS = {
    'popularity_shift': (0.25, 0.25),
    'flood': (0.45, 0.6),
    'engine_restart': (0.65, 0.65),
    'failed_loads': (0.7, 0.7),
    'lost_host': (0.76, 0.84),
    'region_cut': (0.9, 0.95),
}


@dataclass(frozen=True, kw_only=True)
class Workload:
    """One user's fleet; engines are listed by failure domain."""

    name: str
    engines: dict
    requests_per_s: float
    note: str = ''

    @property
    def regions(self):
        """Return the regions; the first one has two failure domains."""
        names = (domain.partition('-')[0] for domain in self.engines)
        return list(dict.fromkeys(names))

    def region_shares(self):
        """Return the part of the engines in each region."""
        total = sum(self.engines.values())
        return [
            sum(
                count
                for domain, count in self.engines.items()
                if domain.startswith(f'{region}-')
            )
            / total
            for region in self.regions
        ]


WORKLOADS = {
    'lahore': Workload(
        name='lahore',
        engines={'lahore-1': 2, 'lahore-2': 2, 'faisalabad-1': 2},
        requests_per_s=24,
        note='The three plain ledger servers are left out: they have no '
        'adapters.',
    ),
    'diagne': Workload(
        name='diagne',
        engines={'dakar-1': 2, 'dakar-2': 1, 'saintlouis-1': 2},
        requests_per_s=20,
        note='The three plain order-desk servers are left out: they have no '
        'adapters.',
    ),
}


@dataclass
class Arrival:
    """One request of the trace; times in seconds from the start."""

    number: int
    at_s: float
    account: str
    adapter: str
    output_tokens: int
    region: str
    is_within_rate: bool = True

    @property
    def tokens(self):
        """Return the cost of the request in tokens."""
        return PROMPT_TOKENS + self.output_tokens

    @property
    def body(self):
        """Return the caller's JSON."""
        prompt = f'{self.number:08d} '.ljust(PROMPT_CHARS, 'x')
        content = {
            'model': self.adapter,
            'prompt': prompt,
            'max_tokens': self.output_tokens,
            'stream': True,
        }
        return json.dumps(content).encode()


class Bucket:
    """Exact token bucket that measures, and never limits."""

    def __init__(self, rate, burst):
        self.excess_tokens = 0.0
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at_s = 0.0

    def fits(self, tokens, now_s):
        """Take the tokens if the bucket holds them."""
        self._refill(now_s)
        if self._level < tokens:
            return False
        self._level -= tokens
        return True

    def use(self, tokens, now_s):
        """Take the tokens and record by how much they exceed the bucket."""
        self._refill(now_s)
        self._level -= tokens
        self.excess_tokens = max(self.excess_tokens, -self._level)

    def _refill(self, now_s):
        added = (now_s - self._at_s) * self._rate
        self._level = min(self._burst, self._level + added)
        self._at_s = now_s


def account_limits(workload):
    """Return ``(rate_tokens_per_s, burst_tokens)`` of each account."""
    tokens_per_s = workload.requests_per_s * (PROMPT_TOKENS + MEAN_TOKENS)
    limits = {}
    for account, share in ACCOUNTS.items():
        rate = tokens_per_s * share / USED_RATE
        limits[account] = (rate, int(rate * BURST_S))
    return limits


def document(workload):
    """Return the configuration document as JSON."""
    limits = account_limits(workload)
    parts = {
        'environment': 'trial',
        'accounts': [
            {
                'name': name,
                'rate_tokens_per_s': rate,
                'burst_tokens': burst,
                'weight': ACCOUNTS[name],
            }
            for name, (rate, burst) in limits.items()
        ],
        'services': [{'name': SERVICE, 'kind': 'engine'}],
        'adapters': [
            {'name': name, 'service': SERVICE, 'versions': [VERSION]}
            for name in adapter_names()
        ],
        'routes': [{'path': '/v1/', 'service': SERVICE, 'idempotent': True}],
    }
    return json.dumps(parts).encode()


def adapter_names():
    """Return the names of all adapters."""
    return [f'adapter-{number:04d}' for number in range(ADAPTERS)]


def make_trace(workload, seconds, seed):
    """Return the arrivals in time order, the same for each policy."""
    rng = seeded(seed, f'trace/{workload.name}')
    ranking = adapter_names()
    rng.shuffle(ranking)
    shifted = _shift_popularity(ranking, rng)
    weights = list(
        itertools.accumulate(1 / rank**SKEW for rank in range(1, ADAPTERS + 1))
    )
    flood_s = [part * seconds for part in FAULTS['flood']]
    shift_s = FAULTS['popularity_shift'][0] * seconds
    arrivals = []
    for account, share in ACCOUNTS.items():
        for at_s in _times(workload, account, share, seconds, flood_s, rng):
            names = ranking if at_s < shift_s else shifted
            [adapter] = rng.choices(names, cum_weights=weights)
            [region] = rng.choices(workload.regions, workload.region_shares())
            extra = rng.expovariate(1 / (MEAN_TOKENS - MIN_TOKENS))
            tokens = min(MAX_TOKENS, MIN_TOKENS + int(extra))
            arrivals.append(Arrival(0, at_s, account, adapter, tokens, region))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    buckets = {
        name: Bucket(*limit) for name, limit in account_limits(workload).items()
    }
    for number, arrival in enumerate(arrivals):
        arrival.number = number
        bucket = buckets[arrival.account]
        arrival.is_within_rate = bucket.fits(arrival.tokens, arrival.at_s)
    return arrivals


def _times(workload, account, share, seconds, flood_s, rng):
    now_s = 0.0
    while True:
        rate = workload.requests_per_s * share
        if account == FLOOD_ACCOUNT and flood_s[0] <= now_s < flood_s[1]:
            rate *= FLOOD_FACTOR
        now_s += rng.expovariate(rate)
        if now_s >= seconds:
            return
        yield now_s


def _shift_popularity(ranking, rng):
    """Return a ranking in which half of the most popular adapters are new."""
    shifted = list(ranking)
    for rank in rng.sample(range(SHIFTED_RANKS), SHIFTED_RANKS // 2):
        other = rng.randrange(SHIFTED_RANKS, ADAPTERS)
        shifted[rank], shifted[other] = shifted[other], shifted[rank]
    return shifted


async def run_faults(cluster, workload, seconds, sleep_until):
    """Inject the scheduled faults."""
    nodes = list(cluster.nodes.values())

    async def restart_engine():
        nodes[0].engine.core.crash()

    async def fail_loads():
        for node in nodes[:2]:
            node.engine.fail_loads = 3

    async def cut():
        cluster.cut()

    async def reconnect():
        cluster.is_cut = False

    steps = [
        ('engine_restart', 0, restart_engine),
        ('failed_loads', 0, fail_loads),
        ('lost_host', 0, nodes[1].fail),
        ('lost_host', 1, nodes[1].start),
        ('region_cut', 0, cut),
        ('region_cut', 1, reconnect),
    ]
    for name, bound_index, action in steps:
        await sleep_until(FAULTS[name][bound_index] * seconds)
        await action()
