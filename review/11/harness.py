"""A small deployment of the project's programs on loopback, with stand-ins.

Three front machines with a disk, each with an entry and a control process that
are started with the ``run`` lines of the deploy file. Each machine has a
loopback address of its own. The platform's list, the runners and the clients
are small stand-ins that follow the users' pages. Only the standard library is
used.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
import traceback
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
HOST = 'ficu95.example'
KEY = 'key-one'
ZONES = {'a': 'r1', 'b': 'r1', 'c': 'r2'}
FRONT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229
LIST_PORT = 8225
RUNNER_PORT = 8185
READY_LIMIT_S = 20.0
PUT_TRIES = 60
PUT_PAUSE_S = 0.3
PUT_LIMIT_S = 1.5
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2500,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'revoke_fail_closed': False,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 64,
    'quota_window_s': 8,
    'quota_overage': 0.1,
    'quota_slack': 11000,
    'recovery_s': 12,
    'pass_ms': 200,
    'retry_after_s': 0,
    'fencing_enforced': True,
    'lease_ms': 3000,
    'thaw_slack_ms': 300,
    'ceiling_window_s': 5,
    'origin_rate_overage': 1.1,
    'version_ms': 5000,
}
CONTRACTS = [
    'base',
    'drain',
    'config',
    'cost',
    'retry',
    'recover',
    'fleet',
    'stream',
    'engine',
    'tenants',
    'quota',
]
CALL_ERRORS = (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError)
CLOSED = (OSError, EOFError, asyncio.CancelledError)

Fields = dict[str, str]
_started_s = time.monotonic()


def now() -> float:
    """Return the seconds since the script began."""
    return time.monotonic() - _started_s


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.write_text('')

    def __call__(self, *words: object) -> None:
        """Write one line with its time."""
        line = ' '.join(map(str, words))
        with self._path.open('a') as output:
            output.write(f'{now():8.3f} {line}\n')


class Machine:
    """One front machine with its settings and processes."""

    def __init__(self, cluster: 'Cluster', number: int, zone: str) -> None:
        self.cluster = cluster
        self.zone = zone
        self.ip = f'{cluster.net}.{number}'
        self.is_first_start = True
        self.processes: dict[str, subprocess.Popen] = {}
        self._folder = cluster.folder / f'machine-{number}'
        self._folder.mkdir()

    def start(self, role: str) -> None:
        """Start the process of a role as the deploy file says."""
        settings = self._folder / f'{role}.json'
        settings.write_text(json.dumps(self._settings(role)))
        kept = {name: os.environ[name] for name in ('PATH', 'HOME')}
        environment = {
            **kept,
            **ROLES[role].get('env', {}),
            'KUMQUATRUN_BOOT': str(settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self._folder / f'{role}.log').open('a') as log:
            self.processes[role] = subprocess.Popen(  # noqa: S603
                ROLES[role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, role: str) -> None:
        """Kill the process of a role and wait for its end."""
        self.processes[role].send_signal(signal.SIGKILL)
        self.processes[role].wait()

    def _settings(self, role: str) -> dict[str, Any]:
        return {
            'node_name': f'front-{self.zone}',
            'role': role,
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': self.ip,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'listen': {
                'front': f'{self.ip}:{FRONT_PORT}',
                'ready': f'{self.ip}:{READY_PORT}',
                'control': f'{self.ip}:{CONTROL_PORT}',
            },
            'internal_ports': [7600, 7615],
            'seeds': self.cluster.seeds,
            'bootstrap': self.is_first_start,
            'in_fault_budget': True,
            'limits': {
                'cpu_share': 0.968,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 64,
            },
            'data_dir': str(self._folder / 'data'),
            'discovery': 'cloud_api',
            'entry': 'virtual_ip',
            'heartbeat_ms': 1200,
            'contracts': CONTRACTS,
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'cloud': {
                'address': f'{self.cluster.net}.200:{LIST_PORT}',
                'rate_per_s': 47.0,
                'duties': [],
                'max_lag_ms': 800,
            },
        }


class Cluster:
    """Three machines, the platform's list and the operator.

    ``render_list`` may replace the body of the list; it gets the entries.
    """

    def __init__(self, record: Record) -> None:
        rng = random.SystemRandom()
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{rng.randint(10, 250)}.{rng.randint(1, 250)}'
        self.seeds = [f'{self.net}.{n}:{CONTROL_PORT}' for n in (1, 2, 3)]
        self.machines = [
            Machine(self, number, zone)
            for number, zone in enumerate(ZONES, start=1)
        ]
        self.runners: list[Runner] = []
        self.servers: list[asyncio.Server] = []
        self.render_list: Callable[[list[dict]], bytes] = _list_body

    async def start(self, fields: dict[str, Any]) -> bool:
        """Start everything; return whether a config is in force."""
        for runner in self.runners:
            await runner.start()
        self.servers.append(
            await asyncio.start_server(
                self._serve_list, f'{self.net}.200', LIST_PORT
            )
        )
        for machine in self.machines:
            machine.start('control')
            machine.start('entry')
        return await self._put(fields) and await self._are_ready()

    def stop(self) -> None:
        """End all processes that were started, and remove their files."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CLOSED):
            while await read_head(reader) is not None:
                rows = [runner.listing() for runner in self.runners]
                kind = {'Content-Type': 'application/json'}
                await reply(writer, 200, kind, self.render_list(rows))
        writer.close()

    async def _put(self, fields: dict[str, Any]) -> bool:
        body = json.dumps(fields).encode()
        for number in range(PUT_TRIES):
            ip = self.machines[number % len(self.machines)].ip
            status: object
            try:
                status, _, _ = await call(
                    (ip, CONTROL_PORT),
                    'POST /Config.Put',
                    {'Host': 'operator'},
                    body,
                    PUT_LIMIT_S,
                )
            except CALL_ERRORS as error:
                status = type(error).__name__
            self.record('operator', 'sends the config to', ip, status)
            if status == 200:
                return True
            await asyncio.sleep(PUT_PAUSE_S)
        return False

    async def _are_ready(self) -> bool:
        ends_s = now() + READY_LIMIT_S
        waiting = [machine.ip for machine in self.machines]
        while waiting and now() < ends_s:
            with contextlib.suppress(*CALL_ERRORS):
                status, _, _ = await call(
                    (waiting[0], READY_PORT), 'GET /readyz', {'Host': 'x'}
                )
                if status == 200:
                    waiting.pop(0)
                    continue
            await asyncio.sleep(0.1)
        return not waiting


