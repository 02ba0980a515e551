"""Client side of peer connections: calls and streams.

A call belongs to one connection and is never resent. When the connection
ends, its open calls fail with ``ConnectionLostError`` and outcome ``unknown``;
the callers decide whether to retry.
"""

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from kumquatrun.errors import (
    ConnectionLostError,
    DeadlineExceededError,
    KumquatrunError,
    Outcome,
    WireError,
)
from kumquatrun.peer.address import Address
from kumquatrun.peer.errors import reply_to_error
from kumquatrun.peer.link import CONNECT_TIMEOUT_S, STREAM_CREDIT_ITEMS, Link
from kumquatrun.peer.messages import Hello, decode_message, encode_message
from kumquatrun.peer.wire import Frame, FrameKind

log = logging.getLogger(__name__)

CANCEL_ACK_TIMEOUT_S = 1.0
# asyncio raises OverflowError for a port out of range.
CONNECT_ERRORS = (OSError, OverflowError, EOFError, WireError)


class PeerStream:
    """Client side of one call.

    Iterate over it for the stream items; ``reply`` is set after the last item.

    Attributes
    ----------
    item_handler
        Optional callback for items of bytes, called on arrival if no earlier
        item is buffered; returns whether it consumed the item. An item for
        which it returns False or raises an error is left to the iteration. The
        callback saves a task switch per item.
    """

    def __init__(self, link: Link, call_id: int) -> None:
        self.reply: Any = None
        self.item_handler: Callable[[bytes], bool] | None = None
        self._link = link
        self._call_id = call_id
        self._events: deque[Frame | KumquatrunError] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._uncredited_items = 0
        self.is_done = False

    def push(self, event: Frame | KumquatrunError) -> None:
        """Deliver a received frame or the error of a lost connection."""
        if self.item_handler is not None and self._offer_item(event):
            self._return_credit()
            return
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def __aiter__(self) -> AsyncIterator[Any]:
        return self

    async def __anext__(self) -> Any:
        if self.is_done:
            raise StopAsyncIteration
        while not self._events:
            await self._wait()
        event = self._events.popleft()
        if isinstance(event, KumquatrunError):
            self.is_done = True
            raise event
        if event.kind is FrameKind.ITEM:
            self._return_credit()
            body = event.body
            return body if isinstance(body, bytes) else decode_message(body)
        self.is_done = True
        reply = decode_message(event.body)
        if event.kind is FrameKind.ERROR:
            raise reply_to_error(reply)
        self.reply = reply
        raise StopAsyncIteration

    async def result(self) -> Any:
        """Skip the remaining items and return the reply."""
        async for _ in self:
            pass
        return self.reply

    async def cancel(self) -> Outcome:
        """Cancel the call and return the outcome that the peer reports.

        Without an acknowledgement the outcome is ``unknown``.
        """
        if self.is_done:
            return Outcome.RAN if self.reply is not None else Outcome.UNKNOWN
        try:
            async with asyncio.timeout(CANCEL_ACK_TIMEOUT_S):
                await self._link.send(FrameKind.CANCEL, self._call_id, None)
                await self.result()
        except KumquatrunError as error:
            return error.outcome
        except TimeoutError:
            return Outcome.UNKNOWN
        return Outcome.RAN

    def _offer_item(self, event: Frame | KumquatrunError) -> bool:
        if self._events or isinstance(event, KumquatrunError):
            return False
        if event.kind is not FrameKind.ITEM or not isinstance(
            event.body, bytes
        ):
            return False
        try:
            return self.item_handler(event.body)
        except Exception:
            # Not raised here, because other calls share this connection. The
            # item is left to the iteration, which reports the error.
            log.exception('event=item_not_taken')
            self.item_handler = None
            return False

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _return_credit(self) -> None:
        self._uncredited_items += 1
        if self._uncredited_items * 2 >= STREAM_CREDIT_ITEMS:
            item_count = self._uncredited_items
            self._uncredited_items = 0
            self._link.send_now(FrameKind.CREDIT, self._call_id, item_count)


