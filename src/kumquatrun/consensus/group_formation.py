"""Formation of a group: the initial members agree on their disk identities.

A replica waits until every initial member has reported its disk identity, then
stores this membership. It starts to take part once every member has stored the
same membership. An empty replacement can therefore never form a second group:
its disk is not in the membership that the others stored.

Replicas that discover each other gradually may store memberships of different
sizes. A replica replaces a stored membership only by a larger one that includes
it. Two different groups cannot form as long as any two memberships share a
replica, because that replica cannot have replaced each of the two by the other.
"""

from collections.abc import Mapping
from dataclasses import replace
from enum import StrEnum

from kumquatrun.consensus.consensus_messages import FormationState, Member
from kumquatrun.consensus.quorum_types import ReplicaMeta


class FormationStep(StrEnum):
    """Next action of a replica during the formation of its group."""

    WAIT = 'wait'
    AGREE = 'agree'
    FORM = 'form'
    JOIN = 'join'
    CONFLICT = 'conflict'


class GroupFormation:
    """Formation of a group, as seen by one replica.

    Attributes
    ----------
    meta
        Durable metadata; the caller stores it when it changes.
    """

    def __init__(
        self,
        replica_id: str,
        addresses: Mapping[str, str],
        meta: ReplicaMeta,
        *,
        joining: bool,
    ) -> None:
        self.meta = meta
        self._replica_id = replica_id
        self._addresses = dict(addresses)
        self._joining = joining
        self._states: dict[str, FormationState] = {}

    @property
    def peers(self) -> list[str]:
        """Return the other initial members."""
        return [name for name in self._addresses if name != self._replica_id]

    def add_initial_member(self, replica_id: str, address: str) -> None:
        """Add an initial member; has no effect after the group has formed."""
        if not self.meta.formed:
            self._addresses.setdefault(replica_id, address)

    def state(self) -> FormationState:
        """Return the formation state to send to the peers."""
        return FormationState(
            sender=self._replica_id,
            disk_id=self.meta.disk_id,
            initial=self.meta.initial,
            formed=self.meta.formed,
            joining=self._joining,
        )

    def record_state(self, state: FormationState) -> None:
        """Record the formation state of a peer."""
        if state.sender in self._addresses:
            self._states[state.sender] = state

    def next_step(self) -> FormationStep:
        """Return the next action."""
        if self._joining:
            return FormationStep.JOIN
        if any(state.formed for state in self._states.values()):
            is_included = bool(self._formed_with_this_disk())
            return FormationStep.FORM if is_included else FormationStep.JOIN
        if len(self._states) < len(self.peers):
            return FormationStep.WAIT
        return self._step_after_all_answered()

    def agree(self) -> ReplicaMeta:
        """Return the metadata to store after ``AGREE``."""
        self.meta = replace(self.meta, initial=self._proposal())
        return self.meta

    def form(self) -> ReplicaMeta:
        """Return the metadata to store after ``FORM``."""
        # The group may have formed with a smaller membership than the one that
        # this replica stored last.
        initial = self._formed_with_this_disk() or self.meta.initial
        self.meta = replace(self.meta, initial=initial, formed=True)
        return self.meta

    def _formed_with_this_disk(self) -> tuple[Member, ...]:
        """Return the membership of a formed group that includes this disk."""
        own = self._replica_id, self.meta.disk_id
        for state in self._states.values():
            disks = {
                (member.replica_id, member.disk_id) for member in state.initial
            }
            if state.formed and own in disks:
                return state.initial
        return ()

    def _proposal(self) -> tuple[Member, ...]:
        disks = {name: state.disk_id for name, state in self._states.items()}
        disks[self._replica_id] = self.meta.disk_id
        return tuple(
            Member(
                replica_id=name,
                disk_id=disks[name],
                address=self._addresses[name],
            )
            for name in sorted(self._addresses)
        )

    def _step_after_all_answered(self) -> FormationStep:
        proposal = self._proposal()
        answers = {state.initial for state in self._states.values()}
        stored_members = {member for members in answers for member in members}
        stored_members.update(self.meta.initial)
        known_members = [
            member
            for member in stored_members
            if member.replica_id in self._addresses
        ]
        if not set(known_members) <= set(proposal):
            return FormationStep.CONFLICT
        if len(known_members) < len(stored_members):
            # Another replica knows an initial member that is unknown here.
            return FormationStep.WAIT
        if self.meta.initial != proposal:
            return FormationStep.AGREE
        if answers == {proposal} or not answers:
            return FormationStep.FORM
        return FormationStep.WAIT
