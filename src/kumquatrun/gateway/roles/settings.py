"""Settings of the gateway daemons."""

from dataclasses import dataclass, field

from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.gateway.placement.cold_starts import ColdStartLimits
from kumquatrun.peer import Address
from kumquatrun.runtime.client_memory import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
)


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(DaemonSettings):
    """Settings that all gateway daemons share.

    Attributes
    ----------
    regions
        Region of each failure domain.
    listing_address
        Address of the platform's list of backend servers.
    directory_addresses
        Addresses at which to look up the control group.
    memory_bytes, max_descriptors
        Limits of the process, from which the limits for clients follow.
    follows_engine_load
        Whether requests are placed by the load and pace that the agents of
        engines report, and prompts are admitted by the pace. For engines that
        are put under pressure.
    """

    listing_address: Address
    directory_addresses: tuple[Address, ...] = ()
    regions: tuple[tuple[str, str], ...] = ()
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_DESCRIPTORS
    follows_engine_load: bool = False


@dataclass(frozen=True, kw_only=True)
class GatewayEntrySettings(GatewaySettings):
    """Settings of an entry.

    The entry listens for the operator at ``operator_listen`` and for other
    hosts at ``directory_listen``.

    ``retry_ratio`` and ``retry_allowance`` limit the retries that all entries
    together send to one service within ``retry_window_s``.
    ``drops_idle_connections`` says that backend servers drop idle connections
    without notice. ``cold_starts`` limits the requests of all entries to a
    cold backend server.
    """

    http_listen: Address
    ready_listen: Address
    operator_listen: Address
    directory_listen: Address
    max_header_bytes: int = 32 * 1024
    retry_ratio: float = 0.1
    retry_allowance: float = 50
    retry_window_s: float = 10.0
    drops_idle_connections: bool = False
    cold_starts: ColdStartLimits = field(default_factory=ColdStartLimits)


@dataclass(frozen=True, kw_only=True)
class GatewayAgentSettings(GatewaySettings):
    """Settings of the agent beside an engine.

    The agent listens for the operator at ``operator_listen``.
    """

    listen: Address
    operator_listen: Address
    service: str
    engine_address: Address


@dataclass(frozen=True, kw_only=True)
class GatewayControlSettings(GatewaySettings):
    """Settings of a control host.

    ``is_first_start`` says that the whole system starts for the first time,
    so that a control group has to be founded. The group must survive the loss
    of ``max_lost_replicas`` replicas at the same time. Without a data
    directory the replica keeps its log in memory, and a restart counts as the
    loss of a disk.
    """

    is_first_start: bool = False
    max_lost_replicas: int = 1
