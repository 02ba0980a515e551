"""Checks of configuration documents; each fault starts with its path."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from kumquatrun.document.document_types import (
    Access,
    Document,
    DocumentIndex,
    RouteSpec,
    ServiceKind,
)

_SHAPE_TEXTS: Mapping[str, str] = {
    'extra_forbidden': 'is an unknown field',
    'unexpected_keyword_argument': 'is an unknown field',
    'missing': 'is required',
    'string_pattern_mismatch': 'has characters or a length not allowed here',
}


def shape_faults(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """Describe the errors that ``pydantic`` found."""
    faults = []
    for row in rows:
        text = _SHAPE_TEXTS.get(row['type'])
        if text is None:
            text = row['msg'].replace('Input should be', 'must be')
        faults.append(f'{path_text(row["loc"])}: {text}')
    return faults


def path_text(location: Iterable[str | int]) -> str:
    """Return a path such as ``accounts[2].name``; ``$`` is the root."""
    parts = [
        f'[{step}]' if isinstance(step, int) else f'.{step}'
        for step in location
    ]
    return ''.join(parts).removeprefix('.') or '$'


def repeated_members(content: bytes) -> list[str]:
    """Find duplicate members, of which JSON parsers keep only the last."""
    # Members that occur twice by the identity of their object; the objects
    # stay alive in the tree, so the identities are unique.
    repeated: dict[int, list[str]] = {}

    def build(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) < len(pairs):
            names = [name for name, _ in pairs]
            repeated[id(members)] = [
                name for name in members if names.count(name) > 1
            ]
        return members

    tree = json.loads(content, object_pairs_hook=build)
    return list(_repeated_paths(tree, (), repeated)) if repeated else []


def _repeated_paths(
    node: Any,
    path: tuple[str | int, ...],
    repeated: Mapping[int, list[str]],
) -> Iterator[str]:
    for name in repeated.get(id(node), ()):
        yield f'{path_text((*path, name))}: is given more than once'
    rows: Iterable[tuple[Any, Any]] = ()
    if isinstance(node, dict):
        rows = node.items()
    elif isinstance(node, list):
        rows = enumerate(node)
    for step, child in rows:
        yield from _repeated_paths(child, (*path, step), repeated)


def content_faults(document: Document) -> list[str]:
    """Find duplicate names and references to what is not there."""
    return [
        *small_part_faults(document),
        *_duplicates('adapters', [spec.name for spec in document.adapters]),
        *_adapter_faults(document, document.index),
    ]


def small_part_faults(document: Document) -> list[str]:
    """Find the faults outside the adapters, of which there are many."""
    return [
        *_duplicates('accounts', [spec.name for spec in document.accounts]),
        *_duplicates('services', [spec.name for spec in document.services]),
        *_duplicates('routes', [spec.path for spec in document.routes], 'path'),
        *_route_faults(document, document.index),
    ]


def _duplicates(
    part: str,
    names: list[str],
    member: str = 'name',
) -> Iterator[str]:
    if len(set(names)) == len(names):
        return
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name in seen:
            yield f'{part}[{position}].{member}: {name!r} is used twice'
        seen.add(name)


def _adapter_faults(document: Document, index: DocumentIndex) -> Iterator[str]:
    engines = {
        spec.name
        for spec in document.services
        if spec.kind is ServiceKind.ENGINE
    }
    for position, spec in enumerate(document.adapters):
        if spec.service not in engines:
            known = spec.service in index.services
            text = 'is not an engine' if known else 'is not in services'
            yield f'adapters[{position}].service: {spec.service!r} {text}'
        versions = spec.versions
        if len(versions) > 1 and len(set(versions)) < len(versions):
            yield f'adapters[{position}].versions: a version is used twice'


def _route_faults(document: Document, index: DocumentIndex) -> Iterator[str]:
    for position, route in enumerate(document.routes):
        path = f'routes[{position}]'
        if any(part in {'.', '..'} for part in route.path.split('/')):
            yield f'{path}.path: must not have dot segments'
        if route.service not in index.services:
            yield f'{path}.service: {route.service!r} is not in services'
        if route.access is Access.OPEN and route.accounts:
            yield f'{path}.accounts: must be empty on an open route'
        for row, name in enumerate(route.accounts):
            if name not in index.accounts:
                yield f'{path}.accounts[{row}]: {name!r} is not in accounts'
        yield from _route_adapter_faults(route, path, index)


def _route_adapter_faults(
    route: RouteSpec,
    path: str,
    index: DocumentIndex,
) -> Iterator[str]:
    for row, name in enumerate(route.adapters):
        adapter = index.adapter(name)
        if adapter is None or adapter.service != route.service:
            yield (
                f'{path}.adapters[{row}]: {name!r} is not an adapter of '
                f'{route.service!r}'
            )
