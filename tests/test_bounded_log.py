"""Tests of the bounded log: rate limit, slow and closed readers."""

import logging
import os
import time

import pytest

from kumquatrun.runtime.bounded_log import (
    MAX_UNWRITTEN_BYTES,
    BoundedLogHandler,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for end in (reader, writer):
        try:
            os.close(end)
        except OSError:
            continue


def write(handler, count, text='event=x'):
    for _ in range(count):
        handler.emit(logging.makeLogRecord({'msg': text}))


def test_lines_reach_the_reader(pipe):
    write(BoundedLogHandler(pipe[1]), 3)
    assert os.read(pipe[0], 1000) == b'event=x\n' * 3


def test_excess_lines_are_dropped_and_counted(pipe):
    # Guards against a process that logs without a limit under load.
    handler = BoundedLogHandler(pipe[1], lines_per_s=50, burst_lines=10)
    write(handler, 100)
    assert os.read(pipe[0], 100_000).count(b'\n') <= 12
    assert handler.dropped_lines >= 88
    time.sleep(0.05)
    write(handler, 1)
    assert b'event=log_lines_left_out count=' in os.read(pipe[0], 1000)


def test_slow_reader_does_not_block(pipe):
    # Guards against an event loop that blocks on a slow reader of the log.
    handler = BoundedLogHandler(pipe[1], 10**9, 10**9)
    began_s = time.monotonic()
    write(handler, 4000, 'x' * 1000)
    assert time.monotonic() - began_s < 5
    assert handler.dropped_lines
    assert len(handler._unwritten) <= MAX_UNWRITTEN_BYTES + 2000


def test_closed_reader_drops_lines(pipe):
    handler = BoundedLogHandler(pipe[1])
    os.close(pipe[0])
    write(handler, 3)
    assert not handler._unwritten
