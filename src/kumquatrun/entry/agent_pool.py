"""Connections to agents and the entry's estimate of their load."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass, field

from kumquatrun.entry.placement import (
    AgentLoad,
    PlacementPolicy,
    PlacementRequest,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import AgentReport, HostRecord
from kumquatrun.runtime.clock import Clock

# How long other agents are preferred to an agent that refused a dispatch or a
# connection. Its host record may be out of date until its lease has expired
# (page 6: a lease lasts 3 s).
AVOID_S = 3.0
IDLE_CONNECTION_S = 30.0


@dataclass
class _AgentState:
    report: AgentReport | None = None
    open_at_report: int = 0
    open_now: int = 0
    avoid_until_s: float = 0
    incarnation: str = ''
    last_used_s: float = 0
    # Dispatches that have not ended, by ``adapter@version``.
    open_by_adapter: Counter[str] = field(default_factory=Counter)


class AgentPool:
    """Selects agents and keeps one connection to each."""

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        policy: PlacementPolicy,
        connect: Callable[[Address, Hello], PeerClient] = PeerClient,
        cluster_token: str = '',
    ) -> None:
        self._session = session
        self._clock = clock
        self._policy = policy
        self._connect = connect
        self._cluster_token = cluster_token
        self._clients: dict[str, PeerClient] = {}
        self._agent_states: dict[str, _AgentState] = {}
        self._demand: Counter[tuple[str, str, str]] = Counter()
        self._closing: set[asyncio.Task] = set()

    def choose(
        self,
        service: str,
        adapter: str,
        version: str,
        excluded: Collection[str] = (),
    ) -> HostRecord | None:
        """Return the agent for a request, None if there is none."""
        records = {
            record.host_id: record
            for record in self._session.view.agents_of(service)
        }
        others = [
            record
            for record in records.values()
            if record.host_id not in excluded
        ]
        usable = [each for each in others if self._is_usable(each)]
        request = PlacementRequest(
            service=service,
            adapter=adapter,
            version=version,
            demand=self._demand[service, adapter, version],
        )
        candidates = usable or others or list(records.values())
        loads = [self._load_of(record) for record in candidates]
        host_id = self._policy.choose(request, loads)
        return None if host_id is None else records[host_id]

    def client(self, record: HostRecord) -> PeerClient:
        """Return the connection to an agent; creates it if needed."""
        address = Address.parse(record.address)
        client = self._clients.get(record.host_id)
        if client is None or client.address != address:
            if client is not None:
                self._close(client)
            client = self._connect(address, self._identity())
            self._clients[record.host_id] = client
        self._agent_state(record.host_id).last_used_s = self._clock.now_s()
        return client

    def prune(self) -> None:
        """Close idle connections and drop the state of removed hosts.

        Both hosts of an open connection send heartbeats on it; with 730
        agents, these would exceed the limit for the control traffic of a node.
        """
        idle_since_s = self._clock.now_s() - IDLE_CONNECTION_S
        view = self._session.view
        known = {
            record.host_id
            for service in view.document.services
            for record in view.agents_of(service.name)
        }
        for host_id, state in list(self._agent_states.items()):
            if state.open_now:
                continue
            is_removed = host_id not in known
            if is_removed:
                del self._agent_states[host_id]
            if is_removed or state.last_used_s < idle_since_s:
                client = self._clients.pop(host_id, None)
                if client is not None:
                    self._close(client)

    def begin_dispatch(
        self, record: HostRecord, adapter: str, version: str
    ) -> None:
        """Count a dispatch as open."""
        state = self._agent_state(record.host_id)
        state.open_now += 1
        state.open_by_adapter[f'{adapter}@{version}'] += 1
        self._demand[record.service, adapter, version] += 1

    def end_dispatch(
        self, record: HostRecord, adapter: str, version: str
    ) -> None:
        """Count a dispatch as ended."""
        state = self._agent_state(record.host_id)
        state.open_now -= 1
        state.last_used_s = self._clock.now_s()
        _decrement(state.open_by_adapter, f'{adapter}@{version}')
        _decrement(self._demand, (record.service, adapter, version))

    def avoid(self, record: HostRecord) -> None:
        """Prefer other agents until the host record may have changed."""
        state = self._agent_state(record.host_id)
        state.avoid_until_s = self._clock.now_s() + AVOID_S
        state.incarnation = record.incarnation

    def open_dispatches(self) -> int:
        """Return the number of dispatches that have not ended."""
        return sum(each.open_now for each in self._agent_states.values())

    async def close(self) -> None:
        """Close all connections."""
        clients = list(self._clients.values())
        self._clients.clear()
        await asyncio.gather(*(client.close() for client in clients))
        await asyncio.gather(*self._closing)

    def _is_usable(self, record: HostRecord) -> bool:
        state = self._agent_state(record.host_id)
        is_avoided = (
            state.incarnation == record.incarnation
            and self._clock.now_s() < state.avoid_until_s
        )
        report = self._report_of(record)
        # Capacity 0 stands for an unknown capacity. An agent that reports it is
        # selected only if no agent is usable.
        return not is_avoided and (report is None or report.capacity > 0)

    def _report_of(self, record: HostRecord) -> AgentReport | None:
        report = self._session.view.report_of(record.host_id)
        if report is not None and report.incarnation != record.incarnation:
            return None
        return report

    def _load_of(self, record: HostRecord) -> AgentLoad:
        state = self._agent_state(record.host_id)
        report = self._report_of(record)
        if report is not state.report:
            state.report = report
            state.open_at_report = state.open_now
        load = state.open_now
        # An adapter with open requests from this entry is loaded on the agent
        # or soon will be; reports show that only after about a second.
        loaded = frozenset(state.open_by_adapter)
        if report is None:
            return AgentLoad(
                host_id=record.host_id,
                is_local=self._is_local(record),
                load=load,
                loaded=loaded,
            )
        # Reports are delayed: add the dispatches that this entry began since
        # the report, and subtract those that ended.
        reported = report.running + report.queued
        load = max(load, reported + load - state.open_at_report)
        return AgentLoad(
            host_id=record.host_id,
            is_local=self._is_local(record),
            load=load,
            capacity=report.capacity,
            loaded=loaded.union(report.adapters),
        )

    def _is_local(self, record: HostRecord) -> bool:
        return record.region == self._session.record.region

    def _agent_state(self, host_id: str) -> _AgentState:
        return self._agent_states.setdefault(host_id, _AgentState())

    def _identity(self) -> Hello:
        own_record = self._session.record
        return Hello(
            node_id=own_record.host_id,
            incarnation=own_record.incarnation,
            cluster_token=self._cluster_token,
            region=own_record.region,
        )

    def _close(self, client: PeerClient) -> None:
        task = asyncio.create_task(client.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _decrement(counter: Counter, key: Hashable) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