class PeerClient:
    """Calls one peer over a single connection that is opened on demand."""

    def __init__(self, address: Address, identity: Hello) -> None:
        self.address = address
        self.peer: Hello | None = None
        self._identity = identity
        self._link: Link | None = None
        self._streams: dict[int, PeerStream] = {}
        self._call_ids = itertools.count(1)
        self._connecting = asyncio.Lock()
        self._call_ended = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_connected(self) -> bool:
        """Return whether a connection is open."""
        return self._link is not None

    @property
    def last_received_at_s(self) -> float:
        """Return the event loop time when data last arrived from the peer."""
        return self._link.last_received_at_s if self._link else float('-inf')

    def ping(self) -> None:
        """Send a ping if a connection is open."""
        if self._link is not None:
            with suppress(ConnectionLostError):
                self._link.send_now(FrameKind.PING, 0, None)

    async def connect(self) -> Hello:
        """Open the connection if needed; return the identity of the peer.

        Raises
        ------
        ConnectionLostError
            If the peer cannot be reached; the outcome is ``not_run``.
        """
        async with self._connecting:
            if self._link is None:
                await self._open()
        return self.peer

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request and return its reply.

        Raises
        ------
        DeadlineExceededError
            If no reply arrived in time; the outcome is ``unknown``.
        ConnectionLostError
            ``not_run`` if no connection was opened, else ``unknown``.
        """
        try:
            async with asyncio.timeout(timeout_s), self.stream(request) as call:
                return await call.result()
        except TimeoutError:
            raise DeadlineExceededError(
                f'no reply from {self.address} in {timeout_s} s',
            ) from None

    @asynccontextmanager
    async def stream(self, request: Any) -> AsyncIterator[PeerStream]:
        """Open a streaming call; leaving the block early cancels it."""
        await self.connect()
        link = self._link
        if link is None:
            raise ConnectionLostError(
                f'lost the connection to {self.address}',
                outcome=Outcome.NOT_RUN,
            )
        call_id = next(self._call_ids)
        call = PeerStream(link, call_id)
        self._streams[call_id] = call
        try:
            await link.send(FrameKind.REQUEST, call_id, encode_message(request))
            yield call
        finally:
            self._streams.pop(call_id, None)
            self._call_ended.set()
            if not call.is_done:
                self._send_cancel(link, call_id)

    async def wait_idle(self) -> None:
        """Wait until no call is open."""
        while self._streams:
            self._call_ended.clear()
            await self._call_ended.wait()

    async def close(self) -> None:
        """Close the connection; open calls end with outcome ``unknown``."""
        if self._link is not None:
            self._link.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_cancel(self, link: Link, call_id: int) -> None:
        async def send() -> None:
            with suppress(KumquatrunError, OSError):
                await link.send(FrameKind.CANCEL, call_id, None)

        self._spawn(send())

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address.host,
                    self.address.port,
                )
                link = Link(reader, writer)
                answer = await self._handshake(link)
        except CONNECT_ERRORS as error:
            raise ConnectionLostError(
                f'cannot connect to {self.address}: {error!r}',
                outcome=Outcome.NOT_RUN,
            ) from error
        link.set_regions(self._identity.region, answer.region)
        self.peer = answer
        self._link = link
        self._spawn(self._read(link))
        self._spawn(link.keep_alive())

    async def _handshake(self, link: Link) -> Hello:
        """Exchange identities; closes the connection if that fails."""
        try:
            identity = encode_message(self._identity)
            await link.send(FrameKind.HELLO, 0, identity)
            frame = await link.read()
            answer = decode_message(frame.body)
            if frame.kind is not FrameKind.HELLO:
                raise reply_to_error(answer)
            if not isinstance(answer, Hello):
                raise WireError('the first message is not a Hello')
        except BaseException:
            link.abort()
            raise
        return answer

    async def _read(self, link: Link) -> None:
        reason = 'closed'
        try:
            while True:
                await self._receive(link, await link.read())
        except (OSError, EOFError, KumquatrunError) as error:
            reason = repr(error)
        finally:
            link.abort()
            if self._link is link:
                self._link = None
            lost = ConnectionLostError(
                f'lost the connection to {self.address}: {reason}'
            )
            for call in list(self._streams.values()):
                call.push(lost)

    async def _receive(self, link: Link, frame: Frame) -> None:
        if frame.kind is FrameKind.PING:
            await link.send(FrameKind.PONG, 0, None)
        elif frame.call_id in self._streams:
            self._streams[frame.call_id].push(frame)
