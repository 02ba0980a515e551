"""Tracks the adapters that an engine holds and selects those to evict.

The report of the engine lists what it holds. This module adds what a report
does not contain: which requests use an adapter, when it was last used, and
which orders are not visible in a report yet.
"""

from collections.abc import Set as AbstractSet

from kumquatrun.gateway.engine.engine_api import EngineReport
from kumquatrun.gateway.engine.running_requests import (
    AdapterName,
    RunningRequests,
)

# An adapter is not evicted for this time after its last use, so that a request
# for which the agent has confirmed the adapter still finds it loaded.
EVICTION_GRACE_S = 0.3
# An order whose effect no report shows is discarded after this time.
ORDER_EXPIRY_S = 15.0


class Residency:
    """State of the adapter slots of one engine.

    Parameters
    ----------
    adapter_slots
        Number of adapters that the engine may hold, including those that
        are being loaded.
    """

    def __init__(self, adapter_slots: int) -> None:
        self.adapter_slots = adapter_slots
        self._running_requests = RunningRequests()
        self._last_used_at_s: dict[AdapterName, float] = {}
        self._held: dict[AdapterName, int] = {}
        self._loading: dict[AdapterName, int] = {}
        # Load orders that may have been accepted but that no report shows yet,
        # each with its version and time.
        self._pending_loads: dict[AdapterName, tuple[int, float]] = {}
        # Times of accepted unload orders. The engine carries out an unload once
        # no request uses the adapter.
        self._unloading: dict[AdapterName, float] = {}

    def apply_report(self, report: EngineReport, now_s: float) -> None:
        """Update the state from a report of the engine."""
        self._running_requests.apply_report(report.running_ids)
        self._held = {
            (model.name, adapter): version
            for model in report.models
            for adapter, version in model.adapters.items()
        }
        self._loading = {
            (model, adapter): version
            for model, adapter, version in report.loading
        }
        for name, (version, ordered_s) in list(self._pending_loads.items()):
            is_held = self._held.get(name, -1) >= version
            is_visible = is_held or name in self._loading
            if is_visible or now_s - ordered_s > ORDER_EXPIRY_S:
                del self._pending_loads[name]
        for name, ordered_s in list(self._unloading.items()):
            if name not in self._held or now_s - ordered_s > ORDER_EXPIRY_S:
                del self._unloading[name]

    def reset(self) -> None:
        """Clear held adapters and orders after a restart of the engine."""
        self._pending_loads.clear()
        self._held.clear()
        self._loading.clear()
        self._unloading.clear()
        self._running_requests.reset()

    def version_of(self, name: AdapterName) -> int | None:
        """Return the held version, or None if missing or being unloaded."""
        return None if self.is_unloading(name) else self._held.get(name)

    def is_loading(self, name: AdapterName) -> bool:
        """Return whether the adapter is being loaded."""
        return name in self._loading or name in self._pending_loads

    def is_unloading(self, name: AdapterName) -> bool:
        """Return whether the engine unloads the adapter once it is unused."""
        return name in self._unloading

    @property
    def loading_count(self) -> int:
        """Return the number of adapters that are being loaded."""
        return len({*self._loading, *self._pending_loads})

    @property
    def is_changing(self) -> bool:
        """Return whether a load or unload is in progress."""
        return bool(self._loading or self._pending_loads or self._unloading)

    @property
    def used_slots(self) -> int:
        """Return the number of slots that are or may be occupied."""
        return len(self.occupants)

    @property
    def occupants(self) -> AbstractSet[AdapterName]:
        """Return the adapters that take a slot and memory, or may do so."""
        return {*self._held, *self._loading, *self._pending_loads}

    def pin(self, name: AdapterName, request_id: str, now_s: float) -> None:
        """Protect an adapter, held or not, from eviction until ``unpin``."""
        self._running_requests.begin_call(request_id, name)
        self._last_used_at_s[name] = now_s

    def unpin(self, name: AdapterName, request_id: str, now_s: float) -> None:
        """Release a pin; the adapter stays protected while its request runs."""
        self._running_requests.end_call(request_id, name)
        self._last_used_at_s[name] = now_s

    def uses_model(self, model: str) -> bool:
        """Return whether a request uses or may use a base model."""
        in_use = self._running_requests.adapters_in_use()
        return self._running_requests.has_unknown_adapter or any(
            name[0] == model for name in in_use
        )

    def record_load(
        self, name: AdapterName, version: int, now_s: float
    ) -> None:
        """Record a load order that may have been accepted."""
        self._pending_loads[name] = (version, now_s)

    def record_unload(self, name: AdapterName, now_s: float) -> bool:
        """Record an accepted unload and return whether it took effect.

        The slot of an adapter that is still in use stays occupied until a
        report no longer lists the adapter.
        """
        if name not in self._held:
            return True
        self._unloading[name] = now_s
        return False

    def discard_load(self, name: AdapterName) -> None:
        """Discard a load order that was not accepted."""
        self._pending_loads.pop(name, None)

    def victim(self, now_s: float) -> AdapterName | None:
        """Return the least recently used adapter that may be evicted.

        None if every adapter is or may be in use, or was used recently.
        """
        return next(iter(self.evictable(now_s)), None)

    def evictable(self, now_s: float) -> list[AdapterName]:
        """Return the adapters that may be evicted, least recently used first.

        There are none while a request runs whose adapter is unknown.
        """
        if self._running_requests.has_unknown_adapter:
            return []
        in_use = self._running_requests.adapters_in_use()
        candidates = [
            name
            for name in self._held
            if name not in self._loading
            and name not in self._unloading
            and name not in in_use
            and now_s - self._last_used_s(name) >= EVICTION_GRACE_S
        ]
        return sorted(candidates, key=self._last_used_s)

    def _last_used_s(self, name: AdapterName) -> float:
        return self._last_used_at_s.get(name, float('-inf'))
