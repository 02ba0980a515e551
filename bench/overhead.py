"""Measures the overhead of entry and agent on calls of the engine stand-in.

Entry, agent and engine run as separate processes on loopback. Direct and
relayed calls alternate in slices, so that a busy machine affects both alike.
CPU time is that of the entry process while only the open streams run.
"""

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles
from typing import Any

import aiohttp
import click
from bench.local_cluster import LOOPBACK, free_ports
from bench.static_session import ADAPTER, KEY

NODE = ('-m', 'bench.overhead_node')
STANDIN = ('-c', 'from kumquatrun_standins.cli import main; main()')
BATCH = 256
START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0
LONG_TOKENS = 1_000_000
PROBE_TOKENS = 2
NS_PER_US = 1000
MS_PER_S = 1000
# Design page, section 1.5.
GOALS = {'median_added_ms': 3, 'p99_added_ms': 10, 'cpu_us_per_token': 40}


@dataclass(frozen=True, kw_only=True)
class Load:
    """Offered load and the length of the measurement."""

    requests_per_s: float
    streams: int
    token_interval_s: float
    slice_s: float
    rounds: int


@dataclass
class Target:
    """One path to the engine and its measurements."""

    name: str
    url: str
    model: str
    ttft_s: list[float] = field(default_factory=list)
    failures: int = 0


@dataclass
class CpuSample:
    """CPU time by process while tokens were relayed."""

    cpu_us: dict[str, float]
    tokens: int

    def us_per_token(self, process: str) -> float:
        """Return the CPU time of one token in a process."""
        return self.cpu_us[process] / max(1, self.tokens)


class Processes:
    """Engine, agent and entry on free ports."""

    def __init__(self, token_interval_s: float) -> None:
        ports = free_ports(3)
        engine, agent, entry = (f'{LOOPBACK}:{port}' for port in ports)
        self.engine_url = f'http://{engine}'
        self.entry_url = f'http://{entry}'
        self._started: dict[str, subprocess.Popen] = {}
        self._start(
            'engine',
            *STANDIN,
            'engine',
            *('--listen', engine),
            *('--max-batch', str(BATCH)),
            *('--token-interval-s', str(token_interval_s)),
        )
        time.sleep(1)
        self._start(
            'agent',
            *NODE,
            'agent',
            '--listen',
            agent,
            '--engine-url',
            self.engine_url,
        )
        self._start(
            'entry', *NODE, 'entry', '--listen', entry, '--agent-address', agent
        )

    def cpu_us(self) -> dict[str, float]:
        """Return the CPU time of each process; each has one thread."""
        times = {}
        for name, process in self._started.items():
            stat = Path(f'/proc/{process.pid}/schedstat').read_text()
            times[name] = int(stat.split()[0]) / NS_PER_US
        return times

    def stop(self) -> None:
        """End the processes by id."""
        for process in reversed(self._started.values()):
            process.terminate()
        for process in self._started.values():
            process.wait(STOP_TIMEOUT_S)

    def _start(self, name: str, *arguments: str) -> None:
        # The program is this interpreter with arguments from this file.
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.DEVNULL,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self._started[name] = process


class Caller:
    """Sends requests and measures the answers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self.tokens = 0

    def _post(self, target: Target, max_tokens: int):
        return self._session.post(
            f'{target.url}/v1/completions',
            json={
                'model': target.model,
                'prompt': 'measure the time to the first token',
                'max_tokens': max_tokens,
                'stream': True,
            },
            headers={'Authorization': f'Bearer {KEY}'},
        )

    async def probe(self, target: Target) -> None:
        """Measure one time to the first token."""
        began_s = time.perf_counter()
        try:
            async with self._post(target, PROBE_TOKENS) as answer:
                answer.raise_for_status()
                await answer.content.readany()
                target.ttft_s.append(time.perf_counter() - began_s)
                await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            target.failures += 1

    async def read_stream(self, target: Target, started: asyncio.Event) -> None:
        """Read one long stream until it is cancelled."""
        async with self._post(target, LONG_TOKENS) as answer:
            answer.raise_for_status()
            async for chunk in answer.content.iter_any():
                started.set()
                self.tokens += chunk.count(b'\n\n')

    @asynccontextmanager
    async def streams(self, target: Target, count: int) -> AsyncIterator[None]:
        """Keep streams open."""
        started = [asyncio.Event() for _ in range(count)]
        tasks = [
            asyncio.create_task(self.read_stream(target, event))
            for event in started
        ]
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await asyncio.gather(*(event.wait() for event in started))
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def probe_at_rate(self, target: Target, load: Load) -> None:
        """Send probes at a fixed rate for one slice."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        tasks = []
        for number in range(int(load.requests_per_s * load.slice_s)):
            due_s = began_s + number / load.requests_per_s
            await asyncio.sleep(due_s - loop.time())
            tasks.append(asyncio.create_task(self.probe(target)))
        await asyncio.gather(*tasks)


