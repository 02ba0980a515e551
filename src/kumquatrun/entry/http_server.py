"""HTTP server of the entry: connection limits, timeouts and responses."""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from kumquatrun.entry.caller_connection import CallerConnection
from kumquatrun.entry.error_body import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    error_response,
    render_error_event,
)
from kumquatrun.errors import (
    KumquatrunError,
    Outcome,
)
from kumquatrun.peer.request_messages import StoredAnswer
from kumquatrun.runtime.client_memory import (
    MAX_EXCESS_CONNECTIONS,
    ClientLimits,
    ClientMemory,
)
from kumquatrun.runtime.connection_close import close_in_order, reset_on_close
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 8190
MAX_HEADERS = 64
READ_BUFFER_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 75.0
LINGERING_S = 2.0
SWEEPS_PER_TIMEOUT = 8
# Share of the limit of connections that are closed at once to make room.
CLOSED_SHARE = 1 / 16
# A request may be on its way on a connection that was idle for less.
MIN_IDLE_S = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpServer(web.Server):
    """Accepts a bounded number of connections.

    Attributes
    ----------
    limits
        Limits for all connections together.
    memory
        What the connections hold together.
    """

    def __init__(
        self,
        handle: Handler,
        limits: ClientLimits,
        write_timeout_s: float,
        *,
        max_line_bytes: int = MAX_LINE_BYTES,
    ) -> None:
        super().__init__(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_S,
            auto_decompress=False,
        )
        self.limits = limits
        self.memory = ClientMemory(limits.held_bytes)
        self._max_connections = limits.connections
        self._write_timeout_s = write_timeout_s
        self._idle_timeout_s: float | None = None
        # Aborted connections whose loss was not reported yet.
        self._leaving: set[RequestHandler] = set()

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change how long connections may stay idle.

        aiohttp's own timeout changes only for connections accepted later.
        """
        self._idle_timeout_s = idle_timeout_s
        self._kwargs['keepalive_timeout'] = idle_timeout_s

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return CallerConnection(
            self, loop=self._loop, memory=self.memory, **self._kwargs
        )

    def connection_made(
        self,
        handler: RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Make room for a connection over the limit, or mark or abort it."""
        super().connection_made(handler, transport)
        if self._excess > 0:
            self._close_idle_of_heaviest_client()
        handler.is_over_limit = self._excess > 0
        if self._excess > MAX_EXCESS_CONNECTIONS:
            log.warning(
                'event=connection_refused max_connections=%d',
                self._max_connections,
            )
            self._leaving.add(handler)
            transport.abort()

    def connection_lost(
        self,
        handler: RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Forget a connection."""
        super().connection_lost(handler, exc)
        self._leaving.discard(handler)

    @property
    def _excess(self) -> int:
        open_connections = len(self._connections) - len(self._leaving)
        return open_connections - self._max_connections

    def _close_idle_of_heaviest_client(self) -> None:
        """Close idle connections of the client that has most, oldest first."""
        now_s = self._loop.time()
        staying = [
            connection
            for connection in self._connections
            if connection not in self._leaving
        ]
        counts = Counter(connection.client for connection in staying)
        client, _ = counts.most_common(1)[0]
        idle = [
            connection
            for connection in staying
            if connection.client == client
            and connection.is_idle
            and now_s - connection.idle_since_s > MIN_IDLE_S
        ]
        if not idle:
            return
        idle.sort(key=lambda connection: connection.idle_since_s)
        closed = idle[: math.ceil(self._max_connections * CLOSED_SHARE)]
        for connection in closed:
            self._leaving.add(connection)
            self._connections[connection].abort()
        process_metrics().count(
            'client_releases_total', len(closed), action='idle_closed'
        )
        log_event(
            log,
            'idle_connections_closed',
            level=logging.WARNING,
            client=client,
            closed=len(closed),
            max_connections=self._max_connections,
        )

    def close_idle(self, head_limit_s: float = math.inf) -> None:
        """Close the connections that have no request at present.

        A request does not count if its head has been incomplete for longer
        than ``head_limit_s``.
        """
        now_s = self._loop.time()
        for connection, transport in list(self._connections.items()):
            if connection.is_idle or connection.is_head_overdue(
                now_s, head_limit_s
            ):
                transport.close()

    async def sweep(self) -> None:
        """Abort connections that are idle or not read; never returns."""
        while True:
            await asyncio.sleep(self._write_timeout_s / SWEEPS_PER_TIMEOUT)
            now_s = self._loop.time()
            for connection, transport in list(self._connections.items()):
                if not connection.is_busy:
                    self._abort_if_idle(connection, transport, now_s)

    def _abort_if_idle(
        self,
        connection: CallerConnection,
        transport: asyncio.Transport,
        now_s: float,
    ) -> None:
        limit_s = self._idle_timeout_s or IDLE_TIMEOUT_S
        if transport.get_write_buffer_size():
            limit_s = self._write_timeout_s
        if now_s - connection.idle_since_s > limit_s:
            transport.abort()


async def stop_listening(server: asyncio.Server) -> None:
    """Stop accepting connections; those accepted before are served.

    ``Server.close`` alone loses a connection that was accepted in the same
    iteration of the event loop: it is neither served nor closed.
    """
    loop = server.get_loop()
    for listener in server.sockets:
        loop.remove_reader(listener)
    # Lets the loop create the protocols of connections accepted before.
    await asyncio.sleep(0)
    server.close()


class ResponseSink:
    """Writes one response to the caller's connection."""

    def __init__(self, request: web.BaseRequest, request_id: str) -> None:
        self.response: web.StreamResponse | None = None
        self.blocked_since_s: float | None = None
        self._request = request
        self._request_id = request_id
        self._time = asyncio.get_running_loop().time
        self._is_event_stream = False
        self._ends_with_connection = False
        self._transport: asyncio.Transport | None = None

    @property
    def connection(self) -> CallerConnection:
        """Return the caller's connection."""
        return self._request.protocol

    async def start(self, status: int, content_type: str) -> None:
        """Send the head of a response of unknown length."""
        self._is_event_stream = content_type.startswith('text/event-stream')
        headers = self._headers(content_type, Outcome.RAN)
        self.response = web.StreamResponse(status=status, headers=headers)
        if self._is_event_stream:
            self.response.headers['Cache-Control'] = 'no-cache'
        await self.response.prepare(self._request)
        is_chunked = self.response.headers.get('Transfer-Encoding') == 'chunked'
        self._ends_with_connection = not is_chunked
        if self._ends_with_connection:
            # A caller that does not know chunks takes a clean close for the end
            # of the body, also if this process is killed.
            reset_on_close(self._request.transport)
        if is_chunked and self._request.method != 'HEAD':
            self._transport = self._request.transport

    def write_now(self, chunk: bytes) -> bool:
        """Send part of the body without waiting; False if not possible.

        Writes the HTTP chunk directly to the transport: the layers of aiohttp
        behind ``write`` cost more than the rest of forwarding a token.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            return False
        if chunk:  # An empty chunk would end the body.
            transport.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
        return True

    async def write(self, chunk: bytes) -> None:
        """Send part of the body; waits while the caller reads slowly."""
        self.blocked_since_s = self._time()
        await self.response.write(chunk)
        self.blocked_since_s = None

    async def finish(self) -> None:
        """End the body."""
        self.blocked_since_s = self._time()
        await self.response.write_eof()
        self.blocked_since_s = None
        if self._ends_with_connection:
            close_in_order(self._request.transport)

    async def send(self, answer: StoredAnswer) -> None:
        """Send a complete response."""
        self.blocked_since_s = self._time()
        self.response = web.Response(
            status=answer.status,
            headers=self._headers(answer.content_type, Outcome.RAN),
            body=answer.body,
        )
        await self.response.prepare(self._request)
        await self.response.write_eof()
        self.blocked_since_s = None

    async def send_error(self, error: KumquatrunError) -> web.StreamResponse:
        """Send an error response, or end a response that has begun with one."""
        if self.response is None:
            self.response = error_response(error, self._request_id)
        elif self._is_event_stream:
            await self.write(render_error_event(error))
            # The body is complete, so the connection can be used again. If it
            # were closed although the head did not announce that, a request
            # that the caller has already written would be lost.
            await self.finish()
        else:
            # Only the missing last chunk shows that the body is incomplete.
            self.abort()
        return self.response

    def abort(self) -> None:
        """Close the connection at once."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _headers(self, content_type: str, outcome: Outcome) -> dict[str, str]:
        headers = {
            OUTCOME_HEADER: outcome.value,
            REQUEST_ID_HEADER: self._request_id,
        }
        if content_type:
            headers['Content-Type'] = content_type
        return headers
