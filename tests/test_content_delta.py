"""Differences between versions of a configuration."""

import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.control_group import large_configuration

from kumquatrun.control.configuration_history import (
    MAX_BYTES,
    MAX_VERSIONS,
    ConfigurationHistory,
)
from kumquatrun.control.content_delta import apply_content_delta, encode_delta

CONTENT = st.lists(st.sampled_from([b'a', b'b', b'c', b'{', b'}'])).map(
    b''.join
)


@given(CONTENT, CONTENT)
def test_delta_round_trip(base, content):
    # Guards against a configuration that is read back differently.
    assert apply_content_delta(base, encode_delta(base, content)) == content


@pytest.mark.parametrize('routes', [400, 3000])
def test_delta_size(routes):
    # Guards against changes that cost as much as the whole configuration.
    before = large_configuration(1, routes)
    after = large_configuration(2, routes, changed=routes // 2)
    assert len(encode_delta(before, after)) < 1024


def test_delta_of_another_base_is_refused():
    # Guards against a configuration that nobody sent.
    delta = encode_delta(b'a}b}c}d', b'a}b}c}d}e')
    with pytest.raises(ValueError, match='no 4 segments'):
        apply_content_delta(b'a}b', delta)


@pytest.mark.parametrize(
    'delta', [b'', b'x', zlib.compress(b'x'), encode_delta(b'', b'a')[:-3]]
)
def test_damaged_delta_is_refused(delta):
    with pytest.raises((TypeError, ValueError, msgpack.UnpackException)):
        apply_content_delta(b'', delta)


def test_history_limits():
    history = ConfigurationHistory()
    for version in range(1, 2 * MAX_VERSIONS):
        history.add(version, b'x%d' % version)
    newest = 2 * MAX_VERSIONS - 1
    assert history.content_of(newest - MAX_VERSIONS) is None
    assert history.feed_row(newest - 1)[:2] == [newest, newest - 1]
    assert history.feed_row(1)[:2] == [newest, 0]
    history.add(newest + 1, bytes(MAX_BYTES + 1))
    assert history.content_of(newest) is None
    assert len(history.content_of(newest + 1)) == MAX_BYTES + 1
