"""HTTP/1.1 connections to backend servers, each used for one request at a time.

Responses are parsed by aiohttp. Its client is not used, because it resends
idempotent requests by itself and mistakes a late response to an earlier request
for the response to the next one.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.gateway.backends.response_head import (
    ResponseHead,
    framing_of,
)
from kumquatrun.gateway.backends.response_size import ResponseSize
from kumquatrun.gateway.backends.socket_options import detect_dead_peer
from kumquatrun.peer.address import Address
from kumquatrun.runtime.connection_close import reset_on_close
from kumquatrun.runtime.error_text import error_text
from kumquatrun.runtime.response_checks import (
    INTERIM_STATUSES,
    final_problem,
)

CONNECT_TIMEOUT_S = 0.4
# If the reader of a response body is slow, up to twice this size plus one
# socket read is buffered.
BODY_BUFFER_BYTES = 16 * 1024
SOCKET_READ_BYTES = 16 * 1024
MAX_HEADER_LINE_BYTES = 32 * 1024
END_OF_HEAD = b'\r\n\r\n'
# A port out of range raises OverflowError, an invalid host name ValueError.
CONNECT_ERRORS = (OSError, OverflowError, TimeoutError, ValueError)

# Shared by all connections, since the event loop fills the buffer and passes it
# to the protocol in one step.
_read_buffer = memoryview(bytearray(SOCKET_READ_BYTES))


class BrokenResponseError(ConnectionLostError):
    """A response ended early or was not valid HTTP."""


class MalformedResponseError(BrokenResponseError):
    """A response was not valid; the backend server still sent bytes."""


class BackendConnection(BaseProtocol, asyncio.BufferedProtocol):
    """One TCP connection to a backend server.

    A response body is buffered until the caller reads it, so each socket read
    must be small. Without a buffered protocol, asyncio reads up to 256 KiB at
    once.

    Attributes
    ----------
    is_reusable
        Whether another request may be sent: the last response was read to
        its end and no further bytes arrived.
    idle_since_s
        Time at which the last response ended.
    opened_at_s
        Time at which the connection was opened.
    received_at_s
        Time of the last received bytes.
    has_extra_bytes
        Whether bytes that belong to no request arrived after the response.
    is_first_request
        Whether no earlier request was completed on this connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_reusable = True
        self.is_first_request = True
        self.idle_since_s = loop.time()
        self.opened_at_s = self.idle_since_s
        self.received_at_s = float('-inf')
        self._is_lost = False
        self.has_extra_bytes = False
        self._response_size = ResponseSize()
        self._has_response_body = True
        # Last bytes of earlier reads, which may contain the start of the
        # delimiter at the end of a head.
        self._search_overlap = b''
        self._matches_request: Callable[[Any], bool] | None = None
        self._head: asyncio.Future[ResponseHead] | None = None
        self._body: StreamReader | None = None

    @property
    def is_open(self) -> bool:
        """Return whether requests can be sent on the connection."""
        return (
            not self._is_lost
            and self.transport is not None
            and not self.transport.is_closing()
        )

    @property
    def _awaits_response(self) -> bool:
        return self._head is not None and not self._is_complete

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes since the last request was sent."""
        return self._response_size.received_bytes

    @property
    def is_response_incomplete(self) -> bool:
        """Return whether a response has begun but not ended."""
        return self.received_bytes > 0 and not self._is_complete

    @property
    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def send(
        self,
        head: bytes,
        body: bytes,
        matches_request: Callable[[ResponseHead], bool],
        *,
        has_response_body: bool = True,
    ) -> None:
        """Send one request.

        ``matches_request`` returns whether a response belongs to this request.
        Other responses, which are late ones to earlier requests, are dropped.

        Raises
        ------
        ConnectionLostError
            If the connection was already closed; the outcome is ``not_run``.
        """
        if not self.is_open:
            raise ConnectionLostError(
                'the connection was closed before the request was sent',
                outcome=Outcome.NOT_RUN,
            )
        self.is_reusable = False
        self._matches_request = matches_request
        self._has_response_body = has_response_body
        self._response_size = ResponseSize()
        self._search_overlap = b''
        self._head = self._loop.create_future()
        self._body = None
        self._parser = HttpResponseParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            payload_exception=BrokenResponseError,
            response_with_body=has_response_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.transport.write(head + body)

    async def read_head(self, deadline_s: float | None = None) -> ResponseHead:
        """Wait for the head of the response.

        A head that has arrived is returned also after the deadline: a process
        that stood still until then has not read it yet.

        Raises
        ------
        BrokenResponseError
            If the connection ends or the response is not valid HTTP.
        TimeoutError
            If no head has arrived by ``deadline_s``, in the clock of the loop.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._head
        except TimeoutError:
            if self._head.cancelled():
                raise
            return self._head.result()

    def mark_finished(self, head: ResponseHead) -> None:
        """Record that the response was read to its end."""
        self.idle_since_s = self._loop.time()
        self.is_first_request = False
        self.is_reusable = (
            head.keeps_alive
            and self.is_open
            and head.body.is_eof()
            and not self.has_extra_bytes
        )

    def abort(self) -> None:
        """Close at once, which cancels the request at the backend server."""
        if self._awaits_response and self.is_open:
            # A reset makes even a frozen backend server drop unread bytes.
            reset_on_close(self.transport)
        self.is_reusable = False
        if self.transport is not None:
            self.transport.abort()

    # Protocol callbacks.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.received_at_s = self._loop.time()
        if self._parser is None or (self.is_reusable and data):
            # No request is pending, so the bytes are unexpected.
            self.abort()
            return
        self._response_size.add(len(data))
        problem = self._parse(data) or self._response_size.exceeded_limit()
        if problem:
            self._fail_and_abort(problem)

    def pause_reading(self) -> None:
        """Pause only after the head of the awaited response has arrived.

        The body of a dropped response has no reader that would resume reading.
        """
        if self._body is not None:
            super().pause_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; a clean close completes one without a length."""
        self._is_lost = True
        self.is_reusable = False
        parser = self._parser
        self._parser = None
        error = BrokenResponseError(
            f'the connection was closed, error: {exc!r}'
        )
        if parser is not None and exc is None:
            try:
                parser.feed_eof()
            except Exception as incomplete:
                error = BrokenResponseError(
                    f'incomplete response: {error_text(incomplete)}',
                )
        self._fail(error)
        super().connection_lost(exc)

    def _parse(self, data: bytes) -> str:
        """Return why the response cannot be parsed, or an empty string."""
        try:
            for part in self._split_after_heads(data):
                messages, is_upgraded, _ = self._parser.feed_data(part)
                for message, body in messages:
                    self._on_message(message, body)
                if is_upgraded:
                    return 'unexpected protocol upgrade'
        except Exception as error:
            return f'malformed response: {error_text(error)}'
        return ''

    def _split_after_heads(self, data: bytes) -> Iterator[bytes]:
        """Split after each head up to the head of the awaited response.

        The parser drops a head if later bytes of the same ``feed_data`` call
        are malformed. Without the split, malformed bytes after a complete
        response would discard that response.
        """
        search_window = self._search_overlap + data
        overlap_bytes = len(self._search_overlap)
        start = 0
        found = search_window.find(END_OF_HEAD)
        while self._body is None and found >= 0:
            end = found + len(END_OF_HEAD)
            yield data[start : end - overlap_bytes]
            start = end - overlap_bytes
            found = search_window.find(END_OF_HEAD, end)
        self._search_overlap = search_window[-3:]
        if start < len(data) or not data:
            yield data[start:]

    def _on_message(self, message: Any, body: StreamReader) -> None:
        if message.code in INTERIM_STATUSES:
            return
        if self._body is not None:
            # A second response belongs to no request.
            self.has_extra_bytes = True
            return
        problem = final_problem(message.code, message)
        if problem:
            raise MalformedResponseError(f'a response with {problem}')
        head = ResponseHead(
            status=message.code,
            reason=message.reason or '',
            headers=message.raw_headers,
            body=body,
            framing=framing_of(
                message, has_response_body=self._has_response_body
            ),
            keeps_alive=not message.should_close,
        )
        if self._head.done() or not self._matches_request(head):
            return
        self._body = body
        self._response_size.end_head(body)
        self._head.set_result(head)

    def _fail_and_abort(self, problem: str) -> None:
        if not self.is_response_incomplete:
            self.has_extra_bytes = True
        self._fail(
            MalformedResponseError(
                f'{problem}, {self.received_bytes} bytes received',
            ),
        )
        self.abort()

    def _fail(self, error: Exception) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
            # Mark the error as retrieved, as the waiter may be cancelled.
            self._head.exception()
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)


async def open_connection(
    address: Address,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> BackendConnection:
    """Connect to a backend server.

    Raises
    ------
    ConnectionLostError
        If the backend server cannot be reached in time; the outcome is
        ``not_run``.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: BackendConnection(loop),
                address.host,
                address.port,
            )
    except CONNECT_ERRORS as error:
        raise ConnectionLostError(
            f'cannot connect to {address}: {error!r}',
            outcome=Outcome.NOT_RUN,
        ) from error
    detect_dead_peer(transport)
    return connection
