"""Measures placement and eviction policies under load and faults.

Runs the project's decision code in memory on a loop whose clock jumps from
timer to timer, for each workload and policy, and writes figures, a table and
plots into ``bench-output/``::

    python -m bench.policy --seconds 240 --seeds 1
"""

import asyncio
import json
import logging
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path

import click
import looptime
from bench.policy_cluster import Cluster, EngineNode, seeded
from bench.policy_figures import (
    GOALS,
    SAMPLE_S,
    CallerSink,
    Recorder,
    check_goals,
    mean_figures,
    plot,
    table,
)
from bench.policy_load import (
    ACCOUNTS,
    PROMPT_TOKENS,
    VERSION,
    WORKLOADS,
    document,
    make_trace,
    run_faults,
)

from kumquatrun.control.commands import ApplyDocument, IssueKey
from kumquatrun.control.control_state import ControlState
from kumquatrun.document.keys import hash_key
from kumquatrun.entry.execution import Execution, RelayRequest
from kumquatrun.entry.placement import (
    BoundedAffinity,
    HashAffinity,
    LeastLoaded,
)
from kumquatrun.runtime.clock import LoopClock
from kumquatrun_standins.engine_core import EngineOptions
from kumquatrun_standins.weight_store import WeightStore

OUTPUT = Path('bench-output')
# Policy, and whether the agents evict the least recently used adapter.
POLICIES = {
    'default': (BoundedAffinity, False),
    'least_loaded': (LeastLoaded, True),
    'hash_affinity': (HashAffinity, True),
}
ENGINE = EngineOptions(slots=8, max_batch=16, token_interval_s=0.04)
REQUEST_TIMEOUT_S = 30
# Time for leases and reports to settle before the first requests, which find
# empty engines.
SETTLE_S = 2.0


class Run:
    """One policy under one workload."""

    def __init__(self, workload, policy, seconds, seed):
        policy_class, uses_lru = POLICIES[policy]
        self._workload = workload
        self._policy_class = policy_class
        self._seconds = seconds
        self._seed = seed
        self._clock = LoopClock()
        self._recorder = Recorder(workload, seconds, self._clock)
        self._cluster = Cluster(
            clock=self._clock,
            store=WeightStore(),
            engine_options=ENGINE,
            on_stall=self._recorder.on_stall,
            uses_lru=uses_lru,
        )
        self._began_s = 0.0

    async def measure(self):
        """Return the figures."""
        await self._start()
        background = [
            asyncio.create_task(self._cluster.renew_leases()),
            asyncio.create_task(self._sample()),
        ]
        await asyncio.sleep(SETTLE_S)
        self._began_s = self._clock.now_s()
        faults = run_faults(
            self._cluster, self._workload, self._seconds, self._sleep_until
        )
        background.append(asyncio.create_task(faults))
        await self._send_all()
        for task in background:
            task.cancel()
        ended = await asyncio.gather(*background, return_exceptions=True)
        for result in ended:
            if not isinstance(result, asyncio.CancelledError | None):
                raise result
        self._recorder.remote_bytes = sum(
            relay.dispatcher.remote_bytes.total()
            for relay in self._cluster.relays.values()
        )
        return self._recorder.figures()

    async def _start(self):
        cluster = self._cluster
        workload = self._workload
        cluster.leader_region = workload.regions[0]
        cluster.control.set_state(ControlState())
        cluster.control.commit(
            ApplyDocument(
                expected_revision=0,
                operation_id='bench',
                operator='bench',
                content=document(workload),
            ),
            *(
                IssueKey(
                    key_id=account,
                    key_hash=hash_key(_key(account)),
                    account=account,
                    operator='bench',
                    operation_id=f'key-{account}',
                )
                for account in ACCOUNTS
            ),
        )
        for domain, count in workload.engines.items():
            for number in range(count):
                host_id = f'{domain}-{number}'
                node = EngineNode(host_id, domain, cluster)
                cluster.nodes[host_id] = node
                await node.start()
        for region in workload.regions:
            rng = seeded(self._seed, f'entry/{region}')
            cluster.add_entry(region, self._policy_class(), rng)

    async def _send_all(self):
        trace = make_trace(self._workload, self._seconds, self._seed)
        async with asyncio.TaskGroup() as group:
            for arrival in trace:
                await self._sleep_until(arrival.at_s)
                group.create_task(self._send(arrival))

    async def _send(self, arrival):
        relay = self._cluster.relays[arrival.region]
        session = relay._session
        request = RelayRequest(
            request_id=str(arrival.number),
            route=session.view.document.routes[0],
            account=arrival.account,
            path='/v1/completions',
            method='POST',
            body=arrival.body,
            content_type='application/json',
            fingerprint=str(arrival.number),
            deadline_s=self._clock.now_s() + REQUEST_TIMEOUT_S,
            key=_key(arrival.account),
            adapter=arrival.adapter,
            version=VERSION,
            weight=ACCOUNTS[arrival.account],
            stream=True,
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=arrival.output_tokens,
        )
        sink = CallerSink(
            self._clock,
            self._recorder.buckets[arrival.account],
            PROMPT_TOKENS,
            began_s=self._began_s,
        )
        result = await relay.run(Execution(request), sink)
        self._recorder.finish(arrival, result, sink)

    async def _sample(self):
        while True:
            self._recorder.sample(self._cluster.nodes.values())
            await asyncio.sleep(SAMPLE_S)

    async def _sleep_until(self, at_s):
        delay_s = self._began_s + at_s - self._clock.now_s()
        await asyncio.sleep(max(0, delay_s))


