"""Settings of the daemons, each with a flag and an environment variable.

``setting_table`` lists the flags, variables, defaults and limits.
"""

from dataclasses import dataclass

from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.document.document import ServiceKind
from kumquatrun.peer import Address


@dataclass(frozen=True, kw_only=True)
class EntrySettings(DaemonSettings):
    """Settings of an entry."""

    http_listen: Address
    max_body_bytes: int = 1024 * 1024
    max_connections: int = 2000
    max_held_bytes: int = 64 * 1024 * 1024
    write_timeout_s: float = 20
    request_timeout_s: float = 120
    host_list_url: str = ''


@dataclass(frozen=True, kw_only=True)
class AgentSettings(DaemonSettings):
    """Settings of an agent."""

    listen: Address
    service: str
    backend_url: str
    backend_kind: ServiceKind = ServiceKind.ENGINE
    max_running: int = 16
    max_queued: int = 256
    load_timeout_s: float = 5
    host_list_url: str = ''


@dataclass(frozen=True, kw_only=True)
class ControlSettings(DaemonSettings):
    """Settings of a dedicated control host; ``replica`` is required."""
