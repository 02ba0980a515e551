"""Replica node without network and timers: core, storage and state machine.

The asyncio driver and the simulated cluster of the tests use the same class.
One cycle consists of any number of ``receive``, ``tick`` and ``core.propose``
calls, followed by ``begin_flush`` and ``finish_flush``.
"""

import logging
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from kumquatrun.consensus.consensus_messages import (
    EntryKind,
    FormationState,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    SnapshotChunk,
)
from kumquatrun.consensus.group_formation import FormationStep, GroupFormation
from kumquatrun.consensus.quorum_log import QuorumLog
from kumquatrun.consensus.quorum_types import (
    AppliedCommand,
    ChunkToSend,
    Envelope,
    FlushResult,
    Output,
    ReplicaMeta,
    Snapshot,
    SnapshotMeta,
    Timing,
)
from kumquatrun.consensus.snapshot_schedule import SnapshotSchedule
from kumquatrun.consensus.state_machine import StateMachine
from kumquatrun.consensus.storage import Storage

log = logging.getLogger(__name__)

FORMATION_INTERVAL_S = 0.2
JOIN_INTERVAL_S = 0.5
# Longer than an election, so that a replica that is still a member rarely sends
# join requests.
REJOIN_AFTER_S = 2.0


@dataclass(frozen=True)
class NodeOptions:
    """Limits, timing and behaviour of a replica node.

    A snapshot is taken after ``snapshot_entries`` entries or
    ``snapshot_bytes`` bytes. After a snapshot, the last ``kept_entries``
    entries remain in the log, or fewer if they exceed ``kept_bytes``, so that
    a follower that is slightly behind does not need the snapshot. The byte
    limits keep the files below half of a 64 MB disk. With ``rejoins``, a
    replica sends join requests again after it was removed.
    """

    timing: Timing = field(default_factory=Timing)
    snapshot_entries: int = 10_000
    kept_entries: int = 1000
    snapshot_bytes: int = 4 * 1024 * 1024
    kept_bytes: int = 2 * 1024 * 1024
    rejoins: bool = False


@dataclass(frozen=True)
class NodeSettings:
    """Id and address of a replica, and addresses of the initial members."""

    replica_id: str
    address: str
    initial_addresses: Mapping[str, str]
    joining: bool = False
    founding_quorum: int = 0


