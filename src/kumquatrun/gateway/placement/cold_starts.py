"""Decides which requests an entry may send to cold backend servers.

Load: a server that has just started gets the requests that all entries hold
back at once, and ends under a rate that it would bear later. Its limit is one
of the whole fleet, so a few entries own it, each with a fixed share.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.routing.configuration import (
    BackendService,
    Configuration,
)
from kumquatrun.gateway.routing.ranking import rank
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

# Fraction of the limit that the owners of a server use together. Entries may
# see different members for a moment, so that twice as many may be owners.
FLEET_FRACTION = 0.5
# More owners use a server better, since each sends only its own requests, but
# each may send one request at any time.
MAX_OWNERS = 4
# Smallest share of an owner, in requests in any one second.
MIN_SHARE = 2.0
# Requests that an owner may send at once.
BURST = 1.0
# Maximum time until the listing shows that the servers of a failure domain that
# is used again are cold.
LISTING_LAG_S = 2.0
# Maximum number of servers whose shares are kept.
MAX_SERVERS = 1024


@dataclass(frozen=True, kw_only=True)
class ColdStartLimits:
    """Limit of the requests to a cold server within one second.

    It is the rate of the service, times ``overage``, plus ``slack`` requests.
    """

    overage: float = 1.0
    slack: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EntryGroup:
    """The entries that share the cold servers, as one of them sees them.

    ``has_lease`` is false on an entry that others may not see any more.
    """

    own_id: str
    entry_ids: tuple[str, ...]
    has_lease: bool


@dataclass
class _Share:
    """Requests that this entry may send to one cold server."""

    entry_ids: tuple[str, ...]
    cold_per_s: float
    rate_per_s: float
    refilled_at_s: float
    requests: float = 0.0

    def refill(self, now_s: float) -> None:
        added = (now_s - self.refilled_at_s) * self.rate_per_s
        self.requests = min(BURST, self.requests + added)
        self.refilled_at_s = now_s


class ColdStarts:
    """Holds requests back from cold servers.

    Parameters
    ----------
    limits
        Limit of all entries together.
    configuration
        Returns the configuration in force; None before the first.
    group
        Returns the entries of the fleet.
    """

    def __init__(
        self,
        limits: ColdStartLimits,
        configuration: Callable[[], Configuration | None],
        group: Callable[[], EntryGroup],
    ) -> None:
        self._limits = limits
        self._configuration = configuration
        self._group = group
        self._shares: OrderedDict[str, _Share] = OrderedDict()
        self._returned_at_s: dict[str, float] = {}

    def record_return(self, failure_domain: str, now_s: float) -> None:
        """Count the servers of a failure domain as cold for a while.

        They may have become cold while the domain was not used, before the
        listing shows it.
        """
        self._returned_at_s[failure_domain] = now_s

    def may_send(self, backend: Backend, now_s: float) -> bool:
        """Return whether a request may be sent to a server now."""
        configuration = self._configuration()
        if configuration is None:
            return True
        service = configuration.service(backend.record.service)
        if service is None or not self._is_cold(backend, service, now_s):
            self._shares.pop(backend.backend_id, None)
            return True
        return self._share(backend, service, now_s).requests >= 1

    def take(self, backend: Backend, now_s: float) -> bool:
        """Return whether a request may be sent now, and count it."""
        if not self.may_send(backend, now_s):
            return False
        share = self._shares.get(backend.backend_id)
        if share is not None:
            share.requests -= 1
            process_metrics().count(
                'cold_sends_total', service=backend.record.service
            )
        return True

    def _is_cold(
        self, backend: Backend, service: BackendService, now_s: float
    ) -> bool:
        if not service.cold_per_s:
            return False
        domain = backend.record.failure_domain
        returned_at_s = self._returned_at_s.get(domain, float('-inf'))
        return (
            backend.record.is_cold
            or now_s < backend.appeared_at_s + service.cold_start_s
            or now_s < returned_at_s + service.cold_start_s + LISTING_LAG_S
        )

    def _share(
        self, backend: Backend, service: BackendService, now_s: float
    ) -> _Share:
        """Return the refilled share of this entry; it begins empty."""
        group = self._group()
        entry_ids = group.entry_ids if group.has_lease else ()
        share = self._shares.get(backend.backend_id)
        known = (share.entry_ids, share.cold_per_s) if share else None
        if share is None or known != (entry_ids, service.cold_per_s):
            share = _Share(
                entry_ids=entry_ids,
                cold_per_s=service.cold_per_s,
                rate_per_s=self._rate_per_s(backend, service, group),
                refilled_at_s=now_s,
            )
            self._shares[backend.backend_id] = share
            log_event(
                log,
                'backend_cold',
                backend=backend.backend_id,
                rate_per_s=share.rate_per_s,
                entries=len(entry_ids),
            )
            if len(self._shares) > MAX_SERVERS:
                self._shares.popitem(last=False)
        share.refill(now_s)
        return share

    def _rate_per_s(
        self, backend: Backend, service: BackendService, group: EntryGroup
    ) -> float:
        """Return the rate at which this entry may send to a cold server."""
        limit = service.cold_per_s * self._limits.overage + self._limits.slack
        usable = min(FLEET_FRACTION * limit, service.cold_per_s)
        owner_count = min(MAX_OWNERS, max(1, int(usable / MIN_SHARE)))
        owners = sorted(
            group.entry_ids, key=lambda row: rank(backend.backend_id, row)
        )[:owner_count]
        if not group.has_lease or group.own_id not in owners:
            return 0.0
        return max(0.0, usable / owner_count - BURST)