def _key(account):
    return f'bench-key-of-account-{account}'


def measure(workload, policy, seconds, seed):
    """Return the figures of one run on a new event loop."""
    logging.disable(logging.WARNING)
    # The loop waits for no thread or socket, so one idle cycle is enough before
    # the clock advances.
    loop = looptime.new_event_loop(noop_cycles=1)
    try:
        return loop.run_until_complete(
            _measure(workload, policy, seconds, seed)
        )
    finally:
        loop.close()


async def _measure(workload, policy, seconds, seed):
    try:
        return await Run(WORKLOADS[workload], policy, seconds, seed).measure()
    finally:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


def measure_all(workloads, policies, seconds, seeds, processes):
    """Return the figures by workload, policy and seed."""
    names = [
        (workload, policy, seed)
        for workload in workloads
        for policy in policies
        for seed in seeds
    ]
    figures = {}
    context = get_context('spawn')
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        futures = {
            pool.submit(measure, workload, policy, seconds, seed): (
                workload,
                policy,
                seed,
            )
            for workload, policy, seed in names
        }
        done = as_completed(futures)
        with click.progressbar(done, length=len(names), label='runs') as bar:
            for future in bar:
                figures[futures[future]] = future.result()
    return {
        workload: {
            policy: [figures[workload, policy, seed] for seed in seeds]
            for policy in policies
        }
        for workload in workloads
    }


def report(workload, rows):
    """Return the table, the notes and the goals of one workload."""
    lines = [f'## {workload}', WORKLOADS[workload].note, table(rows)]
    if set(rows) == set(POLICIES):
        for name, is_met in check_goals(rows).items():
            verdict = 'met' if is_met else 'MISSED'
            lines.append(f'{verdict:>6}  {GOALS[name]}')
    return '\n'.join(lines)


@click.command()
@click.option('--seconds', default=240.0, show_default=True)
@click.option('--seed', default=1, show_default=True, help='First seed.')
@click.option('--seeds', default=1, show_default=True, help='Runs per policy.')
@click.option(
    '--workload', 'workloads', multiple=True, type=click.Choice(WORKLOADS)
)
@click.option(
    '--policy', 'policies', multiple=True, type=click.Choice(POLICIES)
)
@click.option('--processes', default=6, show_default=True)
@click.option('--output', default=OUTPUT, type=click.Path(path_type=Path))
def main(seconds, seed, seeds, workloads, policies, processes, output):
    """Measure policies side by side."""
    output.mkdir(parents=True, exist_ok=True)
    figures = measure_all(
        workloads or tuple(WORKLOADS),
        policies or tuple(POLICIES),
        seconds,
        range(seed, seed + seeds),
        processes,
    )
    settings = {'seconds': seconds, 'seed': seed, 'seeds': seeds}
    content = {'settings': settings, 'figures': figures}
    text = json.dumps(content, indent=2)
    (output / 'policy.json').write_text(text + '\n')
    texts = [f'seconds={seconds:g} first seed={seed} seeds={seeds}']
    for workload, runs in figures.items():
        rows = {policy: mean_figures(each) for policy, each in runs.items()}
        texts.append(report(workload, rows))
        plot(rows, output / f'policy-{workload}.png', workload)
    (output / 'policy.txt').write_text('\n\n'.join(texts) + '\n')
    click.echo('\n\n'.join(texts))


if __name__ == '__main__':
    main()
