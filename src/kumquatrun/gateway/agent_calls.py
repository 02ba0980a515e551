"""Calls of an entry to the agents beside engines."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any

from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    DrainingError,
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
STOPPED_PAUSE_S = 0.1
# Cause of an error of an agent whose process has stopped, or is about to. Its
# host answers, so that it is likely to be back soon.
AGENT_STOPPED = 'agent_stopped'
SIGNS_OF_A_STOP = (
    ConnectionLostError,
    ConnectionRefusedError,
    ConnectionResetError,
    DrainingError,
    EOFError,
    StopAsyncIteration,
)
TELL_TIMEOUT_S = 1.0


class AgentUnreachableError(ConnectionLostError):
    """Reports that the agent beside an engine did not answer."""


@dataclass(frozen=True)
class _Pause:
    """An agent that is not asked for a while, and why."""

    until_s: float
    cause: str


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
        self._pauses: dict[Address, _Pause] = {}

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
        self._check_pause(address)
        client = await self._connected(address)
        async with AsyncExitStack() as stack:
            call = await self._open(client, request, stack)
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

    def _check_pause(self, address: Address) -> None:
        pause = self._pauses.get(address)
        if pause is not None and _now_s() < pause.until_s:
            raise AgentUnreachableError(
                f'agent {address} did not answer just now',
                cause=pause.cause,
            )

    def _pause(self, address: Address, cause: str) -> None:
        pause_s = STOPPED_PAUSE_S if cause == AGENT_STOPPED else SILENT_PAUSE_S
        self._pauses[address] = _Pause(_now_s() + pause_s, cause)

    async def _open(
        self,
        client: PeerClient,
        request: UseAdapter,
        stack: AsyncExitStack,
    ) -> PeerStream:
        try:
            return await stack.enter_async_context(client.stream(request))
        except ConnectionLostError as error:
            raise AgentUnreachableError(
                error.detail,
                cause=AGENT_STOPPED,
            ) from error

    async def _await_sign(self, call: PeerStream, address: Address) -> None:
        """Wait until the agent says that it has the request."""
        try:
            await _next_item(call, address, SIGN_LIMIT_S)
        except AgentUnreachableError as error:
            self._pause(address, error.cause)
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
                cause = _cause_of(error.__cause__)
                self._pause(address, cause)
                raise AgentUnreachableError(
                    f'agent {address} cannot be reached: {error!r}',
                    cause=cause,
                ) from error
        return client


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _cause_of(error: BaseException | None) -> str:
    """Tell an agent that has stopped from one that does not answer."""
    return AGENT_STOPPED if isinstance(error, SIGNS_OF_A_STOP) else ''


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
        if error.cause == AGENT_STOPPED:
            raise
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
        If there is none in time, or the agent stops.
    AdapterLoadError, NoCapacityError
        If the agent refuses the request.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await anext(call)
    except (AdapterLoadError, NoCapacityError):
        raise
    except (TimeoutError, StopAsyncIteration) as error:
        raise AgentUnreachableError(
            f'no word of {agent} in {timeout_s:.2f} s',
            cause=_cause_of(error),
        ) from None
    except KumquatrunError as error:
        raise AgentUnreachableError(
            f'{agent} failed: {error}',
            cause=_cause_of(error),
        ) from error
