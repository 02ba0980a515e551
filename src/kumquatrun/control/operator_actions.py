"""Actions that the operator commands call."""

import hmac
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from typing import Any

from kumquatrun.consensus.quorum_types import MembershipChange
from kumquatrun.consensus.replica import Replica
from kumquatrun.control.command_batcher import CommandBatcher
from kumquatrun.control.commands import (
    ApplyDocument,
    DrainHost,
    IssueKey,
    RevokeKey,
    Unblock,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.evacuations import FinishEvacuation, StartEvacuation
from kumquatrun.document.document_transfer import pack_content, unpack_arguments
from kumquatrun.errors import InvalidRequestError, UnauthorizedPeerError
from kumquatrun.peer.node_messages import AgentReport
from kumquatrun.peer.operator_messages import OperatorCall, OperatorReply

READ_TIMEOUT_S = 2.0
MEMBERSHIP_TIMEOUT_S = 30.0
MAX_ROWS = 10_000

Fields = Mapping[str, Any]


class OperatorActions:
    """Runs operator actions on the leader.

    Changes are committed commands that carry the operation id; reads wait for
    a read barrier, so that they are never stale.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        batcher: CommandBatcher,
        operator_token: str,
        agent_reports: Callable[[], tuple[AgentReport, ...]],
    ) -> None:
        self._replica = replica
        self._state = state
        self._batcher = batcher
        self._operator_token = operator_token
        self._agent_reports = agent_reports
        self._changes: Mapping[str, Callable[..., Any]] = {
            'apply_document': ApplyDocument,
            'issue_key': IssueKey,
            'revoke_key': RevokeKey,
            'drain_host': DrainHost,
            'unblock': Unblock,
            'start_evacuation': StartEvacuation,
            'finish_evacuation': FinishEvacuation,
        }
        self._reads: Mapping[str, Callable[..., Fields]] = {
            'get_document': self._document,
            'get_status': self._status,
            'list_keys': self._keys,
            'list_hosts': self._hosts,
            'list_adapters': self._adapters,
            'list_audit': self._audit,
            'list_replicas': self._replicas,
        }
        self._membership: Mapping[str, Callable[..., Awaitable[Fields]]] = {
            'add_replica': self._add_replica,
            'remove_replica': self._remove_replica,
        }

    async def run(self, call: OperatorCall) -> OperatorReply:
        """Check the token and run the action.

        Raises
        ------
        UnauthorizedPeerError
            If the operator token is wrong.
        InvalidRequestError
            If the action is unknown or an argument is missing or unknown.
        """
        expected = self._operator_token.encode()
        if not hmac.compare_digest(expected, call.operator_token.encode()):
            raise UnauthorizedPeerError('wrong operator token')
        tables = (
            (self._changes, self._change),
            (self._reads, self._read),
            (self._membership, self._change_membership),
        )
        for table, run in tables:
            if call.action in table:
                try:
                    return OperatorReply(result=await run(call))
                except (TypeError, ValueError) as error:
                    raise InvalidRequestError(
                        f'{call.action}: {error}',
                    ) from error
        raise InvalidRequestError(f'unknown operator action {call.action!r}')

    async def _change(self, call: OperatorCall) -> Fields:
        arguments = call.arguments
        if call.action == 'apply_document':
            arguments = unpack_arguments(arguments)
        command = self._changes[call.action](
            operator=call.operator,
            operation_id=call.operation_id,
            **arguments,
        )
        return asdict(await self._batcher.commit(command))

    async def _read(self, call: OperatorCall) -> Fields:
        await self._replica.read_barrier(READ_TIMEOUT_S)
        return self._reads[call.action](**call.arguments)

    async def _change_membership(self, call: OperatorCall) -> Fields:
        return await self._membership[call.action](**call.arguments)

    async def _add_replica(
        self,
        replica_id: str,
        address: str,
        disk_id: str,
    ) -> Fields:
        """Make a replica a voter; a joined one is already a learner.

        The call can be repeated. It is refused if the replica is a member
        with another disk: the given disk lacks the votes and entries that are
        stored on the member's disk.
        """
        members = {row.replica_id: row for row in self._replica.members}
        member = members.get(replica_id)
        if member is None:
            actions = ('add_learner', 'promote')
        elif member.disk_id == disk_id:
            actions = () if member.voter else ('promote',)
        else:
            raise InvalidRequestError(
                f'replica {replica_id} has disk {member.disk_id}',
            )
        for action in actions:
            await self._replica.change_membership(
                MembershipChange(action, replica_id, disk_id, address),
                MEMBERSHIP_TIMEOUT_S,
            )
        return self._replicas()

    async def _remove_replica(self, replica_id: str) -> Fields:
        await self._replica.change_membership(
            MembershipChange('remove', replica_id),
            MEMBERSHIP_TIMEOUT_S,
        )
        return self._replicas()

    def _document(self) -> Fields:
        return {
            'revision': self._state.revision,
            'digest': self._state.digest,
            **pack_content(self._state.content()),
        }

    def _status(self) -> Fields:
        return {
            **self._state.status(),
            'leader': self._replica.leader_id,
            'term': self._replica.term,
            'commit_index': self._replica.commit_index,
            'replicas': self._replica.standings(),
        }

    def _keys(self) -> Fields:
        records = self._state.keys()
        return {
            'keys': [
                {
                    'key_id': record.key_id,
                    'account': record.account,
                    'revoked': record.revoked,
                }
                for record in records
            ],
        }

    def _hosts(self) -> Fields:
        reports_by_host = {
            report.host_id: report for report in self._agent_reports()
        }
        rows = []
        for record in self._state.hosts():
            row = asdict(record)
            report = reports_by_host.get(record.host_id)
            if report is not None:
                row['running'] = report.running
                row['queued'] = report.queued
            rows.append(row)
        return {'hosts': rows}

    def _adapters(self, after: str = '', limit: int = MAX_ROWS) -> Fields:
        loaded: dict[str, list[str]] = {}
        for report in self._agent_reports():
            for adapter in report.adapters:
                loaded.setdefault(adapter, []).append(report.host_id)
        rows = [
            {
                'name': spec.name,
                'service': spec.service,
                'versions': list(spec.versions),
                'loaded_on': sorted(
                    f'{host_id} (version {version})'
                    for version in spec.versions
                    for host_id in loaded.get(f'{spec.name}@{version}', ())
                ),
            }
            for spec in self._state.adapters(after, min(limit, MAX_ROWS))
        ]
        return {'adapters': rows}

    def _audit(self, after: int = 0, limit: int = 100) -> Fields:
        newest_first = self._state.audit(None, MAX_ROWS)
        rows = [asdict(row) for row in newest_first if row.number > after]
        rows.reverse()
        return {'records': rows[: max(0, limit)]}

    def _replicas(self) -> Fields:
        return {'replicas': [asdict(row) for row in self._replica.members]}
