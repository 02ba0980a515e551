"""A control host and an entry as processes of their own, on loopback.

The list of backend servers and one backend server run in the test process.
"""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
from aiohttp import web
from bench.local_cluster import free_ports
from tests.gateway_fakes import read_request

from kumquatrun.platform.settings import METRICS_PORTS, PATH_VARIABLE

# An address for each test process, because the metrics ports are fixed.
IP = f'127.42.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}'
SERVICE = 'assistant'
KEY = 'key-1'
READY_S = 30
STOP_S = 10
HEAD_LIMIT_BYTES = 4 * 1024 * 1024
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': name,
            'host': 'shop.example',
            'path_prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 20000,
            'target_latency_ms': 15000,
            'service': SERVICE,
            'max_attempts': 1,
            'public': True,
        }
        for name, kind in (('plain', 'non_idempotent'), ('stream', 'streaming'))
    ],
    'services': [
        {'name': SERVICE, 'health_path': '/health', 'max_connections': 390}
    ],
}


class Process:
    """One daemon; ``peak_bytes`` and ``descriptors`` read ``/proc``."""

    def __init__(self, role, folder, settings):
        self.role = role
        self._path = folder / f'{role}.json'
        self._log = folder / f'{role}.log'
        self._path.write_text(json.dumps(settings))

    async def start(self):
        environment = {**os.environ, PATH_VARIABLE: str(self._path)}
        with self._log.open('w') as log:
            self._child = await asyncio.create_subprocess_exec(
                *(sys.executable, '-m', 'kumquatrun', 'platform', self.role),
                env=environment,
                stdout=log,
                stderr=log,
            )
        return self

    @property
    def is_running(self):
        return self._child.returncode is None

    @property
    def peak_bytes(self):
        status = Path(f'/proc/{self._child.pid}/status').read_text()
        line = next(row for row in status.splitlines() if 'VmHWM' in row)
        return int(line.split()[1]) * 1024

    @property
    def descriptors(self):
        return len(os.listdir(f'/proc/{self._child.pid}/fd'))

    @property
    def log(self):
        return self._log.read_text()

    async def stop(self):
        if not self.is_running:
            return
        self._child.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_S):
                await self._child.wait()
        if self.is_running:
            self._child.kill()
            await self._child.wait()


class Backend:
    """Answers each request with ``body``; streams send it without an end."""

    def __init__(self, body=b'done'):
        self.body = body
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, IP, 0, limit=HEAD_LIMIT_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        # Lets the loop report the lost connections before it ends.
        await asyncio.sleep(0.1)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                await self._respond(reader, writer)
        writer.transport.abort()

    async def _respond(self, reader, writer):
        head, headers, _ = await read_request(reader)
        attempt = headers.get('x-kumquatrun-attempt-id', '')
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: {attempt}\r\n'.encode()
        )
        if ' /stream/' not in head:
            size = len(self.body)
            writer.write(b'Content-Length: %d\r\n\r\n' % size + self.body)
            await writer.drain()
            return
        writer.write(
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        event = b'data: %s\n\n' % (b'x' * 4096)
        while True:
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()


class OwnProcesses:
    """The processes, and the addresses of the entry."""

    def __init__(self, folder, limits):
        self.backend = Backend()
        self._folder = folder
        self._limits = limits
        self.ports = dict(
            zip(
                ('front', 'ready', 'control', 'list'),
                free_ports(4),
                strict=True,
            )
        )
        self._internal_port = free_ports(1)[0]
        self.addresses = {
            'callers': self.ports['front'],
            'readiness': self.ports['ready'],
            'operator': self.ports['control'],
            'entry metrics': METRICS_PORTS['entry'],
            'control metrics': METRICS_PORTS['control'],
            'control hosts': self._internal_port,
            'directory': self._internal_port + 1,
        }

    def _settings(self, role):
        return {
            'node_name': 'host-1',
            'ip': IP,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                name: f'{IP}:{self.ports[name]}'
                for name in ('front', 'ready', 'control')
            },
            'internal_ports': [self._internal_port, self._internal_port + 15],
            'seeds': [f'{IP}:{self.ports["control"]}'],
            'bootstrap': True,
            'limits': self._limits,
            'data_dir': str(self._folder / role),
            'tolerate': {'machines': 0, 'zones': 0, 'regions': 0},
            'bounds': {'grace_s': 2},
            'cloud': {'address': f'{IP}:{self.ports["list"]}'},
        }

    async def start(self):
        await self.backend.start()
        app = web.Application()
        app.router.add_get('/instances', self._list)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, IP, self.ports['list']).start()
        self.control = Process(
            'control', self._folder, self._settings('control')
        )
        self.entry = Process('entry', self._folder, self._settings('entry'))
        await self.control.start()
        await self.entry.start()
        async with asyncio.timeout(READY_S):
            await self._until(200, 'control', 'POST', '/Config.Put')
            await self._until(200, 'ready', 'GET', '/readyz')

    async def stop(self):
        for process in (self.entry, self.control):
            await process.stop()
        await self._runner.cleanup()
        await self.backend.stop()

    async def _list(self, request):
        row = {
            'id': 'backend-1',
            'service': SERVICE,
            'address': self.backend.address,
            'zone': 'a',
            'slots': 1000,
            'state': 'ready',
        }
        return web.json_response({'instances': [row], 'next_token': None})

    async def _until(self, status, name, method, path):
        url = f'http://{IP}:{self.ports[name]}{path}'
        async with aiohttp.ClientSession() as http:
            while True:
                assert self.entry.is_running, self.entry.log
                with suppress(aiohttp.ClientError):
                    async with http.request(
                        method, url, data=json.dumps(CONFIGURATION)
                    ) as response:
                        if response.status == status:
                            return
                await asyncio.sleep(0.1)

    async def connect(self, name='callers'):
        """Return reader and writer of a new connection to an address."""
        return await asyncio.open_connection(IP, self.addresses[name])

    async def ask(self, body=b'x', path='/plain/a'):
        """Return the status of one ordinary request."""
        reader, writer = await self.connect()
        try:
            writer.write(request_bytes(path, 'ordinary', body))
            async with asyncio.timeout(20):
                return int((await reader.readline()).split(b' ')[1])
        finally:
            writer.transport.abort()

    async def ask_again(self):
        """Repeat an ordinary request that is refused; return its status."""
        status = 503
        async with asyncio.timeout(READY_S):
            while status == 503:
                with suppress(OSError, EOFError, IndexError):
                    status = await self.ask()
        return status


def request_bytes(path, request_id, body=b'', *extra):
    """Return the bytes of one request."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Kumquatrun-Attempt-Id: {request_id}',
        'X-Kumquatrun-Deadline-Ms: 15000',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


@asynccontextmanager
async def own_processes(folder, **limits):
    started = OwnProcesses(folder, limits)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()
