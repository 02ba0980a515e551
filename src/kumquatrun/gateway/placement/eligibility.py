"""Decides which backend servers may run a request at all.

The balancer then chooses among them by affinity, load and distance.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.placement.cold_starts import ColdStarts
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.runtime.clock import Clock, LoopClock

# Causes of a refusal if all backend servers want no requests.
ALL_LEAVING = 'backends_leaving'
ALL_QUIET = 'backends_quiet'
# Replacements of leaving backend servers are listed within about this time.
LEAVING_RETRY_AFTER_S = 1.0
# A refusal by a full backend server holds for about this long.
BUSY_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Unavailability:
    """Why no backend server takes a request, and when one may."""

    cause: str
    retry_after_s: float


class Eligibility:
    """Filters backend servers by the rules that bind a request.

    Parameters
    ----------
    regions
        Region of each failure domain.
    configuration
        Returns the configuration in force. It is read at each choice, so that
        a change also applies to requests that wait.
    clock
        Source of time.
    cold_starts
        Limits requests to cold servers; None for no limit.
    evacuated_domains
        Returns the failure domains that get no new requests, also read at each
        choice.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        configuration: Callable[[], Configuration | None],
        clock: Clock | None = None,
        cold_starts: ColdStarts | None = None,
        evacuated_domains: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._cold_starts = cold_starts
        self._regions = regions
        self._configuration = configuration
        self._clock = clock or LoopClock()
        self._evacuated_domains = evacuated_domains

    def select(
        self, backends: Sequence[Backend], request_state: RequestState
    ) -> Sequence[Backend]:
        """Return the backend servers that may run a request.

        Those that leave or want no requests from this host are left out, and
        cold ones to which this entry may not send now.
        """
        now_s = self._clock.now_s()
        cold_starts = self._cold_starts
        return tuple(
            row
            for row in self._in_allowed_places(backends, request_state)
            if row.signals.accepts_requests(now_s)
            and (cold_starts is None or cold_starts.may_send(row, now_s))
        )

    def take_share(self, backend: Backend) -> bool:
        """Return whether a chosen server may get a request; count it.

        To be called right before the send.
        """
        if self._cold_starts is None:
            return True
        return self._cold_starts.take(backend, self._clock.now_s())

    def unavailability(
        self, backends: Sequence[Backend], request_state: RequestState
    ) -> Unavailability | None:
        """Return why no backend server takes a request now.

        Returns None if one may take it, or if none has said that it wants no
        requests. ``backends`` may contain draining ones.
        """
        now_s = self._clock.now_s()
        rows = [
            row
            for row in self._in_allowed_places(backends, request_state)
            if row.signals.is_leaving or not row.record.is_draining
        ]
        accepting = {
            row.backend_id
            for row in rows
            if row.signals.accepts_requests(now_s)
        }
        if accepting - request_state.tried_backends:
            return None
        waits_s = [
            row.signals.quiet_s(now_s)
            for row in rows
            if not row.signals.is_leaving and row.backend_id not in accepting
        ]
        if waits_s and accepting:
            waits_s.append(BUSY_RETRY_AFTER_S)
        if waits_s:
            return Unavailability(cause=ALL_QUIET, retry_after_s=min(waits_s))
        if accepting or not rows:
            return None
        return Unavailability(
            cause=ALL_LEAVING, retry_after_s=LEAVING_RETRY_AFTER_S
        )

    def _in_allowed_places(
        self, backends: Sequence[Backend], request_state: RequestState
    ) -> Sequence[Backend]:
        """Return the backend servers where a request may run.

        Their regions are allowed and their failure domains not evacuated. A
        failure domain whose region is unknown is in no allowed region.
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