class LogNode:
    """Connects the consensus core with storage and a state machine.

    Attributes
    ----------
    core
        The consensus core.
    applied_index
        Index of the last entry that the state machine has applied.
    learned_addresses
        Addresses by replica id, received from other replicas or set by the
        caller.
    has_left
        Whether the leader has confirmed a leave request of this replica.
    """

    core_type = QuorumLog

    def __init__(
        self,
        settings: NodeSettings,
        state_machine: StateMachine,
        storage: Storage,
        rng: random.Random,
        options: NodeOptions,
        new_disk_id: str,
        now_s: float,
    ) -> None:
        self._settings = settings
        self._machine = state_machine
        self._storage = storage
        self._options = options
        stored = storage.load()
        if stored.meta is None:
            stored = replace(stored, meta=ReplicaMeta(new_disk_id))
            storage.save_meta(stored.meta)
        self._formation = GroupFormation(
            settings.replica_id,
            settings.initial_addresses,
            stored.meta,
            joining=settings.joining,
            quorum=settings.founding_quorum,
        )
        self.core = self.core_type(
            settings.replica_id,
            stored,
            options.timing,
            rng,
            now_s,
        )
        self.applied_index = 0
        self._snapshot_schedule = SnapshotSchedule(
            options.snapshot_entries,
            options.snapshot_bytes,
        )
        self.learned_addresses: dict[str, str] = {}
        self.has_left = False
        self._formation_due_s = now_s
        self._leader_known_s = now_s
        self._formation_messages: list[Envelope] = []
        self._warned_of_conflict = False
        if stored.snapshot is not None:
            self._restore(stored.snapshot)

    @property
    def disk_id(self) -> str:
        """Return the identity of the data folder."""
        return self._formation.meta.disk_id

    def receive(self, msg: Any, now_s: float) -> Any:
        """Process a message; return the reply, to be sent after the flush."""
        if isinstance(msg, JoinReply):
            if msg.leader_address:
                # The leader may not be among the initial members.
                self.learned_addresses[msg.leader_id] = msg.leader_address
            return None
        if isinstance(msg, LeaveReply):
            self.has_left |= msg.accepted
            return None
        if isinstance(msg, FormationState):
            self._formation.record_state(msg, now_s)
            former_meta = self._formation.meta
            self._advance_formation(now_s)
            if self._formation.meta != former_meta:
                # The other founders wait for this vote.
                self._formation_due_s = now_s
            return self._formation.state()
        return self.core.receive(msg, now_s)

    @property
    def is_member(self) -> bool:
        """Return whether the group includes this disk, as far as is known.

        A message of a leader is no sign of it: the leader may mean the disk
        that this one replaces.
        """
        return self._formation.meta.formed and self.core.membership.includes(
            self._settings.replica_id, self.disk_id
        )

    @property
    def is_formed(self) -> bool:
        """Return whether this replica is or was a member of a group."""
        return self._formation.meta.formed

    def add_initial_member(self, replica_id: str, address: str) -> None:
        """Add an initial member; has no effect on a formed group."""
        self.learned_addresses.setdefault(replica_id, address)
        self._formation.add_initial_member(replica_id, address)

    @property
    def next_due_s(self) -> float:
        """Return the time at which ``tick`` must be called next."""
        if self._formation.meta.formed:
            return self.core.next_due_s
        return min(self.core.next_due_s, self._formation_due_s)

    def leave_request(self) -> Envelope:
        """Return the request to the leader to remove this replica."""
        request = LeaveRequest(
            sender=self._settings.replica_id,
            disk_id=self.disk_id,
        )
        return Envelope(self.core.election.leader_id, request)

    def tick(self, now_s: float) -> None:
        """Process the timeouts that have expired."""
        if self.core.election.leader_id and self.is_member:
            self._leader_known_s = now_s
        if now_s >= self._formation_due_s:
            self._send_formation_messages(now_s)
        self.core.tick(now_s)

    def begin_flush(self) -> tuple[tuple[Envelope, ...], Output]:
        """Return the messages to send before the sync, and the output."""
        output = self.core.take_output()
        return self._envelopes(output.messages_before_sync), output

    def finish_flush(self, output: Output, now_s: float) -> FlushResult:
        """Make an output durable and apply the committed entries."""
        self._save(output)
        self.core.mark_saved(now_s)
        formation_messages = self._formation_messages
        self._formation_messages = []
        messages = (
            *self._envelopes(output.messages_after_sync),
            *formation_messages,
        )
        if output.snapshot is not None:
            self._restore(output.snapshot)
        applied = self._apply_committed()
        self._compact()
        return FlushResult(messages, tuple(applied))

    def _save(self, output: Output) -> None:
        if output.hard_state is not None:
            meta = replace(self._formation.meta, hard_state=output.hard_state)
            self._save_meta(meta)
        if output.snapshot is not None:
            self._storage.install_snapshot(output.snapshot)
        if output.truncate_from is not None:
            self._storage.truncate_from(output.truncate_from)
        if output.entries:
            self._storage.append(output.entries)
            self._storage.sync()

    def _save_meta(self, meta: ReplicaMeta) -> None:
        self._formation.meta = meta
        self._storage.save_meta(meta)

    def _envelopes(
        self,
        messages: tuple[Envelope | ChunkToSend, ...],
    ) -> tuple[Envelope, ...]:
        envelopes = (
            self._chunk_envelope(msg) if isinstance(msg, ChunkToSend) else msg
            for msg in messages
        )
        return tuple(msg for msg in envelopes if msg is not None)

    def _chunk_envelope(self, to_send: ChunkToSend) -> Envelope | None:
        chunk_and_size = self._storage.read_chunk(
            to_send.meta.last_index,
            to_send.offset,
            self._options.timing.chunk_bytes,
        )
        if chunk_and_size is None:
            return None
        chunk = SnapshotChunk(
            term=to_send.term,
            sender=self._settings.replica_id,
            disk_id=self.disk_id,
            last_index=to_send.meta.last_index,
            last_term=to_send.meta.last_term,
            members=to_send.meta.members,
            offset=to_send.offset,
            total_bytes=chunk_and_size[1],
            data=chunk_and_size[0],
            round_number=to_send.round_number,
        )
        return Envelope(to_send.receiver, chunk)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.content)
        self.applied_index = snapshot.meta.last_index
        self._snapshot_schedule.reset()

    def _apply_committed(self) -> list[AppliedCommand]:
        applied = []
        entries = self.core.entries
        # Only entries that are durable on this replica are applied, so that a
        # snapshot never extends beyond the stored log.
        last = min(entries.commit_index, entries.saved_index)
        for entry in entries.entries_between(self.applied_index + 1, last):
            self.applied_index = entry.index
            self._snapshot_schedule.add_entry(len(entry.data))
            if entry.kind is EntryKind.COMMAND:
                result = self._machine.apply(entry.index, entry.data)
                applied.append(AppliedCommand(entry, result))
        return applied

    def _compact(self) -> None:
        entries = self.core.entries
        options = self._options
        leader = self.core.leadership
        is_sending = leader is not None and leader.is_sending_snapshot
        applied_count = self.applied_index - entries.snapshot_meta.last_index
        if not self._snapshot_schedule.is_due(
            applied_count, is_sending=is_sending
        ):
            return
        meta = SnapshotMeta(
            self.applied_index,
            entries.term_at(self.applied_index),
            entries.membership_at(self.applied_index).members,
        )
        kept_count = entries.count_up_to(
            meta.last_index,
            options.kept_entries,
            options.kept_bytes,
        )
        snapshot = Snapshot(meta, self._machine.snapshot())
        self._storage.save_snapshot(snapshot, meta.last_index + 1 - kept_count)
        self.core.compact(meta, kept_count)
        self._snapshot_schedule.reset()
        log.info(
            'event=snapshot_taken index=%s size_bytes=%s',
            meta.last_index,
            len(snapshot.content),
        )

    def _send_formation_messages(self, now_s: float) -> None:
        """Send formation states or join requests while they are needed."""
        own_id = self._settings.replica_id
        if self._formation.meta.formed:
            is_outside = now_s - self._leader_known_s > REJOIN_AFTER_S
            may_rejoin = self._options.rejoins and not self.has_left
            if is_outside and may_rejoin:
                self._send_join_requests(now_s)
            return
        committed = self.core.entries.committed_membership
        if committed.includes(own_id, self.disk_id):
            # From now on this replica reports to replacements that the group
            # exists. After a removal it rejoins only if its options say so. An
            # uncommitted entry does not suffice: another leader may replace it.
            self._save_meta(self._formation.form())
            return
        self._formation_due_s = now_s + FORMATION_INTERVAL_S
        step = self._advance_formation(now_s)
        if step is FormationStep.JOIN:
            self._send_join_requests(now_s)
            if not self._settings.joining:
                # The group may include this founder; its members know.
                self._send_to_peers(self._formation.state())
        elif step is not FormationStep.FORM:
            self._send_to_peers(self._formation.state())

    def _send_join_requests(self, now_s: float) -> None:
        """Send join requests, which have no effect if sent by a member."""
        self._formation_due_s = now_s + JOIN_INTERVAL_S
        request = JoinRequest(
            sender=self._settings.replica_id,
            disk_id=self.disk_id,
            address=self._settings.address,
        )
        self._send_to_peers(request)

    def _send_to_peers(self, msg: Any) -> None:
        peers = {
            *self._formation.peers,
            *self.learned_addresses,
            *self.core.membership.by_id,
        }
        peers.discard(self._settings.replica_id)
        self._formation_messages.extend(
            Envelope(peer, msg) for peer in sorted(peers)
        )

    def _advance_formation(self, now_s: float) -> FormationStep | None:
        if self._formation.meta.formed:
            return None
        step = self._formation.next_step(now_s)
        while step is FormationStep.AGREE:
            self._save_meta(self._formation.agree())
            step = self._formation.next_step(now_s)
        if step is FormationStep.FORM:
            self._save_meta(self._formation.form())
            self.core.form(self._formation.meta.initial, now_s)
            # The others may need this state to form, and this replica may be
            # lost as soon as it leads them.
            self._send_to_peers(self._formation.state())
        if step is FormationStep.CONFLICT and not self._warned_of_conflict:
            self._warned_of_conflict = True
            log.error(
                'event=formation_conflict replica=%s remedy=%r',
                self._settings.replica_id,
                'a data folder was replaced before the group was formed; '
                'empty the data folders of all initial members',
            )
        return step
