"""Operator actions on the leader: membership of the control replicas."""

import pytest

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.operator_actions import OperatorActions
from kumquatrun.errors import InvalidRequestError
from kumquatrun.peer.operator_messages import OperatorCall


class FakeReplica:
    def __init__(self, members):
        self.members = members
        self.changes = []

    async def change_membership(self, change, timeout_s):
        self.changes.append((change.action, change.replica_id))


LEARNER = Member(replica_id='d', disk_id='disk-d', voter=False)
VOTER = Member(replica_id='d', disk_id='disk-d')

# Members before the call and the changes that it must make.
ADDITIONS = (
    ((), [('add_learner', 'd'), ('promote', 'd')]),
    # A replica that was started with --join is a learner already.
    ((LEARNER,), [('promote', 'd')]),
    # A resend after a lost reply.
    ((VOTER,), []),
)


def add_replica(replica, disk_id='disk-d'):
    actions = OperatorActions(replica, ControlState(), None, 'token', tuple)
    return actions.run(
        OperatorCall(
            action='add_replica',
            operator='ada',
            operation_id='op-1',
            operator_token='token',
            arguments={
                'replica_id': 'd',
                'address': '10.0.0.4:7400',
                'disk_id': disk_id,
            },
        ),
    )


@pytest.mark.parametrize(('members', 'changes'), ADDITIONS)
async def test_replica_becomes_a_voter(members, changes):
    # Guards against a joined replica that can never be made a voter.
    replica = FakeReplica(members)
    reply = await add_replica(replica)
    assert replica.changes == changes
    assert len(reply.result['replicas']) == len(members)


async def test_replica_with_another_disk_is_refused():
    replica = FakeReplica((LEARNER,))
    with pytest.raises(InvalidRequestError, match='disk-d'):
        await add_replica(replica, 'disk-x')
    assert not replica.changes
