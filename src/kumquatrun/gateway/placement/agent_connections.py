"""Connections from an entry to the agents that run beside engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.errors import (
    ConnectionLostError,
    DrainingError,
    KumquatrunError,
)
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello

# An agent that accepts no connection within this time counts as unreachable.
CONNECT_TIMEOUT_S = 0.5
# Time for which an agent is not contacted again after it failed to respond or
# after it stopped.
UNRESPONSIVE_BACKOFF_S = 0.5
STOPPED_BACKOFF_S = 0.1
# Error cause for an agent whose process has stopped or is draining. Its host
# still responds, so the agent is likely to return soon.
AGENT_STOPPED = 'agent_stopped'
STOPPED_ERRORS = (
    ConnectionLostError,
    ConnectionRefusedError,
    ConnectionResetError,
    DrainingError,
    EOFError,
    StopAsyncIteration,
)


class AgentUnreachableError(ConnectionLostError):
    """The agent beside an engine did not respond."""


@dataclass(frozen=True)
class _Backoff:
    """End of the time in which an agent is not contacted, and the cause."""

    until_s: float
    cause: str


class AgentConnections:
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
        self._backoffs: dict[Address, _Backoff] = {}

    async def client_of(self, backend: Backend) -> PeerClient:
        """Return the connection to the agent of a backend server.

        Raises
        ------
        AgentUnreachableError
            If no agent is registered, or if the agent cannot be reached or
            its backoff has not ended.
        """
        address = self._address_of(backend)
        if address is None:
            raise AgentUnreachableError(
                f'no agent is listed for backend server {backend.backend_id}',
            )
        self._check_backoff(address)
        return await self._connect(address)

    def has_agent(self, backend: Backend) -> bool:
        """Return whether an agent is registered for a backend server."""
        return self._address_of(backend) is not None

    def back_off(self, address: Address, cause: str) -> None:
        """Stop contacting an agent for a while."""
        backoff_s = (
            STOPPED_BACKOFF_S
            if cause == AGENT_STOPPED
            else UNRESPONSIVE_BACKOFF_S
        )
        self._backoffs[address] = _Backoff(_now_s() + backoff_s, cause)

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

    def _check_backoff(self, address: Address) -> None:
        backoff = self._backoffs.get(address)
        if backoff is not None and _now_s() < backoff.until_s:
            raise AgentUnreachableError(
                f'agent {address} failed recently and is in backoff',
                cause=backoff.cause,
            )

    async def _connect(self, address: Address) -> PeerClient:
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, self._identity())
            self._clients[address] = client
        if not client.is_connected:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await client.connect()
            except (KumquatrunError, TimeoutError) as error:
                cause = failure_cause(error.__cause__)
                self.back_off(address, cause)
                raise AgentUnreachableError(
                    f'agent {address} cannot be reached: {error!r}',
                    cause=cause,
                ) from error
        return client


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def failure_cause(error: BaseException | None) -> str:
    """Return ``AGENT_STOPPED`` for errors of a stopped agent, else ``''``."""
    return AGENT_STOPPED if isinstance(error, STOPPED_ERRORS) else ''
