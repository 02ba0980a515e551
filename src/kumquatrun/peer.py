"""Peer connections: multiplexed calls and streams between own processes.

A call is bound to its connection. The transport never sends a call again; when
a connection ends, the callers of its open calls get ``ConnectionLostError``
with outcome ``unknown`` and decide themselves.
"""

import asyncio
import hmac
import itertools
import logging
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any, Protocol

from kumquatrun.errors import (
    ConnectionLostError,
    DeadlineExceededError,
    KumquatrunError,
    Outcome,
    OutcomeUnknownError,
    UnauthorizedPeerError,
    WireError,
    error_from_code,
)
from kumquatrun.messages import (
    PROTOCOL_VERSION,
    ErrorReply,
    Hello,
    decode_message,
    encode_message,
)
from kumquatrun.wire import Frame, FrameKind, FrameReader, encode_frame

log = logging.getLogger(__name__)

# Bytes that this process has sent to peers in the same region, in another
# one, and in an unknown one (handshakes and operator commands).
sent_bytes: Counter[str] = Counter()

# asyncio pauses a writer at this size, so below it there is no need to wait.
_FULL_BUFFER_BYTES = 64 * 1024
PING_AFTER_S = 0.5
SILENCE_LIMIT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
CANCEL_ACK_TIMEOUT_S = 1.0
STREAM_CREDIT_ITEMS = 64


@dataclass(frozen=True)
class Address:
    """IP address and TCP port of a peer."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``ip:port``.

        Raises
        ------
        ValueError
            If the port is missing or not a number.
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is not of the form ip:port')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def error_to_reply(error: KumquatrunError) -> ErrorReply:
    """Return the message that carries ``error`` to a peer."""
    return ErrorReply(
        code=error.code,
        detail=error.detail,
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
        cause=error.cause,
    )


def reply_to_error(reply: ErrorReply) -> KumquatrunError:
    """Rebuild the error that a peer sent."""
    return error_from_code(
        reply.code,
        reply.detail,
        outcome=reply.outcome,
        retry_after_s=reply.retry_after_s,
        cause=reply.cause,
    )


class _Link:
    """One TCP connection with heartbeats; used by both sides."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._frames = FrameReader(reader)
        self._writer = writer
        self._clock = asyncio.get_running_loop().time
        self._last_read_s = self._clock()
        self._last_write_s = self._last_read_s
        self._scope = 'unknown'
        self.bytes_sent = 0
        self._unwritten: list[bytes] = []
        self._unwritten_bytes = 0

    async def send(self, kind: FrameKind, call_id: int, body: Any) -> None:
        """Send one frame; waits while the send buffer is full."""
        self.send_now(kind, call_id, body)
        if self._unwritten_bytes >= _FULL_BUFFER_BYTES:
            self._write()
        if self._writer.transport.get_write_buffer_size() < _FULL_BUFFER_BYTES:
            return
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLostError(f'write failed: {error}') from error

    def send_now(self, kind: FrameKind, call_id: int, body: Any) -> None:
        """Send one frame without waiting; for small frames only.

        Frames of one turn of the event loop are written together: tokens of
        many streams arrive at once, and a system call per frame would cost
        more than the frame itself.
        """
        encoded = encode_frame(Frame(kind, call_id, body))
        if self._writer.is_closing():
            raise ConnectionLostError('connection is closed')
        if not self._unwritten:
            asyncio.get_running_loop().call_soon(self._write)
        self._unwritten.append(encoded)
        self._unwritten_bytes += len(encoded)
        self.bytes_sent += len(encoded)
        sent_bytes[self._scope] += len(encoded)
        self._last_write_s = self._clock()

    async def read(self) -> Frame:
        """Read one frame."""
        frame = await self._frames.read()
        self._last_read_s = self._clock()
        return frame

    async def keep_alive(self) -> None:
        """Ping an idle peer and close a silent connection; never returns."""
        while not self._writer.is_closing():
            await asyncio.sleep(PING_AFTER_S / 2)
            now_s = self._clock()
            if now_s - self._last_read_s > SILENCE_LIMIT_S:
                log.warning(
                    'event=peer_silent silence_limit_s=%s', SILENCE_LIMIT_S
                )
                self.abort()
                return
            if now_s - self._last_write_s >= PING_AFTER_S:
                with suppress(ConnectionLostError):
                    await self.send(FrameKind.PING, 0, None)

    async def flush(self) -> None:
        """Wait until the send buffer is empty."""
        self._write()
        self._writer.transport.set_write_buffer_limits(high=0)
        await self._writer.drain()

    def set_regions(self, own: str, other: str) -> None:
        """Set where the two ends are, so that the bytes can be counted."""
        if own and other:
            self._scope = 'same_region' if own == other else 'other_region'

    def abort(self) -> None:
        """Close the connection at once, without flushing."""
        self._writer.transport.abort()

    def _write(self) -> None:
        if self._unwritten and not self._writer.is_closing():
            self._writer.write(b''.join(self._unwritten))
        self._unwritten.clear()
        self._unwritten_bytes = 0


