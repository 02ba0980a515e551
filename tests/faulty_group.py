"""A control group and its operator under faults, in simulated time.

Three hosts have a replica, others only answer the operator. Hosts pause, lose
power or their disks, are replaced or cut off; disks stall or are full; settings
name other hosts. The operator tries one host after the other, and answers to
the operator may be lost.
"""

import asyncio
import errno
import math
import random
import uuid
from collections import deque
from typing import NamedTuple

import pytest
from tests.control_group import (
    ACKNOWLEDGEMENT_BOUND_S,
    OPERATOR_TIMEOUT_S,
    REGIONS,
    STABLE_AFTER_S,
    large_configuration,
)
from tests.operator_host import OperatorHost, build_control
from tests.simulated_network import SimulatedNetwork
from tests.simulated_time import HostLoop, run_simulated

from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.control.configuration_register import NameAdapterVersion
from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.roles.configuration_upload import build_change
from kumquatrun.platform.configuration import decode_configuration

# Delay of the host list, time to catch up after a start, and the backoff and
# open changes of the operator.
SEED_LAG_S = 3.0
CATCH_UP_S = 4.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.7
MAX_OPEN_CHANGES = 8
# No working host stays outside its group for longer than this after the last
# fault: it finds a directory and joins, and a silent member is removed.
OUTSIDE_LIMIT_S = 8.0
# Time from the start of a process to its first callback.
START_S = 0.4
RESTART_S = 0.2


class FaultyDisk(MemoryStorage):
    """Disk that outlives the processes of its host and can stall or be full."""

    def __init__(self, loop, rng):
        super().__init__()
        self.process = ''
        self.is_stalled = False
        self.is_full = False
        self._loop = loop
        self._rng = rng

    def lose_power(self):
        self.crash(self._rng.randrange(4))

    def stall(self):
        self.is_stalled = True

    def repair(self):
        self.is_full = False
        if self.is_stalled:
            self.is_stalled = False
            self._loop.release(self.process)

    def append(self, entries):
        self._check()
        super().append(entries)

    def sync(self):
        self._check()
        super().sync()

    def save_meta(self, meta):
        self._check()
        super().save_meta(meta)

    def _check(self):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'no space left on device')
        if self.is_stalled:
            self._loop.hold(self.process)


class SentChange(NamedTuple):
    task: asyncio.Task
    sent_s: float


class HostProcess:
    """One run of the processes on a host, which stop and start together."""

    def __init__(self, name, host):
        self.name = name
        self.host = host
        self.is_stopping = False
        self.is_dead = False

    @property
    def has_replica(self):
        return self.host.control is not None

    @property
    def serves(self):
        return not self.is_dead and self.host.serves