async def _wait_ready(caller: Caller, targets: list[Target]) -> None:
    """Load the adapter through the agent, then probe both paths."""
    for target in reversed(targets):
        until_s = time.monotonic() + START_TIMEOUT_S
        while not target.ttft_s and time.monotonic() < until_s:
            await caller.probe(target)
            await asyncio.sleep(0.1)
        if not target.ttft_s:
            raise click.ClickException(
                f'{target.name}: {target.url} does not answer'
            )
        target.ttft_s.clear()
        target.failures = 0


async def _measure(processes: Processes, load: Load) -> dict[str, Any]:
    targets = [
        Target('direct', processes.engine_url, f'{ADAPTER}@1'),
        Target('relayed', processes.entry_url, ADAPTER),
    ]
    samples = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session)
        await _wait_ready(caller, targets)
        for _ in range(load.rounds):
            for target in targets:
                async with caller.streams(target, load.streams):
                    await caller.probe_at_rate(target, load)
                    if target.name == 'relayed':
                        sample = await _sample_cpu(processes, caller, load)
                        samples.append(sample)
    return _summary(targets, samples, load)


async def _sample_cpu(
    processes: Processes,
    caller: Caller,
    load: Load,
) -> CpuSample:
    before, tokens = processes.cpu_us(), caller.tokens
    await asyncio.sleep(load.slice_s)
    after = processes.cpu_us()
    used = {name: after[name] - before[name] for name in after}
    return CpuSample(used, caller.tokens - tokens)


def _percentiles(target: Target) -> dict[str, float]:
    cuts = quantiles(target.ttft_s, n=100)
    return {
        'requests': len(target.ttft_s),
        'failures': target.failures,
        'median_ms': round(cuts[49] * MS_PER_S, 2),
        'p99_ms': round(cuts[98] * MS_PER_S, 2),
    }


def _summary(
    targets: list[Target],
    samples: list[CpuSample],
    load: Load,
) -> dict[str, Any]:
    direct, relayed = (_percentiles(target) for target in targets)
    total = CpuSample(
        {
            name: sum(sample.cpu_us[name] for sample in samples)
            for name in samples[0].cpu_us
        },
        sum(sample.tokens for sample in samples),
    )
    per_round = [round(sample.us_per_token('entry'), 1) for sample in samples]
    added = {
        f'{name}_added_ms': round(
            relayed[f'{name}_ms'] - direct[f'{name}_ms'], 2
        )
        for name in ('median', 'p99')
    }
    ratios = {
        f'{name}_ratio': round(relayed[f'{name}_ms'] / direct[f'{name}_ms'], 3)
        for name in ('median', 'p99')
    }
    return {
        'load': vars(load),
        'direct': direct,
        'relayed': relayed,
        **added,
        **ratios,
        'cpu_us_per_token': round(total.us_per_token('entry'), 1),
        'cpu_us_per_token_agent': round(total.us_per_token('agent'), 1),
        'cpu_us_per_token_engine': round(total.us_per_token('engine'), 1),
        'cpu_us_per_token_rounds': per_round,
        'relayed_tokens': total.tokens,
        'goals': GOALS,
    }


def _table(summary: dict[str, Any]) -> str:
    lines = [
        f'{"":<10}{"requests":>10}{"failures":>10}{"p50 ms":>10}{"p99 ms":>10}'
    ]
    for name in ('direct', 'relayed'):
        row = summary[name]
        lines.append(
            f'{name:<10}{row["requests"]:>10}{row["failures"]:>10}'
            f'{row["median_ms"]:>10}{row["p99_ms"]:>10}',
        )
    for name, goal in GOALS.items():
        state = 'met' if summary[name] <= goal else 'missed'
        lines.append(f'{name}: {summary[name]} (goal {goal}, {state})')
    return '\n'.join(lines)


@click.command()
@click.option('--requests-per-s', default=100.0, show_default=True)
@click.option('--streams', default=50, show_default=True)
@click.option('--token-interval-s', default=0.02, show_default=True)
@click.option('--slice-s', default=4.0, show_default=True)
@click.option('--rounds', default=4, show_default=True)
@click.option('--output', type=click.Path(path_type=Path))
def main(output: Path | None, **options: Any) -> None:
    """Measure added time to first token and entry CPU per token."""
    load = Load(**options)
    processes = Processes(load.token_interval_s)
    try:
        summary = asyncio.run(_measure(processes, load))
    finally:
        processes.stop()
    text = json.dumps(summary, indent=2)
    if output is not None:
        output.write_text(f'{text}\n')
    click.echo(text)
    click.echo(_table(summary))


if __name__ == '__main__':
    main()
