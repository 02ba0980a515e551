"""Backend servers known to the gateway, with their load and health."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from kumquatrun.gateway.backends.connection_pool import (
    DEFAULT_IDLE_S,
    ConnectionPool,
)
from kumquatrun.gateway.backends.engine_load import UNKNOWN_LOAD, EngineLoad
from kumquatrun.gateway.backends.server_signals import ServerSignals
from kumquatrun.peer.address import Address
from kumquatrun.runtime.clock import Clock, LoopClock

# Number of slots of a backend server whose listing does not state it.
DEFAULT_SLOTS = 32
# Fraction of its slots above which an engine is busy; up to it, a larger batch
# is only slightly slower.
BUSY_FRACTION = 0.7
# Backoff after a failed connection, doubled with each further failure.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Weight of the latest response in the failure rate.
FAILURE_WEIGHT = 0.15
# A backend server with this failure rate or more is used only if no other is
# healthy.
MAX_FAILURE_RATE = 0.35
# Half-life of the failure rate, so that a backend server that gets no requests
# is tried again.
FAILURE_HALF_LIFE_S = 4.0
# Maximum number of servers that are not listed but whose signals are kept.
MAX_UNLISTED = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldAdapter:
    """An adapter that is loaded in an engine."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendRecord:
    """A backend server in the listing of the platform.

    ``slots`` is the number of requests that it runs concurrently. A cold one
    bears only a low rate of requests.
    """

    backend_id: str
    service: str
    address: Address
    failure_domain: str
    slots: int = DEFAULT_SLOTS
    is_draining: bool = False
    is_cold: bool = False
    models: frozenset[str] = frozenset()
    adapters: frozenset[HeldAdapter] = frozenset()

    def holds(self, model: str, adapter: str, version: int = 0) -> bool:
        """Return whether an adapter is loaded; version 0 means any."""
        return any(
            held.model == model
            and held.adapter == adapter
            and version in {0, held.version}
            for held in self.adapters
        )


