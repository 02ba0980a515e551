"""Server side of peer connections: one task for each call."""

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

from kumquatrun.errors import (
    ConnectionLostError,
    KumquatrunError,
    Outcome,
    OutcomeUnknownError,
    UnauthorizedPeerError,
    WireError,
)
from kumquatrun.peer.address import Address
from kumquatrun.peer.errors import error_to_reply
from kumquatrun.peer.link import CONNECT_TIMEOUT_S, STREAM_CREDIT_ITEMS, Link
from kumquatrun.peer.messages import (
    PROTOCOL_VERSION,
    Hello,
    decode_message,
    encode_message,
)
from kumquatrun.peer.wire import Frame, FrameKind

log = logging.getLogger(__name__)

# After an election, all hosts connect to the new leader at once.
BACKLOG = 1024


class CallContext:
    """Server side of one call.

    Attributes
    ----------
    peer
        Identity of the caller.
    outcome
        Known outcome of the execution; the reply to a cancelled call reports
        it.
    """

    def __init__(self, link: Link, call_id: int, peer: Hello) -> None:
        self.peer = peer
        self.outcome = Outcome.UNKNOWN
        self._link = link
        self._call_id = call_id
        self._credit = asyncio.Semaphore(STREAM_CREDIT_ITEMS)

    async def send_item(self, item: bytes) -> None:
        """Send one stream item; waits until the caller has granted credit."""
        await self._credit.acquire()
        await self._link.send(FrameKind.ITEM, self._call_id, item)

    async def send_message(self, msg: Any) -> None:
        """Send a message as a stream item."""
        await self._credit.acquire()
        await self._link.send(
            FrameKind.ITEM, self._call_id, encode_message(msg)
        )

    def add_credit(self, item_count: int) -> None:
        """Record that the caller consumed this number of items."""
        for _ in range(item_count):
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
        self._links: set[Link] = set()
        self._sessions: set[_ServerSession] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, address: Address) -> Address:
        """Listen and return the bound address; port 0 selects a free port."""
        self._server = await asyncio.start_server(
            self._serve,
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def wait_idle(self) -> None:
        """Wait until no call is open and all replies have been sent.

        ``stop`` discards buffered data, so a planned shutdown calls this
        first.
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
        session = _ServerSession(Link(reader, writer), self)
        task = asyncio.current_task()
        self._tasks.add(task)
        self._links.add(session.link)
        self._sessions.add(session)
        try:
            await session.run()
        except (OSError, EOFError, KumquatrunError) as error:
            # The peer disconnected without open calls.
            is_clean_close = (
                isinstance(error, EOFError) and not session.has_calls
            )
            level = logging.DEBUG if is_clean_close else logging.INFO
            log.log(level, 'event=peer_closed error=%r', str(error))
        except asyncio.CancelledError:
            # Not raised, as asyncio logs a cancelled callback as an error.
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
            raise UnauthorizedPeerError(
                f'wrong cluster token from {peer.node_id}'
            )
        if peer.protocol_version != PROTOCOL_VERSION:
            raise WireError(
                f'unsupported protocol version {peer.protocol_version}'
            )

    async def answer(self, request: Any, context: CallContext) -> Any:
        """Run the handler."""
        return await self._handler.handle(request, context)


class _ServerSession:
    """Calls of one accepted connection."""

    def __init__(self, link: Link, server: PeerServer) -> None:
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
            raise WireError('the first frame is not a HELLO')
        self._peer = decode_message(frame.body)
        if not isinstance(self._peer, Hello):
            raise WireError('the first message is not a Hello')
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
        count = frame.body
        if not isinstance(count, int) or not 0 < count <= STREAM_CREDIT_ITEMS:
            raise WireError(f'credit must be 1 to {STREAM_CREDIT_ITEMS} items')
        if frame.call_id in self._calls:
            self._calls[frame.call_id][1].add_credit(count)

    async def _on_cancel(self, frame: Frame) -> None:
        if frame.call_id in self._calls:
            self._calls[frame.call_id][0].cancel()

    async def _on_ping(self, frame: Frame) -> None:
        await self.link.send(FrameKind.PONG, 0, None)

    async def _on_pong(self, frame: Frame) -> None:
        """Ignore the frame: reading it has already reset the silence timer."""

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
            # The reply carries the known outcome, so that the caller of a
            # cancelled call knows whether the call ran.
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
