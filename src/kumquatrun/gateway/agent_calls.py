"""Calls of an entry to the agents beside engines."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial

from kumquatrun.cluster_view import ClusterView
from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.gateway.backends import Backend
from kumquatrun.gateway.messages import AdapterReady, PromptRead, UseAdapter
from kumquatrun.messages import Hello
from kumquatrun.peer import Address, PeerClient

# An agent that does not take a connection in this time is passed over.
CONNECT_LIMIT_S = 0.5
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

    def has_agent(self, backend: Backend) -> bool:
        """Return whether an agent is registered beside a backend server."""
        return self._address_of(backend) is not None

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
        client = await self._connected(address)
        async with client.stream(request) as call:
            yield AgentHold(
                await _first_item(call, backend, timeout_s),
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
                raise AgentUnreachableError(
                    f'agent {address} cannot be reached: {error!r}',
                ) from error
        return client


async def _send(client: PeerClient, told: PromptRead) -> None:
    # The agent forgets a prompt by itself if this is lost.
    with suppress(KumquatrunError):
        await client.call(told, TELL_TIMEOUT_S)


async def _first_item(call, backend: Backend, timeout_s: float) -> AdapterReady:
    try:
        async with asyncio.timeout(timeout_s):
            async for ready in call:
                return ready
    except TimeoutError:
        raise NoCapacityError(
            f'{backend.backend_id} did not provide the adapter in '
            f'{timeout_s:.2f} s',
            cause='adapter_wait',
        ) from None
    except (AdapterLoadError, NoCapacityError):
        raise
    except KumquatrunError as error:
        raise AgentUnreachableError(
            f'agent of {backend.backend_id} failed: {error}',
        ) from error
    raise AgentUnreachableError(f'agent of {backend.backend_id} ended the call')
