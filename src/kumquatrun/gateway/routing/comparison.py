"""Compares two configurations, entry by entry and field by field."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from kumquatrun.gateway.routing.configuration import Configuration

MISSING = 'none'
PRESENT = 'present'
# Fields whose values must not be printed.
_SECRET_FIELDS = frozenset(('keys',))
# Entries of these fields of a configuration are compared by name.
_NAMED_ENTRIES: Mapping[str, str] = {
    'routes': 'route',
    'services': 'service',
    'accounts': 'account',
}


@dataclass(frozen=True, kw_only=True)
class Difference:
    """One field that differs, or one entry that was added or removed."""

    place: str
    before: str
    after: str


def compare_configurations(
    before: Configuration, after: Configuration
) -> list[Difference]:
    """Return what ``after`` changes, with API keys only by number."""
    differences: list[Difference] = []
    for field in fields(Configuration):
        pair = getattr(before, field.name), getattr(after, field.name)
        kind = _NAMED_ENTRIES.get(field.name)
        if kind is None:
            differences.extend(_compare_field('', field.name, *pair))
        else:
            differences.extend(_compare_entries(kind, *pair))
    return differences


def _compare_entries(
    kind: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Difference]:
    before_by_name = {row.name: row for row in before}
    after_by_name = {row.name: row for row in after}
    for name in dict.fromkeys((*before_by_name, *after_by_name)):
        place = f'{kind} {name!r}'
        rows = before_by_name.get(name), after_by_name.get(name)
        if None in rows:
            old, new = (MISSING if row is None else PRESENT for row in rows)
            yield Difference(place=place, before=old, after=new)
            continue
        for field in fields(rows[0]):
            pair = tuple(getattr(row, field.name) for row in rows)
            yield from _compare_field(place, field.name, *pair)


def _compare_field(
    place: str, name: str, before: Any, after: Any
) -> Iterator[Difference]:
    if before == after:
        return
    old, new = _texts(name, before, after)
    yield Difference(place=f'{place} {name}'.strip(), before=old, after=new)


def _texts(name: str, before: Any, after: Any) -> tuple[str, str]:
    if name in _SECRET_FIELDS:
        removed = len(set(before) - set(after))
        added = len(set(after) - set(before))
        return f'{len(before)}', f'{len(after)} ({removed} gone, {added} new)'
    return _text(before), _text(after)


def _text(value: Any) -> str:
    if isinstance(value, frozenset):
        return ', '.join(sorted(value)) or MISSING
    return str(value)
