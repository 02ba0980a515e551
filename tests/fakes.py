"""Fakes that several test files share."""

import asyncio
import itertools

from kumquatrun.document.document import Document, ServiceKind, ServiceSpec
from kumquatrun.errors import ControlUnreachableError
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import (
    AcquireLoadSlot,
    HostRecord,
    LoadSlotReply,
    ReleaseLoadSlot,
)

INCARNATION = 'agent-1'


class FakeControl:
    """Leader with ``free_slots`` load slots that records all messages."""

    def __init__(self, free_slots=8):
        self.free_slots = free_slots
        self.messages = []
        self.is_reachable = True
        self.release_delay_s = 0
        self._ids = itertools.count(1)

    async def call(self, request, timeout_s):
        if not self.is_reachable:
            raise ControlUnreachableError('no leader')
        self.messages.append(request)
        if isinstance(request, AcquireLoadSlot):
            if not self.free_slots:
                return LoadSlotReply(slot_id='', retry_after_s=0.05)
            self.free_slots -= 1
            return LoadSlotReply(slot_id=f'slot-{next(self._ids)}')
        if isinstance(request, ReleaseLoadSlot):
            await asyncio.sleep(self.release_delay_s)
            self.free_slots += 1
        return Ack()

    def sent(self, kind):
        return [msg for msg in self.messages if isinstance(msg, kind)]


class FakeView:
    def __init__(self, document):
        self.document = document


class FakeSession:
    """Session of a node whose lease tests can end."""

    def __init__(self, kind=ServiceKind.ENGINE, service='assistant'):
        self.record = HostRecord(
            host_id='host-a',
            incarnation=INCARNATION,
            role='agent',
            address='127.0.0.1:0',
            region='r1',
            failure_domain='d1',
            service=service,
            fencing_number=5,
        )
        spec = ServiceSpec(name=service, kind=kind)
        self.view = FakeView(Document(environment='trial', services=(spec,)))
        self.control = FakeControl()
        self.has_lease = True
        self.listeners = []
        self.agent_source = None

    def lease_valid(self):
        return self.has_lease

    def set_lease(self, has_lease):
        self.has_lease = has_lease
        self.notify()

    def notify(self):
        for listener in self.listeners:
            listener()

    def on_change(self, listener):
        self.listeners.append(listener)

    def report_agent(self, source):
        self.agent_source = source

    def report_budgets(self, source):
        """Not used by agents."""


async def eventually(check, timeout_s=3):
    """Wait until ``check`` holds; fails the test if it never does."""
    for _ in range(int(timeout_s / 0.01)):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('condition was never met')
