"""Control hosts of the gateway with their operator on a simulated network."""

import asyncio
import itertools
import json
import random

from tests.operator_host import CONTROL_PORT, OperatorHost, build_control
from tests.simulated_network import SimulatedNetwork

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.roles.configuration_upload import build_change
from kumquatrun.membership.control_client import Session
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.runtime.clock import LoopClock

# The platform's bounds for the acknowledgement of a valid change.
ACKNOWLEDGEMENT_BOUND_S = 4.0
BOUND_PER_ROUTE_S = 0.003
# The platform treats a group as stable this long after the last event.
STABLE_AFTER_S = 3.0
# The operator tries another control host after this time.
OPERATOR_TIMEOUT_S = 1.0
OPERATOR_BACKOFF_S = 0.2
REGIONS = {
    '10.1.0.1': 'near',
    '10.2.0.1': 'near',
    '10.3.0.1': 'far',
}


def bound_s(routes):
    return ACKNOWLEDGEMENT_BOUND_S + BOUND_PER_ROUTE_S * routes


def large_configuration(version, routes, seed=1, changed=0):
    """Return a configuration whose routes have names drawn at random.

    Three routes from index ``changed`` on get other time limits.
    """
    rng = random.Random(seed)
    rows = [
        {
            'name': f'r-{rng.randrange(36**7):07x}',
            'host': f'{rng.randrange(10**4):04d}.example',
            'path_prefix': f'/{rng.randrange(16**8):08x}/{number}/',
            'kind': 'streaming',
            'timeout_ms': 20000,
            'target_latency_ms': 1000,
            'priority': rng.randrange(3),
            'service': f's{rng.randrange(2)}',
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gap_target_ms': 300,
        }
        for number in range(routes)
    ]
    for row in rows[changed : changed + 3]:
        row['timeout_ms'] = 10000 + version
    services = [{'name': 's0'}, {'name': 's1'}]
    return json.dumps(
        {'version': version, 'routes': rows, 'services': services}
    ).encode()


class ControlGroup:
    """Three hosts with a replica, one of them in another region.

    Each host answers the operator. With ``folder``, replicas keep their logs
    on disk.
    """

    def __init__(self, monkeypatch, seed=1, folder=None, **network):
        self.folder = folder
        self.network = SimulatedNetwork(dict(REGIONS), **network)
        self.network.install(monkeypatch)
        self.rng = random.Random(seed)
        self.hosts = {}
        self.sessions = {}
        self.seeds = tuple(Address(host, CONTROL_PORT) for host in REGIONS)

    async def __aenter__(self):
        await asyncio.gather(
            *(self.start_host(host, is_first_start=True) for host in REGIONS)
        )
        async with asyncio.timeout(5):
            while not self.is_led():  # noqa: ASYNC110  # polls hosts
                await asyncio.sleep(0.01)
        return self

    def is_led(self):
        return self.leader() is not None and all(
            host.session.control.has_leader for host in self.hosts.values()
        )

    async def __aexit__(self, *_):
        for session in self.sessions.values():
            await session.stop()
        for host in list(self.hosts.values()):
            await host.stop()

    async def start_host(self, host, is_first_start=False):
        random.seed(self.rng.random())
        with self.network.on(host):
            control = build_control(
                host,
                REGIONS,
                REGIONS,
                is_first_start=is_first_start,
                data_dir=str(self.folder / host) if self.folder else '',
            )
            started = OperatorHost(
                host,
                self.network.regions[host],
                REGIONS,
                random.Random(self.rng.random()),
                control,
            )
            self.hosts[host] = started
            await asyncio.create_task(started.start())

    async def restart_all(self):
        """Cut the power of all control hosts and start them again."""
        for host in self.hosts:
            self.network.reset_host(host)
        for control in self.hosts.values():
            await control.stop()
        for host in list(self.hosts):
            await self.start_host(host)

    async def join(self, host, region, role='entry'):
        """Start the session of a node that follows the feed."""
        self.network.regions[host] = region
        record = HostRecord(
            host_id=host,
            incarnation='',
            role=role,
            address=f'{host}:1',
            region=region,
            failure_domain=region,
            service='',
        )
        with self.network.on(host):
            session = Session(
                record,
                self.seeds,
                LoopClock(),
                rng=random.Random(self.rng.random()),
            )
            await session.start()
        self.sessions[host] = session
        return session

    def leader(self):
        serving = [name for name, host in self.hosts.items() if host.serves]
        return max(
            serving,
            key=lambda name: self.hosts[name]._host.replica.term,
            default=None,
        )

    def followers(self):
        return [name for name in self.hosts if name != self.leader()]

    async def move_leader_to(self, region):
        """Cut off leaders in other regions until ``region`` has the leader."""
        async with asyncio.timeout(120):
            while True:
                leader = self.leader()
                if leader and self.network.regions[leader] == region:
                    break
                if leader:
                    self.network.cut_off.add(leader)
                    await asyncio.sleep(1.5)
                    self.network.cut_off.clear()
                await asyncio.sleep(1.0)
        await asyncio.sleep(STABLE_AFTER_S)

    async def send_change(self, host, content):
        """Send a change to one host; returns whether it is acknowledged."""
        if not self.network.passes('', host) or host not in self.hosts:
            await asyncio.Event().wait()
        with self.network.on(host):
            change = build_change(decode_configuration(content), content)
            task = asyncio.ensure_future(self.hosts[host].proxy.put(change))
        try:
            await task
        except KumquatrunError:
            return False
        return True

    async def operate(self, content, order, limit_s=60):
        """Call one host after the other as the operator does.

        Returns the time to the acknowledgement. A host continues a call after
        the operator has moved on.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        backoff_s = OPERATOR_BACKOFF_S
        timeout_s = OPERATOR_TIMEOUT_S + len(content) / 1e6
        calls = []
        async with asyncio.timeout(limit_s):
            for host in itertools.cycle(order):
                calls.append(
                    asyncio.create_task(self.send_change(host, content))
                )
                await asyncio.wait(calls[-1:], timeout=timeout_s)
                if calls[-1].done() and calls[-1].result():
                    break
                await asyncio.sleep(backoff_s)
                backoff_s *= 2
        for call in calls:
            call.cancel()
        return loop.time() - started_s
