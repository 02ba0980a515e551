"""Group commit: joined commands, time between batches, lost leadership."""

import asyncio

import pytest

from kumquatrun.control.command_batcher import CommandBatcher
from kumquatrun.control.commands import decode_batch, encode_results
from kumquatrun.errors import NotLeaderError, OutcomeUnknownError
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import ClearSuspect


class FakeClock:
    def __init__(self):
        self.at_s = 100.0

    def now_s(self):
        return self.at_s


class FakeReplica:
    def __init__(self):
        self.term = 1
        self.batches = []
        self.error = None

    async def propose(self, command, timeout_s):
        batch = decode_batch(command)
        self.batches.append(batch)
        await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error
        return encode_results([Ack()] * len(batch.commands))


@pytest.fixture
def parts():
    clock, replica = FakeClock(), FakeReplica()
    return clock, replica, CommandBatcher(replica, clock)


def command(number):
    return ClearSuspect(host_id='a', fingerprint=str(number))


async def test_concurrent_commands_share_a_batch(parts):
    _, replica, batcher = parts
    await asyncio.gather(*(batcher.commit(command(n)) for n in range(50)))
    assert [len(batch.commands) for batch in replica.batches] in ([50], [1, 49])


async def test_elapsed_time_across_leader_change(parts):
    # Guards against refills for a time in which this replica did not lead.
    clock, replica, batcher = parts
    await batcher.commit(command(1))
    clock.at_s += 2.5
    await batcher.commit(command(2))
    replica.term = 3
    clock.at_s += 60
    await batcher.commit(command(3))
    clock.at_s += 0.0105
    await batcher.commit(command(4))
    assert [batch.elapsed_ms for batch in replica.batches] == [0, 2500, 0, 10]


async def test_idle_leader_advances_time(parts):
    # Guards against a quarantine that never ends in an idle cluster.
    clock, replica, batcher = parts
    await batcher.advance_time(10)
    clock.at_s += 9
    await batcher.advance_time(10)
    clock.at_s += 2
    await batcher.advance_time(10)
    assert [batch.elapsed_ms for batch in replica.batches] == [0, 11_000]


@pytest.mark.parametrize(
    'error', [NotLeaderError('moved'), OutcomeUnknownError('lost')]
)
async def test_failed_batch_fails_each_command(parts, error):
    _, replica, batcher = parts
    replica.error = error
    results = await asyncio.gather(
        *(batcher.commit(command(n)) for n in range(3)), return_exceptions=True
    )
    assert {row.outcome for row in results} == {error.outcome}
