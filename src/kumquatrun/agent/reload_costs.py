"""Expected cost of reloading an adapter after its eviction."""

from typing import NamedTuple

# Half-life of the weight of a use; about the time in which the popularity of
# an adapter shifts.
USE_HALF_LIFE_S = 60.0
DEFAULT_LOAD_S = 0.25
MIN_RETAINED_USES = 0.01
CLEANUP_ABOVE_ENTRIES = 4096


class AdapterKey(NamedTuple):
    """An adapter and its version."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f'{self.adapter}@{self.version}'


class _Entry(NamedTuple):
    uses: float
    updated_s: float
    load_s: float


class ReloadCosts:
    """Reload cost of adapters: exponentially decayed uses times load time."""

    def __init__(self) -> None:
        self._entries: dict[AdapterKey, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_use(self, key: AdapterKey, now_s: float) -> None:
        """Count one use."""
        load_s = self._entry(key, now_s).load_s
        uses = self._uses(key, now_s) + 1
        self._entries[key] = _Entry(uses, now_s, load_s)
        if len(self._entries) > CLEANUP_ABOVE_ENTRIES:
            self._remove_unused(now_s)

    def record_load(self, key: AdapterKey, load_s: float, now_s: float) -> None:
        """Record how long a load took."""
        entry = self._entry(key, now_s)
        self._entries[key] = entry._replace(load_s=load_s)

    def cost_s(self, key: AdapterKey | None, now_s: float) -> float:
        """Return decayed uses times load time; 0 for an unused adapter."""
        if key is None:
            return 0
        return self._uses(key, now_s) * self._entry(key, now_s).load_s

    def _entry(self, key: AdapterKey, now_s: float) -> _Entry:
        return self._entries.get(key, _Entry(0, now_s, DEFAULT_LOAD_S))

    def _uses(self, key: AdapterKey, now_s: float) -> float:
        entry = self._entry(key, now_s)
        age_s = now_s - entry.updated_s
        return entry.uses * 0.5 ** (age_s / USE_HALF_LIFE_S)

    def _remove_unused(self, now_s: float) -> None:
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if self._uses(key, now_s) >= MIN_RETAINED_USES
        }
