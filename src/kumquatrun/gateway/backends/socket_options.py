"""Socket options of connections to backend servers."""

import asyncio
import socket
import struct

# A peer that acknowledges nothing for this time is taken for unreachable.
USER_TIMEOUT_MS = 3000
KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 2),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)
# Value of SO_LINGER that makes a close reset the connection.
NO_LINGER = struct.pack('ii', 1, 0)


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection whose peer has gone silent."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, seconds_or_count in KEEP_ALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, seconds_or_count)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the close of a connection drop what its peer has not read."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
