"""Builds the gateway daemons for the platform."""

import asyncio
import logging
import signal
from collections.abc import Callable

from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.lifecycle import Daemon, run_daemon
from kumquatrun.errors import SettingError
from kumquatrun.gateway.backends.listing_follower import ListingFollower
from kumquatrun.gateway.roles.agent import GatewayAgent
from kumquatrun.gateway.roles.cluster_view_state import ClusterViewState
from kumquatrun.gateway.roles.control import GatewayControl
from kumquatrun.gateway.roles.directory_server import DirectoryServer
from kumquatrun.gateway.roles.entry import GatewayEntry
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.gateway.roles.server_group import ServerGroup
from kumquatrun.gateway.roles.settings import GatewaySettings
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.address import Address
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.platform import settings as platform_settings
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.decoding import Fields
from kumquatrun.platform.engine import PlatformEngine
from kumquatrun.platform.listing import BackendLister
from kumquatrun.platform.operator import OperatorApi
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock, LoopClock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

SETTINGS_CHECK_S = 1.0

SettingsCallback = Callable[[Fields], None]


class SettingsWatcher:
    """Calls ``on_change`` with the new settings when the file changes.

    Checks the file on SIGHUP and every ``SETTINGS_CHECK_S`` seconds.
    """

    def __init__(self, file: SettingsFile, on_change: SettingsCallback) -> None:
        self._file = file
        self._on_change = on_change
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start watching the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._wake.set)
        self._task = start_background(self._run)

    async def stop(self) -> None:
        """Stop watching the file."""
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
                self._reload_if_changed()
            except (SettingError, ValueError) as error:
                log_event(
                    log,
                    'settings_unreadable',
                    level=logging.WARNING,
                    error=str(error),
                )

    def _reload_if_changed(self) -> None:
        if not self._file.has_changed():
            return
        fields = self._file.read()
        self._on_change(fields)
        addresses = platform_settings.directory_addresses(fields)
        log_event(
            log,
            'settings_reloaded',
            directory_addresses=','.join(map(str, addresses)),
        )


class ClientCloser:
    """Closes the platform client when the daemon stops."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def start(self) -> None:
        """Do nothing: the client connects on its first call."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._client.close()


def build_entry(file: SettingsFile, clock: Clock) -> Daemon:
    """Build an entry."""
    settings = platform_settings.entry_settings(file.read())
    client = PlatformClient()
    lister = BackendLister(client, settings.listing_address)
    session = _build_session(
        settings,
        clock,
        'entry',
        settings.http_listen,
        directory_address=str(settings.directory_listen),
    )
    followers: list[ListingFollower] = []

    def build_follower(table) -> ListingFollower:
        follower = ListingFollower(table, lister.read, clock)
        followers.append(follower)
        return follower

    entry = GatewayEntry(
        settings, session, PlatformFormat(), build_follower, clock
    )
    session.follow_listing(followers[0].receive)
    metrics = process_metrics()
    metrics.before_render(
        lambda: metrics.set_gauge('open_requests', entry.open_requests),
    )
    operator = _build_operator_api(session, settings.operator_listen, clock)
    servers = ServerGroup(entry, operator)
    parts = [
        ClientCloser(client),
        AdminServer(metrics, entry.not_ready_reason, settings.admin_listen),
        AdminServer(metrics, entry.not_ready_reason, settings.ready_listen),
        SettingsWatcher(file, _address_updater(session)),
        DirectoryServer(session, settings.directory_listen),
        session,
        servers,
    ]
    return Daemon(settings, parts, servers)


def build_agent(file: SettingsFile, clock: Clock) -> Daemon:
    """Build the agent for one engine."""
    settings = platform_settings.agent_settings(file.read())
    client = PlatformClient()
    session = _build_session(
        settings,
        clock,
        'agent',
        settings.listen,
        service=settings.service,
        directory_address=str(settings.listen),
    )
    agent = GatewayAgent(
        settings,
        session,
        PlatformFormat(),
        PlatformEngine(client, settings.engine_address),
        clock,
    )
    operator = _build_operator_api(session, settings.operator_listen, clock)
    servers = ServerGroup(agent, operator)
    parts = [
        ClientCloser(client),
        AdminServer(process_metrics(), str, settings.admin_listen),
        SettingsWatcher(file, _address_updater(session)),
        session,
        servers,
    ]
    return Daemon(settings, parts, servers)


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

    def update_addresses(fields: Fields) -> None:
        addresses = platform_settings.directory_addresses(fields)
        control.set_addresses(addresses)

    metrics = process_metrics()
    metrics.before_render(lambda: control.set_gauges(metrics))
    parts = [
        ClientCloser(client),
        AdminServer(
            metrics,
            control.not_ready_reason,
            settings.admin_listen,
        ),
        SettingsWatcher(file, update_addresses),
        control,
    ]
    return Daemon(settings, parts)


BUILDERS: dict[str, Callable[[SettingsFile, Clock], Daemon]] = {
    'entry': build_entry,
    'agent': build_agent,
    'control': build_control,
}


async def run(role: str) -> None:
    """Build and run the daemon with the platform's settings file."""
    await run_daemon(BUILDERS[role](SettingsFile(), LoopClock()))


def _build_session(
    settings: GatewaySettings,
    clock: Clock,
    role: str,
    address: Address,
    **record_fields: str,
) -> Session:
    record = HostRecord(
        host_id=settings.host_id,
        incarnation='',
        role=role,
        address=str(address),
        region=settings.region,
        failure_domain=settings.failure_domain,
        **record_fields,
    )
    return Session(
        record,
        settings.control_addresses,
        clock,
        directory_addresses=settings.directory_addresses,
    )


def _build_operator_api(
    session: Session,
    listen: Address,
    clock: Clock,
) -> OperatorApi:
    proxy = OperatorProxy(session.control, ClusterViewState(session.view))
    return OperatorApi(proxy, listen, clock)


def _address_updater(session: Session) -> SettingsCallback:
    def update_addresses(fields: Fields) -> None:
        session.set_addresses(
            platform_settings.control_addresses(fields),
            platform_settings.directory_addresses(fields),
        )

    return update_addresses