@dataclass
class Backend:
    """A listed backend server with the state that this process observed."""

    record: BackendRecord
    pool: ConnectionPool
    open_requests: int = 0
    consecutive_failures: int = 0
    paused_until_s: float = 0.0
    failure_rate: float = 0.0
    last_response_at_s: float = 0.0
    # Load reported by the agent, and requests that this process started
    # since then, with their prompt tokens.
    reported_load: int = 0
    engine_load: EngineLoad = UNKNOWN_LOAD
    started_since_report: int = 0
    tokens_since_report: int = 0
    # When a listing first contained this process; unknown if it was in the
    # first listing.
    appeared_at_s: float = float('-inf')
    signals: ServerSignals = field(default_factory=ServerSignals)

    @property
    def backend_id(self) -> str:
        """Return the id of this backend server process."""
        return self.record.backend_id

    @property
    def load(self) -> int:
        """Return the estimated number of requests at the backend server."""
        known_load = self.reported_load + self.started_since_report
        return max(known_load, self.open_requests)

    @property
    def is_busy(self) -> bool:
        """Return whether most slots are occupied."""
        return self.load > BUSY_FRACTION * self.record.slots

    @property
    def queued_tokens(self) -> int:
        """Return the estimated prompt tokens that wait or are being read."""
        reported_tokens = max(0, self.engine_load.queued_tokens)
        return reported_tokens + self.tokens_since_report

    def record_reported_load(self, load: int) -> None:
        """Record the load that the agent of the backend server reported."""
        self.reported_load = load
        self.started_since_report = 0
        self.tokens_since_report = 0

    def record_engine_load(self, engine_load: EngineLoad) -> None:
        """Record what the agent of the backend server reported in full."""
        self.record_reported_load(engine_load.requests)
        self.engine_load = engine_load

    def current_failure_rate(self, now_s: float) -> float:
        """Return the failure rate, decayed since the last response."""
        age_s = max(0.0, now_s - self.last_response_at_s)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the failure rate is below the limit."""
        return self.current_failure_rate(now_s) < MAX_FAILURE_RATE

    def record_response(self, *, failed: bool, now_s: float) -> None:
        """Update the failure rate with a response or a failure."""
        rate = self.current_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_WEIGHT * (int(failed) - rate)
        self.last_response_at_s = now_s
        if not failed:
            self.consecutive_failures = 0

    def record_unreachable(self, now_s: float) -> float:
        """Pause the backend server and return the pause in seconds."""
        self.consecutive_failures += 1
        doubled_s = FIRST_PAUSE_S * 2 ** min(8, self.consecutive_failures - 1)
        pause_s = min(MAX_PAUSE_S, doubled_s)
        self.paused_until_s = now_s + pause_s
        return pause_s


class BackendTable:
    """All listed backend servers, by service.

    Parameters
    ----------
    unrepeatable_request_idle_s
        See ``ConnectionPool``.
    clock
        Source of time.
    """

    def __init__(
        self,
        unrepeatable_request_idle_s: float = DEFAULT_IDLE_S,
        clock: Clock | None = None,
    ) -> None:
        self._unrepeatable_request_idle_s = unrepeatable_request_idle_s
        self._clock = clock or LoopClock()
        # A single listing may lack a server that is running.
        self._unlisted_signals: OrderedDict[
            tuple[str, Address], ServerSignals
        ] = OrderedDict()
        self._backends: dict[str, Backend] = {}
        self._services: dict[str, tuple[Backend, ...]] = {}
        self._has_listing = False
        self._changed = asyncio.Event()
        self._on_end: Callable[[str], None] | None = None

    def on_end(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the id of each backend server that is gone.

        That includes one that restarted at another address.
        """
        self._on_end = listener

    def update(self, records: Iterable[BackendRecord]) -> None:
        """Apply a new listing; keep the state of servers that remain listed."""
        previous = self._backends
        self._backends = {}
        for record in records:
            backend = previous.pop(record.backend_id, None)
            if backend is not None and backend.record.address != record.address:
                backend.pool.close()
                self._notify_end(backend.backend_id)
                backend = None
            if backend is None:
                pool = ConnectionPool(
                    record.address,
                    self._unrepeatable_request_idle_s,
                )
                backend = Backend(record, pool)
                if self._has_listing:
                    backend.appeared_at_s = self._clock.now_s()
                self._restore_signals(backend)
            backend.record = record
            self._backends[record.backend_id] = backend
            self._record_listing(backend, is_ready=not record.is_draining)
        for unlisted in previous.values():
            unlisted.pool.close()
            self._keep_signals(unlisted)
            self._notify_end(unlisted.backend_id)
        services: dict[str, list[Backend]] = {}
        for backend in self._backends.values():
            if not backend.record.is_draining:
                services.setdefault(backend.record.service, []).append(backend)
        self._services = {name: tuple(rows) for name, rows in services.items()}
        self._has_listing = self._has_listing or bool(self._backends)
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_listing(self, backend: Backend, *, is_ready: bool) -> None:
        if backend.signals.is_leaving:
            backend.signals.record_listing(
                is_ready=is_ready, now_s=self._clock.now_s()
            )

    def _keep_signals(self, backend: Backend) -> None:
        """Keep the signals of an unlisted server that may be listed again."""
        if backend.signals == ServerSignals():
            return
        self._record_listing(backend, is_ready=False)
        key = (backend.backend_id, backend.record.address)
        self._unlisted_signals[key] = backend.signals
        if len(self._unlisted_signals) > MAX_UNLISTED:
            self._unlisted_signals.popitem(last=False)

    def _restore_signals(self, backend: Backend) -> None:
        key = (backend.backend_id, backend.record.address)
        backend.signals = self._unlisted_signals.pop(key, backend.signals)

    def _notify_end(self, backend_id: str) -> None:
        if self._on_end is not None:
            self._on_end(backend_id)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait at most ``timeout_s`` for an update of the listing."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def of_service(self, service: str) -> tuple[Backend, ...]:
        """Return the backend servers of a service that are not draining."""
        return self._services.get(service, ())

    def all_of_service(self, service: str) -> tuple[Backend, ...]:
        """Return all backend servers of a service, also draining ones."""
        return tuple(
            row
            for row in self._backends.values()
            if row.record.service == service
        )

    def by_id(self) -> Mapping[str, Backend]:
        """Return all backend servers by id, including draining ones."""
        return self._backends

    def close(self) -> None:
        """Close all idle connections."""
        for backend in self._backends.values():
            backend.pool.close()
