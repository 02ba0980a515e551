"""Counting votes as a candidate, and granting votes as a voter."""

from kumquatrun.consensus.consensus_messages import VoteReply, VoteRequest
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_types import Envelope, HardState, Identity


def candidate_key(replica_id: str, disk_id: str) -> str:
    """Return the identifier of a candidate that a voter stores.

    It contains the disk identity, so that a replacement cannot use a vote that
    was granted in the same term to the replica that it replaces.
    """
    return f'{replica_id}/{disk_id}'


class Campaign:
    """One election campaign of this replica, or its pre-vote."""

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
        """Return whether a majority of the voters granted the vote."""
        return len(self._granted) >= self._membership.majority

    def requests(self, log: EntryLog) -> list[Envelope]:
        """Return the vote requests to all other voters."""
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

    def count_vote(self, reply: VoteReply) -> None:
        """Count a vote if it is for this campaign and from a recorded disk."""
        is_counted = (
            reply.granted
            and reply.pre_vote == self.pre_vote
            and reply.term == self.term
            and self._membership.is_voter(reply.sender, reply.disk_id)
        )
        if is_counted:
            self._granted.add(reply.sender)

    def ranks_below(self, rival: VoteRequest, log: EntryLog) -> bool:
        """Return whether the pre-vote of a rival precedes this campaign.

        The order is: higher term, then more recent log, then smaller replica
        id. Of two campaigns, exactly one therefore ranks below the other.
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
    """Return whether term, earlier vote and log allow granting the vote.

    A pre-vote is for a term that has not started, so an earlier vote does not
    matter.
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
