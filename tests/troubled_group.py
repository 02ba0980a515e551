"""A control group with its operator under troubles, in simulated time.

Hosts stand still, lose power or their disks, are replaced or cut off; disks
stall or are full; settings name other hosts. The operator tries one host after
the other, and its answers may be lost.
"""

import asyncio
import errno
import math
import random
from collections import deque
from typing import NamedTuple

from tests.control_group import (
    ACKNOWLEDGED_S,
    CALM_AFTER_S,
    PATIENCE_S,
    PORT,
    REGIONS,
    _empty_list,
    large_configuration,
)
from tests.simulated_network import SimulatedNetwork

from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.control.configuration_register import NameAdapterVersion
from kumquatrun.daemon.settings import ReplicaSettings
from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.roles.control import GatewayControl
from kumquatrun.gateway.roles.settings import GatewayControlSettings
from kumquatrun.peer import Address
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.runtime.clock import LoopClock

# Times of the platform.
SEED_LAG_S = 3.0
CATCH_UP_S = 4.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.7
MAX_OPEN_ORDERS = 8
# From the start of a process to its first callback.
START_S = 0.4
RESTART_S = 0.2


class FaultyDisk(MemoryStorage):
    """A disk that stays with its host and may stall or be full."""

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

    def work(self):
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


class ControlProcess:
    """One run of the control role on a host."""

    def __init__(self, name, control):
        self.name = name
        self.control = control
        self.is_stopping = False
        self.is_dead = False

    @property
    def serves(self):
        return not self.is_dead and self.control._host.service.serves


