"""Builds the agent of one engine for the platform."""

from kumquatrun.daemon.admin import AdminServer
from kumquatrun.daemon.lifecycle import Daemon
from kumquatrun.gateway.roles.agent import GatewayAgent
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
from kumquatrun.platform.engine import PlatformEngine
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.metrics import process_metrics


def build(file: SettingsFile, clock: Clock) -> Daemon:
    """Build the agent for one engine."""
    settings = platform_settings.agent_settings(file.read())
    client = PlatformClient()
    session = build_session(
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
    operator = build_operator_api(session, settings, clock)
    servers = ServerGroup(agent, operator)
    parts = [
        ClientCloser(client),
        AdminServer(process_metrics(), str, settings.admin_listen),
        SettingsWatcher(file, address_updater(session)),
        session,
        servers,
    ]
    return Daemon(settings, parts, servers)
