"""Calls of a leader to overdue hosts, on the clock of the event loop."""

import asyncio

import pytest

from kumquatrun.control import group_announcer
from kumquatrun.control.group_announcer import GroupAnnouncer
from kumquatrun.errors import DeadlineExceededError
from kumquatrun.peer.directory_messages import ControlGroup
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.runtime.clock import LoopClock

HOSTS = 390
SILENT_HOSTS = 130
CALL_LIMIT_S = 1.0


def record(number):
    return HostRecord(
        host_id=str(number),
        incarnation='i',
        role='entry',
        address='10.0.0.1:1',
        region='r',
        failure_domain='d',
        directory_address=f'10.0.{number}.1:{1 + number}',
    )


class Client:
    """Reaches all hosts except the first ``SILENT_HOSTS`` ones."""

    called_at_s = {}
    opened = 0

    def __init__(self, address, identity):
        self.number = address.port - 1
        Client.opened += 1

    async def call(self, request, timeout_s):
        if self.number < SILENT_HOSTS:
            await asyncio.sleep(timeout_s)
            raise DeadlineExceededError('no reply')
        await asyncio.sleep(0.02)
        Client.called_at_s.setdefault(
            self.number, asyncio.get_running_loop().time()
        )
        return Ack()

    async def close(self):
        """Do nothing; no connection is open."""


@pytest.fixture
def announcer(monkeypatch):
    monkeypatch.setattr(group_announcer, 'PeerClient', Client)
    Client.called_at_s = {}
    Client.opened = 0
    return GroupAnnouncer(
        ControlGroup,
        lambda: True,
        Hello(node_id='n', incarnation='i'),
        LoopClock(),
    )


@pytest.mark.looptime
async def test_silent_hosts_do_not_delay_others(announcer):
    # Guards against hosts that are called late by a new leader, because it
    # calls the hosts of a lost failure domain first.
    started_at_s = asyncio.get_running_loop().time()
    announcer.begin_term(map(record, range(HOSTS)))
    running = asyncio.create_task(announcer.run())
    await asyncio.sleep(3)
    running.cancel()
    assert len(Client.called_at_s) == HOSTS - SILENT_HOSTS
    assert max(Client.called_at_s.values()) - started_at_s < CALL_LIMIT_S


@pytest.mark.looptime
async def test_slow_renewals_cause_no_calls(announcer):
    # Guards against a loaded leader that adds to its load by calling all hosts
    # whose renewals wait for it.
    running = asyncio.create_task(announcer.run())
    for _ in range(10):
        for number in range(SILENT_HOSTS, HOSTS):
            announcer.record_contact(record(number))
        await asyncio.sleep(1.4)
    running.cancel()
    assert Client.opened == 0
