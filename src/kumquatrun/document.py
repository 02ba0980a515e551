"""Configuration documents: one per environment, in JSON."""

from dataclasses import dataclass
from enum import StrEnum


class ServiceKind(StrEnum):
    """What runs behind a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Access(StrEnum):
    """Who may call a route."""

    OPEN = 'open'
    KEY = 'key'


@dataclass(frozen=True, kw_only=True)
class AccountSpec:
    """A client account with its rate, burst and share."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: int
    weight: float = 1


@dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A set of backend servers that answer the same calls."""

    name: str
    kind: ServiceKind
    base_model: str = ''


@dataclass(frozen=True, kw_only=True)
class AdapterSpec:
    """An adapter with its versions; the last one is the default."""

    name: str
    service: str
    versions: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class RouteSpec:
    """A path prefix that callers use.

    Attributes
    ----------
    path
        Path prefix, for example ``/v1/`` or ``/ledger/``.
    service
        Name of the service that answers.
    access
        ``open`` routes need no key.
    idempotent
        Whether a call may be repeated after an unknown outcome.
    accounts
        Accounts that may use the route; empty means all.
    adapters
        Adapters that the route may use; empty means all of the service.
    cost_tokens
        Tokens charged for a call to a plain service.
    default_max_tokens
        Output limit of completions that name none.
    """

    path: str
    service: str
    access: Access = Access.KEY
    idempotent: bool = False
    accounts: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    cost_tokens: int = 1
    default_max_tokens: int = 256


@dataclass(frozen=True, kw_only=True)
class Document:
    """A checked configuration document."""

    environment: str
    accounts: tuple[AccountSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    adapters: tuple[AdapterSpec, ...] = ()
    routes: tuple[RouteSpec, ...] = ()
