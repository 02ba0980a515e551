"""Builds a control host for the platform."""

from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.lifecycle import Daemon
from kumquatrun.gateway.roles.control import GatewayControl
from kumquatrun.platform import settings as platform_settings
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.daemon_parts import ClientCloser, SettingsWatcher
from kumquatrun.platform.decoding import Fields
from kumquatrun.platform.listing import BackendLister
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.metrics import process_metrics


def build(file: SettingsFile, clock: Clock) -> Daemon:
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
