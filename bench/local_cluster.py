"""Starts a small cluster on loopback as separate processes and ends it.

This is a launcher for demonstrations and measurements, not a daemon: the
daemons themselves start no processes.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

LOOPBACK = '127.0.0.1'
STOP_TIMEOUT_S = 8
READY_TIMEOUT_S = 20
POLL_S = 0.1
LOG_TAIL_LINES = 12
FAILURE_DOMAINS = ('domain-a', 'domain-b', 'domain-c')
# Every log line is written by one of these programs.
DAEMON = ('-m', 'kumquatrun')
STANDIN = ('-c', 'from kumquatrun_standins.cli import main; main()')


class ClusterError(RuntimeError):
    """Reports a process or command that failed."""


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports that are free on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


@dataclass
class Process:
    """One started process.

    ``stop_stage`` orders the stop of the cluster: processes of a lower stage
    are stopped before those of a higher one.
    """

    name: str
    popen: subprocess.Popen
    log_path: Path
    stop_stage: int
    expected_codes: tuple[int, ...]
    admin: str = ''

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-LOG_TAIL_LINES:])


@dataclass(frozen=True)
class Node:
    """Addresses of one daemon or stand-in."""

    name: str
    address: str
    admin: str = ''
    backend: str = ''


@dataclass
class LocalCluster:
    """Three control replicas, two entries, three agents and their stand-ins.

    Two agents serve the service ``assistant`` with one engine each, and one
    serves the plain service ``orders``.
    """

    output: Path
    entries: list[Node] = field(default_factory=list)
    agents: list[Node] = field(default_factory=list)
    replicas: list[Node] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        shutil.rmtree(self.output, ignore_errors=True)
        self.output.mkdir(parents=True)
        self._ports = iter(free_ports(32))
        self._environment = {
            **os.environ,
            'KUMQUATRUN_CLUSTER_TOKEN': secrets.token_urlsafe(24),
            'KUMQUATRUN_OPERATOR_TOKEN': secrets.token_urlsafe(24),
            'KUMQUATRUN_LOG_LEVEL': 'info',
            'KUMQUATRUN_REGION': 'local',
        }

    async def start(self) -> None:
        """Start all processes and wait until every daemon is ready."""
        store = self._start_standin('weight-store', 'weight-store')
        host_list = self._start_standin('host-list', 'host-list')
        self._environment['KUMQUATRUN_HOST_LIST_URL'] = (
            f'http://{host_list.address}'
        )
        self._start_replicas()
        store_url = f'http://{store.address}'
        for number in (1, 2):
            engine = self._start_standin(
                f'engine-{number}',
                'engine',
                '--weight-store-url',
                store_url,
            )
            self._start_agent(number, 'assistant', 'engine', engine)
        plain = self._start_standin('plain-service', 'plain-service')
        self._start_agent(3, 'orders', 'plain', plain)
        for number in (1, 2):
            self._start_entry(number)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until ``/readyz`` of every daemon answers with 200.

        Raises
        ------
        ClusterError
            If a process ended or is not ready in time.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(total=2)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for process in self.processes:
                while process.admin and not await _is_ready(session, process):
                    self.check_running()
                    if time.monotonic() > until_s:
                        raise ClusterError(f'{process.name} is not ready')
                    await asyncio.sleep(POLL_S)
        self.check_running()

    def check_running(self) -> None:
        """Raise ``ClusterError`` if a process has ended."""
        for process in self.processes:
            code = process.popen.poll()
            if code is not None:
                raise ClusterError(f'{process.name} ended with code {code}')

    async def wait_for_end(self, name: str) -> int:
        """Wait until a process has ended by itself; returns its code.

        Raises
        ------
        ClusterError
            If it has not ended in time.
        """
        process = next(each for each in self.processes if each.name == name)
        until_s = time.monotonic() + STOP_TIMEOUT_S
        while time.monotonic() < until_s:
            code = process.popen.poll()
            if code is not None:
                return code
            await asyncio.sleep(POLL_S)
        raise ClusterError(f'{name} has not ended in {STOP_TIMEOUT_S} s')

    async def operate(self, *arguments: str) -> dict[str, Any]:
        """Run an operator command and return its JSON result."""
        command = [sys.executable, *DAEMON, *arguments, '--json']
        process = await asyncio.create_subprocess_exec(
            *command,
            env={
                **self._environment,
                'KUMQUATRUN_CONTROL_ADDRESSES': self._control_addresses(),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        if process.returncode:
            text = (output + errors).decode(errors='replace')
            raise ClusterError(f'{" ".join(arguments[:2])} failed: {text}')
        return json.loads(output)['result']

    def stop(self) -> list[str]:
        """Stop all processes by id; returns one line per unexpected end."""
        faults: list[str] = []
        for stage in sorted({process.stop_stage for process in self.processes}):
            group = [
                process
                for process in self.processes
                if process.stop_stage == stage
            ]
            for process in group:
                if process.popen.poll() is None:
                    process.popen.send_signal(signal.SIGTERM)
            faults.extend(filter(None, map(_wait_for_end, group)))
        return faults

    def secrets_in_logs(self, keys: Sequence[str]) -> list[str]:
        """Return the names of processes whose logs contain a secret."""
        tokens = (
            self._environment['KUMQUATRUN_CLUSTER_TOKEN'],
            self._environment['KUMQUATRUN_OPERATOR_TOKEN'],
        )
        return [
            process.name
            for process in self.processes
            if any(
                secret in process.log_path.read_text(errors='replace')
                for secret in (*tokens, *keys)
            )
        ]

    def log_tails(self) -> str:
        """Return the last log lines of every process that has any."""
        parts = []
        for process in self.processes:
            tail = process.log_tail()
            if tail:
                parts.append(f'--- {process.name} ({process.log_path})\n{tail}')
        return '\n'.join(parts)

    def _address(self) -> str:
        return f'{LOOPBACK}:{next(self._ports)}'

    def _control_addresses(self) -> str:
        return ','.join(node.address for node in self.replicas)

    def _start_replicas(self) -> None:
        for number, _ in enumerate(FAILURE_DOMAINS, start=1):
            node = Node(f'control-{number}', self._address(), self._address())
            self.replicas.append(node)
        members = ','.join(f'{n.name}={n.address}' for n in self.replicas)
        for node, domain in zip(self.replicas, FAILURE_DOMAINS, strict=True):
            self._start_daemon(
                node,
                'control',
                domain,
                replica_id=node.name,
                replica_listen=node.address,
                control_data_dir=str(self.output / f'{node.name}-data'),
                replicas=members,
            )

    def _start_agent(
        self,
        number: int,
        service: str,
        kind: str,
        backend: Node,
    ) -> None:
        node = Node(
            f'agent-{number}',
            self._address(),
            self._address(),
            f'http://{backend.address}',
        )
        self.agents.append(node)
        self._start_daemon(
            node,
            'agent',
            FAILURE_DOMAINS[number - 1],
            listen=node.address,
            service=service,
            backend_url=node.backend,
            backend_kind=kind,
            control_addresses=self._control_addresses(),
        )

    def _start_entry(self, number: int) -> None:
        node = Node(f'entry-{number}', self._address(), self._address())
        self.entries.append(node)
        self._start_daemon(
            node,
            'entry',
            FAILURE_DOMAINS[number - 1],
            http_listen=node.address,
            control_addresses=self._control_addresses(),
        )

    def _start_daemon(
        self,
        node: Node,
        daemon: str,
        failure_domain: str,
        **settings: str,
    ) -> None:
        flags = []
        for name, value in settings.items():
            flags.extend(('--' + name.replace('_', '-'), value))
        stages = {'entry': 0, 'agent': 1, 'control': 2}
        process = self._start_process(
            node.name,
            [
                *DAEMON,
                daemon,
                '--host-id',
                node.name,
                '--failure-domain',
                failure_domain,
                '--admin-listen',
                node.admin,
                *flags,
            ],
            stop_stage=stages[daemon],
            expected_codes=(0,),
        )
        process.admin = node.admin

    def _start_standin(self, name: str, kind: str, *flags: str) -> Node:
        node = Node(name, self._address())
        self._start_process(
            name,
            [*STANDIN, kind, '--listen', node.address, *flags],
            stop_stage=3,
            expected_codes=(0, -signal.SIGTERM),
        )
        return node

    def _start_process(
        self,
        name: str,
        arguments: Sequence[str],
        stop_stage: int,
        expected_codes: tuple[int, ...],
    ) -> Process:
        log_path = self.output / f'{name}.log'
        with log_path.open('wb') as log_file:
            # The program is this interpreter with arguments from this file.
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )
        process = Process(name, popen, log_path, stop_stage, expected_codes)
        self.processes.append(process)
        return process


async def _is_ready(session: aiohttp.ClientSession, process: Process) -> bool:
    try:
        async with session.get(f'http://{process.admin}/readyz') as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


def _wait_for_end(process: Process) -> str:
    try:
        code = process.popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        process.popen.wait()
        return f'{process.name} did not stop in {STOP_TIMEOUT_S} s'
    if code not in process.expected_codes:
        return f'{process.name} ended with code {code}'
    return ''