class FaultyGroup:
    """Hosts by address; no address is reused for another host.

    ``more_hosts`` hosts answer the operator without a replica. A process starts
    with the settings in force at that time, which name ``seeds``.
    """

    def __init__(self, monkeypatch, seed, more_hosts=2):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(dict(REGIONS))
        self.without_replica = {
            f'10.{1 + number % 3}.9.{number}': list(REGIONS.values())[
                number % 3
            ]
            for number in range(more_hosts)
        }
        self.network.regions.update(self.without_replica)
        self.network.install(monkeypatch)
        self.disks = {}
        self.processes = {}
        self.listed_hosts = []
        self.seeds = self.rng.sample(sorted(self.network.regions), 3)
        self.last_event_s = 0.0
        self.answers_lost = 0.0
        self.max_answers_lost = math.inf
        self.loss_detection_s = OPERATOR_TIMEOUT_S
        self.retries_same_host = False
        self.version = 0
        self._ended = []
        self._sent_changes = []
        self._tasks = []
        self._start_count = 0

    async def start(self):
        await self.start_hosts(self.network.regions)
        async with asyncio.timeout(5):
            while self.leader() is None:  # noqa: ASYNC110  # polls hosts
                await asyncio.sleep(0.05)

    async def start_hosts(self, hosts):
        """Start hosts for the first time, all at once."""
        self.listed_hosts = sorted(hosts)
        await asyncio.gather(
            *(
                self.start_host(host, is_first_start=True)
                for host in self.listed_hosts
            )
        )
        self._tasks.append(self.loop.create_task(self._follow_hosts()))

    async def stop(self):
        for task in (*self._tasks, *(row.task for row in self._sent_changes)):
            task.cancel()
        for disk in self.disks.values():
            disk.repair()
        self.loop.release_all()
        self.network.heal()
        for process in (*self._ended, *self.processes.values()):
            await process.host.stop()

    async def start_host(self, host, is_first_start=False):
        """Start the processes of a host with the settings in force."""
        self.network.powered_off.discard(host)
        self._start_count += 1
        name = f'{host}#{self._start_count}'
        random.seed(self.rng.random())
        with self.network.on(host, name):
            control = None
            if host not in self.without_replica:
                control = self._build_control(host, name, is_first_start)
            built = OperatorHost(
                host,
                self.network.regions[host],
                self.seeds,
                random.Random(self.rng.random()),
                control,
            )
            self.processes[host] = HostProcess(name, built)
            started = self.loop.create_task(built.start())
        await asyncio.wait([started], timeout=1)

    def _build_control(self, host, name, is_first_start):
        disk = self.disks.setdefault(host, FaultyDisk(self.loop, self.rng))
        disk.process = name
        return build_control(
            host,
            REGIONS,
            self.seeds,
            is_first_start=is_first_start,
            storage=disk,
        )

    def replicas(self):
        """Return the hosts that have a replica."""
        rows = self.processes.items()
        return [host for host, row in rows if row.has_replica]

    def leader(self):
        serving = [host for host, row in self.processes.items() if row.serves]
        return max(serving, key=self._term_of, default=None)

    def _term_of(self, host):
        return self.processes[host].host._host.replica.term

    def pick(self, role):
        """Return a host with a replica: the leader or a random other one."""
        leader = self.leader()
        if role == 'leader' and leader is not None:
            return leader
        running = [
            host
            for host in self.replicas()
            if not self.processes[host].is_dead and host != leader
        ]
        return self.rng.choice(sorted(running or self.replicas()))

    def record_event(self):
        """Record the time of an event that makes the group unstable."""
        self.last_event_s = self.loop.time()

    def hold(self, host):
        self.loop.hold(self.processes[host].name)

    def release(self, host):
        process = self.processes.get(host)
        if process is not None and not process.is_dead:
            self.loop.release(process.name)

    def end_process(self, host, power=False):
        """Kill a process; with ``power``, without a reset to its peers."""
        process = self.processes[host]
        if process.is_dead:
            return
        process.is_dead = True
        self.loop.hold(process.name)
        self._ended.append(process)
        if process.has_replica:
            self._crash_disk(self.disks[host], power)
        if power:
            self.network.powered_off.add(host)
            self.network.lose_power(host)
        else:
            self.network.reset_host(host)

    def _crash_disk(self, disk, power):
        disk.is_stalled = False
        if power:
            disk.lose_power()
        else:
            disk.crash(len(disk._written))

    async def stop_process(self, host):
        """Stop a process gracefully, as the platform does with SIGTERM."""
        process = self.processes[host]
        process.is_stopping = True
        with self.network.on(host, process.name):
            stopping = self.loop.create_task(process.host.stop())
        await asyncio.wait([stopping], timeout=8)
        self.end_process(host)

    def add_host(self, region):
        """Return the address of a new host."""
        number = len(self.network.regions) + 1
        host = f'10.{3 if region == "far" else 1}.0.{number}'
        self.network.regions[host] = region
        return host

    def remove_host(self, host):
        self.end_process(host, power=True)
        self.processes.pop(host)

    async def _follow_hosts(self):
        seen = deque()
        while True:
            now_s = self.loop.time()
            seen.append((now_s, list(self.processes)))
            while seen[0][0] < now_s - SEED_LAG_S:
                self.listed_hosts = seen.popleft()[1]
            await asyncio.sleep(0.25)

    def send_change(self, kind='configuration'):
        """Start to send a change; ``slowest_s`` evaluates it."""
        self.version += 1
        task = self.loop.create_task(
            self._send_until_acknowledged(self.version, kind)
        )
        self._sent_changes.append(SentChange(task, self.loop.time()))

    async def _send_until_acknowledged(self, version, kind):
        backoff_s = BACKOFF_MIN_S
        called_host = None
        lost_count = 0
        calls = []
        while True:
            hosts = [row for row in self.listed_hosts if row != called_host]
            if self.retries_same_host or not hosts:
                hosts = self.listed_hosts
            called_host = self.rng.choice(hosts)
            call = self.loop.create_task(
                self._call_host(called_host, version, kind)
            )
            calls.append(call)
            await asyncio.wait([call], timeout=OPERATOR_TIMEOUT_S)
            is_acknowledged = call.done() and call.result()
            may_be_lost = lost_count < self.max_answers_lost
            is_lost = may_be_lost and self.rng.random() < self.answers_lost
            if is_acknowledged and not is_lost:
                return self.loop.time()
            if is_acknowledged:
                lost_count += 1
                await asyncio.sleep(self.loss_detection_s)
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _call_host(self, host, version, kind):
        process = self.processes.get(host)
        is_open = self.network.passes('', host) and process is not None
        if not is_open or host in self.network.powered_off:
            await asyncio.Event().wait()
        if process.is_dead or process.is_stopping:
            return False
        with self.network.on(host, process.name):
            answer = self.loop.create_task(
                self._answer(process.host.proxy, version, kind)
            )
        await asyncio.wait([answer])
        return answer.result()

    async def _answer(self, proxy, version, kind):
        try:
            if kind == 'version':
                await proxy.name_version(
                    NameAdapterVersion(model='m', adapter='a', version=version)
                )
            else:
                content = large_configuration(version, 3, changed=0)
                await proxy.put(
                    build_change(decode_configuration(content), content)
                )
        except KumquatrunError:
            return False
        return True

    async def outside_hosts(self):
        """Return the running hosts that the group leaves outside.

        Waits until OUTSIDE_LIMIT_S after the last event; a group without a
        leader has no majority. A new host whose seeds are all gone is left
        out: the seeds are all that a host is told of others.
        """
        limit_s = self.last_event_s + OUTSIDE_LIMIT_S
        await asyncio.sleep(max(0, limit_s - self.loop.time()))
        leader = self.leader()
        if leader is None:
            return []
        members = self.processes[leader].host._host.replica.members
        voters = {row.disk_id for row in members if row.voter}
        return [
            host
            for host in self._settled_replicas()
            if self._disk_id(host) not in voters and self._knows_a_host(host)
        ]

    def _knows_a_host(self, host):
        search = self.processes[host].host.control._search
        return any(
            address.host != host and address.host in self.processes
            for address in search._addresses
        )

    def _disk_id(self, host):
        control = self.processes[host].host._host
        return control.replica.disk_id if control else ''

    def _settled_replicas(self):
        """Return the hosts whose replica and disk work."""
        return [
            host
            for host in self.replicas()
            if not self.processes[host].is_dead
            and not self.processes[host].is_stopping
            and not self.disks[host].is_stalled
            and not self.disks[host].is_full
            and not self.loop.is_held(self.processes[host].name)
        ]

    async def slowest_s(self):
        """Return the longest time to an acknowledgement in a stable group."""
        stable_s = self.last_event_s + STABLE_AFTER_S
        sent = list(self._sent_changes)
        await asyncio.wait(
            [row.task for row in sent], timeout=3 * ACKNOWLEDGEMENT_BOUND_S
        )
        return max(
            (row.task.result() if row.task.done() else float('inf'))
            - max(row.sent_s, stable_s)
            for row in sent
        )


def run_group(build_group, run_faults, seed):
    """Return the result of ``run_faults`` with a group, in simulated time.

    ``build_group`` takes the ``monkeypatch`` that installs the network.
    """

    async def run(monkeypatch):
        group = build_group(monkeypatch)
        try:
            return await run_faults(group)
        finally:
            await group.stop()

    ids = random.Random(seed)
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(
            uuid, 'uuid4', lambda: uuid.UUID(int=ids.getrandbits(128))
        )
        return run_simulated(run(monkeypatch), HostLoop)
