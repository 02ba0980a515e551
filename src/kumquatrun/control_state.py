"""Deterministic state machine of the control replicas.

Composed of one register per kind of state. Applying the same entries leads to
the same state, results and feed on every replica; the only time it knows is
the sum of the elapsed times of the batches.
"""

import hashlib
import zlib
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any

import msgpack

from kumquatrun.account_budgets import BudgetRegister
from kumquatrun.audit import AuditEntry, AuditTrail
from kumquatrun.claims import ClaimRegister
from kumquatrun.commands import (
    ApplyDocument,
    DocumentReply,
    DrainHost,
    ExpireHost,
    IssueKey,
    KeyReply,
    ReportBudgets,
    RevokeKey,
    decode_batch,
    encode_results,
    error_reply,
    inflate,
)
from kumquatrun.document import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    AdapterSpec,
    Document,
    digest_document,
    document_delta,
    encode_delta,
    parse_document,
)
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    NotFoundError,
    RevisionConflictError,
)
from kumquatrun.hosts import HostRegister, Incarnation
from kumquatrun.keys import KeyRecord, KeyRegister
from kumquatrun.messages import (
    Ack,
    ClaimRequest,
    ClearSuspect,
    FeedItem,
    FinishClaim,
    GrantTokens,
    HostRecord,
    RegisterHost,
    RegisterReply,
    ReportSuspects,
    decode_message,
    encode_message,
)
from kumquatrun.quarantine import Change, QuarantineRegister

MAX_OPERATIONS = 10_000
_DIGEST_BYTES = 16
_FORMAT = 1


