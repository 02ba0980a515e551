"""First start of a group: all initial members agree on their disk identities.

A replica first waits until every initial member has answered with its disk
identity, stores that membership, and takes part once every member has stored
the same one. An empty replacement can therefore never found a second group:
its disk is not in the membership that the others stored.
"""

from collections.abc import Mapping
from dataclasses import replace
from enum import StrEnum

from kumquatrun.consensus.consensus_messages import FormationState, Member
from kumquatrun.consensus.quorum_types import ReplicaMeta


class FormationStep(StrEnum):
    """What a replica does after it heard from its peers."""

    WAIT = 'wait'
    AGREE = 'agree'
    FORM = 'form'
    JOIN = 'join'
    CONFLICT = 'conflict'


class GroupFormation:
    """What one replica knows about the formation of its group.

    Attributes
    ----------
    meta
        Durable facts; the caller stores them when they change.
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
        self._addresses = addresses
        self._joining = joining
        self._states: dict[str, FormationState] = {}

    @property
    def peers(self) -> list[str]:
        """Return the other initial members."""
        return [name for name in self._addresses if name != self._replica_id]

    def state(self) -> FormationState:
        """Return what this replica tells its peers."""
        return FormationState(
            sender=self._replica_id,
            disk_id=self.meta.disk_id,
            initial=self.meta.initial,
            formed=self.meta.formed,
            joining=self._joining,
        )

    def record(self, state: FormationState) -> None:
        """Record what a peer told."""
        if state.sender in self._addresses:
            self._states[state.sender] = state

    def next_step(self) -> FormationStep:
        """Return what to do now; see ``FormationStep``."""
        if self._joining:
            return FormationStep.JOIN
        formed = [state for state in self._states.values() if state.formed]
        if formed:
            agreed = formed[0].initial
            is_included = bool(agreed) and agreed == self.meta.initial
            return FormationStep.FORM if is_included else FormationStep.JOIN
        if len(self._states) < len(self.peers):
            return FormationStep.WAIT
        return self._step_after_all_answered()

    def agree(self) -> ReplicaMeta:
        """Return the facts to store after ``AGREE``."""
        self.meta = replace(self.meta, initial=self._proposal())
        return self.meta

    def form(self) -> ReplicaMeta:
        """Return the facts to store after ``FORM``."""
        self.meta = replace(self.meta, formed=True)
        return self.meta

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
        if answers - {(), proposal} or self.meta.initial not in {(), proposal}:
            return FormationStep.CONFLICT
        if not self.meta.initial:
            return FormationStep.AGREE
        if answers <= {proposal}:
            return FormationStep.FORM
        return FormationStep.WAIT
