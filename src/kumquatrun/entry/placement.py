"""Selects the agent for a request.

Rendezvous hashing orders the agents for each adapter, so that requests for one
adapter go to few hosts and the order of the others does not change when a host
joins or leaves.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Protocol

LOAD_BOUND = 1.25
# Share of the capacity from which an agent counts as full. Requests for many
# adapters use up the adapter slots before they fill the batch.
FULL_SHARE = 0.75
# Cached hash orders of recently used adapters. With 730 agents one order takes
# about 6 KB, so the cache stays below 8 MB.
ORDER_CACHE_SIZE = 1024


@dataclass(frozen=True, kw_only=True)
class AgentLoad:
    """What the entry knows about one agent.

    Attributes
    ----------
    load
        Running and queued requests.
    capacity
        Requests that the agent runs at once; 0 if not known.
    loaded
        Names ``adapter@version`` of the loaded adapters.
    """

    host_id: str
    is_local: bool
    load: int = 0
    capacity: int = 0
    loaded: frozenset[str] = field(default_factory=frozenset)

    @property
    def is_full(self) -> bool:
        """Return whether another request would probably have to wait."""
        return 0 < self.capacity * FULL_SHARE <= self.load


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """Service and adapter that a request needs.

    Attributes
    ----------
    demand
        Open requests of the entry for this adapter and version.
    """

    service: str
    adapter: str
    version: str
    demand: int = 0

    @property
    def adapter_version(self) -> str:
        """Return the name under which an agent reports the adapter."""
        return f'{self.adapter}@{self.version}' if self.adapter else ''


class PlacementPolicy(Protocol):
    """Selects one of several agents."""

    def choose(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        """Return the id of the selected host, None if there is none."""
        ...


@lru_cache(maxsize=ORDER_CACHE_SIZE)
def rendezvous_order(key: str, host_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the hosts by descending BLAKE2b weight for ``key``."""

    def weight(host_id: str) -> bytes:
        pair = f'{key}\0{host_id}'.encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    return tuple(sorted(host_ids, key=weight, reverse=True))


def order_agents(
    request: PlacementRequest,
    agents: Sequence[AgentLoad],
) -> list[AgentLoad]:
    """Return the agents in the rendezvous order of the request's adapter."""
    by_id = {agent.host_id: agent for agent in agents}
    key = f'{request.service}\0{request.adapter}\0{request.version}'
    order = rendezvous_order(key, tuple(sorted(by_id)))
    return [by_id[host_id] for host_id in order]


class BoundedAffinity:
    """Default policy: rendezvous hashing with bounded load.

    Agents of the local region are used while one of them is not full, then
    agents of other regions.
    """

    def __init__(self, load_bound: float = LOAD_BOUND) -> None:
        self._load_bound = load_bound

    def choose(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        """Return the id of the selected host, None if there is none."""
        local = [agent for agent in agents if agent.is_local]
        remote = [agent for agent in agents if not agent.is_local]
        for group in (local, remote):
            if any(not agent.is_full for agent in group):
                return self._choose_in(request, group)
        return self._choose_in(request, local or remote)

    def _choose_in(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        if not agents:
            return None
        ordered = order_agents(request, agents)
        mean = sum(agent.load for agent in agents) / len(agents)
        limit = self._load_bound * mean
        below = [agent for agent in ordered if agent.load <= limit]
        name = request.adapter_version
        loaded = [agent for agent in ordered if name in agent.loaded]
        for agent in below:
            if not name or name in agent.loaded:
                return agent.host_id
        if loaded and not _needs_copy(request, loaded, mean):
            return _least_loaded(loaded)
        # If no agent has the adapter loaded, there is no affinity to keep, and
        # requests wait least for a slot on the least loaded agent.
        return _least_loaded(ordered) if not loaded else below[0].host_id


class LeastLoaded:
    """Baseline: the agent with the fewest requests."""

    def choose(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        """Return the id of the selected host, None if there is none."""
        return _least_loaded(order_agents(request, agents))


class HashAffinity:
    """Baseline: the first agent of the rendezvous order, whatever its load."""

    def choose(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        """Return the id of the selected host, None if there is none."""
        ordered = order_agents(request, agents)
        return ordered[0].host_id if ordered else None


def _least_loaded(agents: Sequence[AgentLoad]) -> str | None:
    if not agents:
        return None
    return min(agents, key=lambda agent: agent.load).host_id


def _needs_copy(
    request: PlacementRequest,
    loaded: Sequence[AgentLoad],
    mean: float,
) -> bool:
    # Another copy helps only an adapter whose own requests cause a large part
    # of the load on its hosts; otherwise other adapters cause it.
    return request.demand > len(loaded) * max(1, mean / 2)
