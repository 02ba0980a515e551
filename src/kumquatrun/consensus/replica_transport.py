"""Transport between replicas over peer connections."""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any, Protocol

from kumquatrun.errors import ConnectionLostError, KumquatrunError, Outcome
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello

log = logging.getLogger(__name__)

# Beyond this number of unanswered messages to one replica, further ones are
# dropped; the consensus protocol repeats what is lost.
MAX_PENDING_CALLS = 64
CALL_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.3


class Transport(Protocol):
    """Sends messages to replicas without waiting; messages may be lost."""

    def send(self, receiver: str, msg: Any) -> None:
        """Send a message to a replica; its reply goes to the listener."""
        ...

    def set_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Set or change the addresses of replicas."""
        ...

    def on_reply(self, listener: Callable[[Any], None]) -> None:
        """Set the listener that gets the replies."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class TcpTransport:
    """``Transport`` with one peer connection per replica."""

    def __init__(self, identity: Hello, rng: random.Random) -> None:
        self._identity = identity
        self._rng = rng
        self._channels: dict[str, _Channel] = {}
        self._listener: Callable[[Any], None] = _ignore

    def send(self, receiver: str, msg: Any) -> None:
        """Send a message; dropped if the replica's address is not known."""
        channel = self._channels.get(receiver)
        if channel is not None:
            channel.send(msg, self._reply)

    def set_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Set or change the addresses of replicas."""
        for replica_id, address in addresses.items():
            current = self._channels.get(replica_id)
            if current is not None and current.address == address:
                continue
            if current is not None:
                current.close_in_background()
            client = PeerClient(address, self._identity)
            self._channels[replica_id] = _Channel(client, self._rng)

    def on_reply(self, listener: Callable[[Any], None]) -> None:
        """Set the listener that gets the replies."""
        self._listener = listener

    async def close(self) -> None:
        """Close all connections."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    def _reply(self, msg: Any) -> None:
        self._listener(msg)


class _Channel:
    """Calls to one replica."""

    def __init__(self, client: PeerClient, rng: random.Random) -> None:
        self.address = client.address
        self._client = client
        self._rng = rng
        self._calls: set[asyncio.Task] = set()
        self._retry_at_s = float('-inf')
        self._closing: asyncio.Task | None = None

    def send(self, msg: Any, on_reply: Callable[[Any], None]) -> None:
        """Start a call; dropped during backoff or if too many are pending."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._retry_at_s or len(self._calls) >= MAX_PENDING_CALLS:
            return
        task = asyncio.create_task(self._call(msg, on_reply))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def close_in_background(self) -> None:
        """Close in the background."""
        self._closing = asyncio.create_task(self.close())

    async def close(self) -> None:
        """Cancel all calls and close the connection."""
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await self._client.close()

    async def _call(self, msg: Any, on_reply: Callable[[Any], None]) -> None:
        try:
            with suppress(OSError):
                on_reply(await self._client.call(msg, CALL_TIMEOUT_S))
        except ConnectionLostError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._back_off()
        except KumquatrunError as error:
            log.debug(
                'event=replica_call_failed address=%s error=%r',
                self.address,
                str(error),
            )

    def _back_off(self) -> None:
        now_s = asyncio.get_running_loop().time()
        delay_s = self._rng.uniform(BACKOFF_MIN_S, BACKOFF_MAX_S)
        self._retry_at_s = now_s + delay_s


def _ignore(_msg: Any) -> None:
    """Discard a reply that arrives before a listener is set."""
