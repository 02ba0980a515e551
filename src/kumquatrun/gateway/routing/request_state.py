"""What happened to one request so far."""

from dataclasses import dataclass, field

from kumquatrun.gateway.backends.backend_connection import ResponseHead
from kumquatrun.gateway.backends.event_stream import ResumableStream
from kumquatrun.gateway.routing.configuration import GatewayRoute
from kumquatrun.gateway.routing.wire_format import CallerRequest

# Sends of one request, those included that a backend server refused unrun.
MAX_SENDS = 4


@dataclass
class RequestState:
    """One request on its way through the gateway.

    Attributes
    ----------
    deadline_s
        When the caller, or the route's timeout, gives the request up.
    sends
        Times that the request was sent to a backend server.
    runs
        Sends that ran, or may have run, at a backend server.
    tried_backends
        Backend servers that are not asked again.
    waits_for_model
        Whether the request waits at an engine without a base model, since no
        other one has it.
    waits_for_agents
        Whether the request waited for agents that had stopped.
    failure
        Why the last send did not answer the request.
    fallback_answer
        A failed answer of a backend server, to be delivered if no other
        backend server does better.
    """

    request: CallerRequest
    route: GatewayRoute
    service: str
    account: str
    priority: int
    deadline_s: float
    sends: int = 0
    runs: int = 0
    tried_backends: set[str] = field(default_factory=set)
    stream: ResumableStream | None = None
    last_backend: str = ''
    adapter_wait_s: float = 0.0
    waits_for_model: bool = False
    waits_for_agents: bool = False
    longest_pause_s: float = 0.0
    failure: str = ''
    fallback_answer: tuple[ResponseHead, bytes] | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self.runs > 0

    @property
    def may_send_again(self) -> bool:
        """Return whether another backend server may get the request."""
        if self.sends >= MAX_SENDS:
            return False
        if not self.runs:
            return True
        return self.route.may_repeat and self.runs < self.route.max_attempts

    def remaining_s(self, now_s: float) -> float:
        """Return the time that is left."""
        return max(0.0, self.deadline_s - now_s)
