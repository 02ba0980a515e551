"""Seeded search for valid changes that are not acknowledged in time.

Each case is an ordered pair of faults of control hosts or the operator. The
second fault starts while the first one lasts, when it ends, or once its host
has recovered. ``python -m tests.acknowledgement_search`` runs all pairs.
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

from tests.control_group import ACKNOWLEDGEMENT_BOUND_S, STABLE_AFTER_S
from tests.faulty_group import (
    CATCH_UP_S,
    MAX_OPEN_CHANGES,
    RESTART_S,
    START_S,
    FaultyGroup,
    run_group,
)

FAULT_DURATIONS_S = (1.5, 4.0, 7.5)
MAX_RUN_S = 10


async def _kill(group, host):
    group.end_process(host)
    group.record_event()
    await asyncio.sleep(RESTART_S + START_S)
    await group.start_host(host)
    group.record_event()


async def _lose_power(group, host):
    group.end_process(host, power=True)
    group.record_event()
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    await group.start_host(host)
    group.record_event()


async def _lose_power_for_good(group, host):
    # The other hosts are a majority, so the group is stable without this one.
    group.end_process(host, power=True)
    group.record_event()


async def _wipe(group, host):
    group.end_process(host, power=True)
    group.disks.pop(host)
    group.record_event()
    await asyncio.sleep(group.rng.choice((0.5, 1.5)) + START_S)
    await group.start_host(host)
    group.record_event()


async def _freeze(group, host):
    group.hold(host)
    group.record_event()
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    group.release(host)
    group.record_event()


async def _freeze_for_good(group, host):
    group.hold(host)
    group.record_event()


async def _replace(group, host):
    region = group.network.regions[host]
    group.remove_host(host)
    group.record_event()
    await asyncio.sleep(group.rng.choice((0.8, 1.0, 2.0)) + START_S)
    await group.start_host(group.add_host(region))
    group.record_event()


async def _replace_planned(group, host):
    # The new host starts first; the old one stops once the new one has
    # caught up.
    await group.start_host(group.add_host(group.network.regions[host]))
    group.record_event()
    await asyncio.sleep(CATCH_UP_S)
    group.record_event()
    await group.stop_process(host)
    group.remove_host(host)


async def _restart(group, host):
    group.record_event()
    await group.stop_process(host)
    await asyncio.sleep(RESTART_S + START_S)
    await group.start_host(host)
    group.record_event()


async def _restart_all(group, host):
    for name in list(group.processes):
        await _restart(group, name)
        await asyncio.sleep(group.rng.choice((0.3, 1.0)))


async def _stall(group, host):
    disk = group.disks[host]
    disk.stall()
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    disk.repair()
    group.record_event()


async def _stall_for_good(group, host):
    group.disks[host].stall()
    group.record_event()


async def _fill(group, host):
    group.disks[host].is_full = True
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    group.disks[host].repair()
    group.record_event()


async def _fill_for_good(group, host):
    group.disks[host].is_full = True
    group.record_event()


async def _cut(group, host):
    group.network.cut_off.add(host)
    group.record_event()
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    group.network.heal()
    group.record_event()


async def _cut_from_replicas(group, host):
    others = [row for row in group.replicas() if row != host]
    links = [(host, row) for row in others] + [(row, host) for row in others]
    await _cut_links(group, links)


async def _cut_one_way(group, host):
    others = [row for row in group.replicas() if row != host]
    links = [(host, row) for row in others]
    if group.rng.random() < 0.5:
        links = [(target, source) for source, target in links]
    await _cut_links(group, links)


async def _split(group, host):
    # No host can reach another one, so there is no majority.
    pairs = itertools.permutations(group.replicas(), 2)
    await _cut_links(group, list(pairs))


async def _cut_links(group, links):
    group.network.cut_links.update(links)
    group.record_event()
    await asyncio.sleep(group.rng.choice(FAULT_DURATIONS_S))
    group.network.heal()
    group.record_event()


async def _reset(group, host):
    group.network.reset_connections(host)
    group.record_event()


async def _silence(group, host):
    group.network.silence_connections()
    group.record_event()


async def _kill_all(group, host):
    names = list(group.processes)
    for name in names:
        group.end_process(name, power=True)
    group.record_event()
    await asyncio.sleep(1.0 + START_S)
    for name in names:
        await group.start_host(name)
    group.record_event()


async def _lose_disk_with_one_behind(group, host):
    # A host misses changes while it is cut off, then another one loses its
    # disk and the rest lose power.
    group.network.cut_off.add(host)
    group.record_event()
    await asyncio.sleep(3)
    others = [row for row in group.replicas() if row != host]
    await asyncio.gather(
        _wipe(group, others[0]),
        *(_lose_power(group, row) for row in others[1:]),
    )
    group.network.heal()
    group.record_event()


async def _change_seeds(group, host):
    running = sorted(group.processes)
    group.seeds = group.rng.sample(running, min(3, len(running)))
    for process in group.processes.values():
        process.host.set_seeds(group.seeds)
    await asyncio.sleep(0.1)


async def _stale_seeds(group, host):
    # Settings may name hosts that were removed.
    group.seeds = [row for row in group.seeds if row == host] or [host]
    await asyncio.sleep(0.1)


async def _lose_answers(group, host):
    group.answers_lost = 0.7
    await asyncio.sleep(4)
    group.answers_lost = 0.0
    group.record_event()


async def _fill_open_changes(group, host):
    for number in range(MAX_OPEN_CHANGES):
        group.send_change(('configuration', 'version')[number % 2])
    await asyncio.sleep(0.1)


class Fault(NamedTuple):
    """A kind of fault of one host or of the whole group."""

    inject: Callable
    # Whether the host counts as lost during the fault. The platform allows no
    # other host to be lost until this one has caught up.
    loses_host: bool = True
    is_permanent: bool = False
    # Time from the end of the fault until another host may be lost.
    recovery_s: float = CATCH_UP_S


FAULTS = {
    'kill': Fault(_kill),
    'power': Fault(_lose_power),
    'power-for-good': Fault(_lose_power_for_good, is_permanent=True),
    'wipe': Fault(_wipe),
    'freeze': Fault(_freeze),
    'freeze-for-good': Fault(_freeze_for_good, is_permanent=True),
    'replace': Fault(_replace),
    'replace-planned': Fault(_replace_planned, recovery_s=0),
    'restart': Fault(_restart),
    'restart-all': Fault(_restart_all),
    'stall': Fault(_stall),
    'stall-for-good': Fault(_stall_for_good, is_permanent=True),
    'full': Fault(_fill),
    'full-for-good': Fault(_fill_for_good, is_permanent=True),
    'cut': Fault(_cut),
    'cut-from-core': Fault(_cut_from_replicas),
    'one-way': Fault(_cut_one_way),
    'split': Fault(_split),
    'reset': Fault(_reset, loses_host=False),
    'silence': Fault(_silence, loses_host=False),
    'kill-all': Fault(_kill_all),
    'behind': Fault(_lose_disk_with_one_behind),
    'seeds': Fault(_change_seeds, loses_host=False),
    'stale-seeds': Fault(_stale_seeds, loses_host=False),
    'lost-answers': Fault(_lose_answers, loses_host=False),
    'eight-orders': Fault(_fill_open_changes, loses_host=False),
}
# A second lost host after a permanent fault would leave no majority.
PAIRS = tuple(
    (first, second)
    for first, second in itertools.product(FAULTS, repeat=2)
    if not (FAULTS[first].is_permanent and FAULTS[second].loses_host)
)
ROLES = ('leader', 'other')


async def _run_pair(group, first, second):
    rng = group.rng
    first_fault, second_fault = FAULTS[first], FAULTS[second]
    await group.start()
    group.send_change()
    await asyncio.sleep(1)
    host = group.pick(rng.choice(ROLES))
    injecting = asyncio.create_task(first_fault.inject(group, host))
    if rng.random() < 0.7:
        group.send_change()
    await asyncio.sleep(rng.uniform(0, 0.6))
    if (
        first_fault.loses_host
        and second_fault.loses_host
        and not first_fault.is_permanent
    ):
        await injecting
        await asyncio.sleep(first_fault.recovery_s + rng.choice((0, 0.4)))
    elif rng.random() < 0.5:
        await injecting
    others = [row for row in group.replicas() if row != host]
    if host not in group.processes or (
        rng.random() < 0.7 and not first_fault.is_permanent
    ):
        host = rng.choice([group.pick('leader'), rng.choice(others)])
    if rng.random() < 0.5:
        group.send_change(rng.choice(('configuration', 'version')))
    await second_fault.inject(group, host)
    await injecting
    for _ in range(6):
        if rng.random() < 0.7:
            group.send_change(rng.choice(('configuration', 'version')))
        await asyncio.sleep(rng.uniform(0.3, 1.8))
    await asyncio.sleep(
        max(0, group.last_event_s + STABLE_AFTER_S - group.loop.time())
    )
    group.send_change()
    slowest_s = await group.slowest_s()
    outside = await group.outside_hosts()
    assert not outside, f'outside the group: {outside}'
    return slowest_s


def slowest_acknowledgement_s(first, second, seed):
    """Return the longest time to an acknowledgement in a stable group."""

    return run_group(
        lambda monkeypatch: FaultyGroup(
            monkeypatch, f'{first} {second} {seed}'
        ),
        lambda group: _run_pair(group, first, second),
        seed,
    )


def _raise_timeout(_signal, frame):
    place = ' < '.join(
        f'{row.name}:{row.lineno}'
        for row in traceback.extract_stack(frame)[-6:]
    )
    raise TimeoutError(f'the run does not end: {place}')


def run_case(case):
    signal.signal(signal.SIGALRM, _raise_timeout)
    logging.disable(logging.CRITICAL)
    # A run takes half a second; a run that does not end is reported.
    signal.alarm(MAX_RUN_S)
    try:
        result = slowest_acknowledgement_s(*case)
    except Exception as error:  # Reported by main.
        result = repr(error)
    signal.alarm(0)
    gc.collect()
    return case, result


def main(first_seed, last_seed, processes):
    cases = [
        (*pair, seed)
        for seed in range(first_seed, last_seed + 1)
        for pair in PAIRS
    ]
    random.Random(1).shuffle(cases)
    late = 0
    with multiprocessing.Pool(processes, maxtasksperchild=50) as pool:
        for case, result in pool.imap_unordered(run_case, cases):
            if isinstance(result, str) or result > ACKNOWLEDGEMENT_BOUND_S:
                late += 1
                print('late', *case, result, flush=True)
    print(f'{len(cases)} runs, {late} late')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
