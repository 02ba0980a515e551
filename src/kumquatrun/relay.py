"""Takes one request through reserve, claim, dispatch, retry and settle."""

import asyncio
import logging
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any, Protocol

from kumquatrun.agent_pool import AgentPool
from kumquatrun.answer import AnswerWriter, Sink
from kumquatrun.budget_client import BudgetClient, Charge
from kumquatrun.claim_client import MAX_STORED_BYTES, ClaimClient
from kumquatrun.clock import Clock
from kumquatrun.control_api import NodeSession
from kumquatrun.document import Access
from kumquatrun.errors import (
    BackendError,
    ControlUnreachableError,
    DeadlineExceededError,
    DrainingError,
    InvalidKeyError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
    QuarantinedError,
    StaleDispatchError,
    StreamCutError,
)
from kumquatrun.execution import Attempt, Execution, RelayRequest
from kumquatrun.invariants import Invariants
from kumquatrun.messages import Dispatch, Finished, HostRecord, Started
from kumquatrun.retry import Backoff, Deadline, RetryBudget

log = logging.getLogger(__name__)

HTTP_SERVER_ERROR = 500
# Consumed tokens are recorded in steps: the wallet's reports leave twice a
# second, so finer steps only cost time.
CONSUME_STEP_TOKENS = 16
_AVOID_ERRORS = (DrainingError, StaleDispatchError)


class CallerGoneError(StreamCutError):
    """Ends a request whose caller disconnected or reads too slowly."""


@dataclass(frozen=True)
class RelayResult:
    """How a request ended; ``error`` is None after a complete answer."""

    outcome: Outcome
    status: int
    error: KumquatrunError | None = None


@dataclass
class _Work:
    """What must be given back when a request ends."""

    execution: Execution
    writer: AnswerWriter
    charge: Charge | None = None
    is_claim_asked: bool = False
    is_claimed: bool = False
    consumed_tokens: int = 0
    finished: Finished | None = None
    tried: list[str] = field(default_factory=list)


class TrafficCounter(Protocol):
    """Counts bytes that cross regions."""

    def add_remote_bytes(self, region: str, count: int) -> None:
        """Count bytes that are exchanged with an agent of ``region``."""
        ...


