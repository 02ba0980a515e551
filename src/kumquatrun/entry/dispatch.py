"""Sends one request to one agent and forwards its response."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from kumquatrun.entry.agent_pool import AgentPool
from kumquatrun.entry.budget_client import BudgetClient
from kumquatrun.entry.entry_checks import EntryChecks
from kumquatrun.entry.execution import Attempt, Execution
from kumquatrun.entry.response_writer import ResponseWriter
from kumquatrun.errors import (
    BackendError,
    ConnectionLostError,
    KumquatrunError,
    Outcome,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.peer.request_messages import Dispatch, Started
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.retry import Deadline

# Consumed tokens are recorded in steps of this size: the budget reports of an
# entry are sent twice a second, so smaller steps would only cost time.
CONSUME_STEP_TOKENS = 16

AdmissionCheck = Callable[[Execution], bool]
Spawn = Callable[[Coroutine], asyncio.Task]


class Dispatcher:
    """Runs single attempts to dispatch a request.

    Attributes
    ----------
    remote_bytes
        Body bytes exchanged with agents of other regions, by region.
    """

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        pool: AgentPool,
        budgets: BudgetClient,
        *,
        checks: EntryChecks,
        spawn: Spawn,
    ) -> None:
        self.remote_bytes: Counter[str] = Counter()
        self._session = session
        self._clock = clock
        self._pool = pool
        self._budgets = budgets
        self._checks = checks
        self._spawn = spawn

    async def run(
        self,
        execution: Execution,
        writer: ResponseWriter,
        record: HostRecord,
        check_admission: AdmissionCheck,
    ) -> None:
        """Dispatch the request once and write the response.

        Parameters
        ----------
        execution, writer
            The request and the writer of its response.
        record
            Host record of the agent.
        check_admission
            Raises an error for a request that must not be dispatched now;
            returns whether the request must run alone on its backend server.
            Called after the connection was opened, because that may take long.

        Raises
        ------
        KumquatrunError
            If there is no complete response; the last attempt of
            ``execution`` then holds what is known about its outcome.
        """
        attempt = Attempt(record.host_id)
        execution.attempts.append(attempt)
        try:
            await self._run(execution, writer, record, check_admission)
        except KumquatrunError as error:
            attempt.error_code = error.code
            raise

    def consume(self, execution: Execution, used_tokens: int) -> None:
        """Increase the consumption of a request to ``used_tokens``.

        A retried request is charged only once.
        """
        tokens = used_tokens - execution.consumed_tokens
        if execution.reservation is not None and tokens > 0:
            execution.consumed_tokens = used_tokens
            self._budgets.consume(execution.reservation, tokens)

    async def _run(
        self,
        execution: Execution,
        writer: ResponseWriter,
        record: HostRecord,
        check_admission: AdmissionCheck,
    ) -> None:
        attempt = execution.attempts[-1]
        target = (record, execution.request.adapter, execution.request.version)
        async with AsyncExitStack() as stack:
            self._pool.begin_dispatch(*target)
            stack.callback(self._pool.end_dispatch, *target)
            client = await self._connect(record)
            alone = check_admission(execution)
            dispatch = self._make_dispatch(execution, record, alone=alone)
            self._checks.check_dispatch(execution, dispatch)
            attempt.outcome = Outcome.UNKNOWN
            try:
                call = await stack.enter_async_context(client.stream(dispatch))
            except ConnectionLostError as error:
                attempt.outcome = error.outcome
                raise
            try:
                await self._receive(execution, writer, record, call)
            except BaseException as error:
                # Another task awaits the agent's reply to the cancellation,
                # because this task may itself be cancelled.
                detached_stack = stack.pop_all()
                self._close_call(execution, call, detached_stack, error)
                raise

    async def _connect(self, record: HostRecord) -> Any:
        try:
            client = self._pool.client(record)
            await client.connect()
        except (KumquatrunError, ValueError) as error:
            raise ConnectionLostError(
                f'cannot reach agent {record.host_id}: {error}',
                outcome=Outcome.NOT_RUN,
            ) from error
        return client

    def _make_dispatch(
        self,
        execution: Execution,
        record: HostRecord,
        *,
        alone: bool,
    ) -> Dispatch:
        request = execution.request
        self._count_remote_bytes(record, len(request.body))
        now_s = self._clock.now_s()
        return Dispatch(
            request_id=request.request_id,
            attempt=len(execution.attempts) - 1,
            agent_incarnation=record.incarnation,
            account=request.account,
            service=request.route.service,
            adapter=request.adapter,
            version=request.version,
            path=request.path,
            method=request.method,
            body=request.body,
            content_type=request.content_type,
            cost_tokens=request.cost_tokens,
            weight=request.weight,
            priority=request.priority,
            deadline_s=Deadline(request.deadline_s).remaining_s(now_s),
            repeatable=request.route.idempotent,
            alone=alone,
            fingerprint=request.fingerprint,
            stream=request.stream,
        )

    def _count_remote_bytes(self, record: HostRecord, size_bytes: int) -> None:
        if record.region != self._session.record.region:
            self.remote_bytes[record.region] += size_bytes

    async def _receive(
        self,
        execution: Execution,
        writer: ResponseWriter,
        record: HostRecord,
        call: Any,
    ) -> None:
        started = await anext(call, None)
        if not isinstance(started, Started):
            raise _unexpected_item(record)
        execution.started = started
        self._check_started(execution, record, started)
        execution.attempts[-1].outcome = Outcome.RAN
        writer.set_head(started.status, started.content_type)
        self.consume(execution, execution.request.prompt_tokens)
        # Called for each item on arrival; the loop below receives the items for
        # which the handler returns False.
        call.item_handler = self._make_item_handler(execution, writer)
        async for item in call:
            if not isinstance(item, bytes):
                raise _unexpected_item(record)
            if execution.first_byte_s is None:
                execution.first_byte_s = self._clock.now_s()
            await writer.write(item)
        self._count_remote_bytes(record, writer.body_bytes)
        execution.finished = call.reply
        await writer.finish()

    def _make_item_handler(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> Callable[[bytes], bool]:
        next_consume_events = CONSUME_STEP_TOKENS

        def forward_item(item: bytes) -> bool:
            nonlocal next_consume_events
            if not writer.write_now(item):
                return False
            if writer.counter.events >= next_consume_events:
                next_consume_events = (
                    writer.counter.events + CONSUME_STEP_TOKENS
                )
                self.consume(execution, streamed_tokens(execution, writer))
            return True

        return forward_item

    def _check_started(
        self,
        execution: Execution,
        record: HostRecord,
        started: Started,
    ) -> None:
        is_expected = execution.request.matches_start(started)
        if not is_expected or started.host_id != record.host_id:
            raise BackendError(
                f'agent {record.host_id} reported the wrong adapter, version '
                f'or host: {started.adapter}'
                f'@{started.version} on {started.host_id}',
                outcome=Outcome.UNKNOWN,
            )

    def _close_call(
        self,
        execution: Execution,
        call: Any,
        stack: AsyncExitStack,
        error: BaseException,
    ) -> None:
        call.item_handler = None
        attempt = execution.attempts[-1]
        has_reply = isinstance(error, KumquatrunError) and call.is_done
        if has_reply and attempt.outcome is not Outcome.RAN:
            attempt.outcome = error.outcome
        execution.cancellation = self._spawn(
            self._cancel_call(attempt, call, stack),
        )

    async def _cancel_call(
        self,
        attempt: Attempt,
        call: Any,
        stack: AsyncExitStack,
    ) -> None:
        async with stack:
            if call.is_done:
                return
            outcome = await call.cancel()
            if attempt.outcome is not Outcome.RAN:
                attempt.outcome = outcome


def streamed_tokens(execution: Execution, writer: ResponseWriter) -> int:
    """Return the tokens of the prompt and those streamed so far.

    The number of events only estimates the output tokens, so the result is
    limited to the reserved tokens.
    """
    request = execution.request
    used_tokens = request.prompt_tokens + writer.counter.events
    return min(used_tokens, request.cost_tokens)


def _unexpected_item(record: HostRecord) -> BackendError:
    return BackendError(
        f'agent {record.host_id} sent an unexpected item or none',
        outcome=Outcome.UNKNOWN,
    )
