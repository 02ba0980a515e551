"""Limits for clients, and whose bytes are released first."""

import pytest

from kumquatrun.runtime.client_memory import (
    MIB,
    ClientMemory,
    client_limits,
)


class Holder:
    """Fake connection that releases its bytes at once."""

    def __init__(self, memory, client, can_release=True):
        self.client = client
        self.held_bytes = 0
        self.is_released = False
        self._memory = memory
        self._can_release = can_release
        memory.add(self)

    def release(self):
        if not self._can_release or self.is_released:
            return ''
        self.is_released = True
        self._memory.change(self, -self.held_bytes)
        return 'released'


def test_heaviest_client_is_released_first():
    # Guards against an ordinary caller that pays for one without limits, also
    # if that one spreads its bytes over many connections.
    memory = ClientMemory(100)
    ordinary = Holder(memory, 'ordinary')
    crowd = [Holder(memory, 'crowd') for _ in range(10)]
    memory.change(ordinary, 20)
    for holder in crowd:
        memory.change(holder, 9)
    assert memory.held_bytes <= 100
    assert not ordinary.is_released
    assert 1 <= sum(holder.is_released for holder in crowd) <= 3


def test_requests_that_were_sent_are_not_released():
    # Guards against a request that is cut although a backend server runs it.
    memory = ClientMemory(100)
    sent = Holder(memory, 'a', can_release=False)
    read = Holder(memory, 'b')
    memory.change(sent, 90)
    memory.change(read, 20)
    assert read.is_released
    assert memory.held_bytes == 90
    memory.remove(sent)
    assert memory.held_bytes == 0


@pytest.mark.parametrize('memory_mb', [1, 128, 160, 300, 440])
@pytest.mark.parametrize('descriptors', [1, 300, 700, 4100])
def test_limits_leave_room_for_a_request_and_for_servers(
    memory_mb, descriptors
):
    # Guards against limits that refuse the largest single request, or that
    # leave no descriptor for backend servers and other hosts.
    limits = client_limits(memory_mb * MIB, descriptors)
    assert limits.held_bytes >= 8 * MIB
    assert 1 <= limits.connections <= max(1, descriptors // 2 + 1000)
    if (memory_mb, descriptors) == (300, 4100):
        assert limits.connections == 3000
