"""Typed access to the fields of JSON objects."""

import math
from collections.abc import Mapping
from typing import Any

from kumquatrun.errors import DocumentError
from kumquatrun.platform.json_text import parse_json

Fields = Mapping[str, Any]
# Integers that msgpack can encode for other hosts.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1


def parse_object(content: bytes) -> Fields:
    """Return the JSON object in ``content``.

    Raises
    ------
    DocumentError
        If ``content`` is not a valid JSON object.
    """
    try:
        fields = parse_json(content)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'not valid JSON: {error}') from None
    if not isinstance(fields, dict):
        raise DocumentError('not a JSON object')
    return fields


def text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return the string in a field."""
    return checked_text(_typed_field(fields, name, str, default), name)


def integer(fields: Fields, name: str, default: int | None = None) -> int:
    """Return the 64-bit integer in a field."""
    value = _typed_field(fields, name, (int, float), default)
    if isinstance(value, bool):
        raise DocumentError(f'{name!r} is not an integer')
    return checked_integer(value, name)


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return the finite number in a field."""
    value = _typed_field(fields, name, (int, float), default)
    if isinstance(value, bool) or not math.isfinite(value):
        raise DocumentError(f'{name!r} is not a finite number')
    return float(value)


def boolean(fields: Fields, name: str, default: bool = False) -> bool:
    """Return the boolean in a field."""
    return _typed_field(fields, name, bool, default)


def json_object(fields: Fields, name: str) -> Fields:
    """Return the object in a field, or an empty one if it is missing."""
    return _typed_field(fields, name, dict, {})


def object_list(
    fields: Fields, name: str, default: list | None = None
) -> list[Fields]:
    """Return the list of objects in a field."""
    found = _typed_field(fields, name, list, default)
    for row in found:
        if not isinstance(row, dict):
            raise DocumentError(f'{name!r} has an entry that is not an object')
    return found


def checked_integer(value: float, name: str) -> int:
    """Return ``value`` as an integer if it is a 64-bit integer.

    Raises
    ------
    DocumentError
        If it is not.
    """
    if not MIN_INTEGER <= value <= MAX_INTEGER or value != int(value):
        raise DocumentError(f'{name!r} is not a 64-bit integer')
    return int(value)


def checked_text(value: str, name: str) -> str:
    """Return ``value`` if UTF-8 can encode it.

    A JSON escape may produce a lone surrogate, which UTF-8 cannot encode.

    Raises
    ------
    DocumentError
        If UTF-8 cannot encode it.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        raise DocumentError(f'{name!r} is not valid UTF-8 text') from None
    return value


def _typed_field(fields: Fields, name: str, kind: Any, default: Any) -> Any:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise DocumentError(f'{name!r} is missing')
        return default
    if not isinstance(value, kind):
        raise DocumentError(f'{name!r} has the wrong type')
    return value
