"""Replacement of lost hosts by the membership keeper."""

import asyncio
from dataclasses import replace

import pytest
from tests.test_replica import Group, wait_for, wait_for_leader

from kumquatrun.consensus.consensus_messages import EntryKind
from kumquatrun.consensus.membership_keeper import (
    EVEN_GROUP_SILENCE_LIMIT_S,
    MembershipKeeper,
)
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_follower import AppendResult
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.runtime.clock import LoopClock

# The platform counts a host as lost until this time after its replacement
# started.
CATCH_UP_S = 4.0


class GroupWithKeepers(Group):
    """Group with a membership keeper on each host."""

    def __init__(self):
        super().__init__()
        self.keepers = {}

    def build(self, name):
        replica = super().build(name)
        replica._options = replace(replica._options, rejoins=True)
        return replica

    def voters(self):
        """Return the voters in the membership of the newest leader."""
        leaders = [row for row in self.network.values() if row.is_leader]
        newest = max(leaders, key=lambda row: row.term)
        return {row.replica_id for row in newest.members if row.voter}

    def start_keeper(self, name):
        keeper = MembershipKeeper(self.network[name], LoopClock(), 1)
        self.keepers[name] = asyncio.create_task(keeper.run())

    async def lose(self, name):
        self.keepers.pop(name).cancel()
        await self.crash(name)

    async def join(self, name):
        self.storages[name] = MemoryStorage()
        replica = self.build(name)
        replica._settings = replace(
            replica._settings, join=True, listen=self.replicas[0][1]
        )
        await replica.start()
        self.start_keeper(name)

    async def __aenter__(self):
        await super().__aenter__()
        for name in self.network:
            self.start_keeper(name)
        return self

    async def __aexit__(self, *_):
        for task in self.keepers.values():
            task.cancel()
        await super().__aexit__()


@pytest.mark.looptime
@pytest.mark.parametrize('lost_first', ['leader', 'follower'])
@pytest.mark.parametrize('between_s', [0.0, 0.5, 2.0])
async def test_second_loss_after_replacement(lost_first, between_s):
    # Guards against a lost host that remains a voter after its replacement has
    # joined. The loss of another host then leaves two of four voters, and
    # nothing is committed, although three hosts should tolerate one loss.
    async with GroupWithKeepers() as group:
        await group.leader.propose(b'x', 1)
        followers = [
            name for name in group.network if name != group.leader.leader_id
        ]
        lost = followers[0]
        if lost_first == 'leader':
            lost = group.leader.leader_id
        await group.lose(lost)
        await asyncio.sleep(between_s)
        await group.join('r3')
        await asyncio.sleep(CATCH_UP_S)
        leader = await wait_for_leader(group.network.values())
        lost_next = next(
            name
            for name in group.network
            if name not in {'r3', leader.leader_id}
        )
        await group.lose(lost_next)
        await leader.propose(b'y', 2)
        voters = [row.replica_id for row in leader.members if row.voter]
        assert len(voters) == 3
        assert lost not in voters


@pytest.mark.looptime
@pytest.mark.parametrize('frozen', ['r0', 'r1', 'r2', 'r3'])
async def test_removed_silent_voter_rejoins(frozen):
    # Guards against a group that shrinks with each host that is disconnected
    # for a while. The remaining voters then do not tolerate the next loss.
    async with GroupWithKeepers() as group:
        await group.join('r3')
        await wait_for(lambda: len(group.voters()) == 4)
        group.cuts.add(frozen)
        rest = [row for name, row in group.network.items() if name != frozen]
        await asyncio.sleep(EVEN_GROUP_SILENCE_LIMIT_S + 2)
        leader = await wait_for_leader(rest)
        assert {row.replica_id for row in leader.members} == {
            'r0',
            'r1',
            'r2',
            'r3',
        } - {frozen}
        await leader.propose(b'x', 1)
        group.cuts.clear()
        await wait_for(lambda: len(group.voters()) == 4, timeout_s=6)
        assert group.network[frozen].applied_index > 0
        await wait_for(
            lambda: group.network[frozen]._machine.commands == [b'x'],
            timeout_s=1,
        )


@pytest.mark.looptime
async def test_join_request_of_member():
    # Guards against join requests of members that change the membership. The
    # members send them after a time without a leader.
    async with GroupWithKeepers() as group:
        group.cuts.update(group.network)
        await asyncio.sleep(5)
        group.cuts.clear()
        leader = await wait_for_leader(group.network.values())
        await leader.propose(b'x', 2)
        await asyncio.sleep(2)
        assert group.voters() == {'r0', 'r1', 'r2'}


def lag_behind(replica):
    """Make a learner reject each membership entry that includes it."""
    follower = replica._node.core._follower
    accept = follower._accept_entries

    def accept_some(request):
        if any(
            entry.kind is EntryKind.MEMBERS
            and replica._settings.replica_id
            in Membership.decode(entry.data).by_id
            for entry in request.entries
        ):
            return AppendResult(success=False, match_index=request.prev_index)
        return accept(request)

    follower._accept_entries = accept_some


@pytest.mark.looptime
async def test_lagging_learner_does_not_block_removal():
    # Guards against a keeper that repeatedly tries to promote a lagging learner
    # and never removes the lost voter. The next loss then leaves two of four
    # voters.
    async with GroupWithKeepers() as group:
        await group.join('r3')
        await wait_for(lambda: len(group.voters()) == 4)
        leader = await wait_for_leader(group.network.values())
        group.storages['r4'] = MemoryStorage()
        lagging = group.build('r4')
        lagging._settings = replace(
            lagging._settings, join=True, listen=group.replicas[0][1]
        )
        await lagging.start()
        lag_behind(lagging)
        await wait_for(
            lambda: any(row.replica_id == 'r4' for row in leader.members)
        )
        lost = next(
            name
            for name in group.network
            if name not in {'r3', 'r4', leader.leader_id}
        )
        await group.lose(lost)
        await asyncio.sleep(CATCH_UP_S)
        assert group.voters() == {'r0', 'r1', 'r2', 'r3'} - {lost}