class CallContext:
    """Server side of one call.

    Attributes
    ----------
    peer
        Identity of the caller.
    outcome
        What is known about the execution; a cancelled call reports it.
    """

    def __init__(self, link: _Link, call_id: int, peer: Hello) -> None:
        self.peer = peer
        self.outcome = Outcome.UNKNOWN
        self._link = link
        self._call_id = call_id
        self._credit = asyncio.Semaphore(STREAM_CREDIT_ITEMS)

    async def send_item(self, item: bytes) -> None:
        """Send one stream item; waits until the caller granted credit."""
        await self._credit.acquire()
        await self._link.send(FrameKind.ITEM, self._call_id, item)

    async def send_message(self, msg: Any) -> None:
        """Send a message as a stream item."""
        await self._credit.acquire()
        await self._link.send(
            FrameKind.ITEM, self._call_id, encode_message(msg)
        )

    def add_credit(self, items: int) -> None:
        """Record that the caller consumed items."""
        for _ in range(items):
            self._credit.release()


class PeerHandler(Protocol):
    """Answers the calls that arrive at a ``PeerServer``."""

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Return the reply message, or raise a ``KumquatrunError``."""
        ...


class PeerServer:
    """Accepts peer connections and runs one task per call."""

    def __init__(self, identity: Hello, handler: PeerHandler) -> None:
        self.identity = identity
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._sessions: set[_ServerSession] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, address: Address) -> Address:
        """Listen; returns the bound address (port 0 picks a free one)."""
        self._server = await asyncio.start_server(
            self._serve,
            address.host,
            address.port,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def wait_idle(self) -> None:
        """Wait until no call is open and all replies left the buffers.

        ``stop`` drops what is still buffered, so a planned shutdown waits
        here first.
        """
        while True:
            for session in list(self._sessions):
                await session.wait_idle()
            if not any(other.has_calls for other in self._sessions):
                return

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        session = _ServerSession(_Link(reader, writer), self)
        task = asyncio.current_task()
        self._tasks.add(task)
        self._links.add(session.link)
        self._sessions.add(session)
        try:
            await session.run()
        except (OSError, EOFError, KumquatrunError) as error:
            log.info('event=peer_closed error=%r', str(error))
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection callback as an error.
            log.debug('event=peer_cancelled')
        finally:
            session.close()
            self._links.discard(session.link)
            self._sessions.discard(session)
            self._tasks.discard(task)

    def check_peer(self, peer: Hello) -> None:
        """Refuse a peer of another cluster or protocol version.

        Raises
        ------
        UnauthorizedPeerError
            If the cluster token differs.
        WireError
            If the protocol version differs.
        """
        expected = self.identity.cluster_token.encode()
        if not hmac.compare_digest(expected, peer.cluster_token.encode()):
            raise UnauthorizedPeerError(f'wrong token from {peer.node_id}')
        if peer.protocol_version != PROTOCOL_VERSION:
            raise WireError(f'protocol version {peer.protocol_version}')

    async def answer(self, request: Any, context: CallContext) -> Any:
        """Run the handler."""
        return await self._handler.handle(request, context)


class _ServerSession:
    """Calls of one accepted connection."""

    def __init__(self, link: _Link, server: PeerServer) -> None:
        self.link = link
        self._server = server
        self._peer: Hello | None = None
        self._calls: dict[int, tuple[asyncio.Task, CallContext]] = {}
        self._keep_alive = asyncio.create_task(link.keep_alive())

    @property
    def has_calls(self) -> bool:
        return bool(self._calls)

    async def wait_idle(self) -> None:
        tasks = [task for task, _ in self._calls.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        with suppress(OSError):
            await self.link.flush()

    async def run(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            frame = await self.link.read()
        if frame.kind is not FrameKind.HELLO:
            raise WireError('the first frame is not a hello')
        self._peer = decode_message(frame.body)
        try:
            self._server.check_peer(self._peer)
        except KumquatrunError as error:
            reply = encode_message(error_to_reply(error))
            await self.link.send(FrameKind.ERROR, 0, reply)
            await self.link.flush()
            raise
        identity = self._server.identity
        await self.link.send(FrameKind.HELLO, 0, encode_message(identity))
        self.link.set_regions(identity.region, self._peer.region)
        while True:
            await self._receive(await self.link.read())

    def close(self) -> None:
        self._keep_alive.cancel()
        for task, _ in self._calls.values():
            task.cancel()
        self.link.abort()

    async def _receive(self, frame: Frame) -> None:
        handlers: dict[FrameKind, Callable[[Frame], Awaitable[None]]] = {
            FrameKind.REQUEST: self._on_request,
            FrameKind.CREDIT: self._on_credit,
            FrameKind.CANCEL: self._on_cancel,
            FrameKind.PING: self._on_ping,
            FrameKind.PONG: self._on_pong,
        }
        handler = handlers.get(frame.kind)
        if handler is None:
            raise WireError(f'unexpected frame {frame.kind.name}')
        await handler(frame)

    async def _on_request(self, frame: Frame) -> None:
        context = CallContext(self.link, frame.call_id, self._peer)
        task = asyncio.create_task(self._run_call(frame, context))
        self._calls[frame.call_id] = (task, context)
        task.add_done_callback(lambda _: self._calls.pop(frame.call_id, None))

    async def _on_credit(self, frame: Frame) -> None:
        if frame.call_id in self._calls:
            self._calls[frame.call_id][1].add_credit(int(frame.body))

    async def _on_cancel(self, frame: Frame) -> None:
        if frame.call_id in self._calls:
            self._calls[frame.call_id][0].cancel()

    async def _on_ping(self, frame: Frame) -> None:
        await self.link.send(FrameKind.PONG, 0, None)

    async def _on_pong(self, frame: Frame) -> None:
        """Nothing to do: reading the frame already counts as a sign of life."""

    async def _run_call(self, frame: Frame, context: CallContext) -> None:
        kind, reply = await self._call_result(frame, context)
        with suppress(ConnectionLostError, OSError):
            await self.link.send(kind, frame.call_id, encode_message(reply))

    async def _call_result(
        self,
        frame: Frame,
        context: CallContext,
    ) -> tuple[FrameKind, Any]:
        try:
            request = decode_message(frame.body)
            reply = await self._server.answer(request, context)
        except KumquatrunError as error:
            return FrameKind.ERROR, error_to_reply(error)
        except asyncio.CancelledError:
            # Answers with what is known, so that the caller of a cancelled
            # call learns whether it was run.
            cancelled = OutcomeUnknownError(
                'call was cancelled',
                outcome=context.outcome,
            )
            return FrameKind.ERROR, error_to_reply(cancelled)
        except Exception as error:
            log.exception('event=call_failed')
            unexpected = KumquatrunError(
                f'unexpected {type(error).__name__}',
                outcome=context.outcome,
            )
            return FrameKind.ERROR, error_to_reply(unexpected)
        return FrameKind.REPLY, reply


class PeerStream:
    """Client side of one call.

    Iterate over it for the stream items; ``reply`` is set after the last one.

    Attributes
    ----------
    take_item
        Called with each item of bytes as it arrives, if no earlier item
        waits; returns whether it took the item. What it does not take, or
        fails on, is left to the iteration. It saves a task switch per item.
    """

    def __init__(self, link: _Link, call_id: int) -> None:
        self.reply: Any = None
        self.take_item: Callable[[bytes], bool] | None = None
        self._link = link
        self._call_id = call_id
        self._events: deque[Frame | KumquatrunError] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._unreported_items = 0
        self.is_done = False

    def push(self, event: Frame | KumquatrunError) -> None:
        """Hand over a frame or the loss of the connection."""
        if self.take_item is not None and self._is_taken(event):
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
        """Cancel the call; returns what the peer knows about its outcome.

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

    def _is_taken(self, event: Frame | KumquatrunError) -> bool:
        if self._events or isinstance(event, KumquatrunError):
            return False
        if event.kind is not FrameKind.ITEM or not isinstance(
            event.body, bytes
        ):
            return False
        try:
            return self.take_item(event.body)
        except Exception:
            # Other calls share this connection. The iteration meets the same
            # failure and reports it.
            log.exception('event=item_not_taken')
            self.take_item = None
            return False

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _return_credit(self) -> None:
        self._unreported_items += 1
        if self._unreported_items * 2 >= STREAM_CREDIT_ITEMS:
            items = self._unreported_items
            self._unreported_items = 0
            self._link.send_now(FrameKind.CREDIT, self._call_id, items)


