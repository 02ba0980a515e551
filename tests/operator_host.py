"""Hosts on the simulated network that answer the operator.

Each has a session, as entries and agents do; some have a control replica.
"""

from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.gateway.roles.cluster_view_state import ClusterViewState
from kumquatrun.gateway.roles.control import GatewayControl
from kumquatrun.gateway.roles.directory_server import DirectoryServer
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.gateway.roles.settings import GatewayControlSettings
from kumquatrun.membership.control_client import Session
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.runtime.clock import LoopClock

CONTROL_PORT = 7600
NODE_PORT = 7601


class OperatorHost:
    """One host; ``control`` is its control replica, or None."""

    def __init__(self, host, region, seeds, rng, control=None):
        self.control = control
        clock = LoopClock()
        record = HostRecord(
            host_id=f'node-{host}',
            incarnation='',
            role='entry',
            address=f'{host}:1',
            region=region,
            failure_domain=region,
            directory_address=f'{host}:{NODE_PORT}',
        )
        self.session = Session(
            record,
            _addresses(seeds, CONTROL_PORT),
            clock,
            directory_addresses=_addresses(seeds, NODE_PORT),
            rng=rng,
        )
        self.directory = DirectoryServer(self.session, Address(host, NODE_PORT))
        self.proxy = OperatorProxy(
            self.session.control, ClusterViewState(self.session.view)
        )

    @property
    def _host(self):
        return self.control._host

    @property
    def serves(self):
        """Return whether the replica of this host leads the group."""
        control_host = self.control._host if self.control else None
        return control_host is not None and control_host.service.serves

    def set_seeds(self, seeds):
        directories = _addresses(seeds, NODE_PORT)
        self.session.set_addresses(_addresses(seeds, CONTROL_PORT), directories)
        if self.control is not None:
            self.control.set_addresses(directories)

    async def start(self):
        await self.directory.start()
        await self.session.start()
        if self.control is not None:
            await self.control.start()

    async def stop(self):
        """Stop the parts of the host as its daemons do after SIGTERM."""
        if self.control is not None:
            await self.control.stop()
        await self.session.stop()
        await self.directory.stop()


def build_control(
    host,
    regions,
    seeds,
    *,
    is_first_start,
    data_dir='',
    storage=None,
):
    """Return a control replica; the hosts in ``regions`` found the group.

    Each of these hosts is a separate failure domain.
    """
    clock = LoopClock()
    settings = GatewayControlSettings(
        host_id=host,
        region=regions.get(host, ''),
        regions=tuple(regions.items()),
        failure_domain=host,
        control_addresses=_addresses(seeds, CONTROL_PORT),
        directory_addresses=_addresses((*seeds, host), NODE_PORT),
        listing_address=Address('10.200.0.1', 1),
        is_first_start=is_first_start,
        replica=ReplicaSettings(
            replica_id=host,
            data_dir=data_dir,
            listen=Address(host, CONTROL_PORT),
        ),
    )
    listing = BackendListing(_empty_list, clock)
    return GatewayControl(settings, listing, clock, storage)


async def _empty_list():
    return b''


def _addresses(hosts, port):
    return tuple(Address(host, port) for host in hosts)
