"""Consensus core: roles, elections and the dispatch of messages.

The core does no I/O. Its driver passes in messages and the time, takes an
``Output``, makes its content durable, and reports that with ``mark_saved``.
"""

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from kumquatrun.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from kumquatrun.errors import NotLeaderError
from kumquatrun.quorum_changes import (
    changed_membership,
    has_caught_up,
    next_repair,
)
from kumquatrun.quorum_entries import EntryLog, LogInvariantError
from kumquatrun.quorum_follower import SnapshotReceiver, accept_entries
from kumquatrun.quorum_leader import Identity, Leadership
from kumquatrun.quorum_membership import Membership
from kumquatrun.quorum_types import (
    Barrier,
    ChunkOrder,
    Envelope,
    HardState,
    MembershipChange,
    Output,
    Snapshot,
    SnapshotMeta,
    StoredState,
    Timing,
)
from kumquatrun.quorum_votes import Campaign, candidate_key, may_grant
from kumquatrun.statechart import load_chart

log = logging.getLogger(__name__)


class QuorumLog:
    """One replica of the quorum log.

    Attributes
    ----------
    role
        State of the chart ``replica``.
    leader_id
        Replica id of the leader of the current term, empty if not known.
    entries
        The log in memory.
    """

    def __init__(
        self,
        replica_id: str,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.identity = Identity(replica_id, stored.meta.disk_id)
        snapshot_meta = SnapshotMeta(members=stored.meta.initial)
        if not stored.meta.formed:
            snapshot_meta = SnapshotMeta()
        if stored.snapshot is not None:
            snapshot_meta = stored.snapshot.meta
        self.entries = EntryLog(snapshot_meta, stored.entries)
        self.leader_id = ''
        self.hard_state = stored.meta.hard_state
        self.leadership: Leadership | None = None
        self._chart = load_chart('replica')
        self.role = self._chart.initial
        self._timing = timing
        self._rng = rng
        self._saved_hard_state = self.hard_state
        self._campaign: Campaign | None = None
        self._receiver = SnapshotReceiver()
        self._installed: Snapshot | None = None
        self._messages: list[Envelope | ChunkOrder] = []
        self._leader_heard_s = float('-inf')
        self._election_due_s = now_s
        self._on_message: Mapping[type, Callable[[Any, float], Any]] = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotChunk: self._on_snapshot_chunk,
            SnapshotReply: self._on_snapshot_reply,
            JoinRequest: self._on_join_request,
        }
        self._postpone_election(now_s)
        self._follow_membership(now_s)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.leadership is not None

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log."""
        return self.entries.membership

    def form(self, members: tuple[Member, ...], now_s: float) -> None:
        """Set the initial membership that all its members agreed to."""
        self.entries.set_base_members(Membership(members))
        self._follow_membership(now_s)

    def receive(self, msg: Any, now_s: float) -> Any:
        """Process a message; returns the reply, to be sent after the sync."""
        reply = self._on_message[type(msg)](msg, now_s)
        self._follow_membership(now_s)
        return reply

    def tick(self, now_s: float) -> None:
        """Process the passage of time."""
        leader = self.leadership
        if leader is not None:
            if leader.majority_is_lost(now_s):
                log.warning('event=majority_lost term=%s', self.term)
                self._step('majority_lost', now_s)
                return
            if now_s >= leader.heartbeat_due_s:
                leader.start_round(now_s)
                self._repair(now_s)
        elif now_s >= self._election_due_s:
            self._start_campaign(now_s, pre_vote=True)

    def propose(self, commands: Sequence[bytes], now_s: float) -> range:
        """Append commands to the log; returns their indexes.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        leader = self.require_leader()
        first = self.entries.last_index + 1
        self._append(EntryKind.COMMAND, commands)
        leader.replicate(now_s)
        return range(first, first + len(commands))

    def change_membership(self, change: MembershipChange, now_s: float) -> int:
        """Append a membership change; returns its index.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader, or if it cannot change the
            membership yet; the caller tries again.
        """
        leader = self.require_leader()
        self._require_change_allowed()
        row = leader.progress.get(change.replica_id)
        if change.action == 'promote' and not (
            row and has_caught_up(self.entries, row, self._timing)
        ):
            raise NotLeaderError(
                f'learner {change.replica_id} has not caught up',
                cause='learner_behind',
            )
        changed = changed_membership(self.membership, change)
        return self._append_membership(changed, now_s)

    def start_barrier(self, now_s: float) -> Barrier:
        """Start a heartbeat round that confirms leadership for a read.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        leader = self.require_leader()
        index = max(self.entries.commit_index, leader.first_index)
        return Barrier(self.term, leader.start_round(now_s), index)

    def is_confirmed(self, barrier: Barrier) -> bool:
        """Return whether a majority confirmed the round of a barrier.

        Raises
        ------
        NotLeaderError
            If leadership was lost since the barrier was started.
        """
        leader = self.require_leader()
        if leader.term != barrier.term:
            raise self._not_leader_error()
        return leader.confirmed_round() >= barrier.round_number

    def take_output(self) -> Output:
        """Return what must be sent and made durable since the last call."""
        if self.leadership is not None:
            self._messages.extend(self.leadership.take_messages())
        messages = tuple(self._messages)
        self._messages = []
        hard_state = None
        if self.hard_state != self._saved_hard_state:
            hard_state = self.hard_state
            self._saved_hard_state = hard_state
        # A leader may send entries before its own sync, but nothing may be
        # sent in a term or after a vote that is not durable yet.
        is_early = self.is_leader and hard_state is None
        snapshot = self._installed
        self._installed = None
        truncate_from, entries = self.entries.take_unsaved()
        return Output(
            early_messages=messages if is_early else (),
            hard_state=hard_state,
            snapshot=snapshot,
            truncate_from=truncate_from,
            entries=entries,
            late_messages=() if is_early else messages,
        )

    def mark_saved(self, now_s: float) -> None:
        """Record that the content of the last output is durable."""
        self.entries.mark_saved()
        if self.leadership is not None:
            self.leadership.advance_commit()
            self._follow_membership(now_s)

    def compact(self, meta: SnapshotMeta, keep_entries: int) -> None:
        """Record a stored snapshot and drop entries that it covers."""
        self.entries.snapshot_meta = meta
        self.entries.compact(max(0, meta.last_index - keep_entries))

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        granted = False
        if not self._must_refuse(request, now_s):
            if not request.pre_vote:
                self._adopt_term(request.term, now_s)
            granted = may_grant(request, self.hard_state, self.entries)
        if granted and not request.pre_vote:
            self.hard_state = replace(
                self.hard_state,
                voted_for=candidate_key(request),
            )
            self._postpone_election(now_s)
        return VoteReply(
            term=request.term if granted else self.term,
            sender=self.identity.replica_id,
            disk_id=self.identity.disk_id,
            granted=granted,
            pre_vote=request.pre_vote,
        )

    def _must_refuse(self, request: VoteRequest, now_s: float) -> bool:
        heard_s = self._leader_heard_s
        if self.leadership is not None:
            heard_s = self.leadership.confirmed_at_s
        return (
            request.voter_disk_id != self.identity.disk_id
            or now_s - heard_s < self._timing.election_min_s
        )

    def _on_vote_reply(self, reply: VoteReply, now_s: float) -> None:
        if not reply.granted:
            self._adopt_term(reply.term, now_s)
        if self._campaign is not None:
            self._campaign.record(reply)
            self._check_campaign(now_s)

    def _on_append_request(
        self,
        request: AppendRequest,
        now_s: float,
    ) -> AppendReply:
        success, match_index = False, 0
        if request.term >= self.term:
            self._hear_leader(request, now_s)
            outcome = accept_entries(self.entries, request)
            success, match_index = outcome.success, outcome.match_index
        return AppendReply(
            term=self.term,
            sender=self.identity.replica_id,
            disk_id=self.identity.disk_id,
            success=success,
            match_index=match_index,
            round_number=request.round_number,
        )

    def _on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        self._adopt_term(reply.term, now_s)
        if self.leadership is not None and reply.term == self.term:
            self.leadership.on_append_reply(reply, now_s)

    def _on_snapshot_chunk(
        self,
        chunk: SnapshotChunk,
        now_s: float,
    ) -> SnapshotReply:
        installed = False
        if chunk.term >= self.term:
            self._hear_leader(chunk, now_s)
            installed = self._accept_chunk(chunk)
        return SnapshotReply(
            term=self.term,
            sender=self.identity.replica_id,
            disk_id=self.identity.disk_id,
            last_index=chunk.last_index,
            next_offset=self._receiver.next_offset,
            installed=installed,
            round_number=chunk.round_number,
        )

    def _accept_chunk(self, chunk: SnapshotChunk) -> bool:
        if self.entries.commit_index >= chunk.last_index:
            return True
        if self.entries.term_at(chunk.last_index) == chunk.last_term:
            # The log holds all that the snapshot covers. Discarding it would
            # lose later entries that this replica may have acknowledged.
            self.entries.commit_to(chunk.last_index)
            return True
        snapshot = self._receiver.accept(chunk)
        if snapshot is None:
            return False
        self.entries.reset(snapshot.meta)
        self._installed = snapshot
        return True

    def _on_snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        self._adopt_term(reply.term, now_s)
        if self.leadership is not None and reply.term == self.term:
            self.leadership.on_snapshot_reply(reply, now_s)

    def _on_join_request(self, request: JoinRequest, now_s: float) -> JoinReply:
        accepted = self.leadership is not None and self.leadership.admit(
            request, now_s
        )
        return JoinReply(accepted=accepted)

    def _hear_leader(
        self,
        msg: AppendRequest | SnapshotChunk,
        now_s: float,
    ) -> None:
        self._adopt_term(msg.term, now_s)
        if self.leadership is not None:
            raise LogInvariantError(
                f'{msg.sender} is a second leader of term {msg.term}',
            )
        self._step('leader_heard', now_s)
        self.leader_id = msg.sender
        self._leader_heard_s = now_s
        self._postpone_election(now_s)

    def _adopt_term(self, term: int, now_s: float) -> None:
        if term > self.term:
            self.hard_state = HardState(term)
            self.leader_id = ''
            self._step('higher_term', now_s)

    def _step(self, event: str, now_s: float) -> None:
        before = self.role
        self.role = self._chart.next_state(before, event)
        if self.role != 'leader' and self.leadership is not None:
            self.leadership = None
            self.leader_id = ''
            self._postpone_election(now_s)
        if self.role not in {'pre_candidate', 'candidate'}:
            self._campaign = None
        if self.role != before:
            log.info(
                'event=role_changed role=%s term=%s replica=%s',
                self.role,
                self.term,
                self.identity.replica_id,
            )

    def _postpone_election(self, now_s: float) -> None:
        timeout_s = self._rng.uniform(
            self._timing.election_min_s,
            self._timing.election_max_s,
        )
        self._election_due_s = now_s + timeout_s

    def _start_campaign(self, now_s: float, *, pre_vote: bool) -> None:
        if not self._chart.accepts(self.role, 'election_timeout') and pre_vote:
            self._postpone_election(now_s)
            return
        self.leader_id = ''
        if pre_vote:
            self._step('election_timeout', now_s)
        else:
            self._step('pre_votes_won', now_s)
            own_key = f'{self.identity.replica_id}/{self.identity.disk_id}'
            self.hard_state = HardState(self.term + 1, own_key)
        self._postpone_election(now_s)
        self._campaign = Campaign(
            self.identity,
            self.membership,
            self.term + 1 if pre_vote else self.term,
            pre_vote=pre_vote,
        )
        self._messages.extend(self._campaign.requests(self.entries))
        self._check_campaign(now_s)

    def _check_campaign(self, now_s: float) -> None:
        campaign = self._campaign
        if campaign is None or not campaign.is_won:
            return
        if campaign.pre_vote:
            self._start_campaign(now_s, pre_vote=False)
        else:
            self._lead(now_s)

    def _lead(self, now_s: float) -> None:
        self._step('votes_won', now_s)
        self.leader_id = self.identity.replica_id
        self.leadership = Leadership(
            self.identity,
            self.entries,
            self.term,
            self._timing,
            now_s,
        )
        self.leadership.follow_membership(now_s)
        self._append(EntryKind.NOOP, [b''])
        self.leadership.start_round(now_s)

    def _append(self, kind: EntryKind, rows: Sequence[bytes]) -> None:
        first = self.entries.last_index + 1
        self.entries.append(
            [
                LogEntry(index=index, term=self.term, kind=kind, data=data)
                for index, data in enumerate(rows, first)
            ],
        )

    def _append_membership(self, membership: Membership, now_s: float) -> int:
        log.info(
            'event=membership_appended voters=%s',
            ','.join(sorted(membership.voters)),
        )
        self._append(EntryKind.MEMBERS, [membership.encode()])
        self._follow_membership(now_s)
        if self.leadership is not None:
            self.leadership.replicate(now_s)
        return self.entries.last_index

    def require_leader(self) -> Leadership:
        """Return the state of leadership.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        if self.leadership is None:
            raise self._not_leader_error()
        return self.leadership

    def _not_leader_error(self) -> NotLeaderError:
        return NotLeaderError(f'the leader is {self.leader_id or "unknown"}')

    def _change_is_allowed(self) -> bool:
        leader = self.leadership
        commit_index = self.entries.commit_index
        return leader is not None and commit_index >= max(
            leader.first_index,
            self.entries.membership_index,
        )

    def _require_change_allowed(self) -> None:
        if not self._change_is_allowed():
            raise NotLeaderError(
                'an earlier entry must be committed before the change',
                cause='change_pending',
            )

    def _repair(self, now_s: float) -> None:
        if self._change_is_allowed() and self.leadership is not None:
            changed = next_repair(
                self.entries,
                self.leadership.progress,
                self._timing,
            )
            if changed is not None:
                self._append_membership(changed, now_s)

    def _follow_membership(self, now_s: float) -> None:
        """Match the role and the leader's progress with the membership.

        A replica that is removed by an entry that is not committed yet keeps
        its role: its vote may be needed to commit that entry.
        """
        own = self.identity
        is_voter = self.membership.is_voter(
            own.replica_id, own.disk_id
        ) or self.entries.committed_membership.is_voter(
            own.replica_id,
            own.disk_id,
        )
        if is_voter and self._chart.accepts(self.role, 'became_voter'):
            self._step('became_voter', now_s)
            if len(self.membership.voters) == 1:
                self._election_due_s = now_s
        elif not is_voter and self.role != 'learner':
            self._step('membership_lost', now_s)
        if self.leadership is not None:
            self.leadership.follow_membership(now_s)
