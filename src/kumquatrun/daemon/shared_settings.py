"""Settings that the daemons of both products share."""

from dataclasses import dataclass
from typing import ClassVar

from kumquatrun.peer import Address


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of a control replica, standalone or in another daemon.

    ``replicas`` lists the addresses of the initial members by replica id; a
    replica that joins later starts with ``join`` set. All initial members must
    accept the first membership.
    """

    founding_quorum: ClassVar[int] = 0

    replica_id: str
    data_dir: str
    listen: Address
    replicas: tuple[tuple[str, Address], ...] = ()
    join: bool = False


@dataclass(frozen=True, kw_only=True)
class FoundingReplicaSettings(ReplicaSettings):
    """Settings of a replica whose fellow founders were found, not set.

    ``founding_quorum`` of the founders must accept the first membership; 0
    stands for all of them.
    """

    founding_quorum: int = 0


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
