"""HTTP server of the entry: connection limits, timeouts and responses."""

import asyncio
import logging
import math
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from kumquatrun.entry.error_body import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    error_headers,
    render_error,
    render_error_event,
)
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    Outcome,
)
from kumquatrun.peer.request_messages import StoredAnswer
from kumquatrun.runtime.connection_close import close_in_order, reset_on_close

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 8190
MAX_HEADERS = 64
READ_BUFFER_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 75.0
LINGERING_S = 2.0
SWEEPS_PER_TIMEOUT = 8
# Number of connections over the limit that are accepted, so that their requests
# get a typed error; further connections are aborted.
MAX_EXCESS_CONNECTIONS = 100
JSON_TYPE = 'application/json'
HTTP_BAD_REQUEST = 400

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Connection(RequestHandler):
    """One caller's connection.

    ``is_over_limit`` is true for a connection over the limit; its first request
    is refused. ``has_input`` is true from the first byte of a request until
    its handler begins. ``unhandled_requests`` counts the requests whose heads
    were read and whose handlers have not begun.
    """

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.is_busy = False
        self.has_input = False
        self.is_over_limit = False
        self.unhandled_requests = 0
        self.idle_since_s = self._loop.time()
        self.input_since_s = self.idle_since_s

    @property
    def is_idle(self) -> bool:
        """Return whether no request is arriving, waiting or being handled."""
        return not (self.is_busy or self.has_input or self.has_next_request)

    def is_head_overdue(self, now_s: float, limit_s: float) -> bool:
        """Return whether a head has been incomplete for over ``limit_s``."""
        if self.is_busy or self.has_next_request:
            return False
        return self.has_input and now_s - self.input_since_s > limit_s

    @property
    def has_next_request(self) -> bool:
        """Return whether a request was read and waits for its handler."""
        return self.unhandled_requests > 0

    def data_received(self, data: bytes) -> None:
        """Receive bytes of a request."""
        # Bytes that arrive while a request is handled belong to its body.
        if not (self.is_busy or self.has_input):
            self.has_input = True
            self.input_since_s = self._loop.time()
        queued = len(self._messages)
        super().data_received(data)
        self.unhandled_requests += len(self._messages) - queued

    def begin_request(self) -> None:
        """Record that the handler of a request has begun."""
        self.is_busy = True
        self.has_input = False
        self.unhandled_requests -= 1

    def end_request(self) -> None:
        """Record that the handler of the request has ended."""
        self.is_busy = False
        self.idle_since_s = self._loop.time()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed HTTP request with a typed error.

        Raises
        ------
        ConnectionError
            If a response has begun; the connection ends without its rest.
        """
        if request.writer.output_size:
            log.error('event=handler_failed', exc_info=exc)
            raise ConnectionError('the response has begun') from exc
        if status == HTTP_BAD_REQUEST:
            # The rest of the message quotes the request, which may hold a key.
            reason = (message or '').partition(':')[0]
            error: KumquatrunError = InvalidRequestError(
                f'malformed HTTP request: {reason}',
            )
        else:
            log.error('event=handler_failed', exc_info=exc)
            error = KumquatrunError('unexpected error in the entry')
        request_id = new_request_id()
        log.info(
            'event=request_finished request_id=%s account= adapter= version= '
            'host= outcome=%s status=%d code=%s ttft_ms= output_tokens=0',
            request_id,
            error.outcome,
            error.kind.http_status,
            error.code,
        )
        response = error_response(error, request_id)
        response.force_close()
        return response


class HttpServer(web.Server):
    """Accepts a bounded number of connections."""

    def __init__(
        self,
        handle: Handler,
        max_connections: int,
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
        self._max_connections = max_connections
        self._write_timeout_s = write_timeout_s
        self._idle_timeout_s: float | None = None

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change how long connections may stay idle.

        aiohttp's own timeout changes only for connections accepted later.
        """
        self._idle_timeout_s = idle_timeout_s
        self._kwargs['keepalive_timeout'] = idle_timeout_s

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self,
        handler: RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Mark a connection over the limit; abort it if too many are open."""
        super().connection_made(handler, transport)
        excess = len(self._connections) - self._max_connections
        handler.is_over_limit = excess > 0
        if excess > MAX_EXCESS_CONNECTIONS:
            log.warning(
                'event=connection_refused max_connections=%d',
                self._max_connections,
            )
            transport.abort()

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
        connection: _Connection,
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
    def connection(self) -> _Connection:
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


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


def error_response(error: KumquatrunError, request_id: str) -> web.Response:
    """Return the HTTP response for ``error``."""
    return web.Response(
        status=error.kind.http_status,
        headers=error_headers(error, request_id),
        body=render_error(error),
        content_type=JSON_TYPE,
    )
