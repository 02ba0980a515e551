"""Operator actions: the calls behind the operator commands."""

import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from kumquatrun.command_batcher import CommandBatcher
from kumquatrun.commands import ApplyDocument, DrainHost, IssueKey, RevokeKey
from kumquatrun.control_state import ControlState
from kumquatrun.errors import InvalidRequestError, UnauthorizedPeerError
from kumquatrun.messages import OperatorCall, OperatorReply
from kumquatrun.replica import Replica

READ_TIMEOUT_S = 2.0

Action = Callable[[OperatorCall], Awaitable[Mapping[str, Any]]]


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
    ) -> None:
        self._replica = replica
        self._state = state
        self._batcher = batcher
        self._operator_token = operator_token
        self._changes: Mapping[str, Callable[..., Any]] = {
            'apply_document': ApplyDocument,
            'issue_key': IssueKey,
            'revoke_key': RevokeKey,
            'drain_host': DrainHost,
        }
        self._reads: Mapping[str, Callable[..., Mapping[str, Any]]] = {
            'get_document': self._state.document_info,
            'get_status': self._status,
            'list_keys': self._state.list_keys,
            'list_hosts': self._state.list_hosts,
            'list_adapters': self._state.list_adapters,
            'list_audit': self._state.list_audit,
            'list_replicas': self._replicas,
        }
        self._membership: Mapping[str, Action] = {
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
        if call.action in self._changes:
            return OperatorReply(result=await self._change(call))
        if call.action in self._membership:
            return OperatorReply(
                result=await self._membership[call.action](call),
            )
        if call.action in self._reads:
            return OperatorReply(result=await self._read(call))
        raise InvalidRequestError(f'unknown operator action {call.action!r}')

    async def _change(self, call: OperatorCall) -> Mapping[str, Any]:
        try:
            command = self._changes[call.action](
                operator=call.operator,
                operation_id=call.operation_id,
                **call.arguments,
            )
        except TypeError as error:
            raise InvalidRequestError(f'{call.action}: {error}') from error
        reply = await self._batcher.commit(command)
        return reply.result

    async def _read(self, call: OperatorCall) -> Mapping[str, Any]:
        await self._replica.read_barrier(READ_TIMEOUT_S)
        try:
            return self._reads[call.action](**call.arguments)
        except TypeError as error:
            raise InvalidRequestError(f'{call.action}: {error}') from error

    def _status(self) -> Mapping[str, Any]:
        return {
            **self._state.status(),
            'leader': self._replica.leader_id,
            'term': self._replica.term,
            'commit_index': self._replica.commit_index,
            'applied_index': self._replica.applied_index,
        }
