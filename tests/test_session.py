"""Renewals of a host's lease, in simulated time and without a network."""

import asyncio
from itertools import pairwise

import pytest
from tests.simulated_time import run_simulated

from kumquatrun.control.leases import LEASE_S, RENEW_INTERVAL_S
from kumquatrun.errors import ControlUnreachableError
from kumquatrun.membership.control_client import Session
from kumquatrun.peer import Address
from kumquatrun.peer.node_messages import (
    HostRecord,
    LeaseReply,
    RegisterHost,
    RegisterReply,
)
from kumquatrun.runtime.clock import LoopClock

ROUND_TRIP_S = 0.01
SAMPLE_S = 0.002
# A lease counts from the last time at which a majority confirmed the leader, up
# to a heartbeat interval ago.
GRANTED_S = LEASE_S - 0.1
RECORD = HostRecord(
    host_id='entry-1',
    incarnation='',
    role='entry',
    address='127.0.0.1:1',
    region='r',
    failure_domain='d',
)


class FakeLeaderClient:
    """Tries to reach a leader until the timeout of the call.

    No leader answers during the outage. A host that renews within
    ``feed_delay_s`` after the outage lags behind the feed.
    """

    def __init__(self, outage_starts_at_s, outage_s, feed_delay_s):
        self.feed_leader = self
        self.renewals_s = []
        self._outage_starts_at_s = outage_starts_at_s
        self._outage_ends_at_s = outage_starts_at_s + outage_s
        self._caught_up_s = self._outage_ends_at_s + feed_delay_s
        self._answered = 0

    async def call(self, request, timeout_s):
        clock = LoopClock()
        deadline_s = clock.now_s() + timeout_s
        if not isinstance(request, RegisterHost):
            self.renewals_s.append(clock.now_s())
        if self._outage_starts_at_s <= clock.now_s() < self._outage_ends_at_s:
            if deadline_s < self._outage_ends_at_s:
                await asyncio.sleep(timeout_s)
                raise ControlUnreachableError('no control leader answered')
            await asyncio.sleep(self._outage_ends_at_s - clock.now_s())
        await asyncio.sleep(ROUND_TRIP_S)
        if isinstance(request, RegisterHost):
            return RegisterReply(record=request.record)
        after_outage = clock.now_s() > self._outage_ends_at_s
        self._answered += after_outage
        lags = self._answered > 1 and clock.now_s() < self._caught_up_s
        return LeaseReply(duration_s=0 if lags else GRANTED_S, feed_index=0)

    def stream(self, request):
        raise ControlUnreachableError('no feed in this test')

    def choose_next(self, error, failed):
        """There is only one leader."""

    async def close(self):
        """Nothing is open."""


async def leases_after(outage_s, feed_delay_s=0.0):
    """Return the remaining lease times after an outage, and all renewals.

    The remaining time is sampled every 2 ms; it is negative without a lease.
    """
    clock = LoopClock()
    session = Session(RECORD, (Address('127.0.0.1', 1),), clock)
    outage_starts_at_s = 2.0
    client = FakeLeaderClient(outage_starts_at_s, outage_s, feed_delay_s)
    session._leader_client = client
    await session.start()
    await asyncio.sleep(outage_starts_at_s + outage_s)
    remaining_s = []
    while clock.now_s() < outage_starts_at_s + outage_s + 3:
        await asyncio.sleep(SAMPLE_S)
        remaining_s.append(session._lease_ends_at_s - clock.now_s())
    await session.stop()
    return remaining_s, client.renewals_s


# From less than one renewal, whose timeout is 1 s, up to six renewals. A lease
# counts from the start of the call, so it is shortest if the outage ends just
# before the timeout.
OUTAGES_S = [number / 20 for number in (0, *range(8, 122, 2), 51, 111)]


@pytest.mark.parametrize('outage_s', OUTAGES_S)
@pytest.mark.parametrize('feed_delay_s', [0, 0.1])
def test_duration_of_regained_lease(outage_s, feed_delay_s):
    # Guards against a lease that counts from the start of a long call: it ended
    # before the next renewal and cut off all open requests. A host that lags
    # behind the feed needs the time of two renewals.
    remaining_s, _ = run_simulated(leases_after(outage_s, feed_delay_s))
    gained_s = [
        later_s
        for earlier_s, later_s in pairwise(remaining_s)
        if earlier_s <= 0 < later_s
    ]
    assert len(gained_s) <= 1
    assert all(gain_s > 2 * RENEW_INTERVAL_S for gain_s in gained_s)
    assert remaining_s[-1] > 0


@pytest.mark.parametrize('outage_s', OUTAGES_S)
def test_renewal_attempts_during_outage(outage_s):
    # Guards against a pause after a failed call, in which a leader may already
    # be available again.
    remaining_s, _ = run_simulated(leases_after(outage_s))
    assert sum(each_s <= 0 for each_s in remaining_s) * SAMPLE_S < 0.1


@pytest.mark.parametrize('outage_s', [0, 1, 6])
def test_renewal_rate(outage_s):
    # Guards against hosts that all renew without a pause after an outage.
    _, renewals_s = run_simulated(leases_after(outage_s))
    pauses_s = [
        later_s - earlier_s for earlier_s, later_s in pairwise(renewals_s)
    ]
    assert min(pauses_s) > RENEW_INTERVAL_S - SAMPLE_S
