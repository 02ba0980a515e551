"""Deterministic state machine of the control replicas.

Applying the same entries leads to the same state, results and feed on every
replica. The only clock of the state machine is the sum of the elapsed times of
the batches.
"""

from bisect import bisect_right
from typing import Any

import msgpack

from kumquatrun.control.audit import AuditEntry
from kumquatrun.control.commands import decode_batch, encode_results
from kumquatrun.control.configuration_register import (
    AccountAllowance,
    StoredConfiguration,
)
from kumquatrun.control.control_registers import ControlRegisters
from kumquatrun.control.hosts import Incarnation, host_fields
from kumquatrun.document.document import AdapterSpec, Document
from kumquatrun.document.keys import KeyRecord
from kumquatrun.peer.node_messages import FeedItem, HostRecord

_FORMAT = 2


class ControlState:
    """Shared state of the cluster; implements ``StateMachine``."""

    def __init__(self) -> None:
        self._applied_index = 0
        self._feed_index = 0
        self._registers = ControlRegisters()
        self._changes: list[FeedItem] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one batch and return the encoded results."""
        batch = decode_batch(command)
        self._registers.advance(batch.elapsed_ms)
        replies = [self._registers.run(row) for row in batch.commands]
        self._applied_index = index
        self._collect_changes(index)
        return encode_results(replies)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgpack.packb(
            {
                'format': _FORMAT,
                'applied_index': self._applied_index,
                'feed_index': self._feed_index,
                'registers': self._registers.snapshot(),
            },
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with a snapshot.

        Raises
        ------
        ValueError
            If the snapshot has another format.
        """
        content = msgpack.unpackb(snapshot)
        if content['format'] != _FORMAT:
            raise ValueError(f'snapshot has format {content["format"]}')
        self._applied_index = content['applied_index']
        self._feed_index = content['feed_index']
        self._registers.restore(content['registers'])
        self._changes.clear()

    def drain_changes(self) -> list[FeedItem]:
        """Return the feed items since the last call, one per log index."""
        changes = self._changes
        self._changes = []
        return changes

    def snapshot_feed(self, known_configuration: int = 0) -> FeedItem:
        """Return the whole feed state as one item of kind ``snapshot``.

        The configuration is encoded as a delta from the version that the
        receiver has.
        """
        registers = self._registers
        documents = registers.documents
        body = {
            'revision': documents.revision,
            'digest': documents.digest,
            'document': documents.compressed,
            'keys': [
                record.row()
                for record in registers.keys.records.values()
                if not record.revoked
            ],
            'hosts': [
                host_fields(record)
                for record in registers.hosts.records.values()
            ],
            'quarantine': registers.quarantine.states(),
            'configuration': self.configuration_row(known_configuration),
            'adapter_versions': registers.configurations.adapter_rows(),
            'evacuated_domains': registers.evacuations.domains,
        }
        return FeedItem(
            index=self._feed_index,
            kind='snapshot',
            body=msgpack.packb(body),
        )

    # Reads for the control service and operators.

    @property
    def applied_index(self) -> int:
        """Return the index of the newest applied log entry."""
        return self._applied_index

    @property
    def feed_index(self) -> int:
        """Return the index of the newest feed item.

        A node whose view has this index is up to date, even if the log has
        newer entries: these added nothing to the feed.
        """
        return self._feed_index

    @property
    def now_ms(self) -> int:
        """Return the state machine time in milliseconds."""
        return self._registers.now_ms

    @property
    def revision(self) -> int:
        """Return the revision of the document in force."""
        return self._registers.documents.revision

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        return self._registers.documents.digest

    @property
    def document(self) -> Document:
        """Return the document in force."""
        return self._registers.documents.document

    def content(self) -> bytes:
        """Return the bytes of the document in force."""
        return self._registers.documents.content()

    def configuration(self) -> StoredConfiguration:
        """Return the routing configuration in force."""
        register = self._registers.configurations
        return StoredConfiguration(register.version, register.content())

    def configuration_row(self, known_version: int) -> list[Any]:
        """Return the feed row for a node with a known version, 0 for none."""
        return self._registers.configurations.history.feed_row(known_version)

    @property
    def configuration_version(self) -> int:
        """Return the version of the routing configuration, 0 if none."""
        return self._registers.configurations.version

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter, 0 if none was named."""
        versions = self._registers.configurations.adapter_versions
        return versions.get((model, adapter), 0)

    def allowances(self) -> tuple[int, tuple[AccountAllowance, ...]]:
        """Return the limits of the accounts, with their version."""
        register = self._registers.configurations
        return register.version, register.allowances

    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return every ``(host_id, incarnation)`` that may hold a lease.

        The leader proposes ``ExpireHost`` for each whose lease has certainly
        ended; a new leader first waits for the longest lease that its
        predecessor may have granted.
        """
        return self._registers.hosts.incarnations()

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of a host."""
        return self._registers.hosts.records.get(host_id)

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return the records of all hosts by host id."""
        records = self._registers.hosts.records
        return tuple(record for _, record in sorted(records.items()))

    def keys(self) -> tuple[KeyRecord, ...]:
        """Return all key records, revoked ones too, by key id."""
        records = self._registers.keys.records
        return tuple(record for _, record in sorted(records.items()))

    def adapters(
        self,
        after: str = '',
        limit: int = 100,
    ) -> tuple[AdapterSpec, ...]:
        """Return up to ``limit`` adapters whose names follow ``after``."""
        rows = self.document.adapters
        start = bisect_right(rows, after, key=lambda spec: spec.name)
        return rows[start : start + max(0, limit)]

    def audit(
        self,
        before: int | None = None,
        limit: int = 100,
    ) -> tuple[AuditEntry, ...]:
        """Return audit entries numbered below ``before``, newest first."""
        return self._registers.changes.audit.page(before, limit)

    def status(self) -> dict[str, Any]:
        """Return a summary for operators."""
        registers = self._registers
        return {
            'applied_index': self._applied_index,
            'feed_index': self._feed_index,
            'time_ms': registers.now_ms,
            'revision': self.revision,
            'digest': self.digest,
            'hosts': len(registers.hosts.records),
            'keys': len(registers.keys.records),
            'adapters': len(self.document.adapters),
            'claims': len(registers.claims),
            'accounts': registers.budgets.status(registers.now_ms),
            'fingerprints': registers.quarantine.states(),
            'evacuated_domains': registers.evacuations.domains,
        }

    def _collect_changes(self, index: int) -> None:
        rows = self._registers.changes.take_rows()
        if not rows:
            return
        # A view applies at most one item per index, so the changes of one
        # batch are sent as one item.
        kind, body = rows[0] if len(rows) == 1 else ('batch', rows)
        self._changes.append(
            FeedItem(index=index, kind=kind, body=msgpack.packb(body)),
        )
        self._feed_index = index
