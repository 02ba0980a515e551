"""Votes: counting them as a candidate and granting them as a voter."""

from kumquatrun.consensus.consensus_messages import VoteReply, VoteRequest
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_types import Envelope, HardState, Identity


def candidate_key(replica_id: str, disk_id: str) -> str:
    """Return the durable name of a candidate.

    It contains the disk, so that a replacement in the same term does not use
    the vote that was given to the replica it replaces.
    """
    return f'{replica_id}/{disk_id}'


class Campaign:
    """One election or pre-election of this replica."""

    def __init__(
        self,
        identity: Identity,
        membership: Membership,
        term: int,
        *,
        pre_vote: bool,
        handed_over: bool = False,
    ) -> None:
        self.term = term
        self.pre_vote = pre_vote
        self._handed_over = handed_over
        self._identity = identity
        self._membership = membership
        self._granted: set[str] = set()
        if membership.is_voter(identity.replica_id, identity.disk_id):
            self._granted.add(identity.replica_id)

    @property
    def is_won(self) -> bool:
        """Return whether a majority of voters granted the vote."""
        return len(self._granted) >= self._membership.majority

    def requests(self, log: EntryLog) -> list[Envelope]:
        """Return the requests to all other voters."""
        return [
            Envelope(
                voter,
                VoteRequest(
                    term=self.term,
                    sender=self._identity.replica_id,
                    disk_id=self._identity.disk_id,
                    voter_disk_id=disk_id,
                    last_index=log.last_index,
                    last_term=log.last_term,
                    pre_vote=self.pre_vote,
                    handed_over=self._handed_over,
                ),
            )
            for voter, disk_id in self._membership.voters.items()
            if voter != self._identity.replica_id
        ]

    def record(self, reply: VoteReply) -> None:
        """Count a vote of a recorded disk for this campaign."""
        is_counted = (
            reply.granted
            and reply.pre_vote == self.pre_vote
            and reply.term == self.term
            and self._membership.is_voter(reply.sender, reply.disk_id)
        )
        if is_counted:
            self._granted.add(reply.sender)

    def ranks_below(self, rival: VoteRequest, log: EntryLog) -> bool:
        """Return whether a rival's pre-vote goes before this campaign.

        A higher term goes first, then a longer log, then the smaller id, so
        that of two campaigns exactly one ranks below the other.
        """
        own_rank = (self.term, log.last_term, log.last_index)
        rival_rank = (rival.term, rival.last_term, rival.last_index)
        if rival_rank != own_rank:
            return rival_rank > own_rank
        return rival.sender < self._identity.replica_id


def may_grant(
    request: VoteRequest,
    hard_state: HardState,
    log: EntryLog,
) -> bool:
    """Return whether terms, earlier vote and log allow the vote.

    A pre-vote asks for a term that does not exist yet, so an earlier vote does
    not matter for it.
    """
    if request.pre_vote:
        in_term = request.term > hard_state.term
    else:
        in_term = request.term == hard_state.term and hard_state.voted_for in {
            '',
            candidate_key(request.sender, request.disk_id),
        }
    candidate_log = (request.last_term, request.last_index)
    return in_term and candidate_log >= (log.last_term, log.last_index)
