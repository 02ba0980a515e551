"""Replies that reach a replica while it waits to start again."""

import pytest
from tests.test_replica_restart import REFUSED, DiskGroup, follower_of

from kumquatrun.consensus.consensus_messages import VoteReply


@pytest.mark.looptime
async def test_replies_to_the_failed_node_do_not_reach_the_next_one():
    # Guards against messages that answer a node that exists no more.
    async with DiskGroup() as group:
        failing = group.network[follower_of(group)]
        failing._fail(REFUSED)
        failing._on_reply(
            VoteReply(
                term=1,
                sender='x',
                disk_id='x',
                granted=True,
                pre_vote=True,
            ),
        )
        assert not failing._work.is_pending
