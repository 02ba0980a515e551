"""Socket options of connections to backend servers."""

import asyncio
import socket

# A peer that acknowledges no data for this time is considered unreachable.
USER_TIMEOUT_MS = 3000
KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 2),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Have the kernel close the connection if its peer stops responding."""
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
