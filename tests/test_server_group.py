"""Servers of one process that drain and stop concurrently."""

import asyncio

import pytest

from kumquatrun.gateway.roles.server_group import ServerGroup


class Server:
    def __init__(self, duration_s=0.0, error=None):
        self.duration_s = duration_s
        self.error = error
        self.ended = []

    async def start(self):
        self.ended.append('start')

    async def drain(self, timeout_s):
        await self._end('drain')

    async def stop(self):
        await self._end('stop')

    async def _end(self, step):
        await asyncio.sleep(self.duration_s)
        self.ended.append(step)
        if self.error is not None:
            raise self.error


@pytest.mark.looptime
async def test_servers_stop_concurrently():
    # Guards against open requests that are aborted because the server for the
    # operator used up the time of a planned stop before them.
    servers = [Server(0.2), Server(0.3)]
    group = ServerGroup(*servers)
    await group.start()
    loop = asyncio.get_running_loop()
    for step in (group.drain(8), group.stop()):
        began_s = loop.time()
        await step
        assert loop.time() - began_s < 0.31
    assert all(row.ended == ['start', 'drain', 'stop'] for row in servers)


@pytest.mark.looptime
@pytest.mark.parametrize('step', ['drain', 'stop'])
async def test_failing_server_does_not_cut_others(step):
    # Guards against requests without a response because the stop of another
    # server of the process failed.
    failing, other = Server(error=OSError('failed')), Server(0.2)
    group = ServerGroup(failing, other)
    call = group.drain(8) if step == 'drain' else group.stop()
    with pytest.raises(OSError, match='failed'):
        await call
    assert other.ended == [step]
