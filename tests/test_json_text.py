"""JSON with values that are nested too deep or have too many digits."""

import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatrun.platform.json_text import (
    ENTRY_DEPTH,
    MAX_DEPTH,
    parse_json,
    parse_json_entries,
)

DEEP = '[' * 5000 + ']' * 5000
texts = st.text('ab[]{}",:\\ \n', max_size=6)
entries = st.recursive(
    st.none() | st.integers(-9, 9) | texts,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=12,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    before=st.lists(entries, max_size=3),
    after=st.lists(entries, max_size=3),
    deep=st.sampled_from([DEEP, f'{{"a": {DEEP}}}', f'["]", {DEEP}]']),
    indent=st.none() | st.integers(0, 2),
)
def test_only_deep_entries_are_dropped(before, after, deep, indent):
    # Guards against a scan that counts brackets in strings as nesting.
    page = {'x': after, 'entries': [*before, 'DEEP', *after], 'y': before}
    text = json.dumps(page, indent=indent).replace('"DEEP"', deep)
    found = parse_json_entries(text)
    assert found == {**page, 'entries': [*before, None, *after]}


@pytest.mark.parametrize(
    ('opening', 'closing'),
    [('[', ']'), ('[1, ', ']'), ('{"a":', '}'), ('{"b": 1, "a" : ', '}')],
)
def test_entry_at_the_depth_limit(opening, closing):
    # Guards against entries whose result depends on the entries next to them.
    levels = MAX_DEPTH - ENTRY_DEPTH
    entry = opening * levels + '1' + closing * levels
    deeper = f'[{entry}]'
    text = f'{{"entries": [{entry}, {deeper}, {DEEP}, 2]}}'
    found = parse_json_entries(text)['entries']
    assert found == [json.loads(entry), None, None, 2]


@pytest.mark.parametrize(
    ('opening', 'closing'),
    [('[', ']'), ('{"a":', '}'), ('{"a": ', '}'), ('[{"a":', '}]')],
)
def test_deep_entry_is_parsed_fast(frozen_heap, opening, closing):
    # Guards against a leader that sends no heartbeats while it parses a page.
    levels = 500_000 // len(opening + closing)
    entry = opening * levels + '1' + closing * levels
    started_s = time.process_time()
    assert parse_json_entries(f'{{"entries": [{entry}]}}') == {
        'entries': [None],
    }
    assert time.process_time() - started_s < 0.1


@pytest.mark.parametrize(
    'text',
    [
        '{"entries": [' + '[' * 5000,
        '{"entries": [' + DEEP,
        '{"entries": [' + DEEP + ', "',
        '{"entries": [' + DEEP + ', "\\',
        '{"entries": [' + DEEP + ']]',
        DEEP + ']' * 10,
        ']' * 10 + DEEP,
        '{"entries": [' + DEEP + '"' + '\\"' * 200_000,
    ],
    ids=['opened', 'list', 'text', 'escape', 'end', 'more', 'ends', 'quotes'],
)
def test_invalid_json_is_an_error(text):
    # Guards against a scan that does not end or that accepts invalid JSON.
    with pytest.raises((ValueError, RecursionError)):
        parse_json_entries(text)


@pytest.mark.parametrize(
    ('digits', 'expected'),
    [
        (str(2**63 - 1), 2**63 - 1),
        (str(-(2**63)), -(2**63)),
        ('1' * 5000, float('inf')),
        ('-' + '1' * 5000, float('-inf')),
    ],
)
def test_integers_of_64_bits_are_exact(digits, expected):
    # Guards against versions that lose their last digits as floats.
    assert parse_json(digits) == expected
    assert type(parse_json(digits)) is type(expected)
