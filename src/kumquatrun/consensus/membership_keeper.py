"""Maintains the membership of the control group without an operator.

On a platform that replaces hosts automatically, a new replica joins as a
learner and is promoted to voter once it has caught up. A voter that no longer
replies is removed if enough voters remain.
"""

import asyncio
import logging

from kumquatrun.consensus.quorum_types import MembershipChange
from kumquatrun.consensus.replica import Replica
from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
CHANGE_TIMEOUT_S = 3.0
# A replica that is frozen or restarts replies again within this time.
MEMBER_SILENCE_LIMIT_S = 6.0
# A group with an even number of voters tolerates no more losses than a group
# with one voter less. Once it has lost a voter, it tolerates one loss less. A
# silent voter is therefore removed sooner from such a group: a group whose lost
# host has been replaced must tolerate the next loss 4 s after the replacement
# started.
EVEN_GROUP_SILENCE_LIMIT_S = 2.5
# Maximum number of voters, and of hosts whose replicas found the group.
MAX_VOTERS = 7


class MembershipKeeper:
    """Promotes learners and removes silent members.

    Parameters
    ----------
    replica
        The replica of this host. Changes are made only while it is the leader.
    clock
        Source of time.
    max_lost_replicas
        Number of simultaneously lost replicas that the group must tolerate.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        max_lost_replicas: int,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._min_voters = 2 * max_lost_replicas + 1
        self._silent_voters: list[str] = []
        self._silent_since_s = 0.0

    async def run(self) -> None:
        """Check the membership at a fixed interval; never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._report_silent_voters()
            change = self.next_change()
            if change is not None:
                await self._apply(change)

    async def leave(self, timeout_s: float) -> None:
        """Leave the group before a planned stop if it has a spare voter.

        The platform stops a host in a planned way after its replacement has
        started. A stopped host that remained a voter would reduce the number
        of losses that the group tolerates until it is removed as silent.
        """
        voters = [member for member in self._replica.members if member.voter]
        if len(voters) > self._min_voters:
            await self._replica.leave(timeout_s)

    def next_change(self) -> MembershipChange | None:
        """Return the next membership change, or None if none is needed."""
        silence_s = self._replica.silence_s(self._clock.now_s())
        if not silence_s:
            return None
        members = self._replica.members
        voters = [member for member in members if member.voter]
        voter_ids = {member.replica_id for member in voters}
        silent = [
            name
            for name, duration_s in silence_s.items()
            if duration_s > self._silence_limit_s(name, voter_ids)
        ]
        # A learner that lags behind must not delay the removal of others.
        for name in self._replica.ready_learners():
            if name not in silent and len(voters) < MAX_VOTERS:
                return MembershipChange('promote', name)
        for replica_id in silent:
            is_spare = len(voters) > self._min_voters
            if replica_id not in voter_ids or is_spare:
                return MembershipChange('remove', replica_id)
        return None

    def _report_silent_voters(self) -> None:
        """Log when the group begins to run with fewer voters, and how long."""
        now_s = self._clock.now_s()
        silent = self._replica.silent_voters(now_s)
        if silent == self._silent_voters:
            return
        log.warning(
            'event=silent_voters replicas=%s before=%s lasted_ms=%d',
            ','.join(silent),
            ','.join(self._silent_voters),
            1000 * (now_s - self._silent_since_s),
        )
        self._silent_voters = silent
        self._silent_since_s = now_s

    def _silence_limit_s(self, name: str, voter_ids: set[str]) -> float:
        count = len(voter_ids)
        is_even = count % 2 == 0 and count > self._min_voters
        if is_even and name in voter_ids:
            return EVEN_GROUP_SILENCE_LIMIT_S
        return MEMBER_SILENCE_LIMIT_S

    async def _apply(self, change: MembershipChange) -> None:
        try:
            await self._replica.change_membership(change, CHANGE_TIMEOUT_S)
        except KumquatrunError as error:
            log.info(
                'event=membership_change_failed action=%s replica=%s error=%r',
                change.action,
                change.replica_id,
                str(error),
            )
            return
        log.info(
            'event=membership_changed action=%s replica=%s',
            change.action,
            change.replica_id,
        )
