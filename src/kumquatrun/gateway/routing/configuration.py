"""Routing configuration of a gateway: routes, services, accounts, limits.

A configuration is immutable, has passed all checks and holds its lookup
tables. The operator numbers the versions; the highest accepted one is active.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class RouteKind(StrEnum):
    """Kind of a route; it decides which requests may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A target service of a route with its weight."""

    service: str
    weight: float = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayRoute:
    """A host name and path prefix that callers use.

    Attributes
    ----------
    targets
        Services that handle the requests, with their weights.
    timeout_ms
        Longest time that a caller waits for the whole response.
    target_latency_ms
        Target time for a response, or for the first event of a stream.
    gap_target_ms
        Target for the longest pause between two events of a stream.
    priority
        Priority of the route; 0 is the highest.
    max_attempts
        Number of backend servers that may run one request of a caller.
    is_resumable
        Whether a stream may be resumed on another backend server.
    allowed_regions
        Regions whose backend servers may run the requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    timeout_ms: float
    target_latency_ms: float = 1000
    gap_target_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class BaseModelSpec:
    """A base model of an engine service, with the size of its adapters."""

    name: str
    weights_mb: float = 0
    adapter_mb: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpec:
    """Memory and adapter slots of each engine of a service.

    ``check_path`` is the path of its health check.
    """

    weights_mb: float = 0
    adapter_slots: int = 0
    check_path: str = ''
    base_models: tuple[BaseModelSpec, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendService:
    """A group of interchangeable backend servers.

    A server is cold for ``cold_start_s`` after its start, and maybe later. All
    entries together may then send it ``cold_per_s`` requests; 0 for no limit.
    """

    name: str
    engine: EngineSpec | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayAccount:
    """A client account with its keys and its rate limit.

    ``rate_per_s`` and ``burst`` count tokens where ``counts_tokens`` is true,
    else requests; a rate of 0 means no limit. A request without token counts
    is charged ``plain_tokens``. ``allowed_regions`` restricts its requests as
    that of a route does.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: float = 1
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits for requests and idle connections of callers."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 15_000


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """A checked routing configuration."""

    version: int
    routes: tuple[GatewayRoute, ...] = ()
    services: tuple[BackendService, ...] = ()
    accounts: tuple[GatewayAccount, ...] = ()
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def route_for(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route whose prefix is the longest match for ``path``.

        Prefixes end with a slash, so only the parts of ``path`` up to each
        of its slashes can match.
        """
        routes = self._routes_by_host.get(host.lower())
        if not routes:
            return None
        for prefix in _prefixes(path):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None

    def account_for(self, key: str) -> GatewayAccount | None:
        """Return the account that holds ``key``."""
        return self._accounts_by_key.get(key)

    def service(self, name: str) -> BackendService | None:
        """Return a service by name."""
        return self._services_by_name.get(name)

    def allowed_regions(
        self, route: GatewayRoute, account_name: str
    ) -> frozenset[str] | None:
        """Return the regions that may run a request, or None for all.

        Where route and account both restrict the regions, both apply, which
        may leave none. A route that this version lacks keeps the regions of
        the version that admitted the request.
        """
        current = self._routes_by_name.get(route.name, route)
        account = self._accounts_by_name.get(account_name)
        restrictions = [
            row.allowed_regions
            for row in (current, account)
            if row is not None and row.allowed_regions
        ]
        if not restrictions:
            return None
        return frozenset.intersection(*restrictions)

    def gap_target_ms(self, service: str) -> float:
        """Return the shortest target for pauses in a service's streams.

        Returns 0 if no route to the service has one.
        """
        return self._gap_targets_ms.get(service, 0)

    @cached_property
    def _gap_targets_ms(self) -> Mapping[str, float]:
        shortest_ms: dict[str, float] = {}
        for route in self.routes:
            if route.gap_target_ms <= 0:
                continue
            for target in route.targets:
                shortest_ms[target.service] = min(
                    route.gap_target_ms,
                    shortest_ms.get(target.service, route.gap_target_ms),
                )
        return shortest_ms

    @cached_property
    def _routes_by_name(self) -> Mapping[str, GatewayRoute]:
        return {row.name: row for row in self.routes}

    @cached_property
    def _accounts_by_name(self) -> Mapping[str, GatewayAccount]:
        return {row.name: row for row in self.accounts}

    @cached_property
    def _routes_by_host(self) -> Mapping[str, Mapping[str, GatewayRoute]]:
        hosts: dict[str, dict[str, GatewayRoute]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        return hosts

    @cached_property
    def _accounts_by_key(self) -> Mapping[str, GatewayAccount]:
        return {key: row for row in self.accounts for key in row.keys}

    @cached_property
    def _services_by_name(self) -> Mapping[str, BackendService]:
        return {row.name: row for row in self.services}


def _prefixes(path: str) -> Iterator[str]:
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)
