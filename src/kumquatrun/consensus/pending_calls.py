"""Calls of a replica that wait for a flush, a commit or a confirmation."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from kumquatrun.consensus.quorum_node import LogNode
from kumquatrun.consensus.quorum_types import AppliedCommand, Barrier
from kumquatrun.errors import (
    DeadlineExceededError,
    KumquatrunError,
    NoCapacityError,
    NotLeaderError,
    OutcomeUnknownError,
)
from kumquatrun.peer.messages import Ack


@dataclass(frozen=True)
class DeferredReply:
    """Answer to a consensus message, held back until the sync."""

    future: asyncio.Future
    message: Any

    def resolve(self) -> None:
        """Send the answer."""
        if not self.future.done():
            self.future.set_result(self.message or Ack())


class PendingCalls:
    """Futures of all open calls, by what they wait for."""

    def __init__(self) -> None:
        self._open: set[asyncio.Future] = set()
        self._requests: list[tuple[Any, asyncio.Future]] = []
        self._replies: list[Any] = []
        self._proposals: list[tuple[bytes, asyncio.Future]] = []
        self._barriers: list[asyncio.Future] = []
        self._uncommitted: dict[int, tuple[int, asyncio.Future]] = {}
        self._unconfirmed: list[tuple[Barrier, asyncio.Future]] = []

    @property
    def is_pending(self) -> bool:
        """Return whether anything waits for the next flush."""
        return bool(
            self._requests or self._replies or self._proposals or self._barriers
        )

    def add_request(self, request: Any) -> asyncio.Future:
        """Add a consensus message that gets a reply."""
        future = self._new_future()
        self._requests.append((request, future))
        return future

    def add_reply(self, msg: Any) -> None:
        """Add the reply of another replica."""
        self._replies.append(msg)

    def add_proposal(self, command: bytes) -> asyncio.Future:
        """Add a command to propose."""
        future = self._new_future()
        self._proposals.append((command, future))
        return future

    def add_barrier(self) -> asyncio.Future:
        """Add a read barrier."""
        future = self._new_future()
        self._barriers.append(future)
        return future

    def submit(self, node: LogNode, now_s: float) -> list[DeferredReply]:
        """Pass all pending work to the node; returns the replies to send."""
        replies = self._replies
        self._replies = []
        for msg in replies:
            node.receive(msg, now_s)
        requests = self._requests
        self._requests = []
        answers = [
            DeferredReply(future, node.receive(request, now_s))
            for request, future in requests
        ]
        self._submit_proposals(node, now_s)
        self._submit_barriers(node, now_s)
        return answers

    def resolve(self, node: LogNode, applied: Iterable[AppliedCommand]) -> None:
        """Complete the calls whose condition is met or can no longer be."""
        for command in applied:
            term, future = self._uncommitted.pop(command.entry.index, (0, None))
            if future is None or future.done():
                continue
            if term == command.entry.term:
                future.set_result(command.result)
            else:
                _fail(future, OutcomeUnknownError('leadership was lost'))
        self._fail_outdated_proposals(node)
        self._resolve_barriers(node)

    def fail_all(self, error: NotLeaderError) -> None:
        """Fail all calls; appended commands end with an unknown outcome."""
        for _, future in self._uncommitted.values():
            _fail(future, OutcomeUnknownError(error.detail))
        for future in list(self._open):
            _fail(future, error)
        self._uncommitted.clear()
        self._unconfirmed.clear()
        self._requests.clear()
        self._replies.clear()
        self._proposals.clear()
        self._barriers.clear()

    def _new_future(self) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        self._open.add(future)
        future.add_done_callback(self._open.discard)
        return future

    def _submit_proposals(self, node: LogNode, now_s: float) -> None:
        # A proposal whose caller gave up before the flush is not appended.
        waiting = [
            proposal for proposal in self._proposals if not proposal[1].done()
        ]
        self._proposals = []
        if not waiting:
            return
        try:
            indexes = node.core.propose(
                [proposal[0] for proposal in waiting], now_s
            )
        except (NotLeaderError, NoCapacityError) as error:
            for proposal in waiting:
                _fail(proposal[1], error)
            return
        for index, proposal in zip(indexes, waiting, strict=True):
            self._uncommitted[index] = (node.core.term, proposal[1])

    def _submit_barriers(self, node: LogNode, now_s: float) -> None:
        waiting = self._barriers
        self._barriers = []
        if not waiting:
            return
        try:
            barrier = node.core.start_barrier(now_s)
        except NotLeaderError as error:
            for future in waiting:
                _fail(future, error)
            return
        self._unconfirmed.extend((barrier, call) for call in waiting)

    def _fail_outdated_proposals(self, node: LogNode) -> None:
        leading_term = node.core.term if node.core.is_leader else 0
        for index, (term, future) in list(self._uncommitted.items()):
            if term != leading_term:
                self._uncommitted.pop(index)
                _fail(future, OutcomeUnknownError('leadership was lost'))

    def _resolve_barriers(self, node: LogNode) -> None:
        unconfirmed = self._unconfirmed
        self._unconfirmed = []
        for barrier, future in unconfirmed:
            try:
                confirmed = node.core.is_confirmed(barrier)
            except NotLeaderError as error:
                _fail(future, error)
                continue
            if future.done():
                continue
            if confirmed and node.applied_index >= barrier.index:
                future.set_result(barrier.index)
            else:
                self._unconfirmed.append((barrier, future))


async def wait_with_timeout(
    future: asyncio.Future,
    timeout_s: float,
    awaited: str,
) -> Any:
    """Wait for a call.

    Raises
    ------
    DeadlineExceededError
        If it is not complete in time; its outcome is unknown.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        raise DeadlineExceededError(f'no {awaited} in {timeout_s} s') from None


def _fail(future: asyncio.Future, error: KumquatrunError) -> None:
    if not future.done():
        future.set_exception(error)
