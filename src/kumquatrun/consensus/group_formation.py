"""Formation of a group: the founders choose one initial membership.

The choice is a single-decree consensus (Paxos). A replica that wants to decide
starts a ballot. Once a quorum has promised the ballot, it proposes a membership:
the one with the highest accepted ballot that the quorum reports, or, if there is
none, the founders that have answered. A membership is chosen once a quorum has accepted
it in one ballot. Any two quorums share a founder, so that no second membership
can be chosen, whichever founders are lost, cut off or replaced.

A founder reports its votes with its state, and votes are stored before they are
reported. An empty replacement joins the group and has no vote.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace
from enum import StrEnum

from kumquatrun.consensus.consensus_messages import (
    Ballot,
    FormationState,
    Member,
)
from kumquatrun.consensus.quorum_types import ReplicaMeta

# The first ballot waits so long for founders that have not answered yet, and a
# founder that is silent for longer is not waited for.
FOUNDER_SILENCE_S = 1.0
# Longer than a ballot takes between regions.
BALLOT_TIMEOUT_S = 0.6


class FormationStep(StrEnum):
    """Next action of a replica during the formation of its group."""

    WAIT = 'wait'
    AGREE = 'agree'
    FORM = 'form'
    JOIN = 'join'
    CONFLICT = 'conflict'


class GroupFormation:
    """Formation of a group, as seen by one replica.

    Parameters
    ----------
    replica_id
        Id of this replica.
    addresses
        Addresses of the known founders by replica id.
    meta
        Stored metadata of this replica.
    joining
        Whether the replica joins an existing group and has no vote.
    quorum
        Number of founders that must accept the membership; more than half of
        all founders, known here or not. By default all in ``addresses``.

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
        quorum: int = 0,
    ) -> None:
        self.meta = meta
        self._replica_id = replica_id
        self._addresses = dict(addresses)
        self._joining = joining
        self._quorum = quorum or len(addresses)
        self._states: dict[str, FormationState] = {}
        self._answered_s: dict[str, float] = {}
        self._began_s: float | None = None
        self._newest_ballot = Ballot()
        self._newest_ballot_s = 0.0
        self._next_meta = meta

    @property
    def peers(self) -> list[str]:
        """Return the other founders."""
        return [name for name in self._addresses if name != self._replica_id]

    def add_initial_member(self, replica_id: str, address: str) -> None:
        """Add a founder; has no effect after the group has formed."""
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
            promised=self.meta.promised,
            accepted=self.meta.accepted,
        )

    def record_state(self, state: FormationState, now_s: float) -> None:
        """Record the formation state of another replica."""
        self._states[state.sender] = state
        self._answered_s[state.sender] = now_s

    def next_step(self, now_s: float) -> FormationStep:
        """Return the next action."""
        if self._began_s is None:
            self._began_s = now_s
            self._newest_ballot_s = now_s
        if self._joining:
            return FormationStep.JOIN
        if any(state.formed for state in self._states.values()):
            is_included = bool(self._formed_with_this_disk())
            return FormationStep.FORM if is_included else FormationStep.JOIN
        if self._has_replaced_disk():
            return FormationStep.CONFLICT
        chosen = self._chosen()
        if chosen:
            is_included = self._includes_this_disk(chosen)
            return FormationStep.FORM if is_included else FormationStep.WAIT
        self._next_meta = self._meta_after_vote(now_s)
        if self._next_meta == self.meta:
            return FormationStep.WAIT
        return FormationStep.AGREE

    def agree(self) -> ReplicaMeta:
        """Return the metadata to store after ``AGREE``."""
        self.meta = self._next_meta
        return self.meta

    def form(self) -> ReplicaMeta:
        """Return the metadata to store after ``FORM`` or a completed join.

        A replica that has joined must not report the membership that it has
        accepted as that of its group: another one may have been chosen.
        """
        initial = self._formed_with_this_disk() or self._chosen()
        self.meta = replace(self.meta, initial=initial, formed=True)
        return self.meta

    def _formed_with_this_disk(self) -> tuple[Member, ...]:
        """Return the membership of a formed group that includes this disk."""
        for state in self._states.values():
            if state.formed and self._includes_this_disk(state.initial):
                return state.initial
        return ()

    def _includes_this_disk(self, members: tuple[Member, ...]) -> bool:
        own = self._replica_id, self.meta.disk_id
        return own in {(row.replica_id, row.disk_id) for row in members}

    def _has_replaced_disk(self) -> bool:
        """Return whether a founder has lost the disk with its votes."""
        disks = {state.sender: state.disk_id for state in self._votes()}
        return any(
            disks.get(member.replica_id, member.disk_id) != member.disk_id
            for state in self._votes()
            for member in state.initial
        )

    def _votes(self) -> list[FormationState]:
        """Return the states of the founders, including this one."""
        others = (row for row in self._states.values() if not row.joining)
        return [*others, self.state()]

    def _chosen(self) -> tuple[Member, ...]:
        """Return the membership that a quorum has accepted, if any."""
        counts: defaultdict[Ballot, int] = defaultdict(int)
        for state in self._votes():
            counts[state.accepted] += 1
            if state.accepted.number and counts[state.accepted] >= self._quorum:
                return state.initial
        return ()

    def _meta_after_vote(self, now_s: float) -> ReplicaMeta:
        """Return the metadata after the next vote that is due."""
        votes = self._votes()
        newest = max(votes, key=lambda state: state.accepted.rank)
        is_newer = newest.accepted.rank > self.meta.accepted.rank
        if is_newer and newest.accepted.rank >= self.meta.promised.rank:
            return self._accept(newest.accepted, newest.initial)
        promised = max(
            (state.promised for state in votes), key=lambda row: row.rank
        )
        if promised.rank > self.meta.promised.rank:
            return replace(self.meta, promised=promised)
        proposal = self._proposal(votes)
        if self._may_propose(votes) and len(proposal) >= self._quorum:
            return self._accept(promised, proposal)
        if self._must_start_ballot(promised, now_s):
            ballot = Ballot(
                number=promised.number + 1, proposer=self._replica_id
            )
            return replace(self.meta, promised=ballot)
        return self.meta

    def _accept(
        self, ballot: Ballot, initial: tuple[Member, ...]
    ) -> ReplicaMeta:
        return replace(
            self.meta, promised=ballot, accepted=ballot, initial=initial
        )

    def _may_propose(self, votes: list[FormationState]) -> bool:
        """Return whether a quorum has promised the ballot of this replica."""
        ballot = self.meta.promised
        is_own = ballot.proposer == self._replica_id
        if not is_own or self.meta.accepted == ballot:
            return False
        return sum(row.promised == ballot for row in votes) >= self._quorum

    def _proposal(self, votes: list[FormationState]) -> tuple[Member, ...]:
        promises = [row for row in votes if row.promised == self.meta.promised]
        newest = max(promises, key=lambda state: state.accepted.rank)
        if newest.initial:
            return newest.initial
        # A founder that is silent now is included as well: it may be cut off
        # only for a moment, and the more members, the more losses are borne.
        disks = {
            row.sender: row.disk_id
            for row in votes
            if row.sender in self._addresses
        }
        return tuple(
            Member(
                replica_id=name,
                disk_id=disks[name],
                address=self._addresses[name],
            )
            for name in sorted(disks)
        )

    def _must_start_ballot(self, newest: Ballot, now_s: float) -> bool:
        """Return whether this replica must start a ballot.

        Of the founders that answer, the one with the smallest id starts first;
        each other one waits longer, so that they do not outbid each other.
        """
        if newest != self._newest_ballot:
            self._newest_ballot = newest
            self._newest_ballot_s = now_s
        founders = self._answering_founders(now_s)
        if len(founders) < self._quorum:
            return False
        waits_for_answers = now_s - self._began_s < FOUNDER_SILENCE_S
        if waits_for_answers and not set(self.peers) <= set(self._states):
            return False
        position = founders.index(self._replica_id)
        if newest.proposer:
            position += 1
        waited_s = now_s - self._newest_ballot_s
        return waited_s >= position * BALLOT_TIMEOUT_S

    def _answering_founders(self, now_s: float) -> list[str]:
        names = [
            state.sender
            for state in self._states.values()
            if not state.joining
            and state.sender in self._addresses
            and now_s - self._answered_s[state.sender] <= FOUNDER_SILENCE_S
        ]
        return sorted((*names, self._replica_id))
