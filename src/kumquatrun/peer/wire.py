"""Frames of the peer protocol: a length prefix and a msgpack array."""

import asyncio
import struct
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

from kumquatrun.errors import WireError

MAX_FRAME_BYTES = 8 * 1024 * 1024
# Limit of the first frame, whose sender is not authenticated yet.
MAX_FIRST_FRAME_BYTES = 16 * 1024
_READ_BYTES = 64 * 1024
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


_DECODE_ERRORS = (
    LookupError,
    ValueError,
    TypeError,
    msgpack.UnpackException,
)
_KINDS = {int(kind): kind for kind in FrameKind}


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


class FrameReader:
    """Reads frames from a stream; one read may return several frames.

    Parameters
    ----------
    reader
        Stream of the connection.
    first_frame_bytes
        Size limit of the first frame.
    on_received
        Called when bytes arrive, even if they complete no frame.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        first_frame_bytes: int = MAX_FRAME_BYTES,
        on_received: Callable[[], None] | None = None,
    ) -> None:
        self._reader = reader
        self._on_received = on_received
        self._limit_bytes = first_frame_bytes
        self._frames: deque[Frame] = deque()
        self._buffer = bytearray()

    async def read(self) -> Frame:
        """Return the next frame.

        Raises
        ------
        WireError
            If the frame is too large or not a valid msgpack array.
        asyncio.IncompleteReadError
            If the connection ended.
        """
        while not self._frames:
            received = await self._reader.read(_READ_BYTES)
            if not received:
                raise asyncio.IncompleteReadError(b'', None)
            if self._on_received is not None:
                self._on_received()
            self._split(received)
        return self._frames.popleft()

    def _split(self, received: bytes) -> None:
        buffer = self._buffer
        buffer += received
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(buffer, start)[0]
            if length > self._limit_bytes:
                raise WireError(f'frame of {length} bytes is too large')
            end = start + _LENGTH.size + length
            if end > len(buffer):
                break
            content = buffer[start + _LENGTH.size : end]
            self._frames.append(_decode(content))
            self._limit_bytes = MAX_FRAME_BYTES
            start = end
        del buffer[:start]


def _decode(content: bytearray) -> Frame:
    try:
        kind, call_id, body = msgpack.unpackb(content, raw=False)
        return Frame(_KINDS[kind], call_id, body)
    except _DECODE_ERRORS as error:
        raise WireError(f'cannot decode a frame: {error}') from error
