"""Tests of closing idle connections to agents."""

import asyncio

import pytest

from entry_fakes import FakeSession
from kumquatrun.entry.agent_pool import IDLE_CONNECTION_S, AgentPool
from kumquatrun.entry.placement import LeastLoaded
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime
AGENT = HostRecord(
    host_id='agent-1',
    incarnation='1',
    role='agent',
    address='127.0.0.1:9',
    region='lahore',
    failure_domain='d',
    service='assistant',
)


class Connection:
    def __init__(self, address, identity):
        self.address = address
        self.closed = False

    async def close(self):
        self.closed = True


@pytest.mark.parametrize('is_busy', [False, True])
async def test_only_idle_connection_is_closed(is_busy):
    # Guards against idle connections that stay open, since each open connection
    # costs heartbeats, and against a response that is cut off because its
    # connection looks idle.
    session = FakeSession()
    session.view.agents.append(AGENT)
    pool = AgentPool(session, LoopClock(), LeastLoaded(), Connection)
    connection = pool.client(AGENT)
    pool.begin_dispatch(AGENT, 'a', '1')
    if not is_busy:
        pool.end_dispatch(AGENT, 'a', '1')
    await asyncio.sleep(IDLE_CONNECTION_S / 2)
    pool.prune()
    await asyncio.sleep(0)
    assert not connection.closed
    await asyncio.sleep(IDLE_CONNECTION_S)
    pool.prune()
    await asyncio.sleep(0)
    assert connection.closed is not is_busy
    assert (pool.client(AGENT) is connection) is is_busy
