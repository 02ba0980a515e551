"""Small deployment on loopback for the review cases.

Starts the project's programs with the ``run`` lines of the deploy file, each on
a loopback address of its own, and provides the stand-ins: the list of
instances, runners and clients, as the users' pages describe them.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
ZONES = {'zone-a': 'north', 'zone-b': 'north', 'zone-c': 'south'}
HOST = 'shop.example'
KEY = 'n7qk2v0d5s8w1x4z6b9m'
TENANT = 'tenant-one'
START_LIMIT_S = 40.0
STOP_LIMIT_S = 9.0
RUNS = DEPLOY['roles']


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        now_s = time.monotonic() - self._began_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now_s:8.3f} {event} {text}\n')
        self._file.flush()


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Program:
    """One process of the system."""

    def __init__(self, role: str, settings: dict, folder: Path) -> None:
        self.role = role
        self.ip = settings['ip']
        self.settings = settings
        self.name = f'{role}-{settings["node_name"]}'
        self._path = folder / f'{self.name}.json'
        self._log = folder / f'{self.name}.log'
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the settings as they are now."""
        self._path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['KUMQUATRUN_BOOT'] = str(self._path)
        environment.update(RUNS[self.role].get('env', {}))
        with self._log.open('a') as log:
            self.child = subprocess.Popen(  # noqa: S603
                RUNS[self.role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def log_lines(self, *words: str) -> list[str]:
        """Return the log lines that contain all words."""
        if not self._log.exists():
            return []
        lines = self._log.read_text(errors='replace').splitlines()
        return [row for row in lines if all(word in row for word in words)]


class Deployment:
    """Three hosts with an entry and a control replica, and side hosts.

    ``sides`` maps the name of a side host to the zone and the service of its
    runner. ``thin_fronts`` hosts have an entry, but no disk and no replica.
    """

    def __init__(
        self,
        record: Record,
        sides: dict[str, tuple[str, str]] | None = None,
        thin_fronts: int = 0,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        chance = random.SystemRandom()
        net = f'127.{chance.randint(20, 250)}.{chance.randint(1, 250)}'
        self.list_ip = f'{net}.2'
        self.front_ips = {
            zone: f'{net}.{10 + number}' for number, zone in enumerate(ZONES)
        }
        self.side_ips = {
            name: f'{net}.{30 + number}'
            for number, name in enumerate(sides or {})
        }
        first = next(iter(self.front_ips.values()))
        names = ('front', 'ready', 'control', 'app', 'list')
        self.ports = {name: free_port(first) for name in names}
        self.internal = chance.randint(21000, 29000)
        self.instances: list[dict] = []
        self.programs: list[Program] = []
        for zone in ZONES:
            for role in ('control', 'entry'):
                self._add(role, self._front(zone, role))
        self.thin: list[Program] = []
        for number in range(thin_fronts):
            zone = list(ZONES)[number % len(ZONES)]
            settings = self._thin(zone, f'{net}.{60 + number}', number)
            self._add('entry', settings)
            self.thin.append(self.programs[-1])
        for name, (zone, service) in (sides or {}).items():
            self._add('agent', self._side(name, zone, service))
        self._list_server: asyncio.Server | None = None

    def _add(self, role: str, settings: dict) -> None:
        self.programs.append(Program(role, settings, self.folder))

    def program(self, role: str, ip: str) -> Program:
        """Return the process of a role at an address."""
        return next(
            row for row in self.programs if (row.role, row.ip) == (role, ip)
        )

    def entries(self) -> list[Program]:
        """Return the entries."""
        return [row for row in self.programs if row.role == 'entry']

    def _common(self, ip: str, zone: str) -> dict:
        seeds = [
            f'{ip}:{self.ports["control"]}' for ip in self.front_ips.values()
        ]
        return {
            'ip': ip,
            'zone': zone,
            'region': ZONES[zone],
            'zones': ZONES,
            'internal_ports': [self.internal, self.internal + 15],
            'seeds': seeds,
            'bootstrap': True,
            'discovery': 'cloud_api',
            'entry': 'virtual_ip',
            'heartbeat_ms': 1200,
            'contracts': [
                *('base', 'drain', 'config', 'cost', 'retry', 'recover'),
                *('fleet', 'stream', 'engine', 'tenants', 'quota'),
            ],
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'cloud': {
                'address': f'{self.list_ip}:{self.ports["list"]}',
                'rate_per_s': 47.0,
                'duties': [],
                'max_lag_ms': 800,
            },
        }

    def _front(self, zone: str, role: str) -> dict:
        ip = self.front_ips[zone]
        return {
            **self._common(ip, zone),
            'node_name': f'front-{zone}-1',
            'role': role,
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'listen': {
                name: f'{ip}:{self.ports[name]}'
                for name in ('front', 'ready', 'control')
            },
            'in_fault_budget': True,
            'limits': {
                'cpu_share': 0.968,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 64,
            },
            'data_dir': str(self.folder / f'data-{zone}-{role}'),
        }

    def _thin(self, zone: str, ip: str, number: int) -> dict:
        settings = self._front(zone, 'entry')
        return {
            **settings,
            **self._common(ip, zone),
            'node_name': f'front-{zone}-{number + 2}',
            'listen': {
                name: f'{ip}:{self.ports[name]}'
                for name in ('front', 'ready', 'control')
            },
            'in_fault_budget': False,
            'data_dir': None,
        }

    def _side(self, name: str, zone: str, service: str) -> dict:
        ip = self.side_ips[name]
        return {
            **self._common(ip, zone),
            'node_name': f'side-{zone}-{name}',
            'role': 'agent',
            'machine_class': 'side',
            'serves': ['side', 'control'],
            'listen': {'control': f'{ip}:{self.ports["control"]}'},
            'in_fault_budget': False,
            'limits': {
                'cpu_share': 0.86,
                'cores': 1,
                'memory_mb': 232,
                'max_fds': 4096,
                'link_mbps': 2000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'app': f'{ip}:{self.ports["app"]}',
            'service': service,
        }

    def app_address(self, side: str) -> tuple[str, int]:
        """Return the address of the runner on a side host."""
        return self.side_ips[side], self.ports['app']

    async def start(self, configuration: dict) -> None:
        """Start all processes, put the first config, wait until ready."""
        self._list_server = await asyncio.start_server(
            self._serve_list, self.list_ip, self.ports['list']
        )
        for program in self.programs:
            program.start()
        until_s = time.monotonic() + START_LIMIT_S
        while await self.put(configuration) != 200:
            if time.monotonic() > until_s:
                raise TimeoutError('the first config was not accepted')
            await asyncio.sleep(0.2)
        for program in self.entries():
            while await self.ready(program) != 200:
                if time.monotonic() > until_s:
                    raise TimeoutError(f'{program.name} is not ready')
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGTERM)
        until_s = time.monotonic() + STOP_LIMIT_S
        for program in self.programs:
            child = program.child
            while child is not None and child.poll() is None:
                if time.monotonic() > until_s:
                    child.kill()
                    child.wait()
                    break
                await asyncio.sleep(0.05)
        if self._list_server is not None:
            self._list_server.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put(
        self, configuration: dict, entry: Program | None = None
    ) -> int:
        """Put a config at an entry; return the status, 0 for none."""
        entry = entry or self.entries()[0]
        status, _, _ = await call(
            (entry.ip, self.ports['control']),
            'POST',
            '/Config.Put',
            {'Content-Type': 'application/json'},
            json.dumps(configuration).encode(),
            timeout_s=2.0,
        )
        self.record('operator', put=configuration['version'], status=status)
        return status

    async def ready(self, entry: Program) -> int:
        """Return the status of a readiness check."""
        address = (entry.ip, self.ports['ready'])
        status, _, _ = await call(address, 'GET', '/readyz', {}, b'', 1.0)
        return status

    async def _serve_list(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                body = json.dumps(
                    {'instances': self.instances, 'next_token': None}
                ).encode()
                write_response(writer, 200, {'Content-Type': JSON}, body)
        except (OSError, EOFError):
            return
        finally:
            writer.close()


JSON = 'application/json'
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


# HTTP, as far as the cases need it.


async def read_message(reader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return first, headers, await _read_chunks(reader)
    length = int(headers.get('content-length', 0))
    return first, headers, await reader.readexactly(length)


async def _read_chunks(reader) -> bytes:
    body = b''
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def write_response(writer, status: int, headers: dict, body: bytes) -> None:
    """Write a response with a length."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode() + body)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; status 0 for no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if 'Host' not in headers:
                lines.append(f'Host: {address[0]}')
            lines += [f'Content-Length: {len(body)}', '', '']
            writer.write('\r\n'.join(lines).encode() + body)
            answer = await read_message(reader)
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.transport.abort()
    if answer is None:
        return 0, {}, b''
    return int(answer[0].split()[1]), answer[1], answer[2]
