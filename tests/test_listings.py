"""Tests of the listing of backend servers at the leader and at an entry."""

import asyncio

import msgpack
import pytest

from kumquatrun.control.backend_listing import BackendListing
from kumquatrun.errors import ConnectionLostError
from kumquatrun.gateway.backends.backends import BackendRecord, BackendTable
from kumquatrun.gateway.backends.listing_follower import (
    MAX_AGE_S,
    ListingFollower,
    encode_records,
)
from kumquatrun.peer.address import Address
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime

RECORD = BackendRecord(
    backend_id='i-1',
    service='s',
    address=Address('10.0.0.1', 80),
    failure_domain='a',
)


class Platform:
    def __init__(self):
        self.records = [RECORD]
        self.is_up = True
        self.calls = 0

    async def read(self):
        self.calls += 1
        if not self.is_up:
            raise ConnectionLostError('down')
        return encode_records(self.records)


async def test_leader_keeps_list_during_platform_outage():
    platform = Platform()
    listing = BackendListing(platform.read, LoopClock())
    await listing.refresh()
    version = listing.version
    platform.is_up = False
    await asyncio.sleep(3)
    await listing.refresh()
    assert listing.version == version
    assert listing.age_s(LoopClock().now_s()) == pytest.approx(3)


async def test_only_the_leader_reads():
    platform = Platform()
    listing = BackendListing(platform.read, LoopClock())
    leads = []
    task = asyncio.create_task(listing.follow(lambda: bool(leads)))
    await asyncio.sleep(5)
    assert platform.calls == 0
    leads.append(True)
    await asyncio.sleep(5)
    assert 8 <= platform.calls <= 12
    task.cancel()


async def test_entry_uses_the_leaders_list():
    platform = Platform()
    table = BackendTable()
    follower = ListingFollower(table, platform.read, LoopClock())
    follower.receive(encode_records([RECORD]), 0.1)
    task = asyncio.create_task(follower.run())
    for _ in range(10):
        await asyncio.sleep(0.5)
        follower.receive(None, 0.3)
    assert platform.calls == 0
    assert list(table.by_id()) == ['i-1']
    task.cancel()


async def test_entry_without_leader_reads_the_platform():
    # Without a leader, an entry must still detect within 3 s that a backend
    # server is draining, and stop sending requests to it.
    platform = Platform()
    table = BackendTable()
    follower = ListingFollower(table, platform.read, LoopClock())
    follower.receive(encode_records([RECORD]), 0)
    task = asyncio.create_task(follower.run())
    platform.records = []
    await asyncio.sleep(MAX_AGE_S + 0.5)
    assert not table.by_id()
    assert follower.is_empty
    task.cancel()


async def test_row_with_unusable_port_is_skipped():
    # A leader of an earlier version validates ports less strictly; the entry
    # must not reject its whole listing for one invalid row.
    (row,) = msgpack.unpackb(encode_records([RECORD]))
    invalid_row = ['i-0', row[1], '10.0.0.1:99999', *row[3:]]
    table = BackendTable()
    follower = ListingFollower(table, Platform().read, LoopClock())
    follower.receive(msgpack.packb([invalid_row, row]), 0)
    assert list(table.by_id()) == ['i-1']
