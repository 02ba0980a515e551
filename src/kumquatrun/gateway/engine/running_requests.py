"""Which adapters the requests at an engine use, as far as its agent knows."""

from collections import Counter
from collections.abc import Set as AbstractSet

AdapterName = tuple[str, str]


class RunningRequests:
    """Matches the requests that an engine runs with their adapters.

    An agent learns the adapter of a request from the call that an entry keeps
    open. A call may end before its request does, for example with a connection
    between hosts; and a restarted agent has had no calls yet.
    """

    def __init__(self) -> None:
        self._adapters: dict[str, AdapterName] = {}
        self._calls: Counter[str] = Counter()
        self._users: Counter[AdapterName] = Counter()
        self._running: AbstractSet[str] = frozenset()
        # Requests that ran before the first report; None before it.
        self._preexisting: set[str] | None = None

    @property
    def has_unknown_adapter(self) -> bool:
        """Return whether a request of unknown adapter runs since the start."""
        return bool(self._preexisting)

    def apply_report(self, running: AbstractSet[str]) -> None:
        """Take the ids of the requests that the engine runs."""
        self._running = running
        if self._preexisting is None:
            self._preexisting = set(running)
        self._preexisting &= running
        self._preexisting -= self._adapters.keys()
        self._adapters = {
            request_id: name
            for request_id, name in self._adapters.items()
            if request_id in running or self._calls[request_id]
        }

    def reset(self) -> None:
        """Forget all requests that ran before a restart of the engine."""
        self._running = frozenset()
        self._preexisting = set()

    def begin_call(self, request_id: str, name: AdapterName) -> None:
        """Record that a request uses an adapter, or is about to."""
        self._adapters[request_id] = name
        self._calls[request_id] += 1
        self._users[name] += 1
        if self._preexisting:
            self._preexisting.discard(request_id)

    def end_call(self, request_id: str, name: AdapterName) -> None:
        """Record that a call has ended; its request may run on."""
        self._users[name] -= 1
        if not self._users[name]:
            del self._users[name]
        self._calls[request_id] -= 1
        if not self._calls[request_id]:
            del self._calls[request_id]

    def adapters_in_use(self) -> set[AdapterName]:
        """Return the adapters of requests that run or have a call."""
        return self._users.keys() | {
            name
            for request_id, name in self._adapters.items()
            if request_id in self._running
        }
