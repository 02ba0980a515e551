"""Configuration follower under configurations in quick succession."""

import asyncio

import pytest
from tests.gateway_fakes import configuration

from kumquatrun.gateway.roles.configuration_follower import (
    MAX_READING_FRACTION,
    ConfigurationFollower,
)
from kumquatrun.platform.requests import PlatformFormat

READ_S = 0.07
# Time from a confirmation until every host obeys a configuration, on the
# deployment with the strictest bound.
APPLY_LIMIT_S = 2.5


class Host:
    """Follower whose clock advances by ``READ_S`` for each parse."""

    def __init__(self):
        self.spent_s = 0.0
        # The process stands still for this time during the next parse.
        self.freeze_s = 0.0
        self.reads = []
        self.configuration = (0, b'')
        self.in_force = []
        self.follower = ConfigurationFollower(
            self, self, self, lambda row: self.in_force.append(row.version)
        )

    def now_s(self):
        return asyncio.get_running_loop().time() + self.spent_s

    def read_configuration(self, content):
        self.spent_s += READ_S + self.freeze_s
        self.freeze_s = 0.0
        self.reads.append(content)
        return PlatformFormat().read_configuration(content)

    def receive(self, version, content=None):
        self.configuration = (
            version,
            content or configuration(version=version),
        )
        self.follower.follow()


@pytest.mark.looptime
async def test_reading_time_is_bounded():
    # Guards against a host that parses each of a series of large
    # configurations, and blocks its event loop all the time.
    host = Host()
    for version in range(1, 51):
        host.receive(version)
        await asyncio.sleep(0.06)
    await asyncio.sleep(1)
    assert host.in_force[-1] == 50
    assert host.in_force == sorted(set(host.in_force))
    passed_s = asyncio.get_running_loop().time()
    assert READ_S * len(host.reads) < MAX_READING_FRACTION * passed_s * 1.3


@pytest.mark.looptime
async def test_single_change_applies_at_once():
    host = Host()
    for version in (1, 2, 3):
        host.receive(version)
        assert host.in_force[-1] == version
        await asyncio.sleep(1)


@pytest.mark.looptime
async def test_unreadable_configuration_is_skipped(caplog):
    # Guards against a host that tries an unreadable configuration again and
    # again, or does not apply the next one.
    host = Host()
    host.receive(1)
    await asyncio.sleep(1)
    host.receive(2, b'{')
    await asyncio.sleep(1)
    host.follower.follow()
    host.receive(3)
    assert host.in_force == [1, 3]


@pytest.mark.looptime
async def test_closed_follower_stops_reading():
    host = Host()
    host.receive(1)
    host.receive(2)
    host.follower.close()
    await asyncio.sleep(2)
    assert host.in_force == [1]


@pytest.mark.looptime
@pytest.mark.parametrize('freeze_s', [0.5, 7, 600])
async def test_freeze_during_a_reading_does_not_delay_the_next(freeze_s):
    # Guards against a host that takes a freeze for the cost of a reading, and
    # after it obeys an old configuration for a multiple of the freeze.
    host = Host()
    host.freeze_s = freeze_s
    host.receive(1)
    host.receive(2)
    await asyncio.sleep(APPLY_LIMIT_S / 2)
    assert host.in_force == [1, 2]
