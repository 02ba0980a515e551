"""Registers of the control state and the handlers of its commands."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from kumquatrun.control.account_budgets import BudgetRegister
from kumquatrun.control.change_log import ChangeLog
from kumquatrun.control.claims import ClaimRegister
from kumquatrun.control.commands import (
    ApplyDocument,
    DocumentReply,
    DrainHost,
    ExpireHost,
    IssueKey,
    KeyReply,
    ReportBudgets,
    RevokeKey,
    Unblock,
    UnblockReply,
)
from kumquatrun.control.configuration_commands import ConfigurationCommands
from kumquatrun.control.configuration_register import (
    ConfigurationRegister,
)
from kumquatrun.control.crash_register import CrashRegister
from kumquatrun.control.document_register import DocumentRegister
from kumquatrun.control.evacuations import EvacuationRegister
from kumquatrun.control.hosts import HostRegister, host_fields, host_summary
from kumquatrun.control.operations import OperationRegister
from kumquatrun.control.quarantine import FingerprintChange, QuarantineRegister
from kumquatrun.document.keys import KeyRecord, KeyRegister, key_summary
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    NotFoundError,
)
from kumquatrun.peer.errors import error_to_reply
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import (
    ClearEndedRuns,
    ClearSuspect,
    GrantReply,
    GrantTokens,
    HostRecord,
    RegisterHost,
    RegisterReply,
    ReportSuspects,
    TakeTrialRun,
    TrialRunReply,
)
from kumquatrun.peer.request_messages import (
    ClaimReply,
    ClaimRequest,
    FinishClaim,
)

# Operator recorded for changes that expiry causes.
_CONTROL = 'control'


class ControlRegisters:
    """All registers, the state machine time and the pending feed rows."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.documents = DocumentRegister()
        self.hosts = HostRegister()
        self.keys = KeyRegister()
        self.budgets = BudgetRegister()
        self.claims = ClaimRegister(self.hosts.is_live)
        self.quarantine = QuarantineRegister()
        self.crashes = CrashRegister(self.quarantine)
        self.changes = ChangeLog()
        self.operations = OperationRegister()
        self.configurations = ConfigurationRegister()
        self.evacuations = EvacuationRegister(self.changes, lambda: self.now_ms)
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
            ClearEndedRuns: self._clear_ended_runs,
            TakeTrialRun: self._take_trial_run,
            Unblock: self._unblock,
            ApplyDocument: self._apply_document,
            IssueKey: self._issue_key,
            RevokeKey: self._revoke_key,
            **ConfigurationCommands(
                self.configurations,
                self.changes,
                lambda: self.now_ms,
            ).handlers,
            **self.evacuations.handlers,
        }

    def advance(self, elapsed_ms: int) -> None:
        """Advance the state machine time; expire claims and quarantines."""
        self.now_ms += elapsed_ms
        self.claims.expire(self.now_ms)
        self._record_fingerprints(self._expire_fingerprints(), _CONTROL)

    def run(self, command: Any) -> Any:
        """Run a command; return its result or an ``ErrorReply``."""
        try:
            return self.operations.run(command, self._handle)
        except KumquatrunError as error:
            return error_to_reply(error)

    def snapshot(self) -> Any:
        """Return all registers as plain values for msgpack."""
        rows = {
            name: register.snapshot()
            for name, register in self._registers().items()
        }
        return {'now_ms': self.now_ms, **rows}

    def restore(self, content: Any) -> None:
        """Replace all registers with a snapshot."""
        self.now_ms = content['now_ms']
        for name, register in self._registers().items():
            # Snapshots of earlier versions lack some registers.
            if name in content:
                register.restore(content[name])
        self.changes.take_rows()

    def _registers(self) -> dict[str, Any]:
        return {
            'documents': self.documents,
            'hosts': self.hosts,
            'keys': self.keys,
            'budgets': self.budgets,
            'claims': self.claims,
            'quarantine': self.quarantine,
            'crashes': self.crashes,
            'audit': self.changes.audit,
            'operations': self.operations,
            'configurations': self.configurations,
            'evacuations': self.evacuations,
        }

    def _handle(self, command: Any) -> Any:
        handler = self._handlers.get(type(command))
        if handler is None:
            raise InvalidRequestError(
                f'{type(command).__name__} is not a command',
            )
        return handler(command)

    # Hosts.

    def _register_host(self, command: RegisterHost) -> RegisterReply:
        before = self.hosts.records.get(command.record.host_id)
        record = self.hosts.register(command.record)
        if record != before:
            operator = f'host:{record.host_id}'
            self._record_host_change('register_host', before, record, operator)
        return RegisterReply(record=record)

    def _expire_host(self, command: ExpireHost) -> Ack:
        holder = (command.host_id, command.incarnation)
        before = self.hosts.records.get(command.host_id)
        self.budgets.expire(holder, self.now_ms)
        if self.hosts.expire(*holder):
            self._record_host_change('expire_host', before, None, _CONTROL)
        return Ack()

    def _drain_host(self, command: DrainHost) -> RegisterReply:
        before = self.hosts.records.get(command.host_id)
        record = self.hosts.drain(command.host_id)
        self._record_host_change(
            'drain_host',
            before,
            record,
            command.operator,
            command.operation_id,
        )
        return RegisterReply(record=record)

    def _record_host_change(
        self,
        action: str,
        before: HostRecord | None,
        after: HostRecord | None,
        operator: str,
        operation_id: str = '',
    ) -> None:
        host_id = (before or after).host_id
        fields = host_fields(after) if after else None
        self.changes.add_row('host', [host_id, fields])
        self.changes.record(
            self.now_ms,
            action,
            host_id,
            (host_summary(before), host_summary(after)),
            operator,
            operation_id,
        )

    # Budgets and claims.

    def _grant_tokens(self, command: GrantTokens) -> GrantReply:
        self.hosts.check_current(command.host_id, command.incarnation)
        return self.budgets.grant(command, self.now_ms)

    def _report_budgets(self, command: ReportBudgets) -> Ack:
        # The outstanding tokens of an expired incarnation already count as
        # consumed, so its late reports have no effect.
        if self.hosts.is_live(command.host_id, command.incarnation):
            self.budgets.report(
                (command.host_id, command.incarnation),
                command.sequence,
                command.reports,
                self.now_ms,
            )
        return Ack()

    def _claim(self, command: ClaimRequest) -> ClaimReply:
        self.hosts.check_current(command.host_id, command.incarnation)
        return self.claims.claim(command, self.now_ms)

    def _finish_claim(self, command: FinishClaim) -> Ack:
        self.claims.finish(command, self.now_ms)
        return Ack()

    # Quarantine.

    def _report_suspects(self, command: ReportSuspects) -> Ack:
        if command.backend_id:
            changes = self.crashes.report(command, self.now_ms)
        else:
            changes = self._count_crash(command)
        changes.extend(self._expire_fingerprints())
        self._record_fingerprints(changes, f'host:{command.host_id}')
        return Ack()

    def _count_crash(self, command: ReportSuspects) -> list[FingerprintChange]:
        event = 'crash_alone' if command.alone else 'crash_shared'
        # One crash counts once for a fingerprint that ran twice in the batch.
        return [
            self.quarantine.handle(fingerprint, event, self.now_ms)
            for fingerprint in dict.fromkeys(command.fingerprints)
        ]

    def _expire_fingerprints(self) -> list[FingerprintChange]:
        changes = self.quarantine.expire(self.now_ms)
        self.crashes.follow(changes)
        return changes

    def _clear_ended_runs(self, command: ClearEndedRuns) -> Ack:
        changes = self.crashes.clear(command, self.now_ms)
        self._record_fingerprints(changes, f'host:{command.host_id}')
        return Ack()

    def _take_trial_run(self, command: TakeTrialRun) -> TrialRunReply:
        return self.crashes.take_trial(command, self.now_ms)

    def _unblock(self, command: Unblock) -> UnblockReply:
        change = self.crashes.unblock(command.fingerprint, self.now_ms)
        self._record_fingerprints([change], command.operator)
        return UnblockReply(fingerprint=change[0], former_state=change[1])

    def _clear_suspect(self, command: ClearSuspect) -> Ack:
        change = self.quarantine.handle(
            command.fingerprint,
            'finished_alone',
            self.now_ms,
        )
        self._record_fingerprints([change], f'host:{command.host_id}')
        return Ack()

    def _record_fingerprints(
        self,
        changes: Iterable[FingerprintChange],
        operator: str,
    ) -> None:
        for fingerprint, before, after in changes:
            if before != after:
                self.changes.add_row('quarantine', [fingerprint, after])
                self.changes.record(
                    self.now_ms,
                    'change_fingerprint',
                    fingerprint,
                    (before, after),
                    operator,
                )

    # Configuration and keys.

    def _apply_document(self, command: ApplyDocument) -> DocumentReply:
        documents = self.documents
        before = documents.summary()
        row = documents.replace(command.expected_revision, command.content)
        self.budgets.configure(documents.document.accounts, self.now_ms)
        self.changes.add_row('document', row)
        self.changes.record(
            self.now_ms,
            'apply_document',
            f'revision {documents.revision}',
            (before, documents.summary()),
            command.operator,
            command.operation_id,
        )
        return DocumentReply(
            revision=documents.revision,
            digest=documents.digest,
        )

    def _issue_key(self, command: IssueKey) -> KeyReply:
        index = self.documents.document.index
        if index.account(command.account) is None:
            raise NotFoundError(f'account {command.account!r} does not exist')
        record = self.keys.issue(
            KeyRecord(
                key_id=command.key_id,
                key_hash=command.key_hash,
                account=command.account,
            ),
        )
        return self._record_key_change('issue_key', None, record, command)

    def _revoke_key(self, command: RevokeKey) -> KeyReply:
        before = self.keys.records.get(command.key_id)
        record = self.keys.revoke(command.key_id)
        return self._record_key_change('revoke_key', before, record, command)

    def _record_key_change(
        self,
        action: str,
        before: KeyRecord | None,
        after: KeyRecord,
        command: IssueKey | RevokeKey,
    ) -> KeyReply:
        self.changes.add_row('key', after.row())
        self.changes.record(
            self.now_ms,
            action,
            after.key_id,
            (key_summary(before), key_summary(after)),
            command.operator,
            command.operation_id,
        )
        return KeyReply(
            key_id=after.key_id,
            account=after.account,
            revoked=after.revoked,
        )
