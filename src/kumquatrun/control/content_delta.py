"""Changes between two versions of a configuration, byte for byte.

A configuration is a long list of objects of which a change alters a few. Both
versions are split at the closing braces; what the base holds is named by
position, the rest is included. The sender and the receiver need not know the
format of the content.
"""

import zlib
from collections.abc import Iterator

import msgpack

from kumquatrun.peer.compression import inflate

# Twice the largest content, since a delta also names positions.
_MAX_DELTA_BYTES = 32 * 1024 * 1024
_SEPARATOR = b'}'


def encode_delta(base: bytes, content: bytes) -> bytes:
    """Return what turns ``base`` into ``content``, compressed."""
    steps = list(_steps(base.split(_SEPARATOR), content.split(_SEPARATOR)))
    return zlib.compress(msgpack.packb(steps))


def apply_content_delta(base: bytes, delta: bytes) -> bytes:
    """Return the content that ``delta`` was made for.

    Raises
    ------
    ValueError
        If the delta is damaged or names a position that ``base`` lacks.
    """
    held = base.split(_SEPARATOR)
    segments: list[bytes] = []
    for step in msgpack.unpackb(inflate(delta, _MAX_DELTA_BYTES)):
        if isinstance(step, bytes):
            segments.append(step)
            continue
        first, count = step
        copied = held[first : first + count]
        if len(copied) != count:
            raise ValueError(f'the base has no {count} segments at {first}')
        segments.extend(copied)
    return _SEPARATOR.join(segments)


def _steps(
    held: list[bytes],
    wanted: list[bytes],
) -> Iterator[bytes | tuple[int, int]]:
    """Yield runs of ``held`` as position and length, other segments as is."""
    positions = {segment: at for at, segment in enumerate(held)}
    at = 0
    while at < len(wanted):
        first = positions.get(wanted[at])
        if first is None:
            yield wanted[at]
            at += 1
            continue
        count = _common_length(held, first, wanted, at)
        yield first, count
        at += count


def _common_length(
    held: list[bytes],
    first: int,
    wanted: list[bytes],
    at: int,
) -> int:
    longest = min(len(held) - first, len(wanted) - at)
    for count in range(1, longest):
        if held[first + count] != wanted[at + count]:
            return count
    return longest
