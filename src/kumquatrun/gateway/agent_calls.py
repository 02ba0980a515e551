"""Calls of an entry to the agents beside engines."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.gateway.backends import Backend
from kumquatrun.gateway.messages import AdapterReady, PromptRead, UseAdapter
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import Address, PeerClient, PeerStream
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# An agent that takes no connection, or says nothing, in this time is passed
# over. It covers the round trip between regions and a busy loop.
CONNECT_LIMIT_S = 0.5
SIGN_LIMIT_S = 0.25
# An agent that was passed over is not asked again for this time.
SILENT_PAUSE_S = 0.5
TELL_TIMEOUT_S = 1.0


class AgentUnreachableError(ConnectionLostError):
    """Reports that the agent beside an engine did not answer."""


class AgentHold:
    """An adapter that an agent keeps loaded for a request."""

    def __init__(
        self,
        ready: AdapterReady,
        tell: Callable[[PromptRead], None],
        request_id: str,
    ) -> None:
        self.ready = ready
        self._tell = tell
        self._request_id = request_id

    def tell_prompt_read(self) -> None:
        """Tell the agent that the engine has read the prompt."""
        self._tell(PromptRead(request_id=self._request_id))


class AgentCalls:
    """Keeps one connection to each agent.

    Parameters
    ----------
    view
        Lists the registered agents.
    identity
        Returns the identity of this process.
    """

    def __init__(
        self,
        view: ClusterView,
        identity: Callable[[], Hello],
    ) -> None:
        self._view = view
        self._identity = identity
        self._clients: dict[Address, PeerClient] = {}
        self._told: set[asyncio.Task] = set()
        self._silent_until_s: dict[Address, float] = {}

    @asynccontextmanager
    async def hold(
        self,
        backend: Backend,
        request: UseAdapter,
        timeout_s: float,
    ) -> AsyncIterator[AgentHold]:
        """Keep an adapter loaded inside the block.

        Raises
        ------
        AgentUnreachableError
            If the agent does not answer.
        AdapterLoadError, NoCapacityError
            If the agent cannot provide the adapter in time.
        """
        address = self._address_of(backend)
        if address is None:
            raise AgentUnreachableError(
                f'no agent is registered beside {backend.backend_id}',
            )
        self._check_silence(address)
        client = await self._connected(address)
        async with client.stream(request) as call:
            await self._await_sign(call, address)
            yield AgentHold(
                await _adapter_ready(call, backend, timeout_s),
                partial(self._tell, client),
                request.request_id,
            )

    def _tell(self, client: PeerClient, told: PromptRead) -> None:
        task = asyncio.create_task(_send(client, told))
        self._told.add(task)
        task.add_done_callback(self._told.discard)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    def _address_of(self, backend: Backend) -> Address | None:
        for record in self._view.agents_of(backend.record.service):
            address = Address.parse(record.address)
            if address.host == backend.record.address.host:
                return address
        return None

    def _check_silence(self, address: Address) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._silent_until_s.get(address, now_s):
            raise AgentUnreachableError(f'agent {address} was silent just now')

    async def _await_sign(self, call: PeerStream, address: Address) -> None:
        """Wait until the agent says that it has the request."""
        try:
            await _next_item(call, address, SIGN_LIMIT_S)
        except AgentUnreachableError:
            now_s = asyncio.get_running_loop().time()
            self._silent_until_s[address] = now_s + SILENT_PAUSE_S
            raise

    async def _connected(self, address: Address) -> PeerClient:
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, self._identity())
            self._clients[address] = client
        if not client.is_connected:
            try:
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    await client.connect()
            except (KumquatrunError, TimeoutError) as error:
                now_s = asyncio.get_running_loop().time()
                self._silent_until_s[address] = now_s + SILENT_PAUSE_S
                raise AgentUnreachableError(
                    f'agent {address} cannot be reached: {error!r}',
                ) from error
        return client


async def _send(client: PeerClient, told: PromptRead) -> None:
    try:
        await client.call(told, TELL_TIMEOUT_S)
    except KumquatrunError as error:
        # The agent forgets the prompt by itself after a while.
        log_event(
            log,
            'prompt_end_not_told',
            request_id=told.request_id,
            reason=str(error),
        )


async def _adapter_ready(
    call: PeerStream,
    backend: Backend,
    timeout_s: float,
) -> AdapterReady:
    try:
        return await _next_item(call, backend.backend_id, timeout_s)
    except AgentUnreachableError as error:
        raise NoCapacityError(error.detail, cause='adapter_wait') from error


async def _next_item(
    call: PeerStream,
    agent: Address | str,
    timeout_s: float,
) -> Any:
    """Return the next item that an agent sends.

    Raises
    ------
    AgentUnreachableError
        If there is none in time.
    AdapterLoadError, NoCapacityError
        If the agent refuses the request.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await anext(call)
    except (TimeoutError, StopAsyncIteration):
        raise AgentUnreachableError(
            f'no word of {agent} in {timeout_s:.2f} s',
        ) from None
    except (AdapterLoadError, NoCapacityError):
        raise
    except KumquatrunError as error:
        raise AgentUnreachableError(f'{agent} failed: {error}') from error
