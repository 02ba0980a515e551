"""How the close of a connection looks to its peer."""

import asyncio
import socket
import struct

# SO_LINGER values: close with a reset, and close after all bytes were sent.
_RESET = struct.pack('ii', 1, 0)
_IN_ORDER = struct.pack('ii', 0, 0)


def reset_on_close(transport: asyncio.BaseTransport | None) -> None:
    """Reset on close, so that the peer drops bytes that it has not read."""
    _set_linger(transport, _RESET)


def close_in_order(transport: asyncio.BaseTransport | None) -> None:
    """Undo ``reset_on_close``."""
    _set_linger(transport, _IN_ORDER)


def _set_linger(transport: asyncio.BaseTransport | None, linger: bytes) -> None:
    sock = transport and transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
