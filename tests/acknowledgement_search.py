"""Seeded search for valid changes that are not acknowledged in time.

Each case is an ordered pair of troubles of control hosts and the operator. The
second one begins while the first goes on, as it ends, or once its host counts
again. ``python -m tests.acknowledgement_search`` plays all pairs.
"""

import asyncio
import gc
import itertools
import logging
import multiprocessing
import random
import signal
import sys
import traceback
from collections.abc import Callable
from typing import NamedTuple

from tests.control_group import ACKNOWLEDGED_S, CALM_AFTER_S
from tests.troubled_group import (
    CATCH_UP_S,
    MAX_OPEN_ORDERS,
    RESTART_S,
    START_S,
    TroubledGroup,
    play_group,
)

STANDING_S = (1.5, 4.0, 7.5)
MAX_RUN_S = 10


async def _kill(group, host):
    group.end_process(host)
    group.note()
    await asyncio.sleep(RESTART_S + START_S)
    await group.start_host(host)
    group.note()


async def _power(group, host):
    group.end_process(host, power=True)
    group.note()
    await asyncio.sleep(group.rng.choice(STANDING_S))
    await group.start_host(host)
    group.note()


async def _power_for_good(group, host):
    # A majority is enough; the host stays away in calm.
    group.end_process(host, power=True)
    group.note()


async def _wipe(group, host):
    group.end_process(host, power=True)
    group.disks.pop(host)
    group.note()
    await asyncio.sleep(group.rng.choice((0.5, 1.5)) + START_S)
    await group.start_host(host)
    group.note()


async def _freeze(group, host):
    group.hold(host)
    group.note()
    await asyncio.sleep(group.rng.choice(STANDING_S))
    group.release(host)
    group.note()


async def _freeze_for_good(group, host):
    group.hold(host)
    group.note()


async def _replace(group, host):
    region = group.network.regions[host]
    group.remove_host(host)
    group.note()
    await asyncio.sleep(group.rng.choice((0.8, 1.0, 2.0)) + START_S)
    await group.start_host(group.add_host(region))
    group.note()


async def _replace_planned(group, host):
    # The new host comes first; the old one is stopped once that one counts.
    await group.start_host(group.add_host(group.network.regions[host]))
    group.note()
    await asyncio.sleep(CATCH_UP_S)
    group.note()
    await group.stop_process(host)
    group.remove_host(host)


async def _restart(group, host):
    group.note()
    await group.stop_process(host)
    await asyncio.sleep(RESTART_S + START_S)
    await group.start_host(host)
    group.note()


async def _restart_all(group, host):
    for name in list(group.processes):
        await _restart(group, name)
        await asyncio.sleep(group.rng.choice((0.3, 1.0)))


async def _stall(group, host):
    disk = group.disks[host]
    disk.stall()
    await asyncio.sleep(group.rng.choice(STANDING_S))
    disk.work()
    group.note()


async def _stall_for_good(group, host):
    group.disks[host].stall()
    group.note()


async def _fill(group, host):
    group.disks[host].is_full = True
    await asyncio.sleep(group.rng.choice(STANDING_S))
    group.disks[host].work()
    group.note()


async def _fill_for_good(group, host):
    group.disks[host].is_full = True
    group.note()


async def _cut(group, host):
    group.network.cut_off.add(host)
    group.note()
    await asyncio.sleep(group.rng.choice(STANDING_S))
    group.network.heal()
    group.note()


async def _cut_from_core(group, host):
    others = [row for row in group.replicas() if row != host]
    ways = [(host, row) for row in others] + [(row, host) for row in others]
    await _cut_links(group, ways)


async def _cut_one_way(group, host):
    others = [row for row in group.replicas() if row != host]
    ways = [(host, row) for row in others]
    if group.rng.random() < 0.5:
        ways = [(target, source) for source, target in ways]
    await _cut_links(group, ways)


async def _split(group, host):
    # No host reaches another one, so that none has a majority.
    pairs = itertools.permutations(group.replicas(), 2)
    await _cut_links(group, list(pairs))


async def _cut_links(group, ways):
    group.network.cut_links.update(ways)
    group.note()
    await asyncio.sleep(group.rng.choice(STANDING_S))
    group.network.heal()
    group.note()


async def _reset(group, host):
    group.network.reset_connections(host)
    group.note()


async def _silence(group, host):
    group.network.silence_connections()
    group.note()


async def _kill_all(group, host):
    names = list(group.processes)
    for name in names:
        group.end_process(name, power=True)
    group.note()
    await asyncio.sleep(1.0 + START_S)
    for name in names:
        await group.start_host(name)
    group.note()


async def _behind(group, host):
    # A minority misses changes, then another host loses its disk.
    group.network.cut_off.add(host)
    group.note()
    await asyncio.sleep(3)
    others = [row for row in group.replicas() if row != host]
    await asyncio.gather(
        _wipe(group, others[0]),
        *(_power(group, row) for row in others[1:]),
    )
    group.network.heal()
    group.note()


async def _change_seeds(group, host):
    running = sorted(group.processes)
    group.seeds = group.rng.sample(running, min(3, len(running)))
    for process in group.processes.values():
        process.host.set_seeds(group.seeds)
    await asyncio.sleep(0.1)


