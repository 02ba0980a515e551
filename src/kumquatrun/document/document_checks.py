"""Checks of configuration documents; each message starts with a path."""

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

_SCHEMA_ERROR_TEXTS: Mapping[str, str] = {
    'extra_forbidden': 'is an unknown field',
    'unexpected_keyword_argument': 'is an unknown field',
    'missing': 'is required',
    'string_pattern_mismatch': 'has characters or a length not allowed here',
}


def schema_errors(pydantic_errors: Iterable[Mapping[str, Any]]) -> list[str]:
    """Describe the errors that ``pydantic`` found."""
    messages = []
    for error in pydantic_errors:
        text = _SCHEMA_ERROR_TEXTS.get(error['type'])
        if text is None:
            text = error['msg'].replace('Input should be', 'must be')
        messages.append(f'{path_text(error["loc"])}: {text}')
    return messages


def path_text(location: Iterable[str | int]) -> str:
    """Return a path such as ``accounts[2].name``; ``$`` is the root."""
    parts = [
        f'[{step}]' if isinstance(step, int) else f'.{step}'
        for step in location
    ]
    return ''.join(parts).removeprefix('.') or '$'


def duplicate_members(content: bytes) -> list[str]:
    """Find duplicate members, of which JSON parsers keep only the last."""
    # Duplicate names by ``id`` of their object; the tree keeps the objects
    # alive, so the ids are unique.
    duplicates: dict[int, list[str]] = {}

    def build(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) < len(pairs):
            names = [name for name, _ in pairs]
            duplicates[id(members)] = [
                name for name in members if names.count(name) > 1
            ]
        return members

    tree = json.loads(content, object_pairs_hook=build)
    return (
        list(_duplicate_member_paths(tree, (), duplicates))
        if duplicates
        else []
    )


def _duplicate_member_paths(
    node: Any,
    path: tuple[str | int, ...],
    duplicates: Mapping[int, list[str]],
) -> Iterator[str]:
    for name in duplicates.get(id(node), ()):
        yield f'{path_text((*path, name))}: is given more than once'
    children: Iterable[tuple[Any, Any]] = ()
    if isinstance(node, dict):
        children = node.items()
    elif isinstance(node, list):
        children = enumerate(node)
    for step, child in children:
        yield from _duplicate_member_paths(child, (*path, step), duplicates)


def consistency_errors(document: Document) -> list[str]:
    """Find duplicate names and references to missing entries."""
    return [
        *non_adapter_errors(document),
        *_duplicate_name_errors(
            'adapters', [spec.name for spec in document.adapters]
        ),
        *_adapter_errors(document, document.index),
    ]


def non_adapter_errors(document: Document) -> list[str]:
    """Find the errors outside of the adapters, the only large part."""
    return [
        *_duplicate_name_errors(
            'accounts', [spec.name for spec in document.accounts]
        ),
        *_duplicate_name_errors(
            'services', [spec.name for spec in document.services]
        ),
        *_duplicate_name_errors(
            'routes', [spec.path for spec in document.routes], 'path'
        ),
        *_route_errors(document, document.index),
    ]


def _duplicate_name_errors(
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


def _adapter_errors(document: Document, index: DocumentIndex) -> Iterator[str]:
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


def _route_errors(document: Document, index: DocumentIndex) -> Iterator[str]:
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
        yield from _route_adapter_errors(route, path, index)


def _route_adapter_errors(
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
