"""Connections of an entry to the agents beside engines."""

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

# An agent that takes no connection in this time is passed over.
CONNECT_TIMEOUT_S = 0.5
# An agent that was passed over is not asked again for this time.
UNRESPONSIVE_BACKOFF_S = 0.5
STOPPED_BACKOFF_S = 0.1
# Cause of an error of an agent whose process has stopped, or is about to. Its
# host answers, so that it is likely to be back soon.
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
    """Reports that the agent beside an engine did not answer."""


@dataclass(frozen=True)
class _Backoff:
    """An agent that is not asked for a while, and why."""

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
            If there is none, or the agent was passed over just now.
        """
        address = self._address_of(backend)
        if address is None:
            raise AgentUnreachableError(
                f'no agent is registered beside {backend.backend_id}',
            )
        self._check_backoff(address)
        return await self._connect(address)

    def back_off(self, address: Address, cause: str) -> None:
        """Do not ask an agent for a while."""
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
                f'agent {address} did not answer just now',
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
    """Tell an agent that has stopped from one that does not answer."""
    return AGENT_STOPPED if isinstance(error, STOPPED_ERRORS) else ''
