"""Brings the reports of all agents to the backend servers of an entry.

The control leader forwards the reports of all agents to all entries. A single
entry sends too little to one engine to know its load from its own requests.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.backends.engine_load import EngineLoad
from kumquatrun.gateway.routing.messages import AdapterReady
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import AgentReport, HostRecord
from kumquatrun.runtime.clock import Clock


class ReportSource(Protocol):
    """Lists agents with their newest reports."""

    def agents_of(self, service: str) -> Sequence[HostRecord]:
        """Return the agents of a service."""
        ...

    def report_of(self, host_id: str) -> AgentReport | None:
        """Return the newest report of an agent."""
        ...


class EngineReports:
    """Records each agent report once at its backend server."""

    def __init__(self, source: ReportSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._agents: Sequence[HostRecord] = ()
        self._host_ids: Mapping[str, str] = {}
        self._applied: dict[str, AgentReport] = {}

    def apply(self, backends: Iterable[Backend]) -> None:
        """Record the reports that arrived since the last call."""
        for backend in backends:
            report = self._report_of(backend)
            if report is None or report is self._applied.get(report.host_id):
                continue
            self._applied[report.host_id] = report
            backend.record_engine_load(
                EngineLoad(
                    requests=report.running + report.queued,
                    queued_tokens=report.queued_tokens,
                    tokens_per_s=report.tokens_per_s,
                    reported_at_s=self._clock.now_s(),
                )
            )

    def _report_of(self, backend: Backend) -> AgentReport | None:
        agents = self._source.agents_of(backend.record.service)
        if agents is not self._agents:
            # The view builds a new sequence whenever an agent joins or leaves.
            self._agents = agents
            self._host_ids = {
                Address.parse(row.address).host: row.host_id for row in agents
            }
        host_id = self._host_ids.get(backend.record.address.host)
        return None if host_id is None else self._source.report_of(host_id)


def record_ready(backend: Backend, ready: AdapterReady, now_s: float) -> None:
    """Record the load in an agent's answer to a request."""
    backend.record_engine_load(
        EngineLoad(
            requests=ready.load,
            queued_tokens=ready.queued_tokens,
            tokens_per_s=ready.tokens_per_s,
            reported_at_s=now_s,
        )
    )
