"""Membership changes: waiting for earlier changes and for the commit."""

import asyncio
from collections.abc import Callable

from kumquatrun.consensus.quorum_types import MembershipChange
from kumquatrun.consensus.replica_status import ReplicaStatus
from kumquatrun.errors import (
    DeadlineExceededError,
    NotLeaderError,
    OutcomeUnknownError,
)

CHANGE_RETRY_S = 0.05


async def commit_change(
    replica: ReplicaStatus,
    append: Callable[[], tuple[int, int]],
    change: MembershipChange,
    timeout_s: float,
) -> None:
    """Append a change as soon as it is allowed and wait until it is applied.

    ``append`` appends the entry and returns its term and index.

    Raises
    ------
    NotLeaderError
        If the replica is not the leader.
    OutcomeUnknownError
        If the term changed before the entry was applied.
    DeadlineExceededError
        If the change could not be committed in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            term, index = await _append(append)
            await _wait_applied(replica, term, index)
    except TimeoutError:
        raise DeadlineExceededError(
            f'{change.action} of {change.replica_id} not committed within '
            f'{timeout_s} s',
        ) from None


async def _append(append: Callable[[], tuple[int, int]]) -> tuple[int, int]:
    while True:
        try:
            return append()
        except NotLeaderError as error:
            # A cause means that the leader cannot make the change yet.
            if not error.cause:
                raise
        await asyncio.sleep(CHANGE_RETRY_S)


async def _wait_applied(
    replica: ReplicaStatus,
    term: int,
    index: int,
) -> None:
    while replica.applied_index < index:
        if replica.term != term:
            raise OutcomeUnknownError('leadership was lost')
        await asyncio.sleep(CHANGE_RETRY_S)
