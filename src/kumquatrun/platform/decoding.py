"""Reads fields of JSON objects with checks of their types."""

import json
from collections.abc import Mapping
from typing import Any

from kumquatrun.errors import DocumentError

Fields = Mapping[str, Any]


def parse_object(content: bytes) -> Fields:
    """Return the JSON object in ``content``.

    Raises
    ------
    DocumentError
        If it is not one complete JSON object.
    """
    try:
        fields = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'not valid JSON: {error}') from None
    if not isinstance(fields, dict):
        raise DocumentError('not a JSON object')
    return fields


def text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a text."""
    return _typed(fields, name, str, default)


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a whole number."""
    value = _typed(fields, name, (int, float), default)
    is_whole = isinstance(value, int) or value.is_integer()
    if isinstance(value, bool) or not is_whole:
        raise DocumentError(f'{name!r} is not a whole number')
    return int(value)


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return a number."""
    value = _typed(fields, name, (int, float), default)
    if isinstance(value, bool):
        raise DocumentError(f'{name!r} is not a number')
    return float(value)


def flag(fields: Fields, name: str, default: bool = False) -> bool:
    """Return a truth value."""
    return _typed(fields, name, bool, default)


def rows(
    fields: Fields, name: str, default: list | None = None
) -> list[Fields]:
    """Return a list of objects."""
    found = _typed(fields, name, list, default)
    for row in found:
        if not isinstance(row, dict):
            raise DocumentError(f'{name!r} has an entry that is no object')
    return found


def _typed(fields: Fields, name: str, kind: Any, default: Any) -> Any:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise DocumentError(f'{name!r} is missing')
        return default
    if not isinstance(value, kind):
        raise DocumentError(f'{name!r} has another type')
    return value
