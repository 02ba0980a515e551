"""Leases of entry and agent hosts, as the leader keeps them."""

from dataclasses import dataclass

LEASE_S = 3.0
RENEW_INTERVAL_S = 0.5
# Covers the difference between the rates of two hosts' clocks over a lease.
CLOCK_DRIFT_MARGIN_S = 0.1


@dataclass(frozen=True)
class _HostLease:
    incarnation: str
    ends_at_s: float
    required_index: int


class LeaseTable:
    """Leases that this leader granted or has to assume.

    A lease is counted from the newest moment at which a majority confirmed
    the leader, so that a deposed leader cannot extend one past the time in
    which its successor must expect it.

    Parameters
    ----------
    elected_at_s
        When this leader was elected; leases of earlier leaders have ended
        ``LEASE_S`` after it.
    feed_index
        Index of the newest feed item at that time.
    """

    def __init__(self, elected_at_s: float, feed_index: int) -> None:
        self._elected_at_s = elected_at_s
        self._first_index = feed_index
        self._leases: dict[str, _HostLease] = {}

    def renew(
        self,
        host_id: str,
        incarnation: str,
        *,
        applied_index: int,
        feed_index: int,
        confirmed_at_s: float,
        now_s: float,
    ) -> float:
        """Return the duration of the new lease in seconds, 0 for none.

        The lease is extended only if the host applied everything that was
        committed before its previous renewal. A host that lags keeps the
        lease it has.
        """
        known = self._known(host_id, incarnation)
        ends_at_s = known.ends_at_s
        duration_s = 0.0
        if applied_index >= known.required_index:
            duration_s = max(0, min(now_s, confirmed_at_s) + LEASE_S - now_s)
            ends_at_s = max(ends_at_s, now_s + duration_s)
        self._leases[host_id] = _HostLease(incarnation, ends_at_s, feed_index)
        return duration_s

    def surely_ended(self, host_id: str, now_s: float) -> bool:
        """Return whether the host's lease has ended by every clock."""
        known = self._leases.get(host_id)
        ends_at_s = self._elected_at_s + LEASE_S
        if known is not None:
            ends_at_s = max(known.ends_at_s, ends_at_s)
        return now_s > ends_at_s + CLOCK_DRIFT_MARGIN_S

    def start(self, host_id: str, incarnation: str, now_s: float) -> None:
        """Record a registered host, which has time to renew for the first time."""
        self._leases[host_id] = _HostLease(
            incarnation,
            now_s + LEASE_S,
            self._first_index,
        )

    def forget(self, host_id: str) -> None:
        """Remove a host that was expired."""
        self._leases.pop(host_id, None)

    def _known(self, host_id: str, incarnation: str) -> _HostLease:
        known = self._leases.get(host_id)
        if known is not None and known.incarnation == incarnation:
            return known
        return _HostLease(
            incarnation,
            self._elected_at_s + LEASE_S,
            self._first_index,
        )
