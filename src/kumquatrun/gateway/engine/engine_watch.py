"""Monitors an engine: latest report, restarts and loss of contact."""

import logging
from collections.abc import Callable

from kumquatrun.errors import (
    AdapterLoadError,
    KumquatrunError,
)
from kumquatrun.gateway.engine.engine_api import (
    ControllableEngine,
    EngineReport,
)
from kumquatrun.gateway.engine.engine_identity import EngineIdentity
from kumquatrun.gateway.engine.residency import AdapterName, Residency
from kumquatrun.gateway.routing.configuration import EngineSpec
from kumquatrun.gateway.routing.messages import ENGINE_WITHOUT_MODEL
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# An engine is considered lost if its latest report is older than this, and its
# reports have been failing for some time. An agent that has stood still has no
# recent report either, but its calls have only begun to fail, if at all.
LOST_AFTER_S = 0.7
FAILING_AFTER_S = 0.3
DEFAULT_ADAPTER_SLOTS = 8
# Limit of the age in logs and errors: the age is infinite before the first
# report.
MAX_REPORTED_AGE_S = 1e6


class EngineWatch:
    """Monitors one engine through its reports.

    Parameters
    ----------
    engine
        The engine.
    spec
        Returns the capacity of the engine; None before it is known.
    clock
        Source of time.

    Attributes
    ----------
    report
        Latest report; None before the first.
    residency
        State of the adapter slots.
    last_models
        Base models of the last report that listed any.
    """

    def __init__(
        self,
        engine: ControllableEngine,
        spec: Callable[[], EngineSpec | None],
        clock: Clock,
    ) -> None:
        self.report: EngineReport | None = None
        # Until the capacity is known, adapters only replace other adapters.
        self.residency = Residency(adapter_slots=0)
        self.last_models: tuple[str, ...] = ()
        self._engine = engine
        self._spec = spec
        self._clock = clock
        self._reported_at_s = float('-inf')
        # When the first report since the latest one failed.
        self._failing_since_s = float('inf')
        # When the process that sent the latest report was first seen.
        self._process_seen_at_s = float('-inf')
        # Whether the engine was last logged as reachable.
        self._is_logged_as_reachable = False
        self._identity = EngineIdentity(engine, self._check_path, clock)

    @property
    def spec(self) -> EngineSpec | None:
        """Return the capacity of the engine; None before it is known."""
        return self._spec()

    @property
    def process_id(self) -> str:
        """Return the id of the process of the latest report, or ``''``."""
        if self.report is None:
            return ''
        return self._identity.id_of(self.report.started_ms)

    def forget_process_id(self) -> None:
        """Forget the id after the engine has refused it."""
        self._identity.forget()

    @property
    def age_ms(self) -> int:
        """Return the age of the latest report, up to a maximum."""
        age_s = self._clock.now_s() - self._reported_at_s
        return round(min(age_s, MAX_REPORTED_AGE_S) * 1000)

    @property
    def is_lost(self) -> bool:
        """Return whether the engine has stopped responding."""
        now_s = self._clock.now_s()
        return (
            now_s - self._reported_at_s > LOST_AFTER_S
            and now_s - self._failing_since_s > FAILING_AFTER_S
        )

    def problem(self) -> AdapterLoadError | None:
        """Return why the engine cannot serve requests, or None if it can."""
        report = self.report
        if report is None or self.is_lost:
            return AdapterLoadError(
                f'no report from the engine for {self.age_ms} ms',
                cause='engine_lost',
            )
        if report.is_draining:
            return AdapterLoadError(
                'the engine is draining', cause='engine_leaves'
            )
        if not report.models:
            return AdapterLoadError(
                'the engine has loaded no model yet',
                cause=ENGINE_WITHOUT_MODEL,
            )
        return None

    def held_version(self, name: AdapterName, wanted: int) -> int | None:
        """Return the held version if it is ``wanted`` or newer.

        For a base model, return its version without this condition.
        """
        model = self.report.model(name[0]) if self.report else None
        if model is None:
            return None
        if not name[1]:
            return model.version
        version = self.residency.version_of(name)
        return version if version is not None and version >= wanted else None

    async def known_for_s(self) -> float | None:
        """Return the time since the process that runs now was first seen.

        Returns None if the engine does not respond.
        """
        if not await self.refresh():
            return None
        return self._clock.now_s() - self._process_seen_at_s

    async def refresh(self) -> bool:
        """Read a new report and return True; keep the last one if it fails."""
        if not await self._read_report():
            return False
        started_ms = self.report.started_ms
        if self._identity.is_due(started_ms):
            await self._identify(started_ms)
        return True

    async def _identify(self, started_ms: int) -> None:
        """Read the id of the process that sent the latest report.

        The id belongs to that process only if the next report comes from it
        too.
        """
        process_id = await self._identity.read()
        if not process_id or not await self._read_report():
            return
        if self.report.started_ms == started_ms:
            self._identity.record(started_ms, process_id)

    def _check_path(self) -> str:
        return self.spec.check_path if self.spec is not None else ''

    async def _read_report(self) -> bool:
        try:
            report = await self._engine.report()
        except KumquatrunError as error:
            self._failing_since_s = min(
                self._failing_since_s, self._clock.now_s()
            )
            if self.is_lost and self._is_logged_as_reachable:
                self._is_logged_as_reachable = False
                log_event(log, 'engine_lost', error=str(error))
            return False
        self._apply(report)
        if not self._is_logged_as_reachable:
            self._is_logged_as_reachable = True
            log_event(
                log,
                'engine_regained',
                started_ms=report.started_ms,
                order_count=report.order_count,
            )
        return True

    def _apply(self, report: EngineReport) -> None:
        known = self.report
        if known is not None and known.started_ms != report.started_ms:
            log_event(
                log,
                'engine_restarted',
                level=logging.WARNING,
                started_ms=report.started_ms,
            )
            process_metrics().count('backend_restarts_total')
            self.residency.reset()
        if known is None or known.started_ms != report.started_ms:
            self._process_seen_at_s = self._clock.now_s()
        if report.is_draining and not (known and known.is_draining):
            log_event(log, 'engine_leaves', load=report.load)
        self.report = report
        self._reported_at_s = self._clock.now_s()
        self._failing_since_s = float('inf')
        self.residency.apply_report(report, self._reported_at_s)
        if report.models:
            self.last_models = tuple(held.name for held in report.models)
        if self.spec is not None:
            self.residency.adapter_slots = _adapter_slots(self.spec, report)


def _adapter_slots(spec: EngineSpec, report: EngineReport) -> int:
    """Return the number of adapters that fit into slots and memory."""
    slots = spec.adapter_slots or DEFAULT_ADAPTER_SLOTS
    held = {model.name for model in report.models}
    models = [row for row in spec.base_models if row.name in held]
    adapter_mb = max((row.adapter_mb for row in models), default=0)
    if not spec.weights_mb or not adapter_mb:
        return slots
    free_mb = spec.weights_mb - sum(row.weights_mb for row in models)
    return max(0, min(slots, int(free_mb // adapter_mb)))
