"""Client for operator calls: finds the leader, sends and resends calls."""

import asyncio
import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from kumquatrun.daemon.setting_kinds import parse_address
from kumquatrun.errors import (
    ConnectionLostError,
    ControlUnreachableError,
    DeadlineExceededError,
    KumquatrunError,
    NotLeaderError,
    Outcome,
    OutcomeUnknownError,
)
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.operator_messages import OperatorCall

READ_ACTIONS = frozenset(
    (
        'get_document',
        'list_keys',
        'get_status',
        'list_hosts',
        'list_adapters',
        'list_audit',
        'list_replicas',
    ),
)
ATTEMPT_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.1

# The state machine returns these after it has looked up the operation id, so
# they are final even after an attempt whose reply was lost.
_FINAL_CODES = frozenset(
    ('revision_conflict', 'invalid_document', 'not_found', 'invalid_request'),
)
# Membership changes bypass the state machine: after a lost reply, "not
# found" may mean that the replica was removed.
_MEMBERSHIP_ACTIONS = frozenset(('add_replica', 'remove_replica'))
_RETRIED_ERRORS = (
    ConnectionLostError,
    ControlUnreachableError,
    DeadlineExceededError,
    NotLeaderError,
)
_LEADER_ADDRESS = re.compile(r'(\S+:\d+)$')


@dataclass(frozen=True, kw_only=True)
class ControlTarget:
    """Control replicas to call, with credentials and time limit."""

    addresses: tuple[Address, ...]
    cluster_token: str = ''
    operator_token: str = ''
    operator: str = 'operator'
    timeout_s: float = 10


class OperatorClient:
    """Runs operator actions on the control leader."""

    def __init__(self, target: ControlTarget) -> None:
        self._target = target

    async def call(
        self,
        action: str,
        arguments: Mapping[str, Any],
        operation_id: str,
    ) -> Mapping[str, Any]:
        """Run one action and return its result.

        A call whose reply was lost is sent again with the same operation id,
        which the state machine executes once.

        Raises
        ------
        OutcomeUnknownError
            If a change was sent and no reply came in time.
        ControlUnreachableError
            If no leader could be reached; nothing was changed.
        KumquatrunError
            If the leader refused the call.
        """
        request = OperatorCall(
            action=action,
            operator=self._target.operator,
            operation_id=operation_id,
            operator_token=self._target.operator_token,
            arguments=arguments,
        )
        attempts = _Attempts(self._target.addresses, action)
        try:
            async with asyncio.timeout(self._target.timeout_s):
                return await self._call_until_final(request, attempts)
        except TimeoutError:
            raise attempts.failure(self._target.timeout_s) from None

    async def _call_until_final(
        self,
        request: OperatorCall,
        attempts: '_Attempts',
    ) -> Mapping[str, Any]:
        while True:
            attempts.reply_pending = True
            try:
                return await self._call_one(attempts.address, request)
            except KumquatrunError as error:
                attempts.record(error)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _call_one(
        self,
        address: Address,
        request: OperatorCall,
    ) -> Mapping[str, Any]:
        identity = Hello(
            node_id=f'operator-{self._target.operator}',
            incarnation=uuid.uuid4().hex,
            cluster_token=self._target.cluster_token,
        )
        client = PeerClient(address, identity)
        try:
            reply = await client.call(request, ATTEMPT_TIMEOUT_S)
        finally:
            await client.close()
        return reply.result


class _Attempts:
    """Next address and possible outcome of one call, after its attempts."""

    def __init__(self, addresses: tuple[Address, ...], action: str) -> None:
        self.address = addresses[0]
        # Set while an attempt may have reached the leader without a reply.
        self.reply_pending = False
        self._addresses = addresses
        self._action = action
        self._tried = 0
        self._outcome_unknown = False
        self._last_error: KumquatrunError | None = None

    def record(self, error: KumquatrunError) -> None:
        """Choose the next address, or raise if ``error`` is final."""
        self.reply_pending = False
        self._last_error = error
        if error.outcome is not Outcome.NOT_RUN:
            self._outcome_unknown = self._action not in READ_ACTIONS
        if not isinstance(error, _RETRIED_ERRORS):
            if self._outcome_unknown and not self._is_final(error):
                raise self.failure(0) from error
            raise error
        next_address = self._leader_of(error)
        if next_address is None:
            self._tried += 1
            next_address = self._addresses[self._tried % len(self._addresses)]
        self.address = next_address

    def failure(self, waited_s: float) -> KumquatrunError:
        """Return the error for a call that got no final reply."""
        last_detail = (
            self._last_error.detail if self._last_error else 'no reply'
        )
        detail = (
            f'{self._action}: no final reply in {waited_s:g} s; {last_detail}'
        )
        if self._action not in READ_ACTIONS and (
            self._outcome_unknown or self.reply_pending
        ):
            return OutcomeUnknownError(detail)
        return ControlUnreachableError(detail)

    def _is_final(self, error: KumquatrunError) -> bool:
        if self._action in _MEMBERSHIP_ACTIONS:
            return False
        return error.code in _FINAL_CODES

    def _leader_of(self, error: KumquatrunError) -> Address | None:
        match = _LEADER_ADDRESS.search(error.detail)
        if not isinstance(error, NotLeaderError) or match is None:
            return None
        try:
            return parse_address(match.group(1))
        except ValueError:
            return None
