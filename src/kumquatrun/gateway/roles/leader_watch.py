"""Reports a control group that has had no leader for long."""

import logging

from kumquatrun.consensus.replica import Replica
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# An election takes about a second; a group without a majority has none.
REPORT_INTERVAL_S = 10.0


class LeaderWatch:
    """Logs at intervals while a replica knows no leader."""

    def __init__(self, now_s: float) -> None:
        self._known_at_s = now_s
        self._report_due_s = now_s + REPORT_INTERVAL_S

    def check(self, replica: Replica, now_s: float) -> None:
        """Log which voters the group needs if it has had no leader for long."""
        if replica.leader_id:
            self._known_at_s = now_s
            self._report_due_s = now_s + REPORT_INTERVAL_S
            return
        if now_s < self._report_due_s:
            return
        self._report_due_s = now_s + REPORT_INTERVAL_S
        voters = [row.replica_id for row in replica.members if row.voter]
        log_event(
            log,
            'group_without_leader',
            level=logging.ERROR,
            lasted_s=round(now_s - self._known_at_s),
            standing=replica.standing_record.standing,
            term=replica.term,
            voters=','.join(sorted(voters)),
            needed=len(voters) // 2 + 1,
        )
