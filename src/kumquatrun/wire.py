"""Frames of the peer protocol: a length prefix and a msgpack array."""

import asyncio
import struct
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

from kumquatrun.errors import WireError

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct('>I')


class FrameKind(IntEnum):
    """Kinds of frames on a peer connection."""

    HELLO = 0
    REQUEST = 1
    REPLY = 2
    ERROR = 3
    ITEM = 4
    CREDIT = 5
    CANCEL = 6
    PING = 7
    PONG = 8


class Frame(NamedTuple):
    """One frame; ``call_id`` is 0 for frames that belong to no call."""

    kind: FrameKind
    call_id: int
    body: Any


def encode_frame(frame: Frame) -> bytes:
    """Return the frame with its length prefix.

    Raises
    ------
    WireError
        If the frame is larger than ``MAX_FRAME_BYTES``.
    """
    content = msgpack.packb(
        (int(frame.kind), frame.call_id, frame.body),
        use_bin_type=True,
    )
    if len(content) > MAX_FRAME_BYTES:
        raise WireError(f'frame of {len(content)} bytes is too large')
    return _LENGTH.pack(len(content)) + content


async def read_frame(reader: asyncio.StreamReader) -> Frame:
    """Read the next frame.

    Raises
    ------
    WireError
        If the frame is too large or not a valid msgpack array.
    asyncio.IncompleteReadError
        If the connection ended.
    """
    header = await reader.readexactly(_LENGTH.size)
    length = int.from_bytes(header, 'big')
    if length > MAX_FRAME_BYTES:
        raise WireError(f'frame of {length} bytes is too large')
    content = await reader.readexactly(length)
    try:
        kind, call_id, body = msgpack.unpackb(content, raw=False)
        return Frame(FrameKind(kind), call_id, body)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise WireError(f'cannot decode a frame: {error}') from error
