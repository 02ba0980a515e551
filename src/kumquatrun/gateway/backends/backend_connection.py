"""HTTP/1.1 connections to backend servers, each used for one request at a time.

Parsing is aiohttp's. Its client is not used here, because it sends idempotent
requests again by itself and takes a late answer to an earlier request for the
answer to the next one.
"""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.gateway.backends.response_size import ResponseSize
from kumquatrun.gateway.backends.socket_options import (
    detect_dead_peer,
    reset_on_close,
)
from kumquatrun.peer.address import Address
from kumquatrun.runtime.error_text import error_text

CONNECT_TIMEOUT_S = 0.4
# A stream whose caller reads slowly holds up to twice the buffer and one read.
READ_BUFFER_BYTES = 16 * 1024
READ_BYTES = 16 * 1024
MAX_HEADER_BYTES = 32 * 1024
END_OF_HEAD = b'\r\n\r\n'
INFORMATIONAL_STATUSES = range(100, 200)
# A port out of range is an OverflowError, a host that is no text of the network
# a ValueError.
CONNECT_ERRORS = (OSError, OverflowError, TimeoutError, ValueError)

# The loop fills it and hands it over in one step, so one serves all
# connections.
_read_buffer = memoryview(bytearray(READ_BYTES))

RawHeaders = tuple[tuple[bytes, bytes], ...]


class BrokenResponseError(ConnectionLostError):
    """Reports an answer that ended early or was not HTTP."""


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer, with the stream of its body."""

    status: int
    reason: str
    headers: RawHeaders
    body: StreamReader
    keeps_alive: bool

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty text."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode('latin-1')
        return ''


class BackendConnection(BaseProtocol, asyncio.BufferedProtocol):
    """One TCP connection to a backend server.

    Reads are small, as bytes are held until the caller takes them: asyncio
    reads up to 256 KiB at once into a protocol without a buffer of its own.

    Attributes
    ----------
    is_reusable
        Whether another request may follow: the last answer was read to its
        end and nothing came after it.
    idle_since_s
        When the last answer ended.
    has_extra_bytes
        Whether bytes came after the answer that belong to no request.
    is_first_request
        Whether no request was answered before the present one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_reusable = True
        self.is_first_request = True
        self.idle_since_s = loop.time()
        self._is_lost = False
        self.has_extra_bytes = False
        self._response_size = ResponseSize()
        # Last bytes of earlier reads, where the end of a head may begin.
        self._search_tail = b''
        self._matches_request: Callable[[Any], bool] | None = None
        self._head: asyncio.Future[ResponseHead] | None = None
        self._body: StreamReader | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry a request."""
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
        """Return whether an answer has begun and not ended."""
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
        """Write one request.

        ``matches_request`` tells the answer to this request from a late answer to an
        earlier one, which is dropped.

        Raises
        ------
        ConnectionLostError
            ``not_run`` if the connection had ended before.
        """
        if not self.is_open:
            raise ConnectionLostError(
                'the connection ended before the request was sent',
                outcome=Outcome.NOT_RUN,
            )
        self.is_reusable = False
        self._matches_request = matches_request
        self._response_size = ResponseSize()
        self._search_tail = b''
        self._head = self._loop.create_future()
        self._body = None
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            payload_exception=BrokenResponseError,
            response_with_body=has_response_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.transport.write(head + body)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises
        ------
        BrokenResponseError
            If the connection ended or the answer is not HTTP.
        """
        return await self._head

    def mark_finished(self, head: ResponseHead) -> None:
        """Record that the answer was read to its end."""
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
            # A backend server that stands still drops the request unread.
            reset_on_close(self.transport)
        self.is_reusable = False
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the transport.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes go."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that arrived."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._parser is None or (self.is_reusable and data):
            # Bytes without a request belong to nothing.
            self.abort()
            return
        self._response_size.add(len(data))
        problem = self._parse(data) or self._response_size.excess()
        if problem:
            self._fail_and_abort(problem)

    def pause_reading(self) -> None:
        """Wait for the reader of the body; a dropped body has none."""
        if self._body is not None:
            super().pause_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer; without a length, a clean end completes it."""
        self._is_lost = True
        self.is_reusable = False
        parser = self._parser
        self._parser = None
        error = BrokenResponseError(f'the connection ended: {exc!r}')
        if parser is not None and exc is None:
            try:
                parser.feed_eof()
            except Exception as incomplete:
                error = BrokenResponseError(
                    f'incomplete answer: {error_text(incomplete)}',
                )
        self._fail(error)
        super().connection_lost(exc)

    def _parse(self, data: bytes) -> str:
        """Return what makes the answer unreadable, or an empty text."""
        try:
            for part in self._split_after_heads(data):
                messages, is_upgraded, _ = self._parser.feed_data(part)
                for message, body in messages:
                    self._on_message(message, body)
                if is_upgraded:
                    return 'unexpected upgrade'
        except Exception as error:
            return f'malformed answer: {error_text(error)}'
        return ''

    def _split_after_heads(self, data: bytes) -> Iterator[bytes]:
        """Cut after each head until the one of the answer.

        The parser drops a head if bytes in the same call are malformed, so
        bytes after a complete answer would cost the answer.
        """
        searched = self._search_tail + data
        tail_bytes = len(self._search_tail)
        start = 0
        found = searched.find(END_OF_HEAD)
        while self._body is None and found >= 0:
            end = found + len(END_OF_HEAD)
            yield data[start : end - tail_bytes]
            start = end - tail_bytes
            found = searched.find(END_OF_HEAD, end)
        self._search_tail = searched[-3:]
        if start < len(data) or not data:
            yield data[start:]

    def _on_message(self, message: Any, body: StreamReader) -> None:
        if message.code in INFORMATIONAL_STATUSES:
            return
        if self._body is not None:
            # A second answer belongs to no request.
            self.has_extra_bytes = True
            return
        head = ResponseHead(
            status=message.code,
            reason=message.reason or '',
            headers=message.raw_headers,
            body=body,
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
            BrokenResponseError(
                f'{problem}, {self.received_bytes} bytes received',
            ),
        )
        self.abort()

    def _fail(self, error: Exception) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
            # The waiter may have been cancelled before.
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
        ``not_run`` if it cannot be reached in time.
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
