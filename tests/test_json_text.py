"""JSON with numbers of too many digits."""

import pytest

from kumquatrun.platform.json_text import parse_json


@pytest.mark.parametrize(
    ('digits', 'expected'),
    [
        (str(2**63 - 1), 2**63 - 1),
        (str(-(2**63)), -(2**63)),
        ('1' * 5000, float('inf')),
        ('-' + '1' * 5000, float('-inf')),
    ],
)
def test_whole_numbers_of_64_bits_stay_whole(digits, expected):
    # Guards against versions that lose their last digits.
    assert parse_json(digits) == expected
    assert type(parse_json(digits)) is type(expected)
