"""Load balancing of requests over backend servers."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.placement.expected_delay import (
    Demand,
    Paces,
    first_that_fits,
)
from kumquatrun.gateway.routing.ranking import weighted_rank

# Limit for affinity as in consistent hashing with bounded loads: a preferred
# backend server is skipped if it is busy and its load exceeds this multiple of
# the mean. The limit is above 1 because another copy of the adapter has to be
# loaded from the weight store.
BOUNDED_LOAD_FACTOR = 1.25
# Number of requests by which the load of a local backend server may exceed that
# of a backend server in another failure domain, or in another region, before
# the remote server is preferred.
OTHER_DOMAIN_PENALTY = 1.0
OTHER_REGION_PENALTY = 2.0
# Number of requests that a failure rate of 1 adds to the load.
FAILURE_PENALTY = 20.0


@dataclass(frozen=True, kw_only=True)
class Locality:
    """Failure domain of a process, and the region of each failure domain."""

    failure_domain: str
    regions: dict[str, str]

    def distance(self, failure_domain: str) -> float:
        """Return the distance to a failure domain as a number of requests."""
        if failure_domain == self.failure_domain:
            return 0.0
        own = self.regions.get(self.failure_domain)
        if self.regions.get(failure_domain) == own:
            return OTHER_DOMAIN_PENALTY
        return OTHER_REGION_PENALTY


class Balancer:
    """Chooses backend servers by affinity, load, health and distance."""

    def __init__(self, locality: Locality, rng: random.Random) -> None:
        self._locality = locality
        self._rng = rng

    def choose(
        self,
        backends: Sequence[Backend],
        now_s: float,
        *,
        affinity: str = '',
        demand: Demand | None = None,
        excluded: Collection[str] = (),
    ) -> Backend | None:
        """Return the backend server to try next, or None if all were tried.

        Parameters
        ----------
        backends
            Backend servers of the service that are not draining.
        now_s
            Clock time in seconds.
        affinity
            Key whose requests should share a backend server, such as an
            adapter; empty if every backend server is equally suitable.
        demand
            The request, if the expected delay is to be compared.
        excluded
            Ids of the backend servers that were already tried.
        """
        untried = [row for row in backends if row.backend_id not in excluded]
        if not untried:
            return None
        available = [row for row in untried if row.paused_until_s <= now_s]
        healthy = [row for row in available if row.is_healthy(now_s)]
        candidates = healthy or available or untried
        if affinity:
            return self._by_affinity(
                candidates, affinity, demand or Demand(), now_s
            )
        return min(candidates, key=lambda row: self._cost(row, now_s))

    def _by_affinity(
        self,
        candidates: Sequence[Backend],
        affinity: str,
        demand: Demand,
        now_s: float,
    ) -> Backend:
        """Return the backend server that requests with this key share.

        Keys are spread in proportion to the paces, so that a slow engine holds
        fewer adapters.
        """
        paces = Paces(candidates, now_s)
        ranked = sorted(
            candidates,
            key=lambda row: weighted_rank(
                affinity, row.backend_id, paces.of(row)
            ),
        )
        mean = sum(row.load for row in ranked) / len(ranked)
        fitting = [
            row
            for row in ranked
            if not row.is_busy or row.load <= BOUNDED_LOAD_FACTOR * mean
        ]
        if not fitting:
            return min(ranked, key=lambda row: row.load)
        if not paces.is_known:
            return fitting[0]
        return first_that_fits(fitting, demand, paces, self._rng)

    def _cost(self, backend: Backend, now_s: float) -> float:
        return (
            backend.load
            + self._locality.distance(backend.record.failure_domain)
            + FAILURE_PENALTY * backend.current_failure_rate(now_s)
            + self._rng.random() / 2
        )
