"""Deltas between two versions of a configuration, exact to the byte.

A configuration is a long list of objects of which a change alters a few. Both
versions are split into segments at the closing braces. A delta refers to
segments of the base by position and includes the others. Neither the sender nor
the receiver needs to know the format of the content.
"""

import zlib
from collections.abc import Iterator

import msgpack

from kumquatrun.peer.compression import inflate

# Limits a decompressed delta to twice the largest content, since the delta also
# holds positions.
_MAX_DELTA_BYTES = 32 * 1024 * 1024
_SEPARATOR = b'}'


def encode_delta(base: bytes, content: bytes) -> bytes:
    """Return the compressed delta from ``base`` to ``content``."""
    steps = list(
        _delta_steps(base.split(_SEPARATOR), content.split(_SEPARATOR)),
    )
    return zlib.compress(msgpack.packb(steps))


def apply_content_delta(base: bytes, delta: bytes) -> bytes:
    """Return the content that ``delta`` turns ``base`` into.

    Raises
    ------
    ValueError
        If the delta is damaged or refers to segments that ``base`` lacks.
    """
    base_segments = base.split(_SEPARATOR)
    segments: list[bytes] = []
    for step in msgpack.unpackb(inflate(delta, _MAX_DELTA_BYTES)):
        if isinstance(step, bytes):
            segments.append(step)
            continue
        start, count = step
        copied = base_segments[start : start + count]
        if len(copied) != count:
            raise ValueError(f'the base has no {count} segments at {start}')
        segments.extend(copied)
    return _SEPARATOR.join(segments)


def _delta_steps(
    base_segments: list[bytes],
    segments: list[bytes],
) -> Iterator[bytes | tuple[int, int]]:
    """Yield runs of the base as (start, count), other segments unchanged."""
    positions = {
        segment: position for position, segment in enumerate(base_segments)
    }
    position = 0
    while position < len(segments):
        start = positions.get(segments[position])
        if start is None:
            yield segments[position]
            position += 1
            continue
        count = _common_length(base_segments, start, segments, position)
        yield start, count
        position += count


def _common_length(
    base_segments: list[bytes],
    start: int,
    segments: list[bytes],
    position: int,
) -> int:
    max_count = min(len(base_segments) - start, len(segments) - position)
    for count in range(1, max_count):
        if base_segments[start + count] != segments[position + count]:
            return count
    return max_count
