"""Messages as plain values: what is accepted, and what is refused."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any

import msgpack
import pytest

from kumquatrun.errors import WireError
from kumquatrun.peer.message_codec import decoder_of, encode_fields
from kumquatrun.peer.messages import decode_message


class Colour(StrEnum):
    RED = 'red'


class Level(IntEnum):
    LOW = 1


@dataclass(frozen=True, kw_only=True)
class Lamp:
    name: str
    watts: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Order:
    lamps: tuple[Lamp, ...] = ()
    first: Lamp | None = None
    pair: tuple[int, bytes] = (0, b'')
    colour: Colour = Colour.RED
    level: Level = Level.LOW
    notes: Mapping[str, Any] = field(default_factory=dict)
    counts: dict[str, tuple[int, int]] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)
    is_urgent: bool = False


ORDER = Order(
    lamps=(Lamp(name='a', watts=2), Lamp(name='b', watts=1.5)),
    first=Lamp(name='c'),
    pair=(7, b'\x00\xff'),
    notes={'x': [1, None]},
    counts={'k': (1, 2)},
    chunks=[b'p', b''],
    is_urgent=True,
)


def over_the_wire(value):
    packed = msgpack.packb(encode_fields(value), use_bin_type=True)
    return msgpack.unpackb(packed, raw=False)


def test_message_arrives_as_it_was_sent():
    decoded = decoder_of(Order)(over_the_wire(ORDER))
    assert decoded == ORDER
    assert isinstance(decoded.colour, Colour)
    assert isinstance(decoded.lamps[0].watts, float)


def test_encoding_leaves_the_message_unchanged():
    # Guards against a conversion that writes into the fields of a message that
    # other connections are still to encode.
    encode_fields(ORDER)['lamps'].clear()
    assert len(ORDER.lamps) == 2


@pytest.mark.parametrize(
    'fields',
    [
        None,
        [],
        {'first': {}},
        {'first': {'name': 3}},
        {'first': {'name': b'bytes'}},
        {'lamps': 'text'},
        {'lamps': [3]},
        {'pair': [1]},
        {'pair': [1.5, b'']},
        {'pair': [float('inf'), b'']},
        {'pair': [1, 'text']},
        {'colour': 'green'},
        {'level': 9},
        {'notes': [1]},
        {'counts': {'k': [1]}},
        {'chunks': b'text'},
        {'is_urgent': 'yes'},
    ],
)
def test_malformed_fields_are_refused(fields):
    # Guards against a value of another type that fails later, far away from the
    # connection that sent it.
    with pytest.raises((TypeError, ValueError)):
        decoder_of(Order)(fields)


@pytest.mark.parametrize(
    'encoded',
    [
        None,
        ['Hello'],
        ['Unknown', {}],
        [[], {}],
        ['Hello', {'node_id': 'a'}],
        ['Hello', {'node_id': 'a', 'incarnation': 1}],
        [
            'Hello',
            {'node_id': 'a', 'incarnation': 'i', 'protocol_version': 1e999},
        ],
    ],
)
def test_malformed_message_is_a_wire_error(encoded):
    with pytest.raises(WireError):
        decode_message(encoded)


def test_fields_of_later_versions_are_ignored():
    fields = {'node_id': 'a', 'incarnation': 'i', 'later': 1}
    assert decode_message(['Hello', fields]).node_id == 'a'


def test_whole_number_that_was_computed_as_a_fraction_is_accepted():
    assert decoder_of(int)(3.0) == 3
    assert decoder_of(float)(3) == 3.0


def test_type_without_a_decoder_is_refused():
    with pytest.raises(TypeError, match='no decoder'):
        decoder_of(set[int])
