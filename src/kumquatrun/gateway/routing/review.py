"""Reviews a valid configuration for entries that are probably mistakes.

Entries that can never match and limits that contradict each other are in force
as they stand, so they are no errors, and no follower refuses them.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from kumquatrun.gateway.routing.configuration import (
    BackendService,
    Configuration,
    GatewayAccount,
    GatewayRoute,
    RouteKind,
)

# Characters that a path or host in a request cannot contain.
_NOT_IN_PATH = frozenset('?# \t\r\n')
_NOT_IN_HOST = frozenset('/?# \t\r\n')


class FindingKind(StrEnum):
    """What is wrong with an entry."""

    NEVER_MATCHES = 'never_matches'
    CONTRADICTION = 'contradiction'


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One probable mistake.

    ``place`` names the entry, such as ``route 'booking'``.
    """

    kind: FindingKind
    place: str
    text: str


def review_configuration(configuration: Configuration) -> list[Finding]:
    """Return all probable mistakes of a configuration."""
    findings: list[Finding] = []
    for kind, reviews in _REVIEWS.items():
        for review in reviews:
            findings.extend(
                Finding(kind=kind, place=place, text=text)
                for place, text in review(configuration)
            )
    return findings


_Notes = Iterator[tuple[str, str]]


def _route_place(route: GatewayRoute) -> str:
    return f'route {route.name!r}'


def _account_place(account: GatewayAccount) -> str:
    return f'account {account.name!r}'


def _service_place(service: BackendService) -> str:
    return f'service {service.name!r}'


# Entries that can never match.


def _unreachable_routes(configuration: Configuration) -> _Notes:
    for route in configuration.routes:
        if _NOT_IN_PATH & set(route.path_prefix):
            yield (
                _route_place(route),
                f'no path contains the prefix {route.path_prefix!r}',
            )
        if not route.host or _NOT_IN_HOST & set(route.host):
            yield _route_place(route), f'no request names host {route.host!r}'


def _unused_targets(configuration: Configuration) -> _Notes:
    for route in configuration.routes:
        for target in route.targets:
            if not target.weight:
                yield (
                    _route_place(route),
                    f'the weight of service {target.service!r} is 0',
                )


def _unused_services(configuration: Configuration) -> _Notes:
    named = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for service in configuration.services:
        if service.name not in named:
            yield _service_place(service), 'no route names it'


def _unused_accounts(configuration: Configuration) -> _Notes:
    is_any_private = any(not row.is_public for row in configuration.routes)
    for account in configuration.accounts:
        if not account.keys:
            yield _account_place(account), 'it has no keys'
        elif not is_any_private:
            yield _account_place(account), 'all routes are public'


def _repeats(configuration: Configuration) -> _Notes:
    for route in configuration.routes:
        if route.max_attempts > 1 and not route.may_repeat:
            yield (
                _route_place(route),
                f'{route.max_attempts} attempts have no effect: its requests '
                'must not be repeated',
            )
        if route.is_resumable and route.kind is not RouteKind.STREAMING:
            yield _route_place(route), 'only streams can be resumed'


# Limits that contradict each other.


def _times(configuration: Configuration) -> _Notes:
    for route in configuration.routes:
        if route.target_latency_ms > route.timeout_ms:
            yield (
                _route_place(route),
                f'the target latency of {route.target_latency_ms:g} ms is '
                f'above the timeout of {route.timeout_ms:g} ms',
            )
        if route.gap_target_ms > route.timeout_ms:
            yield (
                _route_place(route),
                f'the target for pauses of {route.gap_target_ms:g} ms is '
                f'above the timeout of {route.timeout_ms:g} ms',
            )


def _rates(configuration: Configuration) -> _Notes:
    for account in configuration.accounts:
        place = _account_place(account)
        if not account.rate_per_s:
            if account.burst:
                yield place, 'a burst without a rate has no effect'
            continue
        smallest = account.plain_tokens if account.counts_tokens else 1
        if account.burst < smallest:
            yield (
                place,
                f'the burst of {account.burst:g} does not cover one request '
                f'of {smallest:g}',
            )


def _regions(configuration: Configuration) -> _Notes:
    restricted = [row for row in configuration.accounts if row.allowed_regions]
    for route in configuration.routes:
        if route.is_public or not route.allowed_regions:
            continue
        for account in restricted:
            if not route.allowed_regions & account.allowed_regions:
                yield (
                    _route_place(route),
                    f'it shares no allowed region with account '
                    f'{account.name!r}, so its requests are refused',
                )


def _engines(configuration: Configuration) -> _Notes:
    for service in configuration.services:
        engine = service.engine
        if engine is None or not engine.weights_mb:
            continue
        for model in engine.base_models:
            if model.weights_mb > engine.weights_mb:
                yield (
                    _service_place(service),
                    f'model {model.name!r} with {model.weights_mb:g} MB does '
                    f'not fit into {engine.weights_mb:g} MB',
                )


def _caller_limits(configuration: Configuration) -> _Notes:
    limits = configuration.limits
    if limits.max_body_bytes <= 0:
        yield 'limits', 'no request with a body is accepted'
    if limits.idle_timeout_ms <= 0:
        yield 'limits', 'no connection stays open'


_REVIEWS: dict[FindingKind, tuple[Callable[[Configuration], _Notes], ...]] = {
    FindingKind.NEVER_MATCHES: (
        _unreachable_routes,
        _unused_targets,
        _unused_services,
        _unused_accounts,
        _repeats,
    ),
    FindingKind.CONTRADICTION: (
        _times,
        _rates,
        _regions,
        _engines,
        _caller_limits,
    ),
}
