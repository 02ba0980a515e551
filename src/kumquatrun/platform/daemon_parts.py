"""Parts that several daemons on the platform share."""

import asyncio
import logging
import signal
from collections.abc import Callable

from kumquatrun.errors import SettingError
from kumquatrun.gateway.roles.cluster_view_state import ClusterViewState
from kumquatrun.gateway.roles.evacuation_report import EvacuationReport
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.gateway.roles.settings import (
    GatewayAgentSettings,
    GatewayEntrySettings,
    GatewaySettings,
)
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.address import Address
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.platform import settings as platform_settings
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.decoding import Fields
from kumquatrun.platform.operator import OperatorApi
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.background import start_background
from kumquatrun.runtime.clock import Clock
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


def build_session(
    settings: GatewaySettings,
    clock: Clock,
    role: str,
    address: Address,
    **record_fields: str,
) -> Session:
    """Build the membership session of a host."""
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


def build_operator_api(
    session: Session,
    settings: GatewayEntrySettings | GatewayAgentSettings,
    clock: Clock,
    on_return: Callable[[str], None] | None = None,
) -> OperatorApi:
    """Build the API that passes the operator's calls to control.

    Calls ``on_return`` with each failure domain that is used again after its
    evacuation.
    """
    proxy = OperatorProxy(session.control, ClusterViewState(session.view))
    report = EvacuationReport(session.view, process_metrics(), on_return)
    session.on_change(report.update)
    return OperatorApi(
        proxy, settings.operator_listen, clock, dict(settings.regions)
    )


def address_updater(session: Session) -> SettingsCallback:
    """Return a callback that tells a session of changed addresses."""

    def update_addresses(fields: Fields) -> None:
        session.set_addresses(
            platform_settings.control_addresses(fields),
            platform_settings.directory_addresses(fields),
        )

    return update_addresses
