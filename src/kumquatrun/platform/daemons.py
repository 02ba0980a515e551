"""Builds the gateway daemons with the platform's formats and calls."""

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Any

from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.lifecycle import Daemon, run_daemon
from kumquatrun.errors import SettingError
from kumquatrun.gateway.backends.listing_follower import ListingFollower
from kumquatrun.gateway.roles.agent import GatewayAgent
from kumquatrun.gateway.roles.control import GatewayControl
from kumquatrun.gateway.roles.entry import GatewayEntry
from kumquatrun.gateway.roles.settings import GatewaySettings
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.address import Address
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.platform import settings as platform_settings
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.engine import PlatformEngine
from kumquatrun.platform.listing import BackendLister
from kumquatrun.platform.operator import OperatorApi
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.clock import Clock, LoopClock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

SETTINGS_CHECK_S = 1.0

SetAddresses = Callable[[tuple[Address, ...]], None]


class SettingsWatcher:
    """Follows the control addresses in the settings file.

    The file may change with a signal or without one.
    """

    def __init__(self, file: SettingsFile, set_addresses: SetAddresses) -> None:
        self._file = file
        self._set_addresses = set_addresses
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to follow the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._wake.set)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                self._follow()
            except (SettingError, ValueError) as error:
                log_event(
                    log,
                    'settings_unreadable',
                    level=logging.WARNING,
                    error=str(error),
                )

    def _follow(self) -> None:
        if not self._file.has_changed():
            return
        addresses = platform_settings.seed_addresses(self._file.read())
        self._set_addresses(addresses)
        log_event(
            log,
            'settings_reloaded',
            control_addresses=','.join(map(str, addresses)),
        )


class ClosingClient:
    """Closes the platform client when the daemon stops."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def start(self) -> None:
        """Nothing to do: connections open at the first call."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._client.close()


def build_entry(file: SettingsFile, clock: Clock) -> Daemon:
    """Build an entry."""
    settings = platform_settings.entry_settings(file.read())
    client = PlatformClient()
    lister = BackendLister(client, settings.listing_address)
    session = _session(settings, clock, 'entry', settings.http_listen)
    followers: list[ListingFollower] = []

    def follow(table) -> ListingFollower:
        follower = ListingFollower(table, lister.read, clock)
        followers.append(follower)
        return follower

    entry = GatewayEntry(settings, session, PlatformFormat(), follow, clock)
    session.follow_listing(followers[0].take)
    metrics = process_metrics()
    metrics.before_render(
        lambda: metrics.set_gauge('open_requests', entry.open_requests),
    )
    parts = [
        ClosingClient(client),
        AdminServer(metrics, entry.not_ready_reason, settings.admin_listen),
        AdminServer(metrics, entry.not_ready_reason, settings.ready_listen),
        SettingsWatcher(file, session.control.set_addresses),
        session,
        entry,
    ]
    return Daemon(settings, parts, entry)


def build_agent(file: SettingsFile, clock: Clock) -> Daemon:
    """Build the agent beside an engine."""
    settings = platform_settings.agent_settings(file.read())
    client = PlatformClient()
    session = _session(
        settings,
        clock,
        'agent',
        settings.listen,
        service=settings.service,
    )
    agent = GatewayAgent(
        settings,
        session,
        PlatformFormat(),
        PlatformEngine(client, settings.engine_address),
        clock,
    )
    parts = [
        ClosingClient(client),
        AdminServer(process_metrics(), str, settings.admin_listen),
        SettingsWatcher(file, session.control.set_addresses),
        session,
        agent,
    ]
    return Daemon(settings, parts, agent)


def build_control(file: SettingsFile, clock: Clock) -> Daemon:
    """Build a control host."""
    settings = platform_settings.control_settings(file.read())
    client = PlatformClient()
    lister = BackendLister(client, settings.listing_address)
    control = GatewayControl(
        settings,
        BackendListing(lister.read, clock),
        clock,
    )
    parts = [
        ClosingClient(client),
        AdminServer(
            process_metrics(),
            control.not_ready_reason,
            settings.admin_listen,
        ),
        SettingsWatcher(file, control.leader.set_addresses),
        control,
        OperatorApi(control.gate, settings.operator_listen, clock),
    ]
    return Daemon(settings, parts)


BUILDERS: dict[str, Callable[[SettingsFile, Clock], Daemon]] = {
    'entry': build_entry,
    'agent': build_agent,
    'control': build_control,
}


async def run(role: str) -> None:
    """Build and run a daemon with the settings of the platform."""
    await run_daemon(BUILDERS[role](SettingsFile(), LoopClock()))


def _session(
    settings: GatewaySettings,
    clock: Clock,
    role: str,
    address: Address,
    service: str = '',
) -> Session:
    record: Any = HostRecord(
        host_id=settings.host_id,
        incarnation='',
        role=role,
        address=str(address),
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=service,
    )
    return Session(record, settings.control_addresses, clock)
