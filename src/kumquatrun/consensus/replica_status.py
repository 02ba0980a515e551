"""Read-only status of a replica."""

from collections.abc import Callable, Sequence

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.consensus.quorum_changes import has_caught_up
from kumquatrun.consensus.quorum_log import QuorumLog
from kumquatrun.consensus.quorum_node import LogNode
from kumquatrun.consensus.quorum_progress import Progress
from kumquatrun.consensus.replica_standing import StandingRecord
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import NotLeaderError
from kumquatrun.peer import Address
from kumquatrun.peer.directory_messages import ControlGroup, ControlMember
from kumquatrun.runtime.listeners import Listeners

# Silence after which a voter counts as missing.
VOTER_SILENCE_S = 1.0


class ReplicaStatus:
    """Role, log positions and membership of a replica.

    Attributes
    ----------
    failure
        Error that stopped the node, for example a failed sync or a violated
        invariant; None while the node is working. The replica restarts from
        its storage after a delay.
    standing_record
        How the group counts this replica, and since when.
    """

    def __init__(self, settings: ReplicaSettings) -> None:
        self.failure: Exception | None = None
        self.standing_record = StandingRecord(settings.replica_id)
        self._settings = settings
        self._node: LogNode | None = None
        self._role_listeners = Listeners()
        self._last_notified: tuple = ()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self._is_running and self._node.core.is_leader

    @property
    def leader_id(self) -> str:
        """Return the replica id of the leader; empty if unknown."""
        return self._node.core.election.leader_id if self._is_running else ''

    @property
    def leader_address(self) -> Address | None:
        """Return the address of the leader, or None if it is unknown."""
        member = self._find_member(self.leader_id)
        if member is not None and member.address:
            return Address.parse(member.address)
        if self._node is not None:
            # A joining replica has no membership yet.
            learned_address = self._node.learned_addresses.get(self.leader_id)
            if learned_address:
                return Address.parse(learned_address)
        return dict(self._settings.replicas).get(self.leader_id)

    @property
    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the members in the newest membership."""
        return tuple(
            Address.parse(member.address)
            for member in self.members
            if member.address
        )

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._node.core.term if self._node else 0

    @property
    def is_formed(self) -> bool:
        """Return whether the replica is or was a member of a group."""
        return self._node is not None and self._node.is_formed

    @property
    def is_member(self) -> bool:
        """Return whether the group includes this replica, as it knows."""
        return self._is_running and self._node.is_member

    @property
    def commit_index(self) -> int:
        """Return the last index known to be committed."""
        return self._node.core.entries.commit_index if self._node else 0

    @property
    def applied_index(self) -> int:
        """Return the last index that the state machine has applied."""
        return self._node.applied_index if self._node else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest membership, committed or not."""
        return self._node.core.membership.members if self._node else ()

    @property
    def group(self) -> ControlGroup:
        """Return members and leader of the group.

        The group is empty, with term 0, if this replica has no membership yet.
        """
        members = self.members
        if not members:
            return ControlGroup()
        leader = self.leader_address
        return ControlGroup(
            term=self.term,
            index=self._node.core.entries.membership_index,
            leader=str(leader) if leader else '',
            members=tuple(
                ControlMember(
                    replica_id=member.replica_id,
                    address=member.address,
                )
                for member in members
                if member.address
            ),
        )

    @property
    def disk_id(self) -> str:
        """Return the id of the data folder; empty until the replica starts."""
        return self._node.disk_id if self._node else ''

    @property
    def quorum_confirmed_at_s(self) -> float:
        """Return the send time of the newest round that a quorum confirmed.

        Leases are counted from the time at which the heartbeats were sent, not
        from their confirmation. Returns minus infinity if this replica is not
        the leader or if no round is confirmed yet.
        """
        if not self.is_leader:
            return float('-inf')
        return self._node.core.require_leader().confirmed_at_s

    def silence_s(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last reply of each other replica.

        The keys are replica ids. There are none if this replica is not the
        leader.
        """
        if not self.is_leader:
            return {}
        progress = self._node.core.require_leader().progress
        return {
            replica_id: now_s - replica_progress.last_reply_s
            for replica_id, replica_progress in progress.items()
        }

    def silent_voters(self, now_s: float) -> list[str]:
        """Return the voters that do not count towards a majority now.

        These gave the leader no reply for VOTER_SILENCE_S, or their disk was
        lost and another one joins in its place. There are none if this replica
        is not the leader.
        """
        if not self.is_leader:
            return []
        progress = self._node.core.require_leader().progress
        return [
            member.replica_id
            for member in self.members
            if member.voter
            and member.replica_id in progress
            and _is_silent(member, progress[member.replica_id], now_s)
        ]

    def ready_learners(self) -> Sequence[str]:
        """Return the learners that may be promoted; empty if not the leader."""
        if not self.is_leader:
            return ()
        core = self._node.core
        progress = core.require_leader().progress
        return [
            member.replica_id
            for member in self.members
            if not member.voter
            and member.replica_id in progress
            and has_caught_up(
                core.entries,
                progress[member.replica_id],
                core.timing,
            )
        ]

    def on_role_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of role, leader or term."""
        self._role_listeners.add(listener)

    @property
    def _is_running(self) -> bool:
        return self._node is not None and self.failure is None

    def _find_member(self, replica_id: str) -> Member | None:
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def _require_running(self) -> QuorumLog:
        if not self._is_running:
            raise NotLeaderError('not the leader: the replica is not running')
        return self._node.core

    def _notify_role_listeners(self) -> None:
        if self._node is None:
            return
        election = self._node.core.election
        current = (election.role, self.leader_id, election.term)
        if current != self._last_notified:
            self._last_notified = current
            self._role_listeners.notify()


def _is_silent(member: Member, progress: Progress, now_s: float) -> bool:
    is_replaced = progress.disk_id != member.disk_id
    return is_replaced or now_s - progress.last_reply_s > VOTER_SILENCE_S
