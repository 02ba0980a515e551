"""Read-only view of a running replica."""

from collections.abc import Callable, Sequence

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.consensus.quorum_changes import has_caught_up
from kumquatrun.consensus.quorum_log import QuorumLog
from kumquatrun.consensus.quorum_node import LogNode
from kumquatrun.daemon.settings import ReplicaSettings
from kumquatrun.errors import NotLeaderError
from kumquatrun.peer import Address
from kumquatrun.peer.directory_messages import ControlGroup, ControlMember
from kumquatrun.runtime.listeners import Listeners


class ReplicaStatus:
    """Role, positions and membership of a replica.

    Attributes
    ----------
    failure
        Error that stopped the replica, for example a failed sync or a
        violated invariant; None while it is well. After most errors the
        replica starts again from its storage.
    """

    def __init__(self, settings: ReplicaSettings) -> None:
        self.failure: Exception | None = None
        self._settings = settings
        self._node: LogNode | None = None
        self._role_listeners = Listeners()
        self._notified_role: tuple = ()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self._is_running and self._node.core.is_leader

    @property
    def leader_id(self) -> str:
        """Return the replica id of the known leader, else an empty string."""
        return self._node.core.election.leader_id if self._is_running else ''

    @property
    def leader_address(self) -> Address | None:
        """Return the address of the known leader."""
        member = self._find_member(self.leader_id)
        if member is not None and member.address:
            return Address.parse(member.address)
        if self._node is not None:
            # A replica that joins has no membership yet.
            learned_address = self._node.learned_addresses.get(self.leader_id)
            if learned_address:
                return Address.parse(learned_address)
        return dict(self._settings.replicas).get(self.leader_id)

    @property
    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the newest membership."""
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
        """Return whether the replica belongs to a group or once did."""
        return self._node is not None and self._node.is_formed

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
        """Return where the group is, a term of 0 before this is a member."""
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
        """Return the identity of the data folder, empty before the start."""
        return self._node.disk_id if self._node else ''

    @property
    def quorum_confirmed_at_s(self) -> float:
        """Return when the newest confirmed heartbeat round was sent.

        Leases are counted from this clock time. Minus infinity if this
        replica is not the leader or no round was confirmed yet.
        """
        if not self.is_leader:
            return float('-inf')
        return self._node.core.require_leader().confirmed_at_s

    def silence_s(self, now_s: float) -> dict[str, float]:
        """Return how long each other member has not answered this leader.

        Empty if this replica is not the leader.
        """
        if not self.is_leader:
            return {}
        progress = self._node.core.require_leader().progress
        return {
            replica_id: now_s - replica_progress.last_reply_s
            for replica_id, replica_progress in progress.items()
        }

    def ready_learners(self) -> Sequence[str]:
        """Return the learners that this leader may make voters."""
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
            raise NotLeaderError('the replica does not run')
        return self._node.core

    def _notify_role_listeners(self) -> None:
        if self._node is None:
            return
        election = self._node.core.election
        current = (election.role, self.leader_id, election.term)
        if current != self._notified_role:
            self._notified_role = current
            self._role_listeners.notify()
