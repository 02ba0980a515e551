"""Converts data classes of messages to plain values and back.

The decoders are built from the type hints of a class on its first use. They
replace a general validation library, whose import takes more time than all
modules of an agent.
"""

from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from functools import cache
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

Decoder = Callable[[Any], Any]

_BYTES_TYPES = (bytes, bytearray, memoryview)
_PLAIN_TYPES = frozenset((bool, bytes, float, int, str, NoneType))


def encode_fields(value: Any) -> Any:
    """Return a value with all data classes as dictionaries of their fields."""
    if value.__class__ in _PLAIN_TYPES:
        return value
    if is_dataclass(value):
        return _encode_data_class(value)
    if isinstance(value, tuple | list):
        return list(map(encode_fields, value))
    if isinstance(value, Mapping):
        return {key: encode_fields(item) for key, item in value.items()}
    return value


def _encode_data_class(value: Any) -> dict[str, Any]:
    nested = _nested_fields(type(value))
    plain = value.__dict__.copy()
    for name in nested:
        plain[name] = encode_fields(plain[name])
    return plain


@cache
def decoder_of(hint: Any) -> Decoder:
    """Return a function that checks a plain value and returns the typed one.

    The function raises ``TypeError`` or ``ValueError`` if the value does not
    match. Unknown fields of a data class are ignored, so that later versions
    can add fields.

    Raises
    ------
    TypeError
        If there is no decoder for this type hint.
    """
    if hint in _SCALARS:
        return _SCALARS[hint]
    if isinstance(hint, type) and is_dataclass(hint):
        return _data_class(hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    build = _GENERICS.get(get_origin(hint))
    if build is None:
        raise TypeError(f'no decoder for {hint}')
    return build(*get_args(hint))


@cache
def _nested_fields(cls: type) -> tuple[str, ...]:
    """Return the names of the fields that may hold data classes.

    Only these are converted one by one: the leader encodes the reports of all
    agents for all entries, several times a second.
    """
    hints = get_type_hints(cls)
    return tuple(
        field.name for field in fields(cls) if not _is_flat(hints[field.name])
    )


def _is_flat(hint: Any) -> bool:
    if hint in _PLAIN_TYPES or hint is Ellipsis:
        return True
    if isinstance(hint, type) and issubclass(hint, Enum):
        return True
    is_group = get_origin(hint) in {tuple, list, Union, UnionType}
    return is_group and all(map(_is_flat, get_args(hint)))


def _data_class(cls: type) -> Decoder:
    hints = get_type_hints(cls)
    rows = [(field.name, hints[field.name]) for field in fields(cls)]
    required = {
        field.name
        for field in fields(cls)
        if field.default is MISSING and field.default_factory is MISSING
    }
    # Built on first use, since a class may be part of itself.
    decoders: dict[str, Decoder] = {}

    def decode(value: Any) -> Any:
        if isinstance(value, cls):
            return value
        if not isinstance(value, dict):
            raise _mismatch(cls.__name__, value)
        if not decoders:
            decoders.update((name, decoder_of(hint)) for name, hint in rows)
        if not required <= value.keys():
            missing = ', '.join(sorted(required - value.keys()))
            raise ValueError(f'{cls.__name__} lacks {missing}')
        return cls(
            **{
                name: decode_field(value[name])
                for name, decode_field in decoders.items()
                if name in value
            },
        )

    return decode


def _sequence(*hints: Any) -> Decoder:
    if hints[1:] == (Ellipsis,):
        return _items(hints[0], tuple)
    decoders = tuple(map(decoder_of, hints))

    def decode(value: Any) -> tuple:
        if not _is_sequence(value) or len(value) != len(decoders):
            raise _mismatch(f'{len(decoders)} items', value)
        return tuple(
            decode_item(item)
            for decode_item, item in zip(decoders, value, strict=True)
        )

    return decode


def _items(hint: Any, build: Callable[[Any], Any]) -> Decoder:
    decode_item = decoder_of(hint)

    def decode(value: Any) -> Any:
        if not _is_sequence(value):
            raise _mismatch('a list', value)
        return build(map(decode_item, value))

    return decode


def _list(hint: Any) -> Decoder:
    return _items(hint, list)


def _mapping(key_hint: Any, item_hint: Any) -> Decoder:
    decode_key = decoder_of(key_hint)
    decode_item = decoder_of(item_hint)

    def decode(value: Any) -> dict:
        if not isinstance(value, Mapping):
            raise _mismatch('a map', value)
        return {
            decode_key(key): decode_item(item) for key, item in value.items()
        }

    return decode


def _union(*hints: Any) -> Decoder:
    decoders = tuple(map(decoder_of, hints))

    def decode(value: Any) -> Any:
        for decode_one in decoders:
            with suppress(TypeError, ValueError):
                return decode_one(value)
        raise _mismatch(' or '.join(map(str, hints)), value)

    return decode


def _is_sequence(value: Any) -> bool:
    return isinstance(value, Sequence) and not isinstance(
        value, (str, *_BYTES_TYPES)
    )


def _any(value: Any) -> Any:
    return value


def _none(value: Any) -> None:
    if value is not None:
        raise _mismatch('nothing', value)


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise _mismatch('a string', value)
    return value


def _bytes(value: Any) -> bytes:
    if value.__class__ is bytes:
        return value
    if not isinstance(value, _BYTES_TYPES):
        raise _mismatch('bytes', value)
    return bytes(value)


def _bool(value: Any) -> bool:
    if not isinstance(value, bool):
        raise _mismatch('a truth value', value)
    return value


def _int(value: Any) -> int:
    if value.__class__ is int:
        return value
    # A whole number that was computed as a fraction is still a whole number.
    if not isinstance(value, int | float) or not float(value).is_integer():
        raise _mismatch('a whole number', value)
    return int(value)


def _float(value: Any) -> float:
    if not isinstance(value, int | float):
        raise _mismatch('a number', value)
    return float(value)


def _mismatch(expected: str, value: Any) -> TypeError:
    return TypeError(f'expected {expected}, not {type(value).__name__}')


_SCALARS: Mapping[Any, Decoder] = {
    Any: _any,
    bool: _bool,
    bytes: _bytes,
    dict: dict,
    float: _float,
    int: _int,
    None: _none,
    NoneType: _none,
    str: _string,
}
_GENERICS: Mapping[Any, Callable[..., Decoder]] = {
    dict: _mapping,
    list: _list,
    Mapping: _mapping,
    tuple: _sequence,
    Union: _union,
    UnionType: _union,
}
