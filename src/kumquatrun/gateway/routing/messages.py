"""Messages between a gateway entry and the agent beside an engine."""

from kumquatrun.peer.messages import message

# Cause of a refusal by an engine without a base model.
ENGINE_EMPTY = 'engine_empty'


@message
class UseAdapter:
    """Asks for an adapter and keeps it loaded while the call is open.

    An empty ``adapter`` asks for the base model. ``version`` is the oldest
    version that will do; 0 means any. ``waits_for_model`` is set by a caller
    that found no engine with the base model: it would rather wait than be
    refused at once.
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
    """Tells that a request runs with an adapter while the call is open.

    It is sent for a request that its agent does not know: the agent was
    restarted, or did not answer when the request began.
    """

    request_id: str
    model: str
    adapter: str


@message
class AdapterQueued:
    """First stream item: the agent has the request and works on it.

    It tells an agent that loads from one that is frozen or cut off.
    """


@message
class AdapterReady:
    """Second stream item: the engine holds the adapter.

    ``load`` counts the requests at the engine.
    """

    version: int
    load: int


@message
class AdapterReleased:
    """Ends a call whose caller has stopped using the adapter."""


@message
class PromptRead:
    """Tells that the first event of a request has arrived."""

    request_id: str
