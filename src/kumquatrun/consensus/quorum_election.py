"""Role, term and elections of one replica."""

import logging
import random
from dataclasses import replace

from kumquatrun.consensus.consensus_messages import (
    HandOver,
    VoteReply,
    VoteRequest,
)
from kumquatrun.consensus.quorum_entries import EntryLog, LogInvariantError
from kumquatrun.consensus.quorum_types import (
    Envelope,
    HardState,
    Identity,
    Timing,
)
from kumquatrun.consensus.quorum_votes import Campaign, candidate_key, may_grant
from kumquatrun.runtime.statechart import load_chart

log = logging.getLogger(__name__)


class Election:
    """Role, durable vote and election campaigns of a replica.

    Attributes
    ----------
    role
        State of the state chart ``replica``.
    hard_state
        Current term and vote.
    leader_id
        Replica id of the leader of the current term; empty if unknown.
    due_s
        Time of the next campaign; postponed by messages of the leader and by
        granted votes.
    """

    def __init__(
        self,
        identity: Identity,
        entries: EntryLog,
        hard_state: HardState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.hard_state = hard_state
        self.leader_id = ''
        self._chart = load_chart('replica')
        self.role = self._chart.initial
        self._identity = identity
        self._log = entries
        self._timing = timing
        self._rng = rng
        self._campaign: Campaign | None = None
        self._messages: list[Envelope] = []
        self._leader_contact_s = float('-inf')
        self.due_s = now_s
        self._reset_timeout(now_s)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of the current term."""
        return self.role == 'leader'

    def take_messages(self) -> list[Envelope]:
        """Return the messages to send and clear the queue."""
        messages = self._messages
        self._messages = []
        return messages

    def tick(self, now_s: float) -> None:
        """Start a campaign when the election timeout has expired."""
        if now_s < self.due_s:
            return
        if self._chart.accepts(self.role, 'election_timeout'):
            self._start_pre_vote(now_s)
        else:
            # A replica without a vote can't replace the leader, but it must
            # look for the group again.
            self.leader_id = ''
            self._reset_timeout(now_s)

    def match_role_to_membership(self, now_s: float) -> None:
        """Update the role after a change of the membership.

        A replica that is removed by an uncommitted entry keeps its role,
        because its vote may be needed to commit that entry.
        """
        own = (self._identity.replica_id, self._identity.disk_id)
        is_voter = self._log.membership.is_voter(
            *own,
        ) or self._log.committed_membership.is_voter(*own)
        if is_voter and self._chart.accepts(self.role, 'became_voter'):
            self._transition('became_voter', now_s)
            if len(self._log.membership.voters) == 1:
                self.due_s = now_s
        elif not is_voter and self.role != 'learner':
            self._transition('membership_lost', now_s)

    def step_down(self, now_s: float) -> None:
        """Step down as leader because the majority was lost."""
        log.warning('event=majority_lost term=%s', self.term)
        self._transition('majority_lost', now_s)

    def adopt_term(self, term: int, now_s: float) -> None:
        """Adopt a higher term; other terms have no effect."""
        if term > self.term:
            self.hard_state = HardState(term)
            self.leader_id = ''
            self._transition('higher_term', now_s)

    def record_leader_contact(
        self, term: int, sender: str, now_s: float
    ) -> None:
        """Record a message of the leader of ``term``.

        ``term`` must not be lower than the current term.

        Raises
        ------
        LogInvariantError
            If the term already has another leader.
        """
        self.adopt_term(term, now_s)
        if self.is_leader or self.leader_id not in {'', sender}:
            raise LogInvariantError(
                f'{sender} is a second leader of term {term}',
            )
        self._transition('leader_heard', now_s)
        self.leader_id = sender
        self._leader_contact_s = now_s
        self._reset_timeout(now_s)

    def on_vote_request(
        self,
        request: VoteRequest,
        confirmed_at_s: float,
        now_s: float,
    ) -> VoteReply:
        """Grant or refuse a vote.

        ``confirmed_at_s`` is the send time of the newest heartbeat round that
        a majority confirmed; minus infinity if this replica is not the leader.
        """
        granted = False
        leader_contact_s = max(self._leader_contact_s, confirmed_at_s)
        if not self._must_refuse(request, leader_contact_s, now_s):
            if not request.pre_vote:
                self.adopt_term(request.term, now_s)
            granted = self._may_grant(request)
        if granted and request.pre_vote:
            self._defer_to_rival(request, now_s)
        elif granted:
            self.hard_state = replace(
                self.hard_state,
                voted_for=candidate_key(request.sender, request.disk_id),
            )
            self._reset_timeout(now_s)
        return VoteReply(
            term=request.term if granted else self.term,
            sender=self._identity.replica_id,
            disk_id=self._identity.disk_id,
            granted=granted,
            pre_vote=request.pre_vote,
        )

    def on_vote_reply(self, reply: VoteReply, now_s: float) -> None:
        """Count a vote."""
        if not reply.granted:
            self.adopt_term(reply.term, now_s)
        if self._campaign is not None:
            self._campaign.count_vote(reply)
            self._check_campaign(now_s)

    def on_hand_over(self, request: HandOver, now_s: float) -> None:
        """Start an election if the current leader requests it."""
        is_current = request.term == self.term
        if not is_current or request.sender != self.leader_id:
            return
        if self._chart.accepts(self.role, 'leadership_offered'):
            self.leader_id = ''
            self._start_election('leadership_offered', now_s, handed_over=True)

    def _may_grant(self, request: VoteRequest) -> bool:
        return may_grant(request, self.hard_state, self._log)

    def _must_refuse(
        self,
        request: VoteRequest,
        leader_contact_s: float,
        now_s: float,
    ) -> bool:
        if request.voter_disk_id != self._identity.disk_id:
            return True
        is_unsolicited = request.pre_vote or not request.handed_over
        return (
            is_unsolicited
            and now_s - leader_contact_s < self._timing.election_min_s
        )

    def _defer_to_rival(self, rival: VoteRequest, now_s: float) -> None:
        """Delay the campaign of this replica after granting a rival's pre-vote.

        If two replicas request pre-votes from each other, the one that ranks
        lower ends its campaign, so that they do not split the vote. No replica
        refuses a pre-vote because of its own campaign. The campaign of this
        replica is delayed by at most a heartbeat interval, so that a rival that
        is killed or disconnected does not block the election.
        """
        campaign = self._campaign
        is_pre_voting = campaign is not None and campaign.pre_vote
        if is_pre_voting and campaign.ranks_below(rival, self._log):
            self._transition('rival_preferred', now_s)
        self.due_s = max(self.due_s, now_s + self._timing.heartbeat_s)

    def _start_pre_vote(self, now_s: float) -> None:
        self.leader_id = ''
        self._transition('election_timeout', now_s)
        self._campaign_for(self.term + 1, now_s, pre_vote=True)

    def _start_election(
        self,
        event: str,
        now_s: float,
        *,
        handed_over: bool = False,
    ) -> None:
        """Start a campaign for votes, as opposed to pre-votes."""
        self._transition(event, now_s)
        own = self._identity
        own_vote = candidate_key(own.replica_id, own.disk_id)
        self.hard_state = HardState(self.term + 1, own_vote)
        self._campaign_for(
            self.term,
            now_s,
            pre_vote=False,
            handed_over=handed_over,
        )

    def _campaign_for(
        self,
        term: int,
        now_s: float,
        *,
        pre_vote: bool,
        handed_over: bool = False,
    ) -> None:
        self._reset_timeout(now_s)
        self._campaign = Campaign(
            self._identity,
            self._log.membership,
            term,
            pre_vote=pre_vote,
            handed_over=handed_over,
        )
        self._messages.extend(self._campaign.requests(self._log))
        self._check_campaign(now_s)

    def _check_campaign(self, now_s: float) -> None:
        campaign = self._campaign
        if campaign is None or not campaign.is_won:
            return
        if campaign.pre_vote:
            self._start_election('pre_votes_won', now_s)
        else:
            self._transition('votes_won', now_s)
            self.leader_id = self._identity.replica_id

    def _transition(self, event: str, now_s: float) -> None:
        previous_role = self.role
        self.role = self._chart.next_state(previous_role, event)
        if self.role == previous_role:
            return
        if previous_role == 'leader':
            self.leader_id = ''
            self._reset_timeout(now_s)
        if self.role not in {'pre_candidate', 'candidate'}:
            self._campaign = None
        log.info(
            'event=role_changed role=%s term=%s replica=%s',
            self.role,
            self.term,
            self._identity.replica_id,
        )

    def _reset_timeout(self, now_s: float) -> None:
        timeout_s = self._rng.uniform(
            self._timing.election_min_s,
            self._timing.election_max_s,
        )
        self.due_s = now_s + timeout_s
