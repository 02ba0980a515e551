"""Leader side of the quorum log: replication, commit and heartbeat rounds."""

import logging

from kumquatrun.consensus.consensus_messages import (
    AppendReply,
    AppendRequest,
    HandOver,
    JoinRequest,
    LogEntry,
    SnapshotReply,
)
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_progress import Progress, SnapshotTransfer
from kumquatrun.consensus.quorum_types import (
    Barrier,
    ChunkToSend,
    Envelope,
    Identity,
    Timing,
)
from kumquatrun.errors import NoCapacityError, NotLeaderError

log = logging.getLogger(__name__)

CHUNK_RETRY_S = 1.0


class Leadership:
    """State of one term as leader.

    Attributes
    ----------
    first_index
        Index of the first entry of the term. Once it is committed, all entries
        of earlier terms are committed too.
    progress
        Replication state by replica id.
    membership
        Membership that ``progress`` was last updated for.
    transferring_until_s
        Proposals are refused until this time because a leadership transfer was
        requested.
    """

    def __init__(
        self,
        identity: Identity,
        entries: EntryLog,
        term: int,
        timing: Timing,
        now_s: float,
    ) -> None:
        self.term = term
        self.first_index = entries.last_index + 1
        self.progress: dict[str, Progress] = {}
        self.round_number = 0
        self.transferring_until_s = float('-inf')
        self.confirmed_at_s = float('-inf')
        self.heartbeat_due_s = now_s
        self._identity = identity
        self._log = entries
        self._timing = timing
        self._elected_s = now_s
        self._round_sent_s: dict[int, float] = {}
        self._outbox: list[Envelope | ChunkToSend] = []
        self.match_progress_to_membership(now_s)

    def take_messages(self) -> list[Envelope | ChunkToSend]:
        """Return the messages to send and clear the queue."""
        messages = self._outbox
        self._outbox = []
        return messages

    def match_progress_to_membership(self, now_s: float) -> None:
        """Update ``progress`` to one entry per other member or joining disk."""
        membership = self._log.membership
        self.membership = membership
        for replica_id in list(self.progress):
            peer = self.progress[replica_id]
            if replica_id not in membership.by_id and not peer.address:
                self.progress.pop(replica_id)
        for member in membership.members:
            peer = self.progress.get(member.replica_id)
            if member.replica_id == self._identity.replica_id:
                continue
            if peer is not None and peer.disk_id == member.disk_id:
                peer.address = ''
            elif peer is None or not peer.address:
                self._add_progress(member.replica_id, member.disk_id, now_s)

    def admit(self, request: JoinRequest, now_s: float) -> bool:
        """Start to replicate to a disk that is not in the membership.

        Refuses the request while the recorded disk of the same replica id
        still replies, so that a second process with the same id cannot replace
        that disk.
        """
        replica_id = request.sender
        peer = self.progress.get(replica_id)
        if replica_id == self._identity.replica_id:
            return False
        if peer is not None and peer.disk_id == request.disk_id:
            return True
        silent_s = now_s - peer.last_reply_s if peer else float('inf')
        if silent_s < self._timing.election_max_s:
            log.warning(
                'event=join_refused replica=%s disk=%s reason=%s',
                replica_id,
                request.disk_id,
                'recorded disk answers',
            )
            return False
        self._add_progress(replica_id, request.disk_id, now_s)
        self.progress[replica_id].address = request.address
        self._send(replica_id, now_s, heartbeat=True)
        return True

    def joining_addresses(self) -> dict[str, str]:
        """Return the addresses of joining disks by replica id."""
        return {
            replica_id: replica.address
            for replica_id, replica in self.progress.items()
            if replica.address
        }

    def start_round(self, now_s: float) -> int:
        """Send a heartbeat to all replicas; return the number of the round."""
        self.round_number += 1
        self._round_sent_s[self.round_number] = now_s
        self._remove_silent_joiners(now_s)
        self.heartbeat_due_s = now_s + self._timing.heartbeat_s
        for replica_id in self.progress:
            self._send(replica_id, now_s, heartbeat=True)
        self._update_confirmed()
        return self.round_number

    def replicate(self, now_s: float) -> None:
        """Send new entries to all replicas that may receive more."""
        for replica_id in self.progress:
            self._send(replica_id, now_s, heartbeat=False)

    def on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        """Update the sender's progress, the rounds and the commit index."""
        peer = self._record_reply(reply, now_s)
        if peer is None:
            return
        if reply.success:
            peer.record_match(reply.match_index)
            self.advance_commit()
        elif not peer.record_rejection(reply.match_index):
            return
        self._send(reply.sender, now_s, heartbeat=peer.probing)

    def on_snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        """Send the next chunk, or entries once the snapshot is installed."""
        peer = self._record_reply(reply, now_s)
        if peer is None or peer.transfer is None:
            return
        if reply.last_index != peer.transfer.meta.last_index:
            return
        if reply.installed:
            peer.transfer = None
            peer.record_match(reply.last_index)
            self.advance_commit()
        else:
            peer.transfer.offset = reply.next_offset
            peer.transfer.sent_s = float('-inf')
        self._send(reply.sender, now_s, heartbeat=False)

    def transfer_leadership(self, now_s: float) -> bool:
        """Send a hand-over request to the voter that replied last.

        Only a voter that has acknowledged the whole log is eligible, so that
        it can win the election. Returns False if no voter is eligible.
        """
        self.transferring_until_s = now_s + self._timing.election_min_s
        successor = max(
            (
                name
                for name, replica in self.progress.items()
                if self._log.membership.is_voter(name, replica.disk_id)
                and replica.match_index == self._log.last_index
                and now_s - replica.last_reply_s < self._timing.election_min_s
            ),
            key=lambda name: self.progress[name].last_reply_s,
            default=None,
        )
        if successor is None:
            return False
        request = HandOver(term=self.term, sender=self._identity.replica_id)
        self._outbox.append(Envelope(successor, request))
        return True

    def check_may_propose(self, now_s: float) -> None:
        """Raise an error if a proposal would not be committed soon.

        Raises
        ------
        NotLeaderError
            If a leadership transfer was requested.
        NoCapacityError
            If too many entries are not committed yet.
        """
        if now_s < self.transferring_until_s:
            raise NotLeaderError('a leadership transfer is in progress')
        waiting = self._log.last_index + 1 - self._log.commit_index
        if waiting > self._timing.max_uncommitted_entries:
            raise NoCapacityError(
                f'{waiting} entries are waiting for a majority of replicas',
                cause='uncommitted_entries',
            )

    def start_barrier(self, now_s: float) -> Barrier:
        """Start a heartbeat round that confirms leadership for a read."""
        # A new leader may not know yet that entries of earlier terms are
        # committed. The first entry of its own term is applied after all of
        # them.
        index = max(self._log.commit_index, self.first_index)
        return Barrier(self.term, self.start_round(now_s), index)

    def confirmed_round(self) -> int:
        """Return the newest round that a majority acknowledged."""
        return self._majority_of('acked_round', self.round_number)

    def majority_is_lost(self, now_s: float) -> bool:
        """Return whether no majority replied for an election timeout."""
        confirmed_s = max(self._elected_s, self.confirmed_at_s)
        return now_s - confirmed_s > self._timing.election_max_s

    def advance_commit(self) -> None:
        """Commit the entries that a majority has saved.

        Entries of earlier terms are committed only together with an entry of
        this term: another leader may still overwrite an entry of an earlier
        term although a majority holds it.
        """
        index = self._majority_of('match_index', self._log.saved_index)
        if self._log.term_at(index) == self.term:
            self._log.commit_to(index)

    @property
    def is_sending_snapshot(self) -> bool:
        """Return whether a snapshot is being sent to any replica."""
        return any(replica.transfer for replica in self.progress.values())

    def _majority_of(self, field: str, own_value: int) -> int:
        membership = self._log.membership
        reached = {
            replica_id: getattr(replica, field)
            for replica_id, replica in self.progress.items()
            if membership.is_voter(replica_id, replica.disk_id)
        }
        reached[self._identity.replica_id] = own_value
        return membership.majority_value(reached)

    def _update_confirmed(self) -> None:
        confirmed = self.confirmed_round()
        confirmed_rounds = [
            sent_round
            for sent_round in self._round_sent_s
            if sent_round <= confirmed
        ]
        for number in confirmed_rounds:
            self.confirmed_at_s = self._round_sent_s.pop(number)

    def _remove_silent_joiners(self, now_s: float) -> None:
        silent = [
            replica_id
            for replica_id, replica in self.progress.items()
            if replica.address
            and now_s - replica.last_reply_s > self._timing.join_silence_s
        ]
        for replica_id in silent:
            self.progress.pop(replica_id)
        if silent:
            self.match_progress_to_membership(now_s)

    def _record_reply(
        self,
        reply: AppendReply | SnapshotReply,
        now_s: float,
    ) -> Progress | None:
        peer = self.progress.get(reply.sender)
        if peer is None or peer.disk_id != reply.disk_id:
            return None
        peer.last_reply_s = now_s
        peer.acked_round = max(peer.acked_round, reply.round_number)
        self._update_confirmed()
        return peer

    def _add_progress(
        self,
        replica_id: str,
        disk_id: str,
        now_s: float,
    ) -> None:
        next_index = self._log.last_index + 1
        self.progress[replica_id] = Progress(disk_id, next_index, now_s)

    def _send(self, receiver: str, now_s: float, *, heartbeat: bool) -> None:
        peer = self.progress[receiver]
        if self._log.term_at(peer.next_index - 1) is None:
            self._send_chunk(receiver, peer, now_s)
            if heartbeat:
                # Index 0 matches every log and commits nothing.
                self._send_append(receiver, 0, ())
            return
        sent = False
        while peer.may_send or (peer.probing and heartbeat and not sent):
            entries = self._log.batch_from(
                peer.next_index, self._timing.append_bytes
            )
            if not entries:
                break
            self._send_append(receiver, peer.next_index - 1, entries)
            peer.record_sent(entries[-1].index)
            sent = True
        if heartbeat and not sent:
            self._send_append(receiver, peer.next_index - 1, ())

    def _send_append(
        self,
        receiver: str,
        prev_index: int,
        entries: tuple[LogEntry, ...],
    ) -> None:
        request = AppendRequest(
            term=self.term,
            sender=self._identity.replica_id,
            disk_id=self._identity.disk_id,
            prev_index=prev_index,
            prev_term=self._log.term_at(prev_index) or 0,
            commit_index=self._log.commit_index,
            round_number=self.round_number,
            entries=entries,
        )
        self._outbox.append(Envelope(receiver, request))

    def _send_chunk(
        self,
        receiver: str,
        peer: Progress,
        now_s: float,
    ) -> None:
        meta = self._log.snapshot_meta
        transfer = peer.transfer
        if transfer is None or transfer.meta != meta:
            transfer = SnapshotTransfer(meta, 0, float('-inf'))
            peer.transfer = transfer
        if now_s - transfer.sent_s < CHUNK_RETRY_S:
            return
        transfer.sent_s = now_s
        self._outbox.append(
            ChunkToSend(
                receiver=receiver,
                meta=meta,
                offset=transfer.offset,
                round_number=self.round_number,
                term=self.term,
            ),
        )
