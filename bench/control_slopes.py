"""Measures the cost of control per host: CPU, bytes and memory of replicas.

Starts three control replicas as separate processes on loopback and joins a
growing number of hosts, each a real session with lease, feed and reports, in
worker processes. One host in three is an entry, the others are agents whose
report changes with every renewal, which is the worst case.
"""

import asyncio
import json
import os
import secrets
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import click
from bench.local_cluster import LOOPBACK, free_ports

from kumquatrun.membership.control_client import Session
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import AgentReport, HostRecord
from kumquatrun.runtime.clock import LoopClock

REPLICAS = 3
WORKERS = 4
CLUSTER_TOKEN = 'bench-token-of-the-cluster'  # noqa: S105
SETTLE_S = 6.0
HOSTS_PER_ENTRY = 3
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
WORKER = '--worker'


@dataclass(frozen=True)
class Sample:
    """Cost of control for one number of hosts, per second of wall time."""

    hosts: int
    leader_core_percent: float
    follower_core_percent: float
    leader_sent_bytes_per_s: float
    leader_rss_mib: float
    node_core_percent: float


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(') ', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 2**20


class Replicas:
    """Three control replicas as processes."""

    def __init__(self, folder: str) -> None:
        ports = free_ports(2 * REPLICAS)
        self.addresses = [f'{LOOPBACK}:{port}' for port in ports[:REPLICAS]]
        self.admins = [f'{LOOPBACK}:{port}' for port in ports[REPLICAS:]]
        self._folder = Path(folder)
        self.processes: list[subprocess.Popen] = []
        self.operator_token = secrets.token_urlsafe(24)

    def start(self) -> None:
        """Start all replicas."""
        names = [f'c{number}' for number in range(REPLICAS)]
        pairs = zip(names, self.addresses, strict=True)
        members = ','.join(f'{name}={address}' for name, address in pairs)
        environment = {
            **os.environ,
            'KUMQUATRUN_CLUSTER_TOKEN': CLUSTER_TOKEN,
            'KUMQUATRUN_OPERATOR_TOKEN': self.operator_token,
            'KUMQUATRUN_LOG_LEVEL': 'error',
        }
        for name, address, admin in zip(
            names, self.addresses, self.admins, strict=True
        ):
            data_dir = self._folder / name
            flags = {
                '--host-id': name,
                '--admin-listen': admin,
                '--replica-id': name,
                '--replica-listen': address,
                '--control-data-dir': str(data_dir),
                '--replicas': members,
            }
            arguments = [text for pair in flags.items() for text in pair]
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, '-m', 'kumquatrun', 'control', *arguments],
                    env=environment,
                )
            )

    def stop(self) -> None:
        """End all replicas."""
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(10)

    async def sent_bytes(self) -> list[float]:
        """Return the bytes that each replica has sent to its peers."""
        totals = []
        async with aiohttp.ClientSession() as session:
            for admin in self.admins:
                url = f'http://{admin}/metrics'
                async with session.get(url) as answer:
                    text = await answer.text()
                totals.append(
                    sum(
                        float(line.rsplit(' ', 1)[1])
                        for line in text.splitlines()
                        if line.startswith('kumquatrun_peer_bytes_total')
                    )
                )
        return totals


async def run_worker(first: int, count: int, addresses: list[str]) -> None:
    """Keep sessions of ``count`` hosts open until the process ends."""
    peers = tuple(Address.parse(address) for address in addresses)
    sessions = []
    for number in range(first, first + count):
        is_entry = number % HOSTS_PER_ENTRY == 0
        host_id = f'host-{number}'
        session = Session(
            HostRecord(
                host_id=host_id,
                incarnation='',
                role='entry' if is_entry else 'agent',
                address=f'{LOOPBACK}:9',
                region='a',
                failure_domain='a',
                service='' if is_entry else 'assistant',
            ),
            peers,
            LoopClock(),
            cluster_token=CLUSTER_TOKEN,
        )
        if not is_entry:
            session.report_agent(_changing_report(session))
        await session.start()
        sessions.append(session)
        await asyncio.sleep(0.01)
    print('started', flush=True)
    await asyncio.Event().wait()


