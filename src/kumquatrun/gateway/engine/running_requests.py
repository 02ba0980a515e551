"""Tracks which adapters the requests at an engine use."""

from collections import Counter
from collections.abc import Set as AbstractSet

AdapterName = tuple[str, str]


class RunningRequests:
    """Maps the running requests of an engine to their adapters.

    The reports of the engine list only request ids. The adapter of a request is
    known from the call that an entry keeps open. A call may end before its
    request does, for example if the connection between hosts is lost, and a
    restarted agent has not received any calls yet.
    """

    def __init__(self) -> None:
        self._adapters: dict[str, AdapterName] = {}
        self._calls: Counter[str] = Counter()
        self._users: Counter[AdapterName] = Counter()
        self._running: AbstractSet[str] = frozenset()
        # Requests of the first report whose adapter is unknown; None before
        # that report.
        self._preexisting: set[str] | None = None

    @property
    def has_unknown_adapter(self) -> bool:
        """Return whether a request of the first report has no known adapter."""
        return bool(self._preexisting)

    def apply_report(self, running: AbstractSet[str]) -> None:
        """Update the state with the ids of the running requests."""
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
        """Discard the requests that ran before a restart of the engine."""
        self._running = frozenset()
        self._preexisting = set()

    def begin_call(self, request_id: str, name: AdapterName) -> None:
        """Record that a request uses or will use an adapter."""
        self._adapters[request_id] = name
        self._calls[request_id] += 1
        self._users[name] += 1
        if self._preexisting:
            self._preexisting.discard(request_id)

    def end_call(self, request_id: str, name: AdapterName) -> None:
        """Record that a call has ended; its request may still run."""
        self._users[name] -= 1
        if not self._users[name]:
            del self._users[name]
        self._calls[request_id] -= 1
        if not self._calls[request_id]:
            del self._calls[request_id]

    def adapters_in_use(self) -> set[AdapterName]:
        """Return the adapters of requests that run or have an open call."""
        return self._users.keys() | {
            name
            for request_id, name in self._adapters.items()
            if request_id in self._running
        }
