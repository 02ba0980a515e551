"""Invariants for the guarantees that an entry can check.

They check what was recorded about a request, not the decisions that led to it,
so that they detect a wrong decision.
"""

from kumquatrun.document.document import Access
from kumquatrun.entry.execution import Execution
from kumquatrun.entry.response_writer import ResponseWriter
from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.request_messages import Dispatch
from kumquatrun.runtime.invariants import Invariants


class EntryChecks:
    """Checks a request when it is dispatched and when it has ended."""

    def __init__(self, invariants: Invariants, session: NodeSession) -> None:
        self._invariants = invariants
        self._session = session

    def check_dispatch(self, execution: Execution, dispatch: Dispatch) -> None:
        """Check a dispatch before it is sent (guarantees 1, 3, 4 and 7)."""
        request = execution.request
        earlier = execution.attempts[:-1]
        self._check(
            execution,
            'single_execution',
            request.route.idempotent
            or all(each.outcome is Outcome.NOT_RUN for each in earlier),
        )
        is_keyed = request.route.access is Access.KEY
        view = self._session.view
        self._check(
            execution,
            'account_of_key',
            not is_keyed
            or (
                self._session.lease_valid()
                and view.account_of_key(request.key) == dispatch.account
            ),
        )
        self._check(
            execution,
            'tokens_reserved',
            not is_keyed
            or (
                execution.reservation is not None
                and execution.reservation.reserved_tokens
                >= dispatch.cost_tokens
            ),
        )
        self._check(
            execution,
            'not_quarantined',
            view.fingerprint_state(dispatch.fingerprint) != 'quarantined',
        )

    def check_result(
        self,
        execution: Execution,
        writer: ResponseWriter,
        outcome: Outcome,
        error: KumquatrunError | None,
    ) -> None:
        """Check a request that has ended (guarantees 1, 4, 5 and 6)."""
        request = execution.request
        started = execution.started
        self._check(
            execution,
            'right_adapter',
            not writer.is_started
            or execution.is_replay
            or (started is not None and request.matches_start(started)),
        )
        self._check(
            execution,
            'whole_answer',
            error is not None
            or execution.is_replay
            or execution.finished is not None,
        )
        has_run = any(
            attempt.outcome is not Outcome.NOT_RUN
            for attempt in execution.attempts
        )
        self._check(
            execution,
            'accurate_not_run',
            outcome is not Outcome.NOT_RUN
            or not (has_run or writer.is_started),
        )
        reservation = execution.reservation
        self._check(
            execution,
            'reservation_settled',
            reservation is None or reservation.closed,
        )

    def _check(self, execution: Execution, name: str, holds: bool) -> None:
        if not holds:
            self._invariants.check(
                False,
                name,
                execution.request.request_id,
            )
