"""Messages between replicas of the quorum log.

Every message names the disk identity of its sender, so that the answers of an
empty replacement are never counted for the replica that it replaces.
"""

from enum import StrEnum

from kumquatrun.peer.messages import message


class EntryKind(StrEnum):
    """What a log entry carries."""

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

    ``promote`` marks a learner that takes the place of a lost voter and is
    made a voter as soon as it has caught up.
    """

    replica_id: str
    disk_id: str
    address: str = ''
    voter: bool = True
    promote: bool = False


@message
class VoteRequest:
    """Asks for a vote, or for a pre-vote that changes no durable state.

    A candidate to which the leader has ``handed_over`` gets votes although the
    voters heard that leader a moment ago. ``voter_disk_id`` is the disk identity that the candidate's membership
    records for the addressed voter. A voter with another disk refuses.
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
    """Asks a follower to start an election at once.

    Sent by a leader that is about to stop to a voter that holds its log.
    """

    term: int
    sender: str


@message
class VoteReply:
    """Answers a vote request.

    ``term`` is the requested term if the vote was granted, else the voter's.
    """

    term: int
    sender: str
    disk_id: str
    granted: bool
    pre_vote: bool


@message
class AppendRequest:
    """Sends entries; without entries it is a heartbeat."""

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

    ``match_index`` is the last index known to match the leader's log, or, if
    ``success`` is false, the last index that may match.
    """

    term: int
    sender: str
    disk_id: str
    success: bool
    match_index: int
    round_number: int


@message
class SnapshotChunk:
    """Sends one part of a snapshot."""

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
    """Names the offset that the receiver expects next."""

    term: int
    sender: str
    disk_id: str
    last_index: int
    next_offset: int
    installed: bool
    round_number: int


@message
class FormationState:
    """What a replica knows about the first membership of its group.

    ``initial`` is the membership that the replica has durably agreed to, and
    ``formed`` tells whether it has seen that all initial members agreed.
    """

    sender: str
    disk_id: str
    initial: tuple[Member, ...] = ()
    formed: bool = False
    joining: bool = False


@message
class JoinRequest:
    """Asks the leader to replicate to a disk that is not in the membership."""

    sender: str
    disk_id: str
    address: str


@message
class JoinReply:
    """Tells whether the learner was accepted, and where the leader is."""

    accepted: bool
    leader_id: str = ''
    leader_address: str = ''


@message
class LeaveRequest:
    """Asks the leader to remove a voter that is about to stop."""

    sender: str
    disk_id: str


@message
class LeaveReply:
    """Tells whether the sender of the request is a voter no more."""

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
