"""Runs the engine agent of a host behind a peer server."""

import asyncio
import logging

from kumquatrun.gateway.backends.engine_load import EngineLoad
from kumquatrun.gateway.engine.engine_agent import EngineAgent
from kumquatrun.gateway.engine.engine_api import ControllableEngine
from kumquatrun.gateway.roles.configuration_follower import (
    ConfigurationFollower,
)
from kumquatrun.gateway.roles.settings import GatewayAgentSettings
from kumquatrun.gateway.routing.configuration import EngineSpec
from kumquatrun.gateway.routing.wire_format import WireFormat
from kumquatrun.membership.control_client import Session
from kumquatrun.membership.control_directory import DirectoryHandler
from kumquatrun.peer import PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import AgentReport
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# Longest wait for open calls to end and for their replies to be sent. It is
# short because requests for this engine wait until the agent has restarted.
END_CALLS_LIMIT_S = 0.3


class GatewayAgent:
    """Provides adapters of one engine to entries."""

    def __init__(
        self,
        settings: GatewayAgentSettings,
        session: Session,
        wire: WireFormat,
        engine: ControllableEngine,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._session = session
        self._configuration = ConfigurationFollower(
            session.view,
            wire,
            clock,
        )
        self._engine_agent = EngineAgent(
            settings.host_id,
            engine,
            self._spec,
            session.view.adapter_version,
            clock,
            self._gap_target_s,
            learns_pace=settings.follows_engine_load,
        )
        record = session.record
        self._server = PeerServer(
            Hello(
                node_id=record.host_id,
                incarnation=record.incarnation,
                cluster_token=settings.cluster_token,
                region=record.region,
            ),
            DirectoryHandler(session.directory, self._engine_agent),
        )
        session.on_change(self._configuration.follow)
        session.report_agent(self._report)

    async def start(self) -> None:
        """Follow the engine and listen for entries."""
        await self._engine_agent.start()
        await self._server.start(self._settings.listen)

    async def drain(self, timeout_s: float) -> None:
        """End the open calls of entries.

        Requests that run on the engine do not need the agent, so their streams
        continue. Waiting calls are refused, and as their requests have not
        run, the entries can try another engine.
        """
        self._engine_agent.end_calls()
        try:
            async with asyncio.timeout(min(timeout_s, END_CALLS_LIMIT_S)):
                await self._server.wait_idle()
        except TimeoutError:
            log_event(log, 'agent_calls_cut', level=logging.WARNING)

    async def stop(self) -> None:
        """Stop listening."""
        self._configuration.close()
        await self._server.stop()
        await self._engine_agent.stop()

    def _spec(self) -> EngineSpec | None:
        configuration = self._configuration.configuration
        if configuration is None:
            return None
        service = configuration.service(self._settings.service)
        return service.engine if service else None

    def _gap_target_s(self) -> float:
        configuration = self._configuration.configuration
        if configuration is None:
            return 0
        return configuration.gap_target_ms(self._settings.service) / 1000

    def _report(self) -> AgentReport:
        report = self._engine_agent.report
        engine_load = self._engine_agent.engine_load
        running = report.running if report else 0
        _export_load(engine_load)
        record = self._session.record
        return AgentReport(
            host_id=record.host_id,
            incarnation=record.incarnation,
            running=running,
            queued=max(0, engine_load.requests - running),
            queued_tokens=engine_load.queued_tokens,
            tokens_per_s=engine_load.tokens_per_s,
        )


def _export_load(engine_load: EngineLoad) -> None:
    metrics = process_metrics()
    metrics.set_gauge('engine_queued_prompt_tokens', engine_load.queued_tokens)
    metrics.set_gauge('engine_read_tokens_per_second', engine_load.tokens_per_s)
