"""Messages between a gateway entry and the agent of an engine."""

from kumquatrun.peer.messages import message

# Cause of a refusal by an engine that has no base model loaded.
ENGINE_WITHOUT_MODEL = 'engine_empty'


@message
class UseAdapter:
    """Requests an adapter and keeps it loaded while the call is open.

    An empty ``adapter`` requests the base model. ``version`` is the oldest
    version that is accepted; 0 means any. An entry that found no engine with
    the base model sets ``waits_for_model``: the call then waits for the model
    and is not refused at once.
    """

    request_id: str
    model: str
    adapter: str
    version: int = 0
    priority: int = 0
    prompt_tokens: int = 0
    waits_for_model: bool = False


@message
class AdapterInUse:
    """Reports that a request uses an adapter while the call is open.

    An entry sends it for a request that the agent does not know about: the
    agent was restarted, or did not answer when the request began.
    """

    request_id: str
    model: str
    adapter: str


@message
class AdapterQueued:
    """First stream item: the agent has received the request.

    With it, the entry can distinguish a slow load from an agent that hangs or
    cannot be reached.
    """


@message
class AdapterReady:
    """Second stream item: the engine holds the adapter.

    ``load`` is the number of requests at the engine, ``queued_tokens`` the
    prompt tokens that wait or are being read, and ``tokens_per_s`` how many are
    read in a second, 0 if that is unknown.
    """

    version: int
    load: int
    queued_tokens: int = 0
    tokens_per_s: int = 0


@message
class AdapterReleased:
    """Reply that ends an open call because the agent stops."""


@message
class PromptRead:
    """Reports that the first event of the response has arrived."""

    request_id: str


@message
class CheckEngine:
    """Asks an agent whether the process of its engine runs."""


@message
class EngineState:
    """Reply to ``CheckEngine``.

    ``known_for_ms`` is the time since the agent first saw the process that
    runs now, None if the engine does not respond to the agent.
    """

    known_for_ms: int | None = None
