"""Tests of background work and listeners that raise unexpected errors."""

import asyncio

import pytest

from kumquatrun.runtime.background import RESTART_DELAY_S, start_background
from kumquatrun.runtime.listeners import Listeners


@pytest.mark.looptime
async def test_work_restarts_after_error(monkeypatch):
    # Guards against a daemon that keeps running without a background task, for
    # example the one that reads the list of backend servers.
    starts = []

    async def work():
        starts.append(asyncio.get_running_loop().time())
        if len(starts) < 3:
            raise ValueError('unexpected')

    async with asyncio.timeout(5):
        await start_background(work)
    assert starts == [0, RESTART_DELAY_S, 2 * RESTART_DELAY_S]


@pytest.mark.looptime
async def test_cancelled_work_ends():
    # Guards against a daemon that cannot stop.
    task = start_background(asyncio.Event().wait)
    await asyncio.sleep(1)
    task.cancel()
    async with asyncio.timeout(1):
        await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


def test_failing_listener_does_not_stop_others():
    # Guards against an error of one listener that hides the change from others.
    called = []
    listeners = Listeners()

    def fail():
        raise ValueError('unexpected')

    for listener in (lambda: called.append(1), fail, lambda: called.append(2)):
        listeners.add(listener)
    listeners.notify()
    listeners.notify()
    assert called == [1, 2, 1, 2]
