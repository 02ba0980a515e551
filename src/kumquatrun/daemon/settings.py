"""Settings of the daemons, each with a flag and an environment variable.

``setting_table`` lists the flags, variables, defaults and limits.
"""

from dataclasses import dataclass

from kumquatrun.document.document import ServiceKind
from kumquatrun.peer import Address


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of a control replica, standalone or in another daemon.

    ``replicas`` lists the addresses of the initial members by replica id; a
    replica that joins later starts with ``join`` set.
    """

    replica_id: str
    data_dir: str
    listen: Address
    replicas: tuple[tuple[str, Address], ...] = ()
    join: bool = False


@dataclass(frozen=True, kw_only=True)
class DaemonSettings:
    """Settings that all daemons share."""

    host_id: str
    region: str = 'local'
    failure_domain: str = 'local'
    control_addresses: tuple[Address, ...] = ()
    cluster_token: str = ''
    operator_token: str = ''
    admin_listen: Address | None = None
    log_format: str = 'text'
    log_level: str = 'info'
    drain_timeout_s: float = 300
    replica: ReplicaSettings | None = None


@dataclass(frozen=True, kw_only=True)
class EntrySettings(DaemonSettings):
    """Settings of an entry."""

    http_listen: Address
    max_body_bytes: int = 1024 * 1024
    max_connections: int = 2000
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
