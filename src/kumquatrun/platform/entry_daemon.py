"""Builds an entry for the platform."""

from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.lifecycle import Daemon
from kumquatrun.gateway.backends.listing_follower import ListingFollower
from kumquatrun.gateway.roles.directory_server import DirectoryServer
from kumquatrun.gateway.roles.entry import GatewayEntry
from kumquatrun.gateway.roles.server_group import ServerGroup
from kumquatrun.platform import settings as platform_settings
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.daemon_parts import (
    ClientCloser,
    SettingsWatcher,
    address_updater,
    build_operator_api,
    build_session,
)
from kumquatrun.platform.listing import BackendLister
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.metrics import process_metrics


def build(file: SettingsFile, clock: Clock) -> Daemon:
    """Build an entry."""
    settings = platform_settings.entry_settings(file.read())
    client = PlatformClient()
    lister = BackendLister(client, settings.listing_address)
    session = build_session(
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
    metrics.before_render(
        lambda: metrics.set_gauge('client_held_bytes', entry.client_held_bytes),
    )
    operator = build_operator_api(session, settings, clock, entry.record_return)
    servers = ServerGroup(entry, operator)
    parts = [
        ClientCloser(client),
        AdminServer(metrics, entry.not_ready_reason, settings.admin_listen),
        AdminServer(metrics, entry.not_ready_reason, settings.ready_listen),
        SettingsWatcher(file, address_updater(session)),
        DirectoryServer(session, settings.directory_listen),
        session,
        servers,
    ]
    return Daemon(settings, parts, servers)
