"""Lease tables: no lease lasts longer than the next leader assumes."""

import random

import pytest

from kumquatrun.control.leases import LEASE_S, LeaseTable

HOLDER = ('entry-1', 'i1')
# Followers refuse votes for this time after a message from the old leader.
VOTE_REFUSAL_S = 0.5


def renew(table, now_s, **more):
    fields = {'applied_index': 5, 'feed_index': 5, 'confirmed_at_s': now_s}
    return table.renew(HOLDER, now_s=now_s, **(fields | more))


def test_deposed_leader_cannot_extend_a_lease():
    table = LeaseTable(0, 5)
    assert renew(table, 10.0) == LEASE_S
    assert renew(table, 12.0, confirmed_at_s=10.0) == pytest.approx(1.0)
    assert renew(table, 13.5, confirmed_at_s=10.0) == 0


def test_lagging_host_gets_no_lease():
    # Guards against a host that keeps its lease without applying changes.
    table = LeaseTable(0, 5)
    assert renew(table, 10.0, feed_index=6) == LEASE_S
    assert renew(table, 10.5, feed_index=6) == 0
    assert renew(table, 11.0, feed_index=6, applied_index=6) == LEASE_S


def test_new_leader_requires_committed_items():
    table = LeaseTable(0, 9)
    assert renew(table, 1.0, applied_index=8, feed_index=9) == 0


def test_registered_host_must_catch_up():
    # Guards against a host that registers again with an old view and uses it
    # for the duration of a lease.
    table = LeaseTable(0, 5)
    table.register(HOLDER, 9, 10.0)
    assert renew(table, 10.1, applied_index=8, feed_index=9) == 0
    assert renew(table, 10.6, applied_index=9, feed_index=9) == LEASE_S


class UnconfirmedLeaseTable(LeaseTable):
    """Counts a lease from the renewal, even if the leader was deposed."""

    def renew(self, holder, *, confirmed_at_s, now_s, **more):
        return super().renew(holder, confirmed_at_s=now_s, now_s=now_s, **more)


def expired_too_early(seed, table_class):
    """Return whether a holder is expired while it can still hold a lease.

    Simulates random renewals with lost replies, a leader that loses its
    majority and a successor that is elected once the followers may vote.
    """
    rng = random.Random(seed)
    now_s, ends_s, confirmed_s = 0.0, 0.0, 0.0
    old = table_class(0, 0)
    lost_majority_s = rng.uniform(1, 4)
    while now_s < lost_majority_s + 3:
        sent_s = now_s
        now_s += rng.uniform(0, 0.4)
        if now_s < lost_majority_s:
            confirmed_s = max(confirmed_s, now_s - rng.uniform(0, 0.3))
        duration_s = renew(old, now_s, confirmed_at_s=confirmed_s)
        if duration_s and rng.random() < 0.7:
            ends_s = max(ends_s, sent_s + duration_s)
    elected_s = confirmed_s + VOTE_REFUSAL_S + rng.uniform(0, 1)
    new = table_class(elected_s, 0)
    moments = [elected_s + step * 0.05 for step in range(200)]
    first_s = next(at for at in moments if new.has_certainly_ended(HOLDER, at))
    return first_s <= ends_s


def test_expiry_never_precedes_lease_end():
    assert not any(expired_too_early(seed, LeaseTable) for seed in range(300))


def test_check_detects_unconfirmed_leases():
    # The check above must fail with the mechanism off.
    assert any(
        expired_too_early(seed, UnconfirmedLeaseTable) for seed in range(300)
    )
