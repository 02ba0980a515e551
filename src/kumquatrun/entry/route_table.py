"""Finds the route and the adapter of a request in the current document."""

from collections.abc import Sequence
from urllib.parse import unquote

from kumquatrun.document.document import (
    Access,
    AdapterSpec,
    Document,
    RouteSpec,
    ServiceKind,
)
from kumquatrun.errors import (
    InvalidRequestError,
    ModelNotFoundError,
    NotPermittedError,
    RouteNotFoundError,
)

_DOT_SEGMENTS = frozenset(('.', '..'))


class RouteTable:
    """Index of the routes, services, adapters and accounts of a document."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self._routes = sorted(
            document.routes,
            key=lambda route: len(_prefix(route)),
            reverse=True,
        )
        self._kinds = {each.name: each.kind for each in document.services}
        self._adapters = {each.name: each for each in document.adapters}
        self._accounts = {each.name: each for each in document.accounts}

    def find_route(self, path: str) -> RouteSpec:
        """Return the route with the longest prefix of ``path``.

        Raises
        ------
        RouteNotFoundError
            If no route matches.
        InvalidRequestError
            If the path has dot segments: the backend server would resolve
            them to a path that another route may protect.
        """
        if not _DOT_SEGMENTS.isdisjoint(unquote(path).split('/')):
            raise InvalidRequestError('the path has dot segments')
        for route in self._routes:
            prefix = _prefix(route)
            if path == prefix or path.startswith(f'{prefix}/'):
                return route
        raise RouteNotFoundError(f'no route for {path[:100]}')

    def is_engine_route(self, route: RouteSpec) -> bool:
        """Return whether the route belongs to a service of engines."""
        return self._kinds.get(route.service) is ServiceKind.ENGINE

    def check_account(self, route: RouteSpec, account: str) -> None:
        """Refuse an account that must not use the route.

        Raises
        ------
        NotPermittedError
            If the account is unknown or missing in the accounts of the route.
        """
        if route.access is Access.OPEN:
            return
        admitted = not route.accounts or account in route.accounts
        if account not in self._accounts or not admitted:
            raise NotPermittedError(
                f'route {route.path} is not permitted to account {account}'
            )

    def weight_of(self, account: str) -> float:
        """Return the account's weight in queues, 1 if it is unknown."""
        spec = self._accounts.get(account)
        return spec.weight if spec else 1

    def burst_of(self, account: str) -> int | None:
        """Return the account's burst in tokens, None if it is unknown."""
        spec = self._accounts.get(account)
        return spec.burst_tokens if spec else None

    def resolve(
        self,
        route: RouteSpec,
        adapter: str,
        version: str,
    ) -> tuple[str, str]:
        """Return adapter and version; the last version if none is given.

        Raises
        ------
        ModelNotFoundError
            If the route has no such adapter or version.
        """
        spec = self._adapters.get(adapter)
        if spec is None or not self._serves(route, spec):
            raise ModelNotFoundError(f'no adapter {adapter!r} on this route')
        if not version and spec.versions:
            return adapter, spec.versions[-1]
        if version not in spec.versions:
            raise ModelNotFoundError(
                f'adapter {adapter!r} has no version {version!r}',
            )
        return adapter, version

    def adapters_of(self, route: RouteSpec) -> Sequence[AdapterSpec]:
        """Return the adapters that the route may use."""
        return [
            spec for spec in self.document.adapters if self._serves(route, spec)
        ]

    def _serves(self, route: RouteSpec, spec: AdapterSpec) -> bool:
        listed = not route.adapters or spec.name in route.adapters
        return spec.service == route.service and listed


def _prefix(route: RouteSpec) -> str:
    return route.path.rstrip('/')
