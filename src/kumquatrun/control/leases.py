"""Leases of entry and agent hosts, kept by the leader."""

from dataclasses import dataclass

LEASE_S = 3.0
RENEW_INTERVAL_S = 0.5
# Covers the drift between the clocks of two hosts during a lease.
CLOCK_DRIFT_MARGIN_S = 0.1

Incarnation = tuple[str, str]


@dataclass(frozen=True)
class _HostLease:
    ends_at_s: float
    required_index: int


class LeaseTable:
    """Leases that this leader granted or earlier leaders may have granted.

    A lease starts at the last time at which a majority confirmed the leader,
    so that a deposed leader cannot extend a lease beyond the time for which
    its successor waits.

    Parameters
    ----------
    elected_at_s
        When this leader began to serve; leases granted by earlier leaders
        end within ``LEASE_S`` after it.
    feed_index
        Index of the newest feed item at that time.
    """

    def __init__(self, elected_at_s: float, feed_index: int) -> None:
        self._inherited = _HostLease(elected_at_s + LEASE_S, feed_index)
        self._leases: dict[Incarnation, _HostLease] = {}

    def renew(
        self,
        holder: Incarnation,
        *,
        applied_index: int,
        feed_index: int,
        confirmed_at_s: float,
        now_s: float,
    ) -> float:
        """Return the duration of the new lease in seconds, 0 for none.

        The lease is extended only if the host applied everything that was
        committed before its previous renewal. A lagging host keeps its
        current lease.
        """
        lease = self._leases.get(holder, self._inherited)
        ends_at_s = lease.ends_at_s
        duration_s = 0.0
        if applied_index >= lease.required_index:
            duration_s = max(0, min(now_s, confirmed_at_s) + LEASE_S - now_s)
            ends_at_s = max(ends_at_s, now_s + duration_s)
        self._leases[holder] = _HostLease(ends_at_s, feed_index)
        return duration_s

    def has_certainly_ended(self, holder: Incarnation, now_s: float) -> bool:
        """Return whether the lease has ended, allowing for clock drift.

        Whatever this leader granted, a lease of its predecessor can last
        until ``LEASE_S`` after this leader began to serve.
        """
        lease = self._leases.get(holder, self._inherited)
        ends_at_s = max(lease.ends_at_s, self._inherited.ends_at_s)
        return now_s > ends_at_s + CLOCK_DRIFT_MARGIN_S

    def register(
        self,
        holder: Incarnation,
        feed_index: int,
        now_s: float,
    ) -> None:
        """Defer the expiry of a newly registered host by one lease duration.

        The host is granted its first lease only once it has applied what was
        committed before it registered: its view may date from its last
        connection.
        """
        self._leases[holder] = _HostLease(now_s + LEASE_S, feed_index)

    def discard(self, holder: Incarnation) -> None:
        """Remove an expired holder."""
        self._leases.pop(holder, None)
