"""Decides which backend servers may run a request at all.

The balancer then chooses among them by affinity, load and distance.
"""

from collections.abc import Callable, Mapping, Sequence

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.request_state import RequestState


class Eligibility:
    """Filters backend servers by the rules that bind a request.

    Parameters
    ----------
    regions
        Region of each failure domain.
    configuration
        Returns the configuration in force.
    evacuated_domains
        Returns the failure domains that get no new requests.

    Both are read at each choice, so that a change also applies to requests that
    wait and to retries.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        configuration: Callable[[], Configuration | None],
        evacuated_domains: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._regions = regions
        self._configuration = configuration
        self._evacuated_domains = evacuated_domains

    def select(
        self, backends: Sequence[Backend], request_state: RequestState
    ) -> Sequence[Backend]:
        """Return the backend servers that may run a request.

        A failure domain whose region is unknown is in no allowed region.
        """
        evacuated = self._evacuated_domains()
        allowed = self._allowed_regions(request_state)
        if allowed is None and not evacuated:
            return backends
        return tuple(
            row
            for row in backends
            if row.record.failure_domain not in evacuated
            and self._is_allowed(row.record.failure_domain, allowed)
        )

    def _is_allowed(
        self, failure_domain: str, allowed: frozenset[str] | None
    ) -> bool:
        return allowed is None or self._regions.get(failure_domain) in allowed

    def _allowed_regions(
        self, request_state: RequestState
    ) -> frozenset[str] | None:
        configuration = self._configuration()
        if configuration is None:
            return request_state.route.allowed_regions or None
        return configuration.allowed_regions(
            request_state.route, request_state.account
        )
