"""Measures replication: commits, recovery and the traffic of an idle group.

All replicas run as separate asyncio servers on loopback in one process and on
one thread, each with its own folder of synced files. Their syncs therefore
follow one another; on separate hosts they overlap.
"""

import asyncio
import json
import os
import random
import socket
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

import click

from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.quorum_node import NodeOptions
from kumquatrun.consensus.quorum_types import (
    ReplicaMeta,
    Snapshot,
    SnapshotMeta,
)
from kumquatrun.consensus.replica import Replica
from kumquatrun.consensus.replica_transport import TcpTransport
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.peer import Address, PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import LoopClock

COMMAND_BYTES = 128
PROPOSE_TIMEOUT_S = 30.0
SNAPSHOT_BYTES = (1_000_000, 10_000_000, 50_000_000)


@dataclass(frozen=True)
class Row:
    """One measured figure."""

    measure: str
    replicas: int
    parameter: str
    value: float
    unit: str


class CountingMachine:
    """State machine that only counts commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, _index: int, _command: bytes) -> bytes:
        """Count a command."""
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        """Return the count."""
        return b'%d' % self.count

    def restore(self, snapshot: bytes) -> None:
        """Restore the count."""
        self.count = int(snapshot)


@dataclass(frozen=True)
class RunningReplica:
    """A replica with its transport."""

    replica: Replica
    transport: TcpTransport

    def bytes_to(self, receiver: str) -> int:
        """Return the bytes sent on the current connection to a replica."""
        # Only the connection counts its bytes; the transport does not.
        channel = self.transport._channels[receiver]
        return channel._client._link.bytes_sent


def free_addresses(count: int) -> tuple[tuple[str, Address], ...]:
    """Return loopback addresses with ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind(('127.0.0.1', 0))
    rows = [
        (f'r{number}', Address('127.0.0.1', reserved.getsockname()[1]))
        for number, reserved in enumerate(sockets)
    ]
    for reserved in sockets:
        reserved.close()
    return tuple(rows)


@asynccontextmanager
async def running_replica(
    folder: Path,
    replicas: tuple[tuple[str, Address], ...],
    replica_id: str,
    options: NodeOptions,
) -> AsyncIterator[RunningReplica]:
    """Run one replica with its server."""
    identity = Hello(node_id=replica_id, incarnation='1')
    rng = random.Random()
    settings = ReplicaSettings(
        replica_id=replica_id,
        data_dir=str(folder),
        listen=dict(replicas)[replica_id],
        replicas=replicas,
    )
    transport = TcpTransport(identity, rng)
    replica = Replica(
        settings,
        CountingMachine(),
        transport,
        FileStorage(folder),
        LoopClock(),
        rng,
        options,
    )
    server = PeerServer(identity, replica)
    await replica.start()
    await server.start(settings.listen)
    try:
        yield RunningReplica(replica, transport)
    finally:
        await server.stop()
        await replica.stop()


@asynccontextmanager
async def running_group(
    folder: Path,
    size: int,
    options: NodeOptions,
) -> AsyncIterator[tuple[RunningReplica, Sequence[RunningReplica]]]:
    """Run a group; yields its leader and its followers."""
    replicas = free_addresses(size)
    async with AsyncExitStack() as stack:
        group = [
            await stack.enter_async_context(
                running_replica(folder / name, replicas, name, options),
            )
            for name, _ in replicas
        ]
        leader = await wait_for_leader(group)
        await leader.replica.read_barrier(PROPOSE_TIMEOUT_S)
        yield leader, [row for row in group if row is not leader]


async def wait_for_leader(group: Sequence[RunningReplica]) -> RunningReplica:
    """Return the leader as soon as there is one."""
    async with asyncio.timeout(PROPOSE_TIMEOUT_S):
        while True:
            for row in group:
                if row.replica.is_leader:
                    return row
            await asyncio.sleep(0.001)