async def _stale_seeds(group, host):
    # Settings may name hosts that are gone.
    group.seeds = [row for row in group.seeds if row == host] or [host]
    await asyncio.sleep(0.1)


async def _lose_answers(group, host):
    group.answers_lost = 0.7
    await asyncio.sleep(4)
    group.answers_lost = 0.0
    group.note()


async def _eight_orders(group, host):
    for number in range(MAX_OPEN_ORDERS):
        group.send_change(('configuration', 'version')[number % 2])
    await asyncio.sleep(0.1)


class Trouble(NamedTuple):
    """A kind of trouble of one host, or of the whole group."""

    play: Callable
    # Whether its host counts as lost meanwhile, so that the platform lets no
    # other one be lost until it has caught up.
    loses_host: bool = True
    lasts: bool = False
    # Time after its end at which another host may be lost.
    counts_after_s: float = CATCH_UP_S


TROUBLES = {
    'kill': Trouble(_kill),
    'power': Trouble(_power),
    'power-for-good': Trouble(_power_for_good, lasts=True),
    'wipe': Trouble(_wipe),
    'freeze': Trouble(_freeze),
    'freeze-for-good': Trouble(_freeze_for_good, lasts=True),
    'replace': Trouble(_replace),
    'replace-planned': Trouble(_replace_planned, counts_after_s=0),
    'restart': Trouble(_restart),
    'restart-all': Trouble(_restart_all),
    'stall': Trouble(_stall),
    'stall-for-good': Trouble(_stall_for_good, lasts=True),
    'full': Trouble(_fill),
    'full-for-good': Trouble(_fill_for_good, lasts=True),
    'cut': Trouble(_cut),
    'cut-from-core': Trouble(_cut_from_core),
    'one-way': Trouble(_cut_one_way),
    'split': Trouble(_split),
    'reset': Trouble(_reset, loses_host=False),
    'silence': Trouble(_silence, loses_host=False),
    'kill-all': Trouble(_kill_all),
    'behind': Trouble(_behind),
    'seeds': Trouble(_change_seeds, loses_host=False),
    'stale-seeds': Trouble(_stale_seeds, loses_host=False),
    'lost-answers': Trouble(_lose_answers, loses_host=False),
    'eight-orders': Trouble(_eight_orders, loses_host=False),
}
# What comes after a trouble that lasts would lose a second host for good.
PAIRS = tuple(
    (first, second)
    for first, second in itertools.product(TROUBLES, repeat=2)
    if not (TROUBLES[first].lasts and TROUBLES[second].loses_host)
)
ROLES = ('leader', 'other')


async def _play_pair(group, first, second):
    rng = group.rng
    before, after = TROUBLES[first], TROUBLES[second]
    await group.start()
    group.send_change()
    await asyncio.sleep(1)
    host = group.pick(rng.choice(ROLES))
    playing = asyncio.create_task(before.play(group, host))
    if rng.random() < 0.7:
        group.send_change()
    await asyncio.sleep(rng.uniform(0, 0.6))
    if before.loses_host and after.loses_host and not before.lasts:
        await playing
        await asyncio.sleep(before.counts_after_s + rng.choice((0, 0.4)))
    elif rng.random() < 0.5:
        await playing
    others = [row for row in group.replicas() if row != host]
    if host not in group.processes or (rng.random() < 0.7 and not before.lasts):
        host = rng.choice([group.pick('leader'), rng.choice(others)])
    if rng.random() < 0.5:
        group.send_change(rng.choice(('configuration', 'version')))
    await after.play(group, host)
    await playing
    for _ in range(6):
        if rng.random() < 0.7:
            group.send_change(rng.choice(('configuration', 'version')))
        await asyncio.sleep(rng.uniform(0.3, 1.8))
    await asyncio.sleep(
        max(0, group.last_event_s + CALM_AFTER_S - group.loop.time())
    )
    group.send_change()
    return await group.slowest_s()


def play(first, second, seed):
    """Return the longest time in calm to an acknowledgement, in seconds."""

    return play_group(
        lambda monkeypatch: TroubledGroup(
            monkeypatch, f'{first} {second} {seed}'
        ),
        lambda group: _play_pair(group, first, second),
        seed,
    )


def _give_up(_signal, frame):
    place = ' < '.join(
        f'{row.name}:{row.lineno}'
        for row in traceback.extract_stack(frame)[-6:]
    )
    raise TimeoutError(f'the run does not end: {place}')


def play_case(case):
    signal.signal(signal.SIGALRM, _give_up)
    logging.disable(logging.CRITICAL)
    # A run takes half a second; one that does not end is a finding.
    signal.alarm(MAX_RUN_S)
    try:
        taken_s = play(*case)
    except Exception as error:  # Reported as a finding.
        taken_s = repr(error)
    signal.alarm(0)
    gc.collect()
    return case, taken_s


def main(first_seed, last_seed, processes):
    cases = [
        (*pair, seed)
        for seed in range(first_seed, last_seed + 1)
        for pair in PAIRS
    ]
    random.Random(1).shuffle(cases)
    late = 0
    with multiprocessing.Pool(processes, maxtasksperchild=50) as pool:
        for case, taken_s in pool.imap_unordered(play_case, cases):
            if isinstance(taken_s, str) or taken_s > ACKNOWLEDGED_S:
                late += 1
                print('late', *case, taken_s, flush=True)
    print(f'{len(cases)} runs, {late} late')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
