"""Messages of requests: dispatches, answers and claims."""

from kumquatrun.errors import Outcome
from kumquatrun.peer.messages import message


@message
class ClaimRequest:
    """Claims the right to run a request, so that it runs only once."""

    claim_key: str
    body_digest: bytes
    host_id: str
    incarnation: str
    request_id: str


@message
class StoredAnswer:
    """The answer to a finished request, stored for repeated requests."""

    status: int
    content_type: str
    body: bytes


@message
class ClaimReply:
    """Returns the state of a claim.

    ``status`` is ``granted``, ``in_progress``, ``finished``, ``unknown`` or
    ``mismatch``.
    """

    status: str
    answer: StoredAnswer | None = None


@message
class FinishClaim:
    """Ends a claim; outcome ``not_run`` releases it."""

    claim_key: str
    request_id: str
    outcome: Outcome
    answer: StoredAnswer | None = None


@message
class Dispatch:
    """Sends one request to an agent.

    ``agent_incarnation`` binds it to one run of the agent process, so that a
    late dispatch never runs on a restarted agent.
    """

    request_id: str
    attempt: int
    agent_incarnation: str
    account: str
    service: str
    adapter: str
    version: str
    path: str
    method: str
    body: bytes
    content_type: str = 'application/json'
    cost_tokens: int = 0
    weight: float = 1
    priority: int = 0
    deadline_s: float = 60
    repeatable: bool = True
    alone: bool = False
    fingerprint: str = ''
    stream: bool = False


@message
class Started:
    """First stream item of a dispatch: host, adapter and HTTP head."""

    host_id: str
    adapter: str
    version: str
    status: int
    content_type: str


@message
class Finished:
    """Ends a dispatch; the whole answer was sent."""

    outcome: Outcome
    prompt_tokens: int = 0
    output_tokens: int = 0
