"""Choice of the backend server for a request."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.routing.ranking import rank

# An adapter's first backend server is passed over when it is busy and its load
# is above this multiple of the mean: a further copy of the adapter costs a load
# from the weight store.
BOUNDED_LOAD_FACTOR = 1.25
# Requests that a nearer backend server may have more than one in the next
# failure domain, and in the next region.
OTHER_DOMAIN_PENALTY = 1.0
OTHER_REGION_PENALTY = 2.0
FAILURE_PENALTY = 20.0


@dataclass(frozen=True, kw_only=True)
class Locality:
    """Where a process runs, with the region of each failure domain."""

    failure_domain: str
    regions: dict[str, str]

    def distance(self, failure_domain: str) -> float:
        """Return the distance to a failure domain in units of load."""
        if failure_domain == self.failure_domain:
            return 0.0
        own = self.regions.get(self.failure_domain)
        if self.regions.get(failure_domain) == own:
            return OTHER_DOMAIN_PENALTY
        return OTHER_REGION_PENALTY


class Balancer:
    """Chooses backend servers by adapter, load, health and distance."""

    def __init__(self, locality: Locality, rng: random.Random) -> None:
        self._locality = locality
        self._rng = rng

    def choose(
        self,
        backends: Sequence[Backend],
        now_s: float,
        *,
        affinity: str = '',
        excluded: Collection[str] = (),
    ) -> Backend | None:
        """Return the backend server to try next, None if there is none.

        Parameters
        ----------
        backends
            Backend servers of the service that are not leaving.
        now_s
            Clock time in seconds.
        affinity
            Key whose requests should meet, such as an adapter; empty for
            requests that any backend server answers equally well.
        excluded
            Ids of the backend servers that were tried already.
        """
        untried = [row for row in backends if row.backend_id not in excluded]
        if not untried:
            return None
        available = [row for row in untried if row.paused_until_s <= now_s]
        healthy = [row for row in available if row.is_healthy(now_s)]
        candidates = healthy or available or untried
        if affinity:
            return self._by_affinity(candidates, affinity)
        return min(candidates, key=lambda row: self._cost(row, now_s))

    def _by_affinity(
        self,
        candidates: Sequence[Backend],
        affinity: str,
    ) -> Backend:
        ranked = sorted(
            candidates,
            key=lambda row: rank(affinity, row.backend_id),
        )
        mean = sum(row.load for row in ranked) / len(ranked)
        for backend in ranked:
            if (
                not backend.is_busy
                or backend.load <= BOUNDED_LOAD_FACTOR * mean
            ):
                return backend
        return min(ranked, key=lambda row: row.load)

    def _cost(self, backend: Backend, now_s: float) -> float:
        return (
            backend.load
            + self._locality.distance(backend.record.failure_domain)
            + FAILURE_PENALTY * backend.current_failure_rate(now_s)
            + self._rng.random() / 2
        )
