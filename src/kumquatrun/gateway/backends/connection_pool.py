"""Pool of connections to one backend server."""

import asyncio
import re

from kumquatrun.gateway.backends.backend_connection import (
    BackendConnection,
    open_connection,
)
from kumquatrun.gateway.backends.response_head import (
    ResponseHead,
)
from kumquatrun.peer.address import Address

# Idle time after which a connection is not reused if the backend server states
# no limit of its own.
DEFAULT_IDLE_S = 4.0
# Idle limit for requests that may not be repeated, if backend servers drop idle
# connections without notice. A request on a dropped connection would be lost.
DROPPED_IDLE_S = 0.3
# Margin below the backend server's own limit: about the time of one request.
IDLE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 64

_TIMEOUT = re.compile(r'timeout=(\d+)')


class ConnectionPool:
    """Opens connections to one backend server and reuses idle ones.

    Parameters
    ----------
    address
        Address of the backend server.
    unrepeatable_request_idle_s
        Maximum idle time of a connection for a request that may not be
        repeated, since the request is lost if the connection was dropped.
    """

    def __init__(
        self,
        address: Address,
        unrepeatable_request_idle_s: float = DEFAULT_IDLE_S,
    ) -> None:
        self._address = address
        self._unrepeatable_request_idle_s = unrepeatable_request_idle_s
        self._idle: list[BackendConnection] = []
        self._idle_limit_s = DEFAULT_IDLE_S

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    async def acquire(self, *, may_repeat: bool) -> BackendConnection:
        """Return an idle connection or open a new one.

        Raises
        ------
        ConnectionLostError
            If the backend server cannot be reached; the outcome is ``not_run``.
        """
        now_s = asyncio.get_running_loop().time()
        limit_s = self._idle_limit_s
        if not may_repeat:
            limit_s = min(limit_s, self._unrepeatable_request_idle_s)
        self._close_expired(now_s)
        if self._idle and now_s - self._idle[-1].idle_since_s < limit_s:
            return self._idle.pop()
        return await open_connection(self._address)

    def release(
        self, connection: BackendConnection, head: ResponseHead
    ) -> None:
        """Return a connection to the pool once its response was read."""
        connection.mark_finished(head)
        keep_alive_timeout = _TIMEOUT.search(head.header(b'keep-alive'))
        if keep_alive_timeout:
            self._idle_limit_s = max(
                0.0, int(keep_alive_timeout[1]) - IDLE_MARGIN_S
            )
        if connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()

    def put_back(self, connection: BackendConnection) -> None:
        """Return a connection on which nothing was sent."""
        if connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _close_expired(self, now_s: float) -> None:
        reusable = []
        for connection in self._idle:
            is_fresh = now_s - connection.idle_since_s < self._idle_limit_s
            if connection.is_reusable and connection.is_open and is_fresh:
                reusable.append(connection)
            else:
                connection.abort()
        self._idle = reusable
