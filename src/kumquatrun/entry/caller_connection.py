"""One caller's connection: its state, and what it makes the process hold."""

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import repeat

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from kumquatrun.entry.error_body import error_response, new_request_id
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.runtime.client_memory import ClientMemory
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

SOCKET_READ_BYTES = 64 * 1024
# Bytes of requests behind the current one above which a connection is not read.
MAX_AHEAD_BYTES = 64 * 1024
# Of one request; callers inside the limits of the platform send up to 32 KiB.
MAX_HEAD_BYTES = 128 * 1024
RELEASE_RETRY_S = 1.0
HTTP_BAD_REQUEST = 400

# Shared by all connections, since the event loop fills the buffer and passes it
# to the protocol in one step.
_read_buffer = memoryview(bytearray(SOCKET_READ_BYTES))


class CallerConnection(RequestHandler, asyncio.BufferedProtocol):
    """One caller's connection; a ``Holder`` of client memory.

    Received bytes count as held until the request that they belong to ends,
    sent ones while the caller does not take them. Without a buffered protocol,
    asyncio reads up to 256 KiB at once.

    ``is_over_limit`` is true for a connection over the limit; its first request
    is refused. ``has_input`` is true from the first byte of a request until
    its handler begins. ``unhandled_requests`` counts the requests whose heads
    were read and whose handlers have not begun. ``must_close`` is true if the
    response to the current request is the last one.
    """

    def __init__(self, *args, memory: ClientMemory, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.client = ''
        self.held_bytes = 0
        self.is_busy = False
        self.has_input = False
        self.is_over_limit = False
        self.must_close = False
        self.idle_since_s = self._loop.time()
        self.input_since_s = self.idle_since_s
        self._memory = memory
        # The parser creates an error for each further read.
        self._is_malformed = False
        # Bytes of each request that was read and not begun.
        self._ahead: deque[int] = deque()
        self._ahead_bytes = 0
        # Bytes of the request whose handler runs, and bytes since the last
        # head that was complete.
        self._current_bytes = 0
        self._recent_bytes = 0
        self._unread_bytes = 0
        self._body_limit: asyncio.Timeout | None = None

    @property
    def unhandled_requests(self) -> int:
        """Return the number of requests that were read and not begun."""
        return len(self._ahead)

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
        return bool(self._ahead)

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to account for the connection."""
        peer = transport.get_extra_info('peername')
        self.client = peer[0] if peer else ''
        self._memory.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what was held."""
        super().connection_lost(exc)
        self._memory.remove(self)
        self._messages.clear()
        self._ahead.clear()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Receive bytes of a request."""
        if self.must_close or self._is_malformed:
            return
        # Bytes that arrive while a request is handled belong to its body.
        if not (self.is_busy or self.has_input):
            self.has_input = True
            self.input_since_s = self._loop.time()
        queued = len(self._messages)
        super().data_received(data)
        self._recent_bytes += len(data)
        new_requests = len(self._messages) - queued
        if new_requests > 0:
            self._enqueue(new_requests)
            self._is_malformed = isinstance(self._messages[-1][0], _ErrInfo)
        self._memory.change(self, len(data))
        self._limit_reading()

    def pause_writing(self) -> None:
        """Count the bytes that the caller does not take as held."""
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._memory.change(self, self._unread_bytes)

    def resume_writing(self) -> None:
        """Count the bytes as taken."""
        super().resume_writing()
        if self.transport is not None:
            self._memory.change(self, -self._unread_bytes)
        self._unread_bytes = 0

    # Requests.

    def begin_request(self) -> None:
        """Record that the handler of a request has begun."""
        self.is_busy = True
        self.has_input = False
        self._current_bytes = self._ahead.popleft()
        self._ahead_bytes -= self._current_bytes
        self._resume_reading()

    def end_request(self) -> None:
        """Record that the handler of the request has ended."""
        self.is_busy = False
        self.idle_since_s = self._loop.time()
        ended_bytes = self._current_bytes
        self._current_bytes = 0
        if not self._ahead:
            # They belong to the body of the request.
            ended_bytes += self._recent_bytes
            self._recent_bytes = 0
        if self.transport is not None:
            self._memory.change(self, -ended_bytes)
        self._resume_reading()

    @asynccontextmanager
    async def reading_body(self) -> AsyncIterator[None]:
        """Allow ``release`` to refuse the request while its body is read.

        Raises
        ------
        NoCapacityError
            If the request was refused; it was not run.
        """
        limit = asyncio.timeout(None)
        self._body_limit = limit
        try:
            async with limit:
                yield
        except TimeoutError:
            if not limit.expired():
                raise
            raise NoCapacityError(
                'the clients of this host exceed its memory',
                retry_after_s=RELEASE_RETRY_S,
                cause='client_memory',
            ) from None
        finally:
            self._body_limit = None

    def release(self) -> str:
        """Release bytes; return what was done, or '' if nothing could be.

        A request that may have been sent to a backend server goes on.
        """
        if self.must_close or self.transport is None:
            return ''
        if self._paused:
            return self._abort('unread_answer')
        if self._body_limit is not None:
            self._drop_ahead()
            self._body_limit.reschedule(self._loop.time())
            self._count_as_released()
            return 'body_refused'
        if not self.is_busy:
            return self._abort('unfinished_request')
        return 'requests_dropped' if self._drop_ahead() else ''

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

    # Flow control.

    def _enqueue(self, new_requests: int) -> None:
        share, rest = divmod(self._recent_bytes, new_requests)
        self._ahead.append(share + rest)
        self._ahead.extend(repeat(share, new_requests - 1))
        self._ahead_bytes += self._recent_bytes
        self._recent_bytes = 0

    def _limit_reading(self) -> None:
        if self._recent_bytes > MAX_HEAD_BYTES and self._is_reading_first_head:
            process_metrics().count(
                'client_releases_total', action=self._abort('long_head')
            )
        elif self._bytes_behind_current > MAX_AHEAD_BYTES:
            self._pause_reading_for_buffer()

    @property
    def _is_reading_first_head(self) -> bool:
        return not (self.is_busy or self._ahead)

    @property
    def _bytes_behind_current(self) -> int:
        """Return the bytes of requests behind the current one.

        The first one in the queue counts as the current one between two
        handlers; its body may still arrive.
        """
        if self.is_busy:
            request = self._current_request
            if not self._ahead and request and not request.content.is_eof():
                return 0
            return self._ahead_bytes + self._recent_bytes
        if len(self._ahead) < 2:
            return 0
        return self._ahead_bytes - self._ahead[0] + self._recent_bytes

    def _resume_reading_if_drained(self) -> None:
        if self._bytes_behind_current <= MAX_AHEAD_BYTES:
            super()._resume_reading_if_drained()

    def _resume_reading(self) -> None:
        is_paused = self._buffer_paused and self.transport is not None
        if is_paused and len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()

    def _drop_ahead(self) -> bool:
        """Drop the requests behind the current one, and close after it."""
        if not self._ahead:
            return False
        dropped_bytes = self._ahead_bytes + self._recent_bytes
        self._messages.clear()
        self._ahead.clear()
        self._ahead_bytes = 0
        self._recent_bytes = 0
        self._memory.change(self, -dropped_bytes)
        self._close_after_current()
        return True

    def _close_after_current(self) -> None:
        self.must_close = True
        self.close()

    def _count_as_released(self) -> None:
        self._close_after_current()
        self._memory.change(self, -self.held_bytes)
        self._current_bytes = 0
        self._recent_bytes = 0
        self._unread_bytes = 0

    def _abort(self, action: str) -> str:
        self._count_as_released()
        self.transport.abort()
        return action