class Runner:
    """A runner of a plain service.

    ``behave`` gets the runner and the fields of a request. It returns whether
    the runner runs the request; otherwise it has answered it itself.
    """

    def __init__(
        self,
        cluster: Cluster,
        number: int,
        service: str,
        behave: 'Behaviour | None' = None,
    ) -> None:
        self.cluster = cluster
        self.number = number
        self.service = service
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        self.ip = f'{cluster.net}.{100 + number}'
        self.work_s = 0.02
        self._behave = behave
        self._born_ms = int(time.time() * 1000)
        cluster.runners.append(self)

    def listing(self) -> dict[str, Any]:
        """Return the entry of the platform's list."""
        return {
            'service': self.service,
            'address': f'{self.ip}:{RUNNER_PORT}',
            'zone': 'abc'[self.number % 3],
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'born': self._born_ms,
            'id': self.id,
        }

    async def start(self) -> None:
        """Listen."""
        self.cluster.servers.append(
            await asyncio.start_server(self._serve, self.ip, RUNNER_PORT)
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CLOSED):
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await read_body(reader, fields)
                await self._answer(line, fields, writer)
        writer.close()

    async def _answer(
        self, line: str, fields: Fields, writer: asyncio.StreamWriter
    ) -> None:
        path = line.split()[1]
        own = {'X-Kumquatrun-Instance-Id': self.id}
        if path == '/health':
            await reply(writer, 200, own, b'')
            return
        request_id = fields.get('x-kumquatrun-attempt-id', '')
        own['X-Kumquatrun-Attempt-Id'] = request_id
        expected = fields.get('x-kumquatrun-expect-instance')
        if expected and expected != self.id:
            own['X-Kumquatrun-Not-Executed'] = '1'
            await reply(writer, 421, own, b'')
            return
        if self._behave and not await self._behave(self, path, fields, writer):
            return
        record = self.cluster.record
        record('runner', self.number, 'of', self.service, 'runs', request_id)
        await asyncio.sleep(self.work_s)
        own['X-Kumquatrun-Response-Signature'] = f'{self.id}.{request_id}'
        await reply(writer, 200, own, b'ok ' + request_id.encode())