def _changing_report(session: Session):
    adapters = tuple(f'adapter-{number}@1' for number in range(8))

    def report() -> AgentReport:
        return AgentReport(
            host_id=session.record.host_id,
            incarnation=session.record.incarnation,
            running=time.monotonic_ns() % 16,
            queued=time.monotonic_ns() % 7,
            capacity=16,
            adapters=adapters,
        )

    return report


def start_workers(hosts: int, addresses: list[str]) -> list[subprocess.Popen]:
    """Start the workers and wait until all sessions were started."""
    share = hosts // WORKERS
    workers = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.control_slopes',
                WORKER,
                f'{index * share},{share},{"+".join(addresses)}',
            ],
            stdout=subprocess.PIPE,
        )
        for index in range(WORKERS)
    ]
    for worker in workers:
        worker.stdout.readline()
    return workers


async def measure(hosts: int, seconds: float) -> Sample:
    """Measure one number of hosts."""
    with tempfile.TemporaryDirectory() as folder:
        replicas = Replicas(folder)
        replicas.start()
        workers = []
        try:
            await asyncio.sleep(3)
            workers = await asyncio.to_thread(
                start_workers, hosts, replicas.addresses
            )
            await asyncio.sleep(SETTLE_S)
            pids = [process.pid for process in replicas.processes]
            worker_pids = [worker.pid for worker in workers]
            cpu_before = [cpu_s(pid) for pid in pids + worker_pids]
            sent_before = await replicas.sent_bytes()
            started_s = time.monotonic()
            await asyncio.sleep(seconds)
            sent_after = await replicas.sent_bytes()
            elapsed_s = time.monotonic() - started_s
            cpu_after = [cpu_s(pid) for pid in pids + worker_pids]
            used = [
                100 * (after - before) / elapsed_s
                for before, after in zip(cpu_before, cpu_after, strict=True)
            ]
            sent = [
                (after - before) / elapsed_s
                for before, after in zip(sent_before, sent_after, strict=True)
            ]
            leader = max(range(REPLICAS), key=lambda number: sent[number])
            replica_use = used[:REPLICAS]
            followers = [
                use
                for number, use in enumerate(replica_use)
                if number != leader
            ]
            return Sample(
                hosts=hosts,
                leader_core_percent=round(replica_use[leader], 2),
                follower_core_percent=round(statistics.mean(followers), 2),
                leader_sent_bytes_per_s=round(sent[leader]),
                leader_rss_mib=round(rss_mib(pids[leader]), 1),
                node_core_percent=round(sum(used[REPLICAS:]) / hosts, 4),
            )
        finally:
            for worker in workers:
                worker.terminate()
                worker.wait(10)
            replicas.stop()


def slopes(samples: list[Sample]) -> dict[str, dict[str, float]]:
    """Fit a line against the number of hosts for each figure."""
    hosts = [sample.hosts for sample in samples]
    fits = {}
    for name in asdict(samples[0]):
        if name != 'hosts':
            figures = [getattr(sample, name) for sample in samples]
            line = statistics.linear_regression(hosts, figures)
            fits[name] = {
                'per_host': round(line.slope, 5),
                'at_zero': round(line.intercept, 3),
            }
    return fits


@click.command()
@click.option('--hosts', default='40,80,160,320', help='Numbers of hosts.')
@click.option('--seconds', default=10.0, help='Time of one measurement.')
@click.option('--json', 'json_path', type=click.Path(), help='Output file.')
@click.option(WORKER, 'worker', hidden=True)
def main(
    hosts: str,
    seconds: float,
    json_path: str | None,
    worker: str | None,
) -> None:
    """Measure the cost of control against the number of hosts."""
    if worker:
        first, count, addresses = worker.split(',')
        asyncio.run(run_worker(int(first), int(count), addresses.split('+')))
        return
    numbers = [int(number) for number in hosts.split(',')]
    with click.progressbar(numbers, label='hosts', file=sys.stderr) as bar:
        samples = [asyncio.run(measure(number, seconds)) for number in bar]
    report = {
        'samples': [asdict(sample) for sample in samples],
        'fits': slopes(samples),
    }
    text = json.dumps(report, indent=1)
    click.echo(text)
    if json_path:
        Path(json_path).write_text(text)


if __name__ == '__main__':
    main()
