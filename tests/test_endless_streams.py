"""Streams of backend servers that do not end, and callers that read slowly."""

import time

import pytest

from kumquatrun.agent.sse import EventSplitter


@pytest.mark.parametrize('line_end', [b'', b'\r', b'\n'])
def test_time_to_split_an_event_grows_with_its_size_only(line_end):
    # Guards against an event in many small reads that blocks the loop: each
    # read copied and searched all that had come before.
    splitter = EventSplitter()
    splitter.feed(b'data: ')
    piece = b'x' * 64 + line_end
    started_s = time.process_time()
    for _ in range(1_000_000 // len(piece)):
        splitter.feed(piece)
    assert time.process_time() - started_s < 0.5
