"""Each valid change is acknowledged in time after two faults.

``python -m tests.acknowledgement_search`` runs all pairs with more seeds.
"""

import pytest
from tests.acknowledgement_search import PAIRS, slowest_acknowledgement_s
from tests.control_group import ACKNOWLEDGEMENT_BOUND_S

# Every tenth pair, so that a CI run stays short.
SAMPLED = PAIRS[::10]


@pytest.mark.parametrize(
    'second',
    ['power-for-good', 'freeze-for-good', 'replace', 'wipe', 'behind'],
)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_host_is_lost_right_after_a_planned_replacement(second, seed):
    # Guards against a host that stays a voter after its planned stop: with the
    # next loss, two of four voters are left and commit nothing.
    assert (
        slowest_acknowledgement_s('replace-planned', second, seed)
        < ACKNOWLEDGEMENT_BOUND_S
    )


@pytest.mark.parametrize(('first', 'second'), SAMPLED)
def test_change_is_acknowledged_after_two_troubles(first, second):
    # Guards against a fault whose effects break the recovery from the next.
    assert slowest_acknowledgement_s(first, second, 1) < ACKNOWLEDGEMENT_BOUND_S