class ControlState:
    """Shared state of the cluster; fits the ``StateMachine`` protocol."""

    def __init__(self) -> None:
        self._applied_index = 0
        self._feed_index = 0
        self._now_ms = 0
        self._revision = 0
        self._digest = ''
        self._content = zlib.compress(b'')
        self._document = EMPTY_DOCUMENT
        self._hosts = HostRegister()
        self._keys = KeyRegister()
        self._budgets = BudgetRegister()
        self._claims = ClaimRegister(self._hosts.is_live)
        self._quarantine = QuarantineRegister()
        self._audit = AuditTrail()
        # Operation id to the digest of its command and its encoded result.
        self._operations: OrderedDict[str, tuple[bytes, Any]] = OrderedDict()
        self._changes: list[FeedItem] = []
        self._pending: list[tuple[str, Any]] = []
        self._handlers: Mapping[type, Callable[[Any], Any]] = {
            RegisterHost: self._register_host,
            ExpireHost: self._expire_host,
            DrainHost: self._drain_host,
            GrantTokens: self._grant_tokens,
            ReportBudgets: self._report_budgets,
            ClaimRequest: self._claim,
            FinishClaim: self._finish_claim,
            ReportSuspects: self._report_suspects,
            ClearSuspect: self._clear_suspect,
            ApplyDocument: self._apply_document,
            IssueKey: self._issue_key,
            RevokeKey: self._revoke_key,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one batch and return the encoded results."""
        batch = decode_batch(command)
        self._now_ms += batch.elapsed_ms
        self._claims.expire(self._now_ms)
        self._record_fingerprints(self._quarantine.expire(self._now_ms))
        replies = [self._run(row) for row in batch.commands]
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
                'now_ms': self._now_ms,
                'revision': self._revision,
                'digest': self._digest,
                'content': self._content,
                'operations': [
                    [operation_id, *entry]
                    for operation_id, entry in self._operations.items()
                ],
                'registers': {
                    name: register.snapshot()
                    for name, register in self._registers().items()
                },
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
        self._now_ms = content['now_ms']
        self._revision = content['revision']
        self._digest = content['digest']
        self._content = content['content']
        self._document = EMPTY_DOCUMENT
        if self._revision:
            self._document = parse_document(self.content())
        self._operations = OrderedDict(
            (operation_id, (digest, reply))
            for operation_id, digest, reply in content['operations']
        )
        for name, register in self._registers().items():
            register.restore(content['registers'][name])
        self._changes.clear()
        self._pending.clear()

    def drain_changes(self) -> list[FeedItem]:
        """Return the feed items since the last call, one per log index."""
        changes = self._changes
        self._changes = []
        return changes

    def snapshot_feed(self) -> FeedItem:
        """Return the whole feed state as one item of kind ``snapshot``."""
        body = {
            'revision': self._revision,
            'digest': self._digest,
            'document': self._content,
            'keys': [
                _key_row(record)
                for record in self._keys.records.values()
                if not record.revoked
            ],
            'hosts': [
                asdict(record) for record in self._hosts.records.values()
            ],
            'quarantine': self._quarantine.states(),
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

        A node whose view has this index lacks nothing, although the log may
        have newer entries that changed nothing in the feed.
        """
        return self._feed_index

    @property
    def now_ms(self) -> int:
        """Return the state machine time in milliseconds."""
        return self._now_ms

    @property
    def revision(self) -> int:
        """Return the revision of the document in force."""
        return self._revision

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        return self._digest

    @property
    def document(self) -> Document:
        """Return the document in force."""
        return self._document

    def content(self) -> bytes:
        """Return the bytes of the document in force."""
        return inflate(self._content, MAX_DOCUMENT_BYTES)

    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return every ``(host_id, incarnation)`` that may hold a lease."""
        return self._hosts.incarnations()

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of a host."""
        return self._hosts.records.get(host_id)

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return the records of all hosts by host id."""
        return tuple(
            record for _, record in sorted(self._hosts.records.items())
        )

    def keys(self) -> tuple[KeyRecord, ...]:
        """Return all key records, revoked ones too, by key id."""
        return tuple(record for _, record in sorted(self._keys.records.items()))

    def adapters(
        self,
        after: str = '',
        limit: int = 100,
    ) -> tuple[AdapterSpec, ...]:
        """Return up to ``limit`` adapters whose names follow ``after``."""
        rows = (spec for spec in self._document.adapters if spec.name > after)
        return tuple(row for row, _ in zip(rows, range(limit), strict=False))

    def audit(
        self,
        before: int | None = None,
        limit: int = 100,
    ) -> tuple[AuditEntry, ...]:
        """Return audit entries numbered below ``before``, newest first."""
        return self._audit.page(before, limit)

    def status(self) -> dict[str, Any]:
        """Return a summary for operators."""
        return {
            'applied_index': self._applied_index,
            'feed_index': self._feed_index,
            'time_ms': self._now_ms,
            'revision': self._revision,
            'digest': self._digest,
            'hosts': len(self._hosts.records),
            'keys': len(self._keys.records),
            'adapters': len(self._document.adapters),
            'claims': len(self._claims),
            'accounts': self._budgets.status(self._now_ms),
            'fingerprints': self._quarantine.states(),
        }

    # Commands.

    def _run(self, command: Any) -> Any:
        operation_id = _operation_id(command)
        if operation_id is None:
            return self._handle(command)
        digest = hashlib.blake2b(
            msgpack.packb(encode_message(command)),
            digest_size=_DIGEST_BYTES,
        ).digest()
        recorded = self._operations.get(operation_id)
        if recorded is None:
            reply = self._handle(command)
            self._operations[operation_id] = (digest, encode_message(reply))
            if len(self._operations) > MAX_OPERATIONS:
                self._operations.popitem(last=False)
            return reply
        if recorded[0] != digest:
            return error_reply(
                InvalidRequestError(
                    f'operation id {operation_id!r} was used for another '
                    'operation',
                ),
            )
        return decode_message(recorded[1])

    def _handle(self, command: Any) -> Any:
        handler = self._handlers.get(type(command))
        try:
            if handler is None:
                raise InvalidRequestError(
                    f'{type(command).__name__} is not a command',
                )
            return handler(command)
        except KumquatrunError as error:
            return error_reply(error)

    def _register_host(self, command: RegisterHost) -> RegisterReply:
        before = self._hosts.records.get(command.record.host_id)
        record = self._hosts.register(command.record)
        if record != before:
            self._pending.append(('host', _host_row(record)))
            self._record_host('register_host', before, record)
        return RegisterReply(record=record)

    def _expire_host(self, command: ExpireHost) -> Ack:
        holder = (command.host_id, command.incarnation)
        before = self._hosts.records.get(command.host_id)
        self._budgets.expire(holder, self._now_ms)
        if self._hosts.expire(*holder):
            self._pending.append(('host', [command.host_id, None]))
            self._record_host('expire_host', before, None)
        return Ack()

    def _drain_host(self, command: DrainHost) -> RegisterReply:
        before = self._hosts.records.get(command.host_id)
        record = self._hosts.drain(command.host_id)
        self._pending.append(('host', _host_row(record)))
        self._record_change(
            command,
            'drain_host',
            command.host_id,
            _host_text(before),
            _host_text(record),
        )
        return RegisterReply(record=record)

    def _grant_tokens(self, command: GrantTokens) -> Any:
        self._hosts.check_current(command.host_id, command.incarnation)
        return self._budgets.grant(command, self._now_ms)

    def _report_budgets(self, command: ReportBudgets) -> Ack:
        if self._hosts.is_live(command.host_id, command.incarnation):
            self._budgets.report(
                (command.host_id, command.incarnation),
                command.sequence,
                command.reports,
                self._now_ms,
            )
        return Ack()

    def _claim(self, command: ClaimRequest) -> Any:
        self._hosts.check_current(command.host_id, command.incarnation)
        return self._claims.claim(command, self._now_ms)

    def _finish_claim(self, command: FinishClaim) -> Ack:
        self._claims.finish(command)
        return Ack()

    def _report_suspects(self, command: ReportSuspects) -> Ack:
        event = 'crash_alone' if command.alone else 'crash_shared'
        changes = [
            self._quarantine.handle(fingerprint, event, self._now_ms)
            for fingerprint in command.fingerprints
        ]
        changes.extend(self._quarantine.expire(self._now_ms))
        self._record_fingerprints(changes, command.host_id)
        return Ack()

    def _clear_suspect(self, command: ClearSuspect) -> Ack:
        change = self._quarantine.handle(
            command.fingerprint,
            'finished_alone',
            self._now_ms,
        )
        self._record_fingerprints([change], command.host_id)
        return Ack()

    def _apply_document(
        self,
        command: ApplyDocument,
    ) -> DocumentReply:
        if command.expected_revision != self._revision:
            raise RevisionConflictError(
                f'expected revision {command.expected_revision}, the current '
                f'one is {self._revision}',
            )
        document = parse_document(command.content)
        digest = digest_document(command.content)
        delta = document_delta(self._document, document)
        before = _document_text(self._revision, self._digest, self._document)
        base_revision = self._revision
        self._revision += 1
        self._digest = digest
        self._document = document
        self._content = zlib.compress(command.content, 1)
        self._budgets.configure(document.accounts, self._now_ms)
        row = [self._revision, digest, base_revision, encode_delta(delta)]
        self._pending.append(('document', row))
        self._record_change(
            command,
            'apply_document',
            f'revision {self._revision}',
            before,
            _document_text(self._revision, digest, document),
        )
        return DocumentReply(revision=self._revision, digest=digest)

    def _issue_key(self, command: IssueKey) -> KeyReply:
        if self._document.index.account(command.account) is None:
            raise NotFoundError(f'account {command.account!r} does not exist')
        record = self._keys.issue(
            KeyRecord(
                key_id=command.key_id,
                key_hash=command.key_hash,
                account=command.account,
            ),
        )
        return self._key_changed(command, 'issue_key', record, '')

    def _revoke_key(self, command: RevokeKey) -> KeyReply:
        before = self._keys.records.get(command.key_id)
        record = self._keys.revoke(command.key_id)
        return self._key_changed(
            command,
            'revoke_key',
            record,
            _key_text(before),
        )

    def _key_changed(
        self,
        command: Any,
        action: str,
        record: KeyRecord,
        before: str,
    ) -> KeyReply:
        self._pending.append(('key', _key_row(record)))
        self._record_change(
            command,
            action,
            record.key_id,
            before,
            _key_text(record),
        )
        return KeyReply(
            key_id=record.key_id,
            account=record.account,
            revoked=record.revoked,
        )

    # Feed and audit.

    def _collect_changes(self, index: int) -> None:
        if not self._pending:
            return
        # A view applies at most one item per index, so the changes of one
        # batch travel together.
        kind, body = 'batch', [list(row) for row in self._pending]
        if len(self._pending) == 1:
            kind, body = self._pending[0]
        self._changes.append(
            FeedItem(index=index, kind=kind, body=msgpack.packb(body)),
        )
        self._feed_index = index
        self._pending.clear()

    def _record_fingerprints(
        self,
        changes: list[Change],
        host_id: str = '',
    ) -> None:
        for fingerprint, before, after in changes:
            if before == after:
                continue
            self._pending.append(('quarantine', [fingerprint, after]))
            self._audit.record(
                time_ms=self._now_ms,
                operator=f'host:{host_id}' if host_id else 'control',
                operation_id='',
                action='change_fingerprint',
                subject=fingerprint,
                before=before,
                after=after,
            )

    def _record_host(
        self,
        action: str,
        before: HostRecord | None,
        after: HostRecord | None,
    ) -> None:
        host_id = (before or after).host_id
        self._audit.record(
            time_ms=self._now_ms,
            operator=f'host:{host_id}' if after else 'control',
            operation_id='',
            action=action,
            subject=host_id,
            before=_host_text(before),
            after=_host_text(after),
        )

    def _record_change(
        self,
        command: Any,
        action: str,
        subject: str,
        before: str,
        after: str,
    ) -> None:
        self._audit.record(
            time_ms=self._now_ms,
            operator=command.operator,
            operation_id=command.operation_id,
            action=action,
            subject=subject,
            before=before,
            after=after,
        )

    def _registers(self) -> dict[str, Any]:
        return {
            'hosts': self._hosts,
            'keys': self._keys,
            'budgets': self._budgets,
            'claims': self._claims,
            'quarantine': self._quarantine,
            'audit': self._audit,
        }


def _operation_id(command: Any) -> str | None:
    """Return the id under which a command's result is recorded."""
    report_id = getattr(command, 'report_id', '')
    if report_id:
        return f'report:{report_id}'
    return getattr(command, 'operation_id', None)


def _host_row(record: HostRecord) -> list[Any]:
    return [record.host_id, asdict(record)]


def _host_text(record: HostRecord | None) -> str:
    if record is None:
        return ''
    state = 'draining' if record.draining else 'active'
    return (
        f'{record.role} {record.incarnation} at {record.address}, '
        f'fencing number {record.fencing_number}, {state}'
    )


def _key_row(record: KeyRecord) -> list[Any]:
    return [record.key_id, record.key_hash, record.account, record.revoked]


def _key_text(record: KeyRecord | None) -> str:
    if record is None:
        return ''
    state = 'revoked' if record.revoked else 'active'
    return f'key of {record.account}, {state}'


def _document_text(revision: int, digest: str, document: Document) -> str:
    return (
        f'revision {revision}, digest {digest[:16]}, '
        f'{len(document.accounts)} accounts, '
        f'{len(document.services)} services, '
        f'{len(document.adapters)} adapters, {len(document.routes)} routes'
    )
