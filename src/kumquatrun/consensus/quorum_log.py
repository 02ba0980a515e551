"""Consensus core of one replica: message dispatch and calls to the leader.

The core does no I/O. The driver passes in messages and the time, takes an
``Output``, makes its content durable and confirms this with ``mark_saved``.
"""

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from kumquatrun.consensus.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HandOver,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    LogEntry,
    Member,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from kumquatrun.consensus.quorum_changes import (
    next_join_step,
    requested_membership,
)
from kumquatrun.consensus.quorum_election import Election
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_follower import Follower
from kumquatrun.consensus.quorum_leader import Leadership
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_types import (
    Barrier,
    Identity,
    MembershipChange,
    Output,
    SnapshotMeta,
    StoredState,
    Timing,
)
from kumquatrun.errors import NotLeaderError

log = logging.getLogger(__name__)


class QuorumLog:
    """One replica of the quorum log.

    Attributes
    ----------
    identity
        Replica id and disk identity.
    entries
        The log in memory.
    election
        Role, term, vote and election campaigns.
    leadership
        State as the leader; None if this replica is not the leader.
    timing
        Time limits and batch sizes.
    """

    election_type = Election
    leadership_type = Leadership
    follower_type = Follower

    def __init__(
        self,
        replica_id: str,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        meta = stored.meta
        self.identity = Identity(replica_id, meta.disk_id)
        base = SnapshotMeta(members=meta.initial if meta.formed else ())
        if stored.snapshot is not None:
            base = stored.snapshot.meta
        self.entries = EntryLog(base, stored.entries)
        self.election = self.election_type(
            self.identity,
            self.entries,
            meta.hard_state,
            timing,
            rng,
            now_s,
        )
        self.leadership: Leadership | None = None
        self.timing = timing
        self._saved_hard_state = meta.hard_state
        self._follower = self.follower_type(
            self.identity,
            self.entries,
            self.election,
        )
        self._on_message: Mapping[type, Callable[[Any, float], Any]] = {
            VoteRequest: self._on_vote_request,
            VoteReply: self.election.on_vote_reply,
            AppendRequest: self._follower.on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotChunk: self._follower.on_snapshot_chunk,
            SnapshotReply: self._on_snapshot_reply,
            JoinRequest: self._on_join_request,
            LeaveRequest: self._on_leave_request,
            HandOver: self.election.on_hand_over,
        }
        self._update_leadership(now_s)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.election.term

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.leadership is not None

    @property
    def next_due_s(self) -> float:
        """Return the time of the next heartbeat round or campaign."""
        if self.leadership is not None:
            return self.leadership.heartbeat_due_s
        return self.election.due_s

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log."""
        return self.entries.membership

    def form(self, members: tuple[Member, ...], now_s: float) -> None:
        """Set the initial membership, which all its members have stored."""
        self.entries.set_base_members(Membership(members))
        self._update_leadership(now_s)

    def receive(self, msg: Any, now_s: float) -> Any:
        """Process a message; return the reply, to be sent after the sync."""
        reply = self._on_message[type(msg)](msg, now_s)
        self._update_leadership(now_s)
        return reply

    def tick(self, now_s: float) -> None:
        """Process the timeouts that have expired."""
        leader = self.leadership
        if leader is None:
            self.election.tick(now_s)
        elif leader.majority_is_lost(now_s):
            self.election.step_down(now_s)
        elif now_s >= leader.heartbeat_due_s:
            leader.start_round(now_s)
            self._advance_joins(now_s)
        self._update_leadership(now_s)

    def propose(self, commands: Sequence[bytes], now_s: float) -> range:
        """Append commands to the log; return their indexes.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader or is transferring leadership.
        NoCapacityError
            If too many entries are not committed yet.
        """
        leader = self.require_leader()
        leader.check_may_propose(now_s)
        first = self.entries.last_index + 1
        self._append(EntryKind.COMMAND, commands)
        leader.replicate(now_s)
        return range(first, first + len(commands))

    def change_membership(self, change: MembershipChange, now_s: float) -> int:
        """Append a membership change; return its index.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader. If the cause is not empty, the
            leader cannot make the change yet, and the caller should retry.
        InvalidRequestError, NotFoundError
            If the change does not apply to the membership.
        """
        leader = self.require_leader()
        if not self._change_is_allowed(leader):
            raise NotLeaderError(
                'an earlier entry must be committed before the change',
                cause='change_pending',
            )
        changed = requested_membership(
            self.entries,
            leader.progress,
            change,
            self.timing,
        )
        return self._append_membership(changed, now_s)

    def transfer_leadership(self, now_s: float) -> bool:
        """Request that another voter take over; return False if none can."""
        leader = self.leadership
        return leader is not None and leader.transfer_leadership(now_s)

    def start_barrier(self, now_s: float) -> Barrier:
        """Start a heartbeat round that confirms leadership for a read.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        return self.require_leader().start_barrier(now_s)

    def is_confirmed(self, barrier: Barrier) -> bool:
        """Return whether a majority has confirmed the round of a barrier.

        Raises
        ------
        NotLeaderError
            If this replica lost leadership since the barrier was started.
        """
        leader = self.require_leader()
        if leader.term != barrier.term:
            raise self._not_leader_error()
        return leader.confirmed_round() >= barrier.round_number

    def take_output(self) -> Output:
        """Return what is to be sent and made durable since the last call."""
        messages = list(self.election.take_messages())
        if self.leadership is not None:
            messages.extend(self.leadership.take_messages())
        hard_state = None
        if self.election.hard_state != self._saved_hard_state:
            hard_state = self.election.hard_state
            self._saved_hard_state = hard_state
        # A leader may send entries before its own sync. No message may be sent
        # before the term and the vote that it depends on are durable.
        is_sent_before_sync = self.is_leader and hard_state is None
        truncate_from, entries = self.entries.take_unsaved()
        return Output(
            messages_before_sync=tuple(messages) if is_sent_before_sync else (),
            hard_state=hard_state,
            snapshot=self._follower.take_received_snapshot(),
            truncate_from=truncate_from,
            entries=entries,
            messages_after_sync=() if is_sent_before_sync else tuple(messages),
        )

    def mark_saved(self, now_s: float) -> None:
        """Record that the content of the last output is durable."""
        self.entries.mark_saved()
        if self.leadership is not None:
            self.leadership.advance_commit()
            self._update_leadership(now_s)

    def compact(self, meta: SnapshotMeta, keep_entries: int) -> None:
        """Record a stored snapshot and remove entries that it covers.

        The last ``keep_entries`` of these entries remain in the log.
        """
        self.entries.snapshot_meta = meta
        self.entries.compact(max(0, meta.last_index - keep_entries))

    def require_leader(self) -> Leadership:
        """Return the state as the leader.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        if self.leadership is None:
            raise self._not_leader_error()
        return self.leadership

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        leader = self.leadership
        confirmed_at_s = leader.confirmed_at_s if leader else float('-inf')
        return self.election.on_vote_request(request, confirmed_at_s, now_s)

    def _on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        self.election.adopt_term(reply.term, now_s)
        if self.leadership is not None and reply.term == self.leadership.term:
            self.leadership.on_append_reply(reply, now_s)

    def _on_snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        self.election.adopt_term(reply.term, now_s)
        if self.leadership is not None and reply.term == self.leadership.term:
            self.leadership.on_snapshot_reply(reply, now_s)

    def _on_join_request(self, request: JoinRequest, now_s: float) -> JoinReply:
        leader = self.leadership
        accepted = leader is not None and leader.admit(request, now_s)
        leader_id = self.election.leader_id
        member = self.membership.by_id.get(leader_id)
        return JoinReply(
            accepted=accepted,
            leader_id=leader_id,
            leader_address=member.address if member else '',
        )

    def _on_leave_request(
        self,
        request: LeaveRequest,
        now_s: float,
    ) -> LeaveReply:
        """Remove a voter that is about to stop if the group can spare it.

        The request is repeated; it is accepted once the removal is committed.
        """
        leader = self.leadership
        if leader is None or not self._change_is_allowed(leader):
            return LeaveReply(accepted=False)
        if not self.membership.is_voter(request.sender, request.disk_id):
            return LeaveReply(accepted=True)
        if self.membership.has_spare_voter:
            self._append_membership(
                self.membership.without(request.sender),
                now_s,
            )
        return LeaveReply(accepted=False)

    def _update_leadership(self, now_s: float) -> None:
        """Update the leadership to match the role and the membership."""
        self.election.match_role_to_membership(now_s)
        if not self.election.is_leader:
            self.leadership = None
        elif self.leadership is None:
            self._take_leadership(now_s)
        elif self.leadership.membership is not self.membership:
            self.leadership.match_progress_to_membership(now_s)

    def _take_leadership(self, now_s: float) -> None:
        self.leadership = self.leadership_type(
            self.identity,
            self.entries,
            self.term,
            self.timing,
            now_s,
        )
        self._append(EntryKind.NOOP, [b''])
        self.leadership.start_round(now_s)

    def _append(self, kind: EntryKind, payloads: Sequence[bytes]) -> None:
        first = self.entries.last_index + 1
        self.entries.append(
            [
                LogEntry(index=index, term=self.term, kind=kind, data=payload)
                for index, payload in enumerate(payloads, first)
            ],
        )

    def _append_membership(self, membership: Membership, now_s: float) -> int:
        voters = ','.join(sorted(membership.voters))
        log.info('event=membership_appended voters=%s', voters)
        self._append(EntryKind.MEMBERS, [membership.encode()])
        self._update_leadership(now_s)
        if self.leadership is not None:
            self.leadership.replicate(now_s)
        return self.entries.last_index

    def _change_is_allowed(self, leader: Leadership) -> bool:
        return self.entries.commit_index >= max(
            leader.first_index,
            self.entries.membership_index,
        )

    def _advance_joins(self, now_s: float) -> None:
        leader = self.leadership
        if leader is not None and self._change_is_allowed(leader):
            changed = next_join_step(self.entries, leader.progress, self.timing)
            if changed is not None:
                self._append_membership(changed, now_s)

    def _not_leader_error(self) -> NotLeaderError:
        return NotLeaderError(
            f'not the leader; leader: {self.election.leader_id or "unknown"}'
        )
