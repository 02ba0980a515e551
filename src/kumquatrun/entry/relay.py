"""Reserves, claims, dispatches, retries and settles requests."""

import asyncio
import logging
import random

from kumquatrun.document.document import Access
from kumquatrun.entry.agent_pool import AgentPool
from kumquatrun.entry.budget_client import BudgetClient
from kumquatrun.entry.claim_client import MAX_STORED_BYTES, ClaimClient
from kumquatrun.entry.dispatch import Dispatcher, streamed_tokens
from kumquatrun.entry.entry_checks import EntryChecks
from kumquatrun.entry.execution import (
    CallerDisconnectedError,
    Execution,
    RelayRequest,
    RelayResult,
)
from kumquatrun.entry.response_writer import ResponseWriter, Sink
from kumquatrun.errors import (
    ControlUnreachableError,
    DeadlineExceededError,
    InvalidKeyError,
    KumquatrunError,
    NoCapacityError,
    Outcome,
    QuarantinedError,
    StreamCutError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.peer.request_messages import StoredAnswer
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.invariants import InvariantError, Invariants
from kumquatrun.runtime.retry import Backoff, Deadline, RetryBudget

log = logging.getLogger(__name__)

HTTP_SERVER_ERROR = 500
# How long a stopping entry waits for clean-up. Ending a claim may be retried
# for longer than that.
STOP_TIMEOUT_S = 2.0
# After one of these errors other agents are preferred for a while.
_AVOID_CODES = frozenset(
    ('connection_lost', 'control_unreachable', 'draining', 'stale_dispatch'),
)


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
        dispatcher_class: type[Dispatcher] = Dispatcher,
    ) -> None:
        self._session = session
        self._clock = clock
        self._pool = pool
        self._budgets = budgets
        self._claims = claims
        self._rng = rng
        self._retry_budget = RetryBudget()
        self._backoff = Backoff()
        self._executions: dict[str, Execution] = {}
        self._background: set[asyncio.Task] = set()
        self._checks = EntryChecks(invariants, session)
        self.dispatcher = dispatcher_class(
            session,
            clock,
            pool,
            budgets,
            checks=self._checks,
            spawn=self._spawn,
        )

    @property
    def open_requests(self) -> int:
        """Return the number of open requests."""
        return len(self._executions)

    async def run(self, execution: Execution, sink: Sink) -> RelayResult:
        """Run a request and write its response to ``sink``.

        A failure is returned, neither raised nor written: the caller of this
        method renders it. A cancellation is raised again after the clean-up
        was started in a background task.
        """
        request = execution.request
        max_stored_bytes = MAX_STORED_BYTES if request.idempotency_key else 0
        writer = ResponseWriter(sink, max_stored_bytes)
        self._executions[request.request_id] = execution
        self._retry_budget.record_request(self._clock.now_s())
        try:
            error = await self._run_until_deadline(execution, writer)
        finally:
            execution.cleanup_task = self._spawn(
                self._clean_up(execution, writer)
            )
        await asyncio.shield(execution.cleanup_task)
        result = self._result(execution, writer, error)
        self._checks.check_result(
            execution, writer, result.outcome, result.error
        )
        return result

    def interrupt_unauthorized(self) -> None:
        """Interrupt keyed requests that have no valid lease or key."""
        for execution in list(self._executions.values()):
            try:
                self._check_caller(execution.request)
            except KumquatrunError as error:
                execution.interrupt(error)

    async def wait_idle(self) -> None:
        """Wait until all clean-up is done."""
        while self._background:
            await asyncio.wait(self._background)

    async def stop(self) -> None:
        """Wait a bounded time for the clean-up, then cancel it."""
        if self._background:
            await asyncio.wait(self._background, timeout=STOP_TIMEOUT_S)
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def _run_until_deadline(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> KumquatrunError | None:
        try:
            async with execution.deadline_scope(self._clock.now_s()):
                await self._process(execution, writer)
        except TimeoutError:
            return execution.interruption or DeadlineExceededError(
                'the request did not finish before its deadline',
                outcome=Outcome.NOT_RUN,
            )
        except KumquatrunError as error:
            return error
        except Exception as error:
            return _unexpected_error(execution, error)
        return None

    async def _process(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> None:
        request = execution.request
        self._admit(execution)
        if request.account:
            execution.reservation = await self._budgets.reserve(
                request.account, request.cost_tokens
            )
        if request.idempotency_key:
            answer = await self._claim(execution)
            if answer is not None:
                execution.is_replay = True
                await writer.send_stored(answer)
                return
        await self._dispatch(execution, writer)

    async def _claim(self, execution: Execution) -> StoredAnswer | None:
        # Until the leader replies, the claim may have been granted, so it must
        # be ended when the request ends.
        execution.is_claimed = True
        execution.is_claim_pending = True
        try:
            answer = await self._claims.claim(execution.request)
        except ControlUnreachableError:
            raise
        except KumquatrunError:
            execution.is_claimed = False
            execution.is_claim_pending = False
            raise
        execution.is_claimed = answer is None
        execution.is_claim_pending = False
        return answer

    def _check_caller(self, request: RelayRequest) -> None:
        if request.route.access is not Access.KEY:
            return
        if not self._session.lease_valid():
            raise ControlUnreachableError('this entry has no valid lease')
        account = self._session.view.account_of_key(request.key)
        if account != request.account:
            raise InvalidKeyError('the key was revoked')

    def _admit(self, execution: Execution) -> bool:
        """Refuse a request that must not be dispatched now.

        Returns
        -------
        bool
            Whether it must run alone because it may crash its backend server.
        """
        request = execution.request
        self._check_caller(request)
        state = self._session.view.fingerprint_state(request.fingerprint)
        if state == 'quarantined':
            raise QuarantinedError('the request is quarantined')
        return state == 'suspect' or _is_suspect(execution)

    async def _dispatch(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> None:
        while True:
            self._admit(execution)
            record = self._choose_agent(execution)
            try:
                await self.dispatcher.run(
                    execution, writer, record, self._admit
                )
            except KumquatrunError as error:
                if error.code in _AVOID_CODES:
                    self._pool.avoid(record)
                if not self._may_retry(execution, writer, error):
                    raise
                await self._back_off(execution, error)
            else:
                return

    def _choose_agent(self, execution: Execution) -> HostRecord:
        request = execution.request
        record = self._pool.choose(
            request.route.service,
            request.adapter,
            request.version,
            {attempt.host_id for attempt in execution.attempts},
        )
        if record is None:
            raise NoCapacityError(f'no agent serves {request.route.service}')
        return record

    def _may_retry(
        self,
        execution: Execution,
        writer: ResponseWriter,
        error: KumquatrunError,
    ) -> bool:
        if writer.is_started or error.kind.http_status < HTTP_SERVER_ERROR:
            return False
        outcomes = [attempt.outcome for attempt in execution.attempts]
        if outcomes[-1] is Outcome.NOT_RUN:
            return True
        # A request that may have run is retried only once, because it may have
        # caused the failure.
        runs = len(outcomes) - outcomes.count(Outcome.NOT_RUN)
        return execution.request.route.idempotent and runs == 1

    async def _back_off(
        self,
        execution: Execution,
        error: KumquatrunError,
    ) -> None:
        retry = len(execution.attempts) - 1
        delay_s = self._backoff.delay_s(retry, self._rng)
        now_s = self._clock.now_s()
        in_time = Deadline(execution.request.deadline_s).allows(delay_s, now_s)
        if not in_time or not self._retry_budget.take(now_s):
            raise error
        await asyncio.sleep(delay_s)

    async def _clean_up(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> None:
        request = execution.request
        self._executions.pop(request.request_id, None)
        if execution.cancellation is not None:
            await execution.cancellation
        execution.output_tokens = writer.counter.events
        if execution.finished is not None and execution.finished.prompt_tokens:
            execution.output_tokens = execution.finished.output_tokens
        if execution.reservation is not None:
            used_tokens = self._used_tokens(execution, writer)
            self.dispatcher.consume(execution, used_tokens)
            self._budgets.settle(execution.reservation)
        if execution.is_claimed:
            answer = writer.stored_answer() if execution.finished else None
            self._spawn(
                self._claims.finish(request, execution.outcome, answer),
            )

    def _used_tokens(
        self,
        execution: Execution,
        writer: ResponseWriter,
    ) -> int:
        finished = execution.finished
        if execution.is_replay or execution.outcome is Outcome.NOT_RUN:
            return 0
        if finished is None or not finished.prompt_tokens:
            return streamed_tokens(execution, writer)
        return finished.prompt_tokens + finished.output_tokens

    def _result(
        self,
        execution: Execution,
        writer: ResponseWriter,
        error: KumquatrunError | None,
    ) -> RelayResult:
        if error is None:
            return RelayResult(execution.outcome, writer.status)
        if writer.is_started and not isinstance(error, CallerDisconnectedError):
            error = StreamCutError(f'the response was cut off: {error.detail}')
        if execution.attempts:
            error.outcome = execution.outcome
        elif execution.is_claim_pending:
            # An earlier request with the same key may have run.
            error.outcome = Outcome.UNKNOWN
        return RelayResult(error.outcome, error.kind.http_status, error)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _is_suspect(execution: Execution) -> bool:
    # The feed may not have delivered the suspect state yet. A lost connection
    # is a fault of the host and does not make the request a suspect.
    return any(
        attempt.outcome is not Outcome.NOT_RUN
        and attempt.error_code != 'connection_lost'
        for attempt in execution.attempts
    )


def _unexpected_error(
    execution: Execution, error: Exception
) -> KumquatrunError:
    if isinstance(error, InvariantError):
        raise error
    if isinstance(error, OSError):
        return CallerDisconnectedError(f'the caller disconnected: {error}')
    log.error(
        'event=relay_failed request_id=%s',
        execution.request.request_id,
        exc_info=error,
    )
    return KumquatrunError('unexpected error in the entry')