async def measure_commits(
    leader: Replica,
    callers: int,
    commands: int,
) -> tuple[float, list[float]]:
    """Return commits per second and the latency of each commit."""
    command = bytes(COMMAND_BYTES)
    latencies_s: list[float] = []

    async def call() -> None:
        for _ in range(commands // callers):
            start_s = time.perf_counter()
            await leader.propose(command, PROPOSE_TIMEOUT_S)
            latencies_s.append(time.perf_counter() - start_s)

    start_s = time.perf_counter()
    await asyncio.gather(*(call() for _ in range(callers)))
    return len(latencies_s) / (time.perf_counter() - start_s), latencies_s


def latency_rows(
    size: int,
    callers: int,
    latencies_s: Sequence[float],
) -> list[Row]:
    """Return the median and the 99th percentile."""
    cuts = statistics.quantiles(latencies_s, n=100, method='inclusive')
    parameter = f'callers={callers}'
    return [
        Row('commit_latency_p50', size, parameter, cuts[49] * 1000, 'ms'),
        Row('commit_latency_p99', size, parameter, cuts[98] * 1000, 'ms'),
    ]


async def commit_rows(
    folder: Path,
    size: int,
    callers: Sequence[int],
    commands: int,
) -> list[Row]:
    """Measure commits by the number of concurrent callers."""
    rows = []
    async with running_group(folder, size, NodeOptions()) as (leader, _):
        for count in callers:
            await measure_commits(leader.replica, count, count * 5)
            per_s, latencies_s = await measure_commits(
                leader.replica, count, commands
            )
            rows.extend(latency_rows(size, count, latencies_s))
            rows.append(Row('commits', size, f'callers={count}', per_s, '1/s'))
    return rows


async def idle_rows(folder: Path, size: int, duration_s: float) -> list[Row]:
    """Measure what leader and follower send to each other without load."""
    async with running_group(folder, size, NodeOptions()) as (leader, others):
        follower = others[0].replica._settings.replica_id
        await asyncio.sleep(1)
        before = leader.bytes_to(follower)
        cpu_s = time.process_time()
        start_s = time.perf_counter()
        await asyncio.sleep(duration_s)
        elapsed_s = time.perf_counter() - start_s
        per_s = (leader.bytes_to(follower) - before) / elapsed_s
        cpu_percent = (time.process_time() - cpu_s) / elapsed_s * 100 / size
    return [
        Row('idle_leader_to_follower', size, '', per_s, 'bytes/s'),
        Row('idle_cpu_per_replica', size, '', cpu_percent, '% of a core'),
    ]


async def failover_s(folder: Path, size: int) -> float:
    """Return the time from the end of a leader to the next commit."""
    replicas = free_addresses(size)
    stacks = {}
    group = []
    for name, _ in replicas:
        stacks[name] = AsyncExitStack()
        row = await stacks[name].enter_async_context(
            running_replica(folder / name, replicas, name, NodeOptions()),
        )
        group.append(row)
    leader = await wait_for_leader(group)
    await leader.replica.propose(b'before', PROPOSE_TIMEOUT_S)
    await asyncio.sleep(0.3)
    group.remove(leader)
    start_s = time.perf_counter()
    await stacks.pop(leader.replica.leader_id).aclose()
    successor = await wait_for_leader(group)
    await successor.replica.propose(b'after', PROPOSE_TIMEOUT_S)
    elapsed_s = time.perf_counter() - start_s
    for stack in stacks.values():
        await stack.aclose()
    return elapsed_s


async def failover_rows(folder: Path, size: int, trials: int) -> list[Row]:
    """Measure how long no command is committed after a leader ended."""
    times_s = [
        await failover_s(folder / str(trial), size) for trial in range(trials)
    ]
    parameter = f'trials={trials}'
    median_ms = statistics.median(times_s) * 1000
    return [
        Row('failover_p50', size, parameter, median_ms, 'ms'),
        Row('failover_max', size, parameter, max(times_s) * 1000, 'ms'),
    ]


async def snapshot_rows(folder: Path, size_bytes: int) -> list[Row]:
    """Measure how long a snapshot of the whole state blocks the loop."""
    storage = FileStorage(folder)
    storage.load()
    storage.save_meta(ReplicaMeta('disk'))
    state = Snapshot(SnapshotMeta(1, 1), os.urandom(size_bytes))
    start_s = time.perf_counter()
    storage.install_snapshot(state)
    elapsed_ms = (time.perf_counter() - start_s) * 1000
    storage.close()
    parameter = f'bytes={size_bytes}'
    return [Row('snapshot_write', 1, parameter, elapsed_ms, 'ms')]


async def recovery_rows(folder: Path, entries: int) -> list[Row]:
    """Measure the restart of a single member with a log without snapshot."""
    options = NodeOptions(snapshot_entries=entries + 1000)
    replicas = free_addresses(1)
    async with running_replica(folder, replicas, 'r0', options) as row:
        leader = await wait_for_leader([row])
        if entries:
            await measure_commits(leader.replica, min(entries, 500), entries)
    log_bytes = log_size_bytes(folder)
    start_s = time.perf_counter()
    async with running_replica(folder, replicas, 'r0', options) as row:
        leader = await wait_for_leader([row])
        await leader.replica.read_barrier(PROPOSE_TIMEOUT_S)
        elapsed_s = time.perf_counter() - start_s
    parameter = f'entries={entries}'
    return [
        Row('recovery', 1, parameter, elapsed_s * 1000, 'ms'),
        Row('log_size', 1, parameter, log_bytes / 1000, 'kB'),
    ]


async def replacement_rows(folder: Path, entries: int) -> list[Row]:
    """Measure how long an empty replacement takes to become a voter.

    Includes the 1 s for which the lost disk must be silent.
    """
    replicas = free_addresses(3)
    options = NodeOptions()
    async with AsyncExitStack() as stack:
        group = [
            await stack.enter_async_context(
                running_replica(folder / name, replicas, name, options),
            )
            for name, _ in replicas[:2]
        ]
        lost = running_replica(folder / 'lost', replicas, 'r2', options)
        async with lost as third:
            leader = await wait_for_leader([*group, third])
            await leader.replica.read_barrier(PROPOSE_TIMEOUT_S)
        leader = await wait_for_leader(group)
        await measure_commits(leader.replica, min(entries, 500), entries)
        start_s = time.perf_counter()
        empty = running_replica(folder / 'new', replicas, 'r2', options)
        async with empty as replacement:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                while not is_voter(replacement.replica):  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            elapsed_ms = (time.perf_counter() - start_s) * 1000
    return [Row('replacement', 3, f'entries={entries}', elapsed_ms, 'ms')]


def is_voter(replica: Replica) -> bool:
    """Return whether the replica's disk is recorded as a voter."""
    return any(
        member.voter and member.disk_id == replica.disk_id
        for member in replica.members
    )


def log_size_bytes(folder: Path) -> int:
    """Return the size of all segment files."""
    return sum(path.stat().st_size for path in folder.glob('log-*'))


def sync_row(folder: Path) -> Row:
    """Measure the sync of a small write alone, as a floor for a commit."""
    times_s = []
    with (folder / 'sync').open('wb') as output:
        for _ in range(300):
            output.write(bytes(COMMAND_BYTES))
            output.flush()
            start_s = time.perf_counter()
            os.fdatasync(output.fileno())
            times_s.append(time.perf_counter() - start_s)
    return Row('fdatasync_p50', 0, '', statistics.median(times_s) * 1000, 'ms')


def file_system_of(folder: Path) -> str:
    """Return the type of the file system that holds ``folder``."""
    mounts = [
        line.split()
        for line in Path('/proc/mounts').read_text(encoding='utf-8').split('\n')
        if line
    ]
    holding = [row for row in mounts if folder.is_relative_to(row[1])]
    return max(holding, key=lambda row: len(row[1]))[2]


async def measure(
    folder: Path,
    sizes: Sequence[int],
    callers: Sequence[int],
    log_lengths: Sequence[int],
    commands: int,
    idle_s: float,
    trials: int,
) -> list[Row]:
    """Run all measurements one after the other."""
    rows = [sync_row(folder)]
    for size in sizes:
        rows += await commit_rows(
            folder / f'commits{size}', size, callers, commands
        )
        rows += await idle_rows(folder / f'idle{size}', size, idle_s)
        rows += await failover_rows(folder / f'failover{size}', size, trials)
    for size_bytes in SNAPSHOT_BYTES:
        rows += await snapshot_rows(folder / f's{size_bytes}', size_bytes)
    for entries in log_lengths:
        rows += await recovery_rows(folder / f'log{entries}', entries)
        if entries:
            rows += await replacement_rows(folder / f'new{entries}', entries)
    return rows


def render(rows: Sequence[Row], conditions: dict) -> str:
    """Return a readable table."""
    lines = [f'{name}: {text}' for name, text in conditions.items()]
    lines.append('')
    lines.append(
        f'{"measure":<26}{"replicas":>8}  {"parameter":<16}{"value":>12}  unit',
    )
    lines.extend(
        f'{row.measure:<26}{row.replicas or "":>8}  {row.parameter:<16}'
        f'{row.value:>12.3f}  {row.unit}'
        for row in rows
    )
    return '\n'.join(lines)


@click.command()
@click.option('--replicas', 'sizes', multiple=True, type=int, default=(3, 5))
@click.option('--callers', multiple=True, type=int, default=(1, 16, 64, 256))
@click.option(
    '--log-length',
    'log_lengths',
    multiple=True,
    type=int,
    default=(0, 1000, 3000, 10_000),
)
@click.option('--commands', default=2000, help='Commands per measurement.')
@click.option('--idle-s', default=5.0, help='Seconds of idle measurement.')
@click.option('--trials', default=10, help='Leaders to end per group size.')
@click.option('--data-dir', default=None, help='Parent of the data folders.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def main(
    sizes: tuple[int, ...],
    callers: tuple[int, ...],
    log_lengths: tuple[int, ...],
    commands: int,
    idle_s: float,
    trials: int,
    data_dir: str | None,
    as_json: bool,
) -> None:
    """Measure replication on synced files and print the figures."""
    with tempfile.TemporaryDirectory(dir=data_dir) as name:
        folder = Path(name).resolve()
        conditions = {
            'setup': 'one process, one thread, one asyncio server per replica '
            'on loopback; syncs of all replicas follow one another',
            'storage': f'segment files on {file_system_of(folder)}, '
            'fdatasync before every acknowledgement',
            'command': f'{COMMAND_BYTES} bytes, {commands} per measurement',
            'recovery': 'single member, no snapshot; from start to the first '
            'read barrier',
            'replacement': 'group of three; from the start of an empty '
            'replacement until it is a voter',
            'failover': 'from the stop of the leader to the next commit',
            'load_average': ' '.join(f'{row:.1f}' for row in os.getloadavg()),
        }
        rows = asyncio.run(
            measure(
                folder, sizes, callers, log_lengths, commands, idle_s, trials
            ),
        )
    if as_json:
        figures = [asdict(row) for row in rows]
        click.echo(json.dumps({**conditions, 'figures': figures}, indent=2))
    else:
        click.echo(render(rows, conditions))


if __name__ == '__main__':
    main()
