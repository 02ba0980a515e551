"""Restarts of a replica over the life of a long-lived process."""

from kumquatrun.consensus.replica_restart import (
    MAX_ERROR_RETRIES,
    RestartPolicy,
)

DAY_S = 86_400.0


def test_errors_that_are_days_apart_do_not_end_the_restarts():
    # Guards against a dead replica in a live process: the group counts a
    # member less for the rest of the life of the process, and nothing ends it.
    policy = RestartPolicy()
    delays = [
        policy.next_delay_s(ValueError('unexpected'), day * DAY_S)
        for day in range(MAX_ERROR_RETRIES + 2)
    ]
    assert None not in delays
