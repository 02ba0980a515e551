"""HTTP server for readiness and metrics that no client can make large."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

# Probes and collectors of metrics need few connections, and short heads.
MAX_CONNECTIONS = 64
MAX_LINE_BYTES = 4096
MAX_HEADERS = 32
SOCKET_READ_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60.0
BACKLOG = 64
READ_METHODS = frozenset(('GET', 'HEAD'))

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Shared by all connections, since the event loop fills the buffer and passes it
# to the protocol in one step.
_read_buffer = memoryview(bytearray(SOCKET_READ_BYTES))


class _Connection(RequestHandler, asyncio.BufferedProtocol):
    """Reads small pieces, and nothing after bytes that are no request."""

    is_malformed = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_malformed:
            return
        super().data_received(data)
        if self._messages:
            self.is_malformed = isinstance(self._messages[-1][0], _ErrInfo)


class BoundedServer(web.Server):
    """Answers ``GET`` requests; a new connection may close the oldest one."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        super().__init__(
            self._answer,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            read_bufsize=SOCKET_READ_BYTES,
        )
        self._handlers = handlers

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self,
        handler: RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Abort the oldest connection if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            self._connections.pop(oldest).abort()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        handler = self._handlers.get(request.path)
        if handler is None:
            raise web.HTTPNotFound
        if request.method not in READ_METHODS:
            raise web.HTTPMethodNotAllowed(request.method, READ_METHODS)
        return await handler(request)
