"""Pairs of troubles after which each valid change is acknowledged in time.

``python -m tests.acknowledgement_search`` plays all pairs with more seeds.
"""

import pytest
from tests.acknowledgement_search import PAIRS, slowest_acknowledgement_s
from tests.control_group import ACKNOWLEDGEMENT_BOUND_S

# A part of the pairs, so that a run in CI stays short.
SAMPLED = PAIRS[::10]


@pytest.mark.parametrize(
    'second',
    ['power-for-good', 'freeze-for-good', 'replace', 'wipe', 'behind'],
)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_host_is_lost_right_after_a_planned_replacement(second, seed):
    # Guards against a voter that was stopped for good and still counts: with
    # the next loss, two of four voters are left and commit nothing.
    assert (
        slowest_acknowledgement_s('replace-planned', second, seed)
        < ACKNOWLEDGEMENT_BOUND_S
    )


@pytest.mark.parametrize(('first', 'second'), SAMPLED)
def test_change_is_acknowledged_after_two_troubles(first, second):
    # Guards against what one trouble leaves behind and the next one needs.
    assert slowest_acknowledgement_s(first, second, 1) < ACKNOWLEDGEMENT_BOUND_S
