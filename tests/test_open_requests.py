"""Tests of the wait of a drain for open requests."""

import asyncio

from kumquatrun.daemon.open_requests import OpenRequests


async def test_wait_continues_after_timeout(caplog):
    # Guards against a drain that ends at its timeout or when the first request
    # ends, and so interrupts the others.
    requests = OpenRequests()
    with requests.track():
        with requests.track():
            waiting = asyncio.create_task(requests.wait_completed(0.02))
            await asyncio.sleep(0.07)
            assert (
                caplog.messages.count('event=stop_incomplete open_requests=2')
                >= 2
            )
        await asyncio.sleep(0.03)
        assert not waiting.done()
        assert len(requests) == 1
    await asyncio.wait_for(waiting, 1)


async def test_wait_after_idle_period():
    # Guards against an idle event that is still set from an earlier request.
    requests = OpenRequests()
    with requests.track():
        assert len(requests) == 1
    await asyncio.wait_for(requests.wait_completed(1), 1)
    with requests.track():
        waiting = asyncio.create_task(requests.wait_completed(1))
        await asyncio.sleep(0.01)
        assert not waiting.done()
    await asyncio.wait_for(waiting, 1)
