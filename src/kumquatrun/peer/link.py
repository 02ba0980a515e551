"""One TCP connection between peers, with heartbeats."""

import asyncio
import logging
from collections import Counter
from contextlib import suppress
from typing import Any

from kumquatrun.errors import (
    ConnectionLostError,
)
from kumquatrun.peer.wire import (
    MAX_FIRST_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    encode_frame,
)

log = logging.getLogger(__name__)

# Bytes that this process has sent to peers in the same region, in another
# region, and in an unknown region (handshakes and operator commands).
sent_bytes: Counter[str] = Counter()

# High-water mark of asyncio; below it, ``drain`` need not be awaited.
_FULL_BUFFER_BYTES = 64 * 1024
PING_AFTER_S = 0.5
SILENCE_LIMIT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
STREAM_CREDIT_ITEMS = 64


class Link:
    """One TCP connection with heartbeats; used by both sides."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._frames = FrameReader(
            reader,
            MAX_FIRST_FRAME_BYTES,
            self._record_receipt,
        )
        self._writer = writer
        self._clock = asyncio.get_running_loop().time
        self._last_read_s = self._clock()
        self._last_write_s = self._last_read_s
        self._scope = 'unknown'
        self.bytes_sent = 0
        self._unwritten: list[bytes] = []
        self._unwritten_bytes = 0

    @property
    def last_received_at_s(self) -> float:
        """Return the event loop time when bytes last arrived."""
        return self._last_read_s

    async def send(self, kind: FrameKind, call_id: int, body: Any) -> None:
        """Send one frame; waits while the send buffer is full."""
        self.send_now(kind, call_id, body)
        if self._unwritten_bytes >= _FULL_BUFFER_BYTES:
            self._write()
        if self._writer.transport.get_write_buffer_size() < _FULL_BUFFER_BYTES:
            return
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLostError(f'write failed: {error}') from error

    def send_now(self, kind: FrameKind, call_id: int, body: Any) -> None:
        """Send one frame without waiting; for small frames only.

        Frames sent in one iteration of the event loop are written together:
        tokens of many streams arrive at once, and a system call per frame
        would cost more than the frame itself.
        """
        encoded = encode_frame(Frame(kind, call_id, body))
        if self._writer.is_closing():
            raise ConnectionLostError('connection is closed')
        if not self._unwritten:
            asyncio.get_running_loop().call_soon(self._write)
        self._unwritten.append(encoded)
        self._unwritten_bytes += len(encoded)
        self.bytes_sent += len(encoded)
        sent_bytes[self._scope] += len(encoded)
        self._last_write_s = self._clock()

    async def read(self) -> Frame:
        """Read one frame."""
        return await self._frames.read()

    async def keep_alive(self) -> None:
        """Ping an idle peer and close a silent connection; ends once closed."""
        while not self._writer.is_closing():
            await asyncio.sleep(PING_AFTER_S / 2)
            now_s = self._clock()
            if now_s - self._last_read_s > SILENCE_LIMIT_S:
                log.warning(
                    'event=peer_silent silence_limit_s=%s', SILENCE_LIMIT_S
                )
                self.abort()
                return
            if now_s - self._last_write_s >= PING_AFTER_S:
                with suppress(ConnectionLostError):
                    await self.send(FrameKind.PING, 0, None)

    async def flush(self) -> None:
        """Wait until the send buffer is empty."""
        self._write()
        self._writer.transport.set_write_buffer_limits(high=0)
        await self._writer.drain()

    def set_regions(self, own: str, other: str) -> None:
        """Set the regions of both ends, by which sent bytes are counted."""
        if own and other:
            self._scope = 'same_region' if own == other else 'other_region'

    def abort(self) -> None:
        """Close the connection at once, without flushing."""
        self._writer.transport.abort()

    def _record_receipt(self) -> None:
        # Called for each read, not for each frame: one frame may take longer to
        # arrive than the silence limit.
        self._last_read_s = self._clock()

    def _write(self) -> None:
        if self._unwritten and not self._writer.is_closing():
            self._writer.write(b''.join(self._unwritten))
        self._unwritten.clear()
        self._unwritten_bytes = 0