class TroubledGroup:
    """Control hosts by address; addresses are never used for other hosts."""

    def __init__(self, monkeypatch, seed):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(dict(REGIONS))
        self.network.install(monkeypatch)
        self.disks = {}
        self.processes = {}
        self.listed = []
        self.seeds = list(REGIONS)
        self.last_event_s = 0.0
        self.answers_lost = 0.0
        self.most_answers_lost = math.inf
        self.loss_noticed_s = PATIENCE_S
        self.asks_host_again = False
        self.version = 0
        self._ended = []
        self._orders = []
        self._tasks = []
        self._started = 0

    async def start(self):
        for host in REGIONS:
            await self.start_host(host, founds=True)
        self.listed = list(REGIONS)
        self._tasks.append(self.loop.create_task(self._follow_hosts()))
        async with asyncio.timeout(5):
            while self.leader() is None:  # noqa: ASYNC110  # polls hosts
                await asyncio.sleep(0.05)

    async def stop(self):
        for task in (*self._tasks, *(row.task for row in self._orders)):
            task.cancel()
        for disk in self.disks.values():
            disk.work()
        self.loop.release_all()
        self.network.heal()
        for process in (*self._ended, *self.processes.values()):
            await process.control.stop()

    async def start_host(self, host, founds=False):
        """Start the process of a host with the settings in force."""
        self.network.without_power.discard(host)
        self._started += 1
        name = f'{host}#{self._started}'
        disk = self.disks.setdefault(host, FaultyDisk(self.loop, self.rng))
        disk.process = name
        random.seed(self.rng.random())
        seeds = self.seed_addresses()
        settings = GatewayControlSettings(
            host_id=host,
            region=self.network.regions[host],
            control_addresses=seeds,
            listing_address=Address('10.200.0.1', 1),
            operator_listen=Address(host, 8229),
            replica=ReplicaSettings(
                replica_id=host,
                data_dir='',
                listen=Address(host, PORT),
                replicas=tuple((row.host, row) for row in seeds),
                join=not founds,
            ),
        )
        clock = LoopClock()
        with self.network.on(host, name):
            control = GatewayControl(
                settings, BackendListing(_empty_list, clock), clock
            )
            control._host.replica._storage = disk
            self.processes[host] = ControlProcess(name, control)
            started = self.loop.create_task(control.start())
        await asyncio.wait([started], timeout=1)

    def seed_addresses(self):
        return tuple(Address(row, PORT) for row in self.seeds)

    def leader(self):
        serving = [host for host, row in self.processes.items() if row.serves]
        return max(serving, key=self._term_of, default=None)

    def _term_of(self, host):
        return self.processes[host].control._host.replica.term

    def pick(self, role):
        """Return a host: the leader, or another one by lot."""
        leader = self.leader()
        if role == 'leader' and leader is not None:
            return leader
        running = [
            host
            for host, row in self.processes.items()
            if not row.is_dead and host != leader
        ]
        return self.rng.choice(sorted(running or self.processes))

    def note(self):
        """Record that an event ends the calm."""
        self.last_event_s = self.loop.time()

    def hold(self, host):
        self.loop.hold(self.processes[host].name)

    def release(self, host):
        process = self.processes.get(host)
        if process is not None and not process.is_dead:
            self.loop.release(process.name)

    def end_process(self, host, power=False):
        """End a process at once; with ``power`` without a word to others."""
        process = self.processes[host]
        if process.is_dead:
            return
        process.is_dead = True
        disk = self.disks[host]
        disk.is_stalled = False
        self.loop.hold(process.name)
        self._ended.append(process)
        if power:
            self.network.without_power.add(host)
            self.network.lose_power(host)
            disk.lose_power()
        else:
            disk.crash(len(disk._written))
            self.network.reset_host(host)

    async def stop_process(self, host):
        """Ask a process to stop, as the platform does with SIGTERM."""
        process = self.processes[host]
        process.is_stopping = True
        with self.network.on(host, process.name):
            stopping = self.loop.create_task(process.control.stop())
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
                self.listed = seen.popleft()[1]
            await asyncio.sleep(0.25)

    def send_change(self, kind='configuration'):
        """Begin to send a change; it is judged at the end of the run."""
        self.version += 1
        task = self.loop.create_task(self._order(self.version, kind))
        self._orders.append(SentChange(task, self.loop.time()))

    async def _order(self, version, kind):
        backoff_s = BACKOFF_MIN_S
        asked = None
        lost = 0
        calls = []
        while True:
            hosts = [row for row in self.listed if row != asked]
            if self.asks_host_again or not hosts:
                hosts = self.listed
            asked = self.rng.choice(hosts)
            call = self.loop.create_task(self._ask(asked, version, kind))
            calls.append(call)
            await asyncio.wait([call], timeout=PATIENCE_S)
            is_acknowledged = call.done() and call.result()
            may_be_lost = lost < self.most_answers_lost
            is_lost = may_be_lost and self.rng.random() < self.answers_lost
            if is_acknowledged and not is_lost:
                return self.loop.time()
            if is_acknowledged:
                lost += 1
                await asyncio.sleep(self.loss_noticed_s)
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _ask(self, host, version, kind):
        process = self.processes.get(host)
        is_open = self.network.passes('', host) and process is not None
        if not is_open or host in self.network.without_power:
            await asyncio.Event().wait()
        if process.is_dead or process.is_stopping:
            return False
        with self.network.on(host, process.name):
            answer = self.loop.create_task(
                self._answer(process.control.gate, version, kind)
            )
        await asyncio.wait([answer])
        return answer.result()

    async def _answer(self, gate, version, kind):
        try:
            if kind == 'version':
                await gate.name_version(
                    NameAdapterVersion(model='m', adapter='a', version=version)
                )
            else:
                content = large_configuration(version, 3, changed=0)
                await gate.put(decode_configuration(content), content)
        except KumquatrunError:
            return False
        return True

    async def slowest_s(self):
        """Return the longest time in calm to an acknowledgement."""
        calm_s = self.last_event_s + CALM_AFTER_S
        sent = list(self._orders)
        await asyncio.wait(
            [row.task for row in sent], timeout=3 * ACKNOWLEDGED_S
        )
        return max(
            (row.task.result() if row.task.done() else float('inf'))
            - max(row.sent_s, calm_s)
            for row in sent
        )
