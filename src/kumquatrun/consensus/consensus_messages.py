"""Messages between replicas of the quorum log.

Votes, acknowledgements and membership requests carry the disk identity of their
sender, so that those of an empty replacement are never counted for the replica
that it replaces.
"""

from enum import StrEnum

from kumquatrun.peer.messages import message


class EntryKind(StrEnum):
    """Type of the data in a log entry."""

    NOOP = 'noop'
    COMMAND = 'command'
    MEMBERS = 'members'


@message
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


@message
class Member:
    """One replica as recorded in the membership.

    ``promote`` marks a learner that replaces a lost voter. It is promoted to
    voter as soon as it has caught up.
    """

    replica_id: str
    disk_id: str
    address: str = ''
    voter: bool = True
    promote: bool = False


@message
class VoteRequest:
    """Requests a vote, or a pre-vote that changes no durable state.

    ``handed_over`` is set if the candidate received a ``HandOver`` request of
    the leader. A voter then does not refuse the vote because of a recent
    message of that leader. ``voter_disk_id`` is the disk identity that the
    candidate's membership records for the receiver. A receiver with another
    disk refuses the vote.
    """

    term: int
    sender: str
    disk_id: str
    voter_disk_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    handed_over: bool = False


@message
class HandOver:
    """Requests that a follower start an election immediately.

    A leader that is about to stop sends this request to a voter that has
    acknowledged its whole log.
    """

    term: int
    sender: str


@message
class VoteReply:
    """Answers a vote request.

    ``term`` is the requested term if the vote was granted, otherwise the term
    of the voter.
    """

    term: int
    sender: str
    disk_id: str
    granted: bool
    pre_vote: bool


@message
class AppendRequest:
    """Replicates entries; a request without entries is a heartbeat."""

    term: int
    sender: str
    disk_id: str
    prev_index: int
    prev_term: int
    commit_index: int
    round_number: int
    entries: tuple[LogEntry, ...] = ()


@message
class AppendReply:
    """Answers an append request.

    If ``success`` is true, ``match_index`` is the last index known to match
    the leader's log. Otherwise it is the last index that may match.
    """

    term: int
    sender: str
    disk_id: str
    success: bool
    match_index: int
    round_number: int


@message
class SnapshotChunk:
    """Transfers one part of a snapshot."""

    term: int
    sender: str
    disk_id: str
    last_index: int
    last_term: int
    members: tuple[Member, ...]
    offset: int
    total_bytes: int
    data: bytes
    round_number: int


@message
class SnapshotReply:
    """Answers a chunk with the offset that the receiver expects next."""

    term: int
    sender: str
    disk_id: str
    last_index: int
    next_offset: int
    installed: bool
    round_number: int


@message
class Ballot:
    """A ballot on the initial membership; ballots are ordered by ``rank``."""

    number: int = 0
    proposer: str = ''

    @property
    def rank(self) -> tuple[int, str]:
        """Return the sort key."""
        return self.number, self.proposer


@message
class FormationState:
    """State of a replica during the formation of its group.

    ``initial`` is the membership that the replica has accepted in the ballot
    ``accepted``. It accepts none in ballots that are older than ``promised``.
    ``formed`` is true once the replica belongs to a formed group; ``initial``
    is then the first membership of the group. ``joining`` is true for a replica
    that joins an existing group.
    """

    sender: str
    disk_id: str
    initial: tuple[Member, ...] = ()
    formed: bool = False
    joining: bool = False
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()


@message
class JoinRequest:
    """Requests replication to a disk that is not in the membership."""

    sender: str
    disk_id: str
    address: str


@message
class JoinReply:
    """Reports whether the disk was accepted, and the id of the leader."""

    accepted: bool
    leader_id: str = ''
    leader_address: str = ''


@message
class LeaveRequest:
    """Requests the removal of the sender, a voter that is about to stop."""

    sender: str
    disk_id: str


@message
class LeaveReply:
    """Reports whether the sender of the request is no longer a voter."""

    accepted: bool


CONSENSUS_REQUESTS = (
    AppendRequest,
    FormationState,
    HandOver,
    JoinRequest,
    LeaveRequest,
    SnapshotChunk,
    VoteRequest,
)
