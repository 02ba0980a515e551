"""Standing of a replica in its group, as the replica itself knows it."""

import logging
from enum import StrEnum

from kumquatrun.consensus.quorum_node import LogNode
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)


class Standing(StrEnum):
    """How the group counts a replica."""

    VOTER = 'voter'
    LEARNER = 'learner'
    OUTSIDE = 'outside'


def standing_of(node: LogNode, replica_id: str) -> Standing:
    """Return how the group counts the disk of a replica."""
    if not node.is_member:
        return Standing.OUTSIDE
    if node.core.membership.is_voter(replica_id, node.disk_id):
        return Standing.VOTER
    return Standing.LEARNER


class StandingRecord:
    """The present standing and the time since which it holds."""

    def __init__(self, replica_id: str) -> None:
        self._replica_id = replica_id
        self.standing = Standing.OUTSIDE
        self.since_s: float | None = None

    def update(self, node: LogNode, now_s: float) -> None:
        """Log a change of the standing."""
        standing = standing_of(node, self._replica_id)
        since_s = now_s if self.since_s is None else self.since_s
        if self.since_s is not None and standing is self.standing:
            return
        log_event(
            log,
            'replica_standing',
            replica=self._replica_id,
            standing=standing,
            before=self.standing,
            lasted_ms=round(1000 * (now_s - since_s)),
            term=node.core.term,
            leader=node.core.election.leader_id,
        )
        self.standing = standing
        self.since_s = now_s

    def outside_s(self, now_s: float) -> float:
        """Return for how long the replica has been outside its group."""
        if self.standing is not Standing.OUTSIDE or self.since_s is None:
            return 0.0
        return now_s - self.since_s
