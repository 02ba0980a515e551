"""The policy measurement runs the project's decision code in memory."""

import pytest
from bench.policy import POLICIES, measure, report
from bench.policy_load import WORKLOADS, Bucket, make_trace

SECONDS = 8


@pytest.fixture(scope='module')
def rows():
    return {
        policy: measure('lahore', policy, SECONDS, 1) for policy in POLICIES
    }


def test_policies_get_equal_load(rows):
    # Guards against a trace that depends on the policy: the figures of policies
    # could not be compared.
    assert len({row['requests'] for row in rows.values()}) == 1
    assert all(row['completed'] > 0 for row in rows.values())


def test_budgets_hold_under_faults(rows):
    # Guards against tokens beyond rate and burst while hosts and links fail.
    assert [row['excess_tokens'] for row in rows.values()] == [0, 0, 0]


def test_table_names_each_goal(rows):
    # Guards against a goal that is dropped from the report.
    text = report('lahore', rows)
    assert text.count('  met  ') + text.count('MISSED') == 9
    assert 'ledger servers are left out' in text


def test_runs_repeat():
    # Guards against figures that a seed does not reproduce.
    runs = [measure('diagne', 'default', 4, 2) for _ in range(2)]
    assert runs[0] == runs[1]


def test_flood_is_beyond_the_rate():
    # Guards against a flood that the account's rate would admit.
    trace = make_trace(WORKLOADS['lahore'], 120, 1)
    beyond = {each.account for each in trace if not each.is_within_rate}
    assert beyond == {'c'}


def test_bucket_measures_excess():
    # Guards against a measurement that misses an excess.
    bucket = Bucket(rate=10, burst=20)
    bucket.use(20, 1.0)
    bucket.use(11, 2.0)
    assert bucket.excess_tokens == 1