class PeerClient:
    """Calls one peer over one connection that is opened when needed."""

    def __init__(self, address: Address, identity: Hello) -> None:
        self.address = address
        self.peer: Hello | None = None
        self._identity = identity
        self._link: _Link | None = None
        self._streams: dict[int, PeerStream] = {}
        self._call_ids = itertools.count(1)
        self._connecting = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_connected(self) -> bool:
        """Return whether a connection is open."""
        return self._link is not None

    async def connect(self) -> Hello:
        """Open the connection if there is none; returns the peer's identity.

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
            If no reply came in time; the outcome is ``unknown``.
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
                f'lost {self.address}',
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
            if not call.is_done:
                self._send_cancel(link, call_id)

    async def close(self) -> None:
        """Close the connection; open calls end with ``unknown``."""
        if self._link is not None:
            self._link.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_cancel(self, link: _Link, call_id: int) -> None:
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
                link = _Link(reader, writer)
                identity = encode_message(self._identity)
                await link.send(FrameKind.HELLO, 0, identity)
                frame = await link.read()
        except (OSError, EOFError, TimeoutError) as error:
            raise ConnectionLostError(
                f'cannot connect to {self.address}: {error!r}',
                outcome=Outcome.NOT_RUN,
            ) from error
        answer = decode_message(frame.body)
        if frame.kind is not FrameKind.HELLO:
            link.abort()
            raise reply_to_error(answer)
        link.set_regions(self._identity.region, answer.region)
        self.peer = answer
        self._link = link
        self._spawn(self._read(link))
        self._spawn(link.keep_alive())

    async def _read(self, link: _Link) -> None:
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
            lost = ConnectionLostError(f'lost {self.address}: {reason}')
            for call in list(self._streams.values()):
                call.push(lost)

    async def _receive(self, link: _Link, frame: Frame) -> None:
        if frame.kind is FrameKind.PING:
            await link.send(FrameKind.PONG, 0, None)
        elif frame.call_id in self._streams:
            self._streams[frame.call_id].push(frame)
