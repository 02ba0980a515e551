"""Backend servers as the gateway knows them: listing, load and health."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kumquatrun.gateway.backends.connection_pool import (
    DEFAULT_IDLE_S,
    ConnectionPool,
)
from kumquatrun.peer.address import Address

# Slots of a backend server that is listed without their number.
DEFAULT_SLOTS = 32
# Part of its slots above which an engine is busy: a batch slows little while it
# fills.
BUSY_FRACTION = 0.7
# After a failed connection a backend server is passed over for this time,
# doubled with each further failure.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Weight of the newest answer in the failure rate.
FAILURE_WEIGHT = 0.15
# A failure rate above this makes a backend server a last resort.
MAX_FAILURE_RATE = 0.35
# The failure rate is forgotten at this rate, so that a backend server that
# gets no requests is tried again.
FAILURE_HALF_LIFE_S = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldAdapter:
    """An adapter that an engine holds."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendRecord:
    """A backend server as the platform lists it.

    ``slots`` is the number of requests that it runs at the same time.
    """

    backend_id: str
    service: str
    address: Address
    failure_domain: str
    slots: int = DEFAULT_SLOTS
    is_draining: bool = False
    models: frozenset[str] = frozenset()
    adapters: frozenset[HeldAdapter] = frozenset()


@dataclass
class Backend:
    """A listed backend server with what this process learned about it."""

    record: BackendRecord
    pool: ConnectionPool
    open_requests: int = 0
    consecutive_failures: int = 0
    paused_until_s: float = 0.0
    failure_rate: float = 0.0
    last_response_at_s: float = 0.0
    # Load that the agent told, and requests started here since then.
    reported_load: int = 0
    started_since_report: int = 0

    @property
    def backend_id(self) -> str:
        """Return the id of this run of the backend server."""
        return self.record.backend_id

    @property
    def load(self) -> int:
        """Return the estimated number of requests at the backend server."""
        known_load = self.reported_load + self.started_since_report
        return max(known_load, self.open_requests)

    @property
    def is_busy(self) -> bool:
        """Return whether most slots are taken."""
        return self.load > BUSY_FRACTION * self.record.slots

    def record_reported_load(self, load: int) -> None:
        """Record the load that the agent of the backend server told."""
        self.reported_load = load
        self.started_since_report = 0

    def current_failure_rate(self, now_s: float) -> float:
        """Return the share of failed answers, decayed since the last one."""
        age_s = max(0.0, now_s - self.last_response_at_s)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_healthy(self, now_s: float) -> bool:
        """Return whether most of the last answers were no failures."""
        return self.current_failure_rate(now_s) < MAX_FAILURE_RATE

    def record_response(self, *, failed: bool, now_s: float) -> None:
        """Count an answer, or its failure."""
        rate = self.current_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_WEIGHT * (int(failed) - rate)
        self.last_response_at_s = now_s
        if not failed:
            self.consecutive_failures = 0

    def record_unreachable(self, now_s: float) -> float:
        """Pass the backend server over; return for how many seconds."""
        self.consecutive_failures += 1
        doubled_s = FIRST_PAUSE_S * 2 ** min(8, self.consecutive_failures - 1)
        pause_s = min(MAX_PAUSE_S, doubled_s)
        self.paused_until_s = now_s + pause_s
        return pause_s


class BackendTable:
    """All listed backend servers, by service.

    Parameters
    ----------
    unrepeatable_idle_s
        See ``ConnectionPool``.
    """

    def __init__(self, unrepeatable_idle_s: float = DEFAULT_IDLE_S) -> None:
        self._unrepeatable_idle_s = unrepeatable_idle_s
        self._backends: dict[str, Backend] = {}
        self._services: dict[str, tuple[Backend, ...]] = {}
        self._changed = asyncio.Event()

    def update(self, records: Iterable[BackendRecord]) -> None:
        """Take a new listing; keeps what is known of those that remain."""
        known = self._backends
        self._backends = {}
        for record in records:
            backend = known.pop(record.backend_id, None)
            if backend is None or backend.record.address != record.address:
                pool = ConnectionPool(
                    record.address,
                    self._unrepeatable_idle_s,
                )
                backend = Backend(record, pool)
            backend.record = record
            self._backends[record.backend_id] = backend
        for gone in known.values():
            gone.pool.close()
        services: dict[str, list[Backend]] = {}
        for backend in self._backends.values():
            if not backend.record.is_draining:
                services.setdefault(backend.record.service, []).append(backend)
        self._services = {name: tuple(rows) for name, rows in services.items()}
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the listing is updated, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def of_service(self, service: str) -> tuple[Backend, ...]:
        """Return the backend servers of a service that are not leaving."""
        return self._services.get(service, ())

    def by_id(self) -> Mapping[str, Backend]:
        """Return all backend servers, leaving ones too, by id."""
        return self._backends

    def close(self) -> None:
        """Close all idle connections."""
        for backend in self._backends.values():
            backend.pool.close()
