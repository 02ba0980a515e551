"""State of one request and its attempts in the entry."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from kumquatrun.document.document import RouteSpec
from kumquatrun.entry.token_wallet import Reservation
from kumquatrun.errors import KumquatrunError, Outcome, StreamCutError
from kumquatrun.peer.request_messages import Finished, Started


@dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """One parsed and authenticated request for the entry's ``Relay``.

    Attributes
    ----------
    key
        API key; empty on open routes. It never leaves the entry.
    prompt_tokens, output_tokens
        Tokens to reserve for the prompt and the output.
    fingerprint
        Digest of the service and the content. Requests with the same
        fingerprint are quarantined together.
    deadline_s
        When the request must end, in seconds of the entry's clock.
    """

    request_id: str
    route: RouteSpec
    account: str
    path: str
    method: str
    body: bytes
    content_type: str
    fingerprint: str
    deadline_s: float
    key: str = field(default='', repr=False)
    adapter: str = ''
    version: str = ''
    weight: float = 1
    priority: int = 0
    stream: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    idempotency_key: str = ''

    @property
    def cost_tokens(self) -> int:
        """Return the tokens to reserve, the most that the request can use."""
        return self.prompt_tokens + self.output_tokens

    def matches_start(self, started: Started) -> bool:
        """Return whether the agent started the requested adapter version."""
        actual = (started.adapter, started.version)
        return actual == (self.adapter, self.version)


@dataclass
class Attempt:
    """One dispatch of a request to an agent."""

    host_id: str
    outcome: Outcome = Outcome.NOT_RUN
    error_code: str = ''


class Execution:
    """State of one open request.

    Attributes
    ----------
    reservation
        Reserved tokens; None on open routes and before the reservation.
    is_claimed
        Whether the claim of the idempotency key must be ended when the request
        ends.
    is_claim_pending
        Whether that claim was sent and the leader has not replied.
    is_replay
        Whether the response is the stored one of an earlier request.
    started
        Newest message in which an agent reports that it started the request.
    finished
        The agent's final message after a complete response.
    cancellation
        Task that cancels the last dispatch and records its outcome.
    cleanup_task
        Task that waits for ``cancellation``, settles the reservation and starts
        to end the claim. The outcome is final once the task has ended.
    output_tokens
        Tokens of the output, as reported by the agent or else counted from the
        stream; set by ``cleanup_task``.
    """

    def __init__(self, request: RelayRequest) -> None:
        self.request = request
        self.attempts: list[Attempt] = []
        self.output_tokens = 0
        self.first_byte_s: float | None = None
        self.interruption: KumquatrunError | None = None
        self.reservation: Reservation | None = None
        self.consumed_tokens = 0
        self.is_claimed = False
        self.is_claim_pending = False
        self.is_replay = False
        self.started: Started | None = None
        self.finished: Finished | None = None
        self.cancellation: asyncio.Task | None = None
        self.cleanup_task: asyncio.Task | None = None
        self._timeout: asyncio.Timeout | None = None

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that is known from all attempts."""
        if self.is_replay:
            return Outcome.RAN
        outcomes = {attempt.outcome for attempt in self.attempts}
        for outcome in (Outcome.RAN, Outcome.UNKNOWN):
            if outcome in outcomes:
                return outcome
        return Outcome.NOT_RUN

    @property
    def host_id(self) -> str:
        """Return the host of the last attempt."""
        return self.attempts[-1].host_id if self.attempts else ''

    def deadline_scope(self, now_s: float) -> asyncio.Timeout:
        """Return the timeout context that ends at the deadline."""
        self._timeout = asyncio.timeout(max(0, self.request.deadline_s - now_s))
        return self._timeout

    def interrupt(self, error: KumquatrunError) -> None:
        """End the request with ``error``; only the first call has an effect."""
        if self.interruption is not None or self._timeout is None:
            return
        self.interruption = error
        # The timeout context may have ended already; nothing is left to end.
        with suppress(RuntimeError):
            self._timeout.reschedule(0)


class CallerDisconnectedError(StreamCutError):
    """Ends a request whose caller disconnected or reads too slowly."""


@dataclass(frozen=True)
class RelayResult:
    """How a relayed request ended; ``error`` is None if it was complete."""

    outcome: Outcome
    status: int
    error: KumquatrunError | None = None