Behaviour = Callable[
    [Runner, str, Fields, asyncio.StreamWriter], Awaitable[bool]
]


def _list_body(rows: list[dict]) -> bytes:
    return json.dumps({'instances': rows, 'next_token': None}).encode()


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Fields] | None:
    """Return the first line and the fields; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Return a body with a length; empty without one."""
    return await reader.readexactly(int(fields.get('content-length', '0')))


async def reply(
    writer: asyncio.StreamWriter, status: int, fields: Fields, body: bytes
) -> None:
    """Send an answer with a length."""
    lines = [f'{name}: {value}' for name, value in fields.items()]
    head = '\r\n'.join(
        [f'HTTP/1.1 {status} X', *lines, f'Content-Length: {len(body)}']
    )
    writer.write(head.encode() + b'\r\n\r\n' + body)
    await writer.drain()


async def call(
    address: tuple[str, int],
    target: str,
    fields: Fields,
    body: bytes = b'',
    limit_s: float = 2.0,
) -> tuple[int, Fields, bytes]:
    """Send a request on a new channel; return status, fields and body."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f'{name}: {value}' for name, value in fields.items()]
            if not target.startswith('GET '):
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join([f'{target} HTTP/1.1', *lines])
            writer.write(head.encode() + b'\r\n\r\n' + body)
            answer = await read_head(reader)
            if answer is None:
                raise EOFError
            status = int(answer[0].split()[1])
            return status, answer[1], await read_body(reader, answer[1])
        finally:
            writer.close()


def route(
    prefix: str, service: str, kind: str, **more: object
) -> dict[str, Any]:
    """Return a route of the host."""
    return {
        'name': f'r-{prefix}',
        'host': HOST,
        'path_prefix': f'/{prefix}/',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'priority': 2,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def service(name: str) -> dict[str, Any]:
    """Return a plain service."""
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': 130,
        'protocol': 'h1',
        'tls': False,
    }


def config() -> dict[str, Any]:
    """Return a config with bookings and lookups of one service."""
    return {
        'version': 3,
        'routes': [
            route('book', 'desk', 'non_idempotent'),
            route('look', 'desk', 'idempotent', max_attempts=2),
        ],
        'services': [service('desk')],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'ten1',
                'api_keys': [KEY],
                'priority': 1,
                'unit': 'token_route',
                'plain_tokens': 1,
                'rate_per_s': 0,
                'burst': 0,
            }
        ],
    }


async def ask(
    cluster: Cluster, number: int, target: str, **more: str
) -> tuple[object, Fields]:
    """Send a client's request to one of the machines by turns.

    ``more`` are further fields, with underscores for hyphens. Returns status
    and fields, or the name of an error.
    """
    machine = cluster.machines[number % len(cluster.machines)]
    request_id = uuid.uuid4().hex[:16]
    fields = {
        'Host': HOST,
        'X-Kumquatrun-Attempt-Id': request_id,
        'X-Kumquatrun-Deadline-Ms': '2000',
        'Api-Key': KEY,
    }
    fields |= {name.replace('_', '-'): more[name] for name in more}
    limit_s = int(fields['X-Kumquatrun-Deadline-Ms']) / 1000
    body = b'' if target.startswith('GET ') else b'x'
    cluster.record('client', 'sends', request_id, machine.ip, target)
    status: object
    try:
        status, answer, _ = await call(
            (machine.ip, FRONT_PORT), target, fields, body, limit_s
        )
    except CALL_ERRORS as error:
        status, answer = type(error).__name__, {}
    cluster.record('client', 'gets', request_id, status)
    return status, answer


def main(
    play: Callable[[Cluster], Awaitable[int]], folder: Path, limit_s: float
) -> int:
    """Play a case; return the exit code, 2 if it takes too long."""

    async def run() -> int:
        cluster = Cluster(Record(folder / 'record.txt'))
        try:
            async with asyncio.timeout(limit_s):
                return await play(cluster)
        except Exception:
            # The case could not run; only a broken rule may give 1.
            traceback.print_exc()
            return 2
        finally:
            cluster.stop()

    return asyncio.run(run())
