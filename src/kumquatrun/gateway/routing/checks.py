"""Checks of a routing configuration, one function per rule."""

from collections import Counter
from collections.abc import Callable, Collection, Iterator

from kumquatrun.errors import DocumentError
from kumquatrun.gateway.routing.configuration import Configuration, GatewayRoute


def check_configuration(configuration: Configuration) -> None:
    """Check a configuration against all rules.

    Raises
    ------
    DocumentError
        If a rule is broken; the message describes the first violation.
    """
    for problem in configuration_errors(configuration):
        raise DocumentError(problem)


def configuration_errors(configuration: Configuration) -> Iterator[str]:
    """Yield a description of each violation of a rule."""
    for check in _CHECKS:
        yield from check(configuration)


def check_regions(
    configuration: Configuration, known_regions: Collection[str]
) -> None:
    """Check that the allowed regions are regions of this deployment.

    Only the host that receives a configuration checks this: other hosts accept
    what is committed, even if their settings differ.

    Raises
    ------
    DocumentError
        If a route or an account allows an unknown region.
    """
    for kind, rows in (
        ('route', configuration.routes),
        ('account', configuration.accounts),
    ):
        for row in rows:
            unknown = row.allowed_regions.difference(known_regions)
            if unknown:
                raise DocumentError(
                    f'{kind} {row.name!r} allows the unknown region '
                    f'{min(unknown)!r}'
                )


def _unknown_services(configuration: Configuration) -> Iterator[str]:
    for route in configuration.routes:
        for target in route.targets:
            if configuration.service(target.service) is None:
                yield (
                    f'route {route.name!r} names the service '
                    f'{target.service!r}, which is not listed'
                )


def _weights(configuration: Configuration) -> Iterator[str]:
    for route in configuration.routes:
        if any(target.weight < 0 for target in route.targets):
            yield f'route {route.name!r} has a negative weight'
        if sum(target.weight for target in route.targets) <= 0:
            yield f'the weights of route {route.name!r} add up to 0'


def _timeouts(configuration: Configuration) -> Iterator[str]:
    for route in configuration.routes:
        if route.timeout_ms <= 0:
            yield f'the timeout of route {route.name!r} is not above 0'


def _prefixes(configuration: Configuration) -> Iterator[str]:
    for route in configuration.routes:
        prefix = route.path_prefix
        if not (prefix.startswith('/') and prefix.endswith('/')):
            yield (
                f'the prefix {prefix!r} of route {route.name!r} does not '
                'begin and end with a slash'
            )
    route_counts = Counter(map(_host_and_prefix, configuration.routes))
    for (host, prefix), count in route_counts.items():
        if count > 1:
            yield f'{count} routes share host {host!r} and prefix {prefix!r}'


def _host_and_prefix(route: GatewayRoute) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _names(configuration: Configuration) -> Iterator[str]:
    names = Counter(service.name for service in configuration.services)
    for name, count in names.items():
        if count > 1:
            yield f'{count} services are named {name!r}'


def _keys(configuration: Configuration) -> Iterator[str]:
    owners: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                yield f'accounts {owner!r} and {account.name!r} share a key'


_CHECKS: tuple[Callable[[Configuration], Iterator[str]], ...] = (
    _unknown_services,
    _weights,
    _timeouts,
    _prefixes,
    _names,
    _keys,
)