class Relay:
    """Runs requests on agents."""

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        pool: AgentPool,
        budgets: BudgetClient,
        claims: ClaimClient,
        *,
        rng: random.Random,
        invariants: Invariants,
        retry_budget: RetryBudget | None = None,
        backoff: Backoff | None = None,
    ) -> None:
        self._session = session
        self._clock = clock
        self._pool = pool
        self._budgets = budgets
        self._claims = claims
        self._rng = rng
        self._invariants = invariants
        self._retry_budget = retry_budget or RetryBudget()
        self._backoff = backoff or Backoff()
        self._open: dict[str, Execution] = {}
        self._background: set[asyncio.Task] = set()
        self.remote_bytes: dict[str, int] = {}

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._open)

    async def run(self, execution: Execution, sink: Sink) -> RelayResult:
        """Run a request and write its answer to ``sink``.

        A failure is returned, not raised and not written: the caller of this
        method renders it. A cancellation is passed on after the clean-up was
        handed to a background task.
        """
        request = execution.request
        keep_bytes = MAX_STORED_BYTES if request.idempotency_key else 0
        work = _Work(execution, AnswerWriter(sink, keep_bytes))
        self._open[request.request_id] = execution
        self._retry_budget.record_request(self._clock.now_s())
        error: KumquatrunError | None = None
        try:
            async with execution.scope(self._clock.now_s()):
                await self._process(work)
        except TimeoutError:
            error = execution.interruption or DeadlineExceededError(
                'the request did not finish before its deadline',
            )
        except KumquatrunError as failure:
            error = failure
        except OSError as failure:
            error = CallerGoneError(f'the caller disconnected: {failure}')
        finally:
            conclusion = self._spawn(self._conclude(work))
        await asyncio.shield(conclusion)
        return self._result(work, error)

    def end_streams(self) -> None:
        """End the keyed requests whose lease or key is gone."""
        is_leased = self._session.lease_valid()
        account_of_key = self._session.view.account_of_key
        accounts: dict[str, str | None] = {}
        for execution in list(self._open.values()):
            request = execution.request
            if request.route.access is not Access.KEY:
                continue
            if not is_leased:
                execution.interrupt(_lease_ended())
                continue
            if request.key not in accounts:
                accounts[request.key] = account_of_key(request.key)
            if accounts[request.key] != request.account:
                execution.interrupt(InvalidKeyError('the key was revoked'))

    async def idle(self) -> None:
        """Wait until all clean-up is done."""
        while self._background:
            await asyncio.wait(self._background)

    async def _process(self, work: _Work) -> None:
        request = work.execution.request
        self._check_admission(request)
        if request.account:
            work.charge = await self._budgets.reserve(
                request.account, request.cost_tokens
            )
        if request.idempotency_key:
            work.is_claim_asked = True
            answer = await self._claims.claim(request)
            if answer is not None:
                await self._repeat_answer(work, answer)
                return
            work.is_claimed = True
        await self._dispatch(work)

    def _check_admission(self, request: RelayRequest) -> str:
        is_keyed = request.route.access is Access.KEY
        if is_keyed and not self._session.lease_valid():
            raise _lease_ended()
        state = self._session.view.fingerprint_state(request.fingerprint)
        if state == 'quarantined':
            raise QuarantinedError('the request is quarantined')
        return state

    async def _repeat_answer(self, work: _Work, answer) -> None:
        work.execution.attempts.append(Attempt('', Outcome.RAN))
        work.writer.begin(answer.status, answer.content_type)
        await work.writer.write(answer.body)
        await work.writer.finish()

    async def _dispatch(self, work: _Work) -> None:
        retry = 0
        while True:
            record = self._choose(work)
            attempt = Attempt(record.host_id)
            work.execution.attempts.append(attempt)
            try:
                await self._attempt(work, record, attempt)
            except KumquatrunError as error:
                self._note_failure(record, error)
                await self._back_off(work, attempt, error, retry)
            else:
                return
            retry += 1

    def _choose(self, work: _Work) -> HostRecord:
        request = work.execution.request
        name = (request.route.service, request.adapter, request.version)
        tried = {attempt.host_id for attempt in work.execution.attempts}
        record = self._pool.choose(*name, tried)
        if record is None:
            raise NoCapacityError(f'no agent of {request.route.service}')
        return record

    def _note_failure(self, record: HostRecord, error: KumquatrunError) -> None:
        lost = error.code == 'connection_lost'
        if lost or isinstance(error, _AVOID_ERRORS):
            self._pool.avoid(record)

    async def _back_off(
        self,
        work: _Work,
        attempt: Attempt,
        error: KumquatrunError,
        retry: int,
    ) -> None:
        if not self._may_retry(work, attempt, error):
            raise error
        delay_s = self._backoff.delay_s(retry, self._rng)
        now_s = self._clock.now_s()
        deadline = Deadline(work.execution.request.deadline_s)
        if not deadline.allows(delay_s, now_s):
            raise error
        if not self._retry_budget.take(now_s):
            raise error
        await asyncio.sleep(delay_s)
        self._check_admission(work.execution.request)

    def _may_retry(
        self,
        work: _Work,
        attempt: Attempt,
        error: KumquatrunError,
    ) -> bool:
        if work.writer.is_started:
            return False
        if error.kind.http_status < HTTP_SERVER_ERROR:
            return False
        if attempt.outcome is Outcome.NOT_RUN:
            return True
        return work.execution.request.route.idempotent

    async def _attempt(
        self,
        work: _Work,
        record: HostRecord,
        attempt: Attempt,
    ) -> None:
        request = work.execution.request
        client = self._pool.client(record)
        name = (record, request.adapter, request.version)
        self._pool.begin(*name)
        stack = AsyncExitStack()
        stack.callback(self._pool.end, *name)
        try:
            await client.connect()
            dispatch = self._message(work, record)
            attempt.outcome = Outcome.UNKNOWN
            call = await stack.enter_async_context(client.stream(dispatch))
        except KumquatrunError as error:
            attempt.outcome = error.outcome
            await stack.aclose()
            raise
        except BaseException:
            await stack.aclose()
            raise
        try:
            await self._receive(work, record, attempt, call)
        except BaseException as error:
            self._close_call(work, attempt, call, stack, error)
            raise
        await stack.aclose()

    def _message(self, work: _Work, record: HostRecord) -> Dispatch:
        request = work.execution.request
        state = self._check_admission(request)
        self._check_single_execution(work)
        now_s = self._clock.now_s()
        return Dispatch(
            request_id=request.request_id,
            attempt=len(work.execution.attempts) - 1,
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
            alone=state == 'suspect',
            fingerprint=request.fingerprint,
            stream=request.stream,
        )

    def _check_single_execution(self, work: _Work) -> None:
        earlier = work.execution.attempts[:-1]
        self._invariants.check(
            work.execution.request.route.idempotent
            or all(each.outcome is Outcome.NOT_RUN for each in earlier),
            'single_execution',
            work.execution.request.request_id,
        )

    async def _receive(
        self,
        work: _Work,
        record: HostRecord,
        attempt: Attempt,
        call: Any,
    ) -> None:
        writer = work.writer
        is_started = False
        unreported = 0
        async for item in call:
            if isinstance(item, Started) and not is_started:
                is_started = True
                self._check_started(work, record, item)
                attempt.outcome = Outcome.RAN
                writer.begin(item.status, item.content_type)
                self._consume(work, work.execution.request.prompt_tokens)
                continue
            if not is_started or not isinstance(item, bytes):
                raise BackendError(
                    f'agent {record.host_id} sent an unexpected item',
                    outcome=Outcome.UNKNOWN,
                )
            if work.execution.first_byte_s is None:
                work.execution.first_byte_s = self._clock.now_s()
            await writer.write(item)
            if writer.counter.events - unreported >= CONSUME_STEP_TOKENS:
                self._consume(work, writer.counter.events - unreported)
                unreported = writer.counter.events
        work.finished = call.reply
        await writer.finish()

    def _check_started(
        self,
        work: _Work,
        record: HostRecord,
        started: Started,
    ) -> None:
        request = work.execution.request
        expected = (record.host_id, request.adapter, request.version)
        actual = (started.host_id, started.adapter, started.version)
        if actual != expected:
            raise BackendError(
                f'agent started {actual} instead of {expected}',
                outcome=Outcome.UNKNOWN,
            )

    def _consume(self, work: _Work, tokens: int) -> None:
        if work.charge is not None:
            work.consumed_tokens += tokens
            self._budgets.consume(work.charge, tokens)

    def _close_call(
        self,
        work: _Work,
        attempt: Attempt,
        call: Any,
        stack: AsyncExitStack,
        error: BaseException,
    ) -> None:
        is_told = isinstance(error, KumquatrunError) and call.is_done
        if is_told and attempt.outcome is not Outcome.RAN:
            attempt.outcome = error.outcome
        work.execution.closing = self._spawn(
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

    async def _conclude(self, work: _Work) -> None:
        execution = work.execution
        request = execution.request
        self._open.pop(request.request_id, None)
        if execution.closing is not None:
            await execution.closing
        if work.charge is not None:
            self._consume(work, self._used_tokens(work) - work.consumed_tokens)
            self._budgets.settle(work.charge)
        if work.is_claimed:
            self._spawn(
                self._claims.finish(
                    request,
                    execution.outcome,
                    work.writer.stored_answer() if work.finished else None,
                ),
            )

    def _used_tokens(self, work: _Work) -> int:
        request = work.execution.request
        if work.execution.outcome is Outcome.NOT_RUN:
            return 0
        if work.finished is not None and work.finished.prompt_tokens:
            work.execution.output_tokens = work.finished.output_tokens
            used = work.finished.prompt_tokens + work.finished.output_tokens
        else:
            work.execution.output_tokens = work.writer.counter.events
            used = request.prompt_tokens + work.writer.counter.events
        return min(used, request.cost_tokens)

    def _result(
        self,
        work: _Work,
        error: KumquatrunError | None,
    ) -> RelayResult:
        outcome = work.execution.outcome
        if error is None:
            return RelayResult(outcome, work.writer.status)
        if work.writer.is_started and not isinstance(error, CallerGoneError):
            error = StreamCutError(f'the answer was cut: {error.detail}')
        if work.execution.attempts:
            error.outcome = outcome
        return RelayResult(error.outcome, error.kind.http_status, error)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _lease_ended() -> KumquatrunError:
    return ControlUnreachableError('this entry has no valid lease')
