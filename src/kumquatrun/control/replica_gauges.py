"""Gauges of a control replica."""

from kumquatrun.consensus.replica import Replica
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.metrics import Metrics


def set_replica_gauges(
    metrics: Metrics, replica: Replica, clock: Clock
) -> None:
    """Set the gauges to the present state of a replica."""
    now_s = clock.now_s()
    silent_voters = replica.silent_voters(now_s)
    metrics.set_gauge('replica_term', replica.term)
    metrics.set_gauge('replica_commit_index', replica.commit_index)
    metrics.set_gauge('replica_is_leader', int(replica.is_leader))
    metrics.set_gauge('replica_silent_voters', len(silent_voters))
    metrics.set_gauge(
        'replica_outside_seconds',
        replica.standing_record.outside_s(now_s),
    )
