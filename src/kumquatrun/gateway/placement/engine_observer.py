"""Asks the agents of engines how long the engine processes have been running."""

from collections.abc import Awaitable

from kumquatrun.gateway.backends.backends import BackendTable
from kumquatrun.gateway.placement.agent_calls import AgentCalls


class EngineObserver:
    """Finds the agent of a backend server and asks it.

    Implements the ``ProcessObserver`` protocol.
    """

    def __init__(self, backends: BackendTable, agents: AgentCalls) -> None:
        self._backends = backends
        self._agents = agents

    def known_for_s(self, backend_id: str) -> Awaitable[float | None] | None:
        """Ask for how long the process that runs now has been observed."""
        backend = self._backends.by_id().get(backend_id)
        if backend is None or not self._agents.has_agent(backend):
            return None
        return self._agents.engine_known_for_s(backend)
