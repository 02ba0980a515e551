"""State of one request while the gateway handles it."""

from dataclasses import dataclass, field

from kumquatrun.gateway.backends.event_stream import ResumableStream
from kumquatrun.gateway.backends.response_head import (
    ResponseHead,
)
from kumquatrun.gateway.routing.configuration import GatewayRoute
from kumquatrun.gateway.routing.wire_format import CallerRequest

# Attempts of one request, including those that a backend server refused without
# running the request.
MAX_SENDS = 4


@dataclass
class RequestState:
    """A request that the gateway has admitted, and its attempts so far.

    Attributes
    ----------
    deadline_s
        Earlier of the caller's deadline and the timeout of the route.
    sends
        Number of times that the request was sent to a backend server.
    runs
        Number of sends that ran, or may have run, on a backend server.
    fingerprint
        Hash that is the same for equal requests of one caller.
    part_keys
        Keys of the prompt parts that other requests may share.
    identity
        Text that differs between requests with other prompts.
    is_trial
        Whether only one run is allowed, although the request is blocked.
    tried_backends
        Ids of the backend servers that are not tried again.
    waits_for_model
        Whether the request waits at an engine that lacks the base model,
        because no other engine has it either.
    waits_for_agents
        Whether the request has waited for stopped agents.
    framing
        How the last response was framed; empty before its head.
    failure
        Why the last attempt failed.
    fallback_response
        Error response of a backend server, relayed to the caller if no other
        attempt succeeds.
    """

    request: CallerRequest
    route: GatewayRoute
    service: str
    account: str
    priority: int
    deadline_s: float
    sends: int = 0
    runs: int = 0
    fingerprint: str = ''
    part_keys: tuple[str, ...] = ()
    identity: str = ''
    is_trial: bool = False
    tried_backends: set[str] = field(default_factory=set)
    stream: ResumableStream | None = None
    last_backend: str = ''
    adapter_wait_s: float = 0.0
    waits_for_model: bool = False
    waits_for_agents: bool = False
    longest_pause_s: float = 0.0
    framing: str = ''
    failure: str = ''
    fallback_response: tuple[ResponseHead, bytes] | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self.runs > 0

    @property
    def may_send_again(self) -> bool:
        """Return whether the request may be sent to a backend server."""
        if self.sends >= MAX_SENDS:
            return False
        if not self.runs:
            return True
        return self.route.may_repeat and self.runs < self.route.max_attempts

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline, 0 if it has passed."""
        return max(0.0, self.deadline_s - now_s)
