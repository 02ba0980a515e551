"""Records the dispatches that an agent accepted, so that none runs twice."""

from dataclasses import dataclass
from typing import Protocol

from kumquatrun.errors import (
    InProgressError,
    KumquatrunError,
    Outcome,
    OutcomeUnknownError,
    StaleDispatchError,
)
from kumquatrun.peer.request_messages import Dispatch

# How long a request is recorded after its deadline. A dispatch is bound to one
# agent incarnation and to one connection, so a duplicate arrives no later than
# the caller's retries, which end at the request's deadline.
KEEP_AFTER_DEADLINE_S = 600.0


class OutcomeHolder(Protocol):
    """Holds what is known about the execution of a call."""

    outcome: Outcome


@dataclass
class _AcceptedAttempt:
    attempt: int
    holder: OutcomeHolder | None
    deadline_s: float
    final_outcome: Outcome = Outcome.UNKNOWN

    @property
    def is_open(self) -> bool:
        """Return whether the attempt has not ended."""
        return self.holder is not None

    def close(self) -> None:
        """Store the outcome and drop the reference to the call."""
        if self.holder is not None:
            self.final_outcome = self.holder.outcome
            self.holder = None

    def refusal(self, dispatch: Dispatch) -> KumquatrunError | None:
        """Return why ``dispatch`` may not run after this attempt."""
        name = f'request {dispatch.request_id}'
        same_attempt = dispatch.attempt == self.attempt
        if self.is_open and (same_attempt or not dispatch.repeatable):
            return InProgressError(f'{name} is already in progress here')
        outcome = (
            self.final_outcome if self.holder is None else (self.holder.outcome)
        )
        if outcome is not Outcome.NOT_RUN and not dispatch.repeatable:
            return OutcomeUnknownError(
                f'{name} was accepted before with outcome {outcome}',
                outcome=outcome,
            )
        if same_attempt:
            return StaleDispatchError(
                f'attempt {dispatch.attempt} of {name} was accepted before',
                outcome=outcome,
            )
        return None


class SeenRequests:
    """Remembers accepted dispatches by request id.

    An attempt that was seen before never runs again. A request that may not
    be repeated runs again only after all its attempts ended as ``not_run``.
    """

    def __init__(self) -> None:
        self._seen: dict[str, list[_AcceptedAttempt]] = {}

    def __len__(self) -> int:
        return sum(len(attempts) for attempts in self._seen.values())

    def check(self, dispatch: Dispatch) -> None:
        """Refuse a dispatch that may not run because of an earlier one.

        Raises
        ------
        KumquatrunError
            If it may not run; the outcome is that of the earlier attempt.
        """
        for seen in self._seen.get(dispatch.request_id, ()):
            refusal = seen.refusal(dispatch)
            if refusal is not None:
                raise refusal

    def accept(
        self,
        dispatch: Dispatch,
        holder: OutcomeHolder,
        now_s: float,
    ) -> None:
        """Record a checked dispatch; ``holder`` provides its outcome."""
        deadline_s = now_s + dispatch.deadline_s
        accepted = _AcceptedAttempt(dispatch.attempt, holder, deadline_s)
        self._seen.setdefault(dispatch.request_id, []).append(accepted)

    def close(self, dispatch: Dispatch) -> None:
        """Record that an accepted dispatch has ended."""
        for seen in self._seen.get(dispatch.request_id, ()):
            if seen.attempt == dispatch.attempt:
                seen.close()

    def remove_old(self, now_s: float) -> None:
        """Remove ended requests whose last deadline is long past."""
        limit_s = now_s - KEEP_AFTER_DEADLINE_S
        self._seen = {
            request_id: attempts
            for request_id, attempts in self._seen.items()
            if any(seen.is_open for seen in attempts)
            or max(seen.deadline_s for seen in attempts) > limit_s
        }
