"""Types of configuration documents, with their lookup tables."""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import cached_property
from operator import attrgetter
from typing import Annotated

from pydantic import ConfigDict, Field, StringConstraints

# Each single insertion shifts the rest of the list; above this number of
# changes, sorting the whole list is faster.
_MAX_SINGLE_CHANGES = 200
# In millionths of a token, this fits into the 64-bit integers of a snapshot.
_MAX_TOKENS = 10**12

# ``@`` separates adapter and version in the ``model`` field of a request.
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._\-]{0,127}$'
_Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
_Path = Annotated[
    str,
    StringConstraints(pattern=r'^/([A-Za-z0-9._~\-]+/?)*$', max_length=256),
]
_Rate = Annotated[float, Field(gt=0, le=_MAX_TOKENS, allow_inf_nan=False)]
_Weight = Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)]
_Positive = Annotated[int, Field(gt=0, le=_MAX_TOKENS)]
_NotNegative = Annotated[int, Field(ge=0, le=_MAX_TOKENS)]
_by_name = attrgetter('name')
_CONFIG = ConfigDict(extra='forbid', strict=True)


class ServiceKind(StrEnum):
    """What runs behind a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Access(StrEnum):
    """Who may call a route."""

    OPEN = 'open'
    KEY = 'key'


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountSpec:
    """A client account with its rate, burst and share."""

    __pydantic_config__ = _CONFIG

    name: _Name
    rate_tokens_per_s: _Rate
    burst_tokens: _Positive
    weight: _Weight = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A set of backend servers that answer the same calls."""

    __pydantic_config__ = _CONFIG

    name: _Name
    kind: ServiceKind
    base_model: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class AdapterSpec:
    """An adapter with its versions; the last one is the default."""

    __pydantic_config__ = _CONFIG

    name: _Name
    service: _Name
    versions: Annotated[tuple[_Name, ...], Field(min_length=1)]


@dataclass(frozen=True, kw_only=True, slots=True)
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
        Output limit of completions that set none.
    """

    __pydantic_config__ = _CONFIG

    path: _Path
    service: _Name
    access: Access = Access.KEY
    idempotent: bool = False
    accounts: tuple[_Name, ...] = ()
    adapters: tuple[_Name, ...] = ()
    cost_tokens: _NotNegative = 1
    default_max_tokens: _Positive = 256


@dataclass(frozen=True, kw_only=True)
class Document:
    """A validated configuration document."""

    __pydantic_config__ = _CONFIG

    environment: _Name
    accounts: tuple[AccountSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    adapters: tuple[AdapterSpec, ...] = ()
    routes: tuple[RouteSpec, ...] = ()

    @cached_property
    def index(self) -> 'DocumentIndex':
        """Return the lookup tables, built at first use."""
        return DocumentIndex(self)


class DocumentIndex:
    """Lookup tables of one document."""

    def __init__(
        self,
        document: Document,
        adapters: dict[str, AdapterSpec] | None = None,
    ) -> None:
        self.accounts = {spec.name: spec for spec in document.accounts}
        self.services = {spec.name: spec for spec in document.services}
        self.routes = {spec.path: spec for spec in document.routes}
        if adapters is None:
            adapters = {spec.name: spec for spec in document.adapters}
        self.adapters = adapters

    def account(self, name: str) -> AccountSpec | None:
        """Return an account by name."""
        return self.accounts.get(name)

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by name."""
        return self.services.get(name)

    def adapter(self, name: str) -> AdapterSpec | None:
        """Return an adapter by name."""
        return self.adapters.get(name)

    def route(self, path: str) -> RouteSpec | None:
        """Return the route with the longest matching path prefix.

        A prefix ends at a segment boundary: ``/ledger`` matches ``/ledger``
        and ``/ledger/accounts``, not ``/ledgers``. A path with a ``.`` or
        ``..`` segment matches nothing, because a backend server may resolve
        it to a path of another route.
        """
        if any(part in {'.', '..'} for part in path.split('/')):
            return None
        for prefix in _prefixes(path):
            route = self.routes.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    yield path
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        if end:
            yield path[:end]
        end = path.rfind('/', 0, end)


EMPTY_DOCUMENT = Document(environment='none')


def replace_adapters(
    document: Document,
    base: Document,
    changed: Iterable[AdapterSpec],
    removed: Iterable[str],
) -> Document:
    """Return ``document`` with the adapters of ``base`` and these changes.

    Copies the table of ``base`` instead of building it again.
    """
    table = base.index.adapters.copy()
    names = [name for name in removed if table.pop(name, None) is not None]
    specs = tuple(changed)
    if len(names) + len(specs) > _MAX_SINGLE_CHANGES:
        table.update((spec.name, spec) for spec in specs)
        rows = sorted(table.values(), key=_by_name)
    else:
        rows = list(base.adapters)
        for name in names:
            del rows[_position(rows, name)]
        for spec in specs:
            position = _position(rows, spec.name)
            if spec.name in table:
                rows[position] = spec
            else:
                rows.insert(position, spec)
            table[spec.name] = spec
    result = replace(document, adapters=tuple(rows))
    result.__dict__['index'] = DocumentIndex(result, table)
    return result


def _position(rows: list[AdapterSpec], name: str) -> int:
    return bisect_left(rows, name, key=_by_name)
