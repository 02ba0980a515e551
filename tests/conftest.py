"""Fixtures for all tests, and the list of tests that are known to fail.

``KNOWN-RED.txt`` names tests that fail because of a fault that is not fixed
yet, one ``test: <node id>`` line each. They are not run, and they are printed
at the end of every run.
"""

import gc
from pathlib import Path

import pytest

from kumquatrun.runtime.invariants import set_fatal

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
PREFIX = 'test:'


def known_red_tests():
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    ]


def pytest_collection_modifyitems(config, items):
    listed = set(known_red_tests())
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter):
    for test in known_red_tests():
        terminalreporter.write_line(f'known red, not run: {test}')


@pytest.fixture(autouse=True)
def fatal_invariants():
    """Make violated invariants fatal; tests may disable this."""
    set_fatal(True)


@pytest.fixture(autouse=True, scope='module')
def collected_garbage():
    """Finalize what earlier modules left behind.

    A finalizer that fails has its traceback formatted, which parses a source
    line. In CPython 3.11, that breaks the parse during which the collector ran,
    with ``SystemError: AST constructor recursion depth mismatch``; hypothesis
    parses the modules of its state machines.
    """
    gc.collect()


@pytest.fixture
def frozen_heap():
    """Exclude the objects of earlier tests from garbage collection.

    A full collection takes 0.2 s of processor time once the whole suite is
    loaded, which exceeds the bounds on how long a reader may block the loop.
    """
    gc.freeze()
    yield
    gc.unfreeze()
