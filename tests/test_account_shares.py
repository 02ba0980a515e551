"""The rate of an account over all entries, in touch with a leader or not."""

import random
from functools import partial

import pytest
from tests.share_fleet import Fleet

RATES_PER_S = (1_000, 5_000, 27_550, 65_000, 300_000)
# 200 seeds over three sizes of the fleet.
CASES = [
    *((8, seed) for seed in range(150)),
    *((70, seed) for seed in range(40)),
    *((390, seed) for seed in range(10)),
]


def _cut(fleet, entries, *, hears=False, reaches=False):
    for entry in entries:
        entry.hears_leader = hears
        entry.reaches_leader = reaches


def _heal(fleet, entries):
    for entry in entries:
        entry.hears_leader = True
        entry.reaches_leader = True
        entry.delay_s = 0.0
        entry.follows_old_leader = False


def _delay(entries, delay_s):
    for entry in entries:
        entry.delay_s = delay_s


def _restart(entries):
    for entry in entries:
        entry.restart()


def _cut_some(fleet, rng, entries):
    kinds = ({}, {'hears': True}, {'reaches': True})
    began_s = rng.uniform(2, 10)
    fleet.at(began_s, partial(_cut, fleet, entries, **rng.choice(kinds)))
    fleet.at(began_s + rng.uniform(0.2, 9), partial(_heal, fleet, entries))


def _delay_some(fleet, rng, entries):
    began_s = rng.uniform(2, 10)
    fleet.at(began_s, partial(_delay, entries, rng.uniform(0.1, 4)))
    fleet.at(began_s + rng.uniform(0.5, 6), partial(_heal, fleet, entries))


def _restart_some(fleet, rng, entries):
    fleet.at(rng.uniform(2, 12), partial(_restart, entries))


def _change_leader(fleet, rng, entries):
    lost_s = rng.uniform(3, 9)
    elected_s = lost_s + rng.uniform(0.5, 8)
    fleet.at(lost_s, partial(fleet.lose_leader, entries))
    fleet.at(elected_s, fleet.elect_leader)
    fleet.at(elected_s + rng.uniform(0, 4), partial(_heal, fleet, entries))


TROUBLES = (_cut_some, _cut_some, _delay_some, _restart_some)


@pytest.mark.parametrize(('size', 'seed'), CASES)
def test_flood_keeps_the_bound_over_all_entries(size, seed):
    # Guards against entries that are cut off and admit beside a leader that
    # grants the whole rate to the others, also one way, with late messages,
    # restarts, a leader change and two leaders at once.
    rng = random.Random(seed)
    rate_per_s = rng.choice(RATES_PER_S)
    amount = max(rng.choice((200, 1_500)), rate_per_s / 30)
    burst = rate_per_s * rng.choice((0.5, 1.0))
    fleet = Fleet(size, seed, rate_per_s, burst, rng.choice((0.0, 0.1)))
    for trouble in rng.choices(TROUBLES, k=rng.randint(1, 3)):
        some = rng.sample(fleet.entries, rng.randint(1, size - 1))
        trouble(fleet, rng, some)
    if rng.random() < 0.5:
        some = rng.sample(fleet.entries, rng.randint(0, size // 2))
        _change_leader(fleet, rng, some)
    weights = [rng.paretovariate(1) for _ in range(size)]
    fleet.play(2, 0.5 * rate_per_s, amount, weights)
    fleet.play(18, 5 * rate_per_s, amount, weights)
    assert fleet.most_tokens_in_a_window() <= fleet.bound()


def _refused_fraction(fleet, entries, since_s=0.0):
    chosen = set(entries)
    refused, admitted = (
        sum(
            entry in chosen and time_s >= 100 + since_s
            for time_s, _, entry in rows
        )
        for rows in (fleet.refused, fleet.admitted)
    )
    return refused / max(1, refused + admitted)


def test_uneven_callers_within_the_rate_lose_nothing_without_a_leader():
    # Guards against shares of the same size where most callers of an account
    # come to one of many entries.
    fleet = Fleet(27, 1, 30_000, 30_000)
    weights = [20, 10, 5] + [0] * 24
    fleet.at(12, fleet.lose_leader)
    fleet.at(20, fleet.elect_leader)
    fleet.play(24, 0.45 * 30_000, 500, weights)
    assert _refused_fraction(fleet, fleet.entries) < 0.01


@pytest.mark.parametrize('size', [20, 70, 390])
def test_flood_at_a_tenth_does_not_starve_the_others(size):
    # Guards against shares by demand alone: a flood would take all of them.
    rate_per_s = 150_000
    fleet = Fleet(size, 2, rate_per_s, rate_per_s)
    flooded = fleet.entries[: size // 10]
    others = fleet.entries[size // 10 :]
    calm = [1] * size
    flood = [40] * len(flooded) + [1] * len(others)
    tokens_per_s = 0.4 * rate_per_s
    fleet.play(10, tokens_per_s, 150, calm)
    fleet.lose_leader()
    factor = sum(flood) / size
    fleet.play(7, factor * tokens_per_s, 150, flood)
    assert _refused_fraction(fleet, others, 10) < 0.1
    assert _refused_fraction(fleet, flooded, 10) > 0.5


def test_calm_leader_keeps_nothing_back():
    fleet = Fleet(8, 3, 10_000, 10_000)
    fleet.play(20, 9_000, 200)
    assert _refused_fraction(fleet, fleet.entries, 4) < 0.01
