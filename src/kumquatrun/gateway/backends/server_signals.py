"""What a backend server asks of this process in its answers."""

from dataclasses import dataclass

# Longest time for which a backend server is left out on its own request. A
# longer one is cut, so that a malformed value doesn't take the server away.
MAX_QUIET_S = 60.0
# A server whose process id was listed as leaving, or not at all, and is listed
# as ready for this long has restarted under its id. The time exceeds the lag of
# the listing, which may repeat an older state.
RESTART_CONFIRMATION_S = 5.0


@dataclass
class ServerSignals:
    """Requests of one backend server process to get no further requests.

    Attributes
    ----------
    is_leaving
        Whether the server has said that it is about to stop.
    quiet_until_s
        Time until which the server wants no requests from this process.
    has_unreadable_header
        Whether an unreadable request of the server was logged.
    """

    is_leaving: bool = False
    quiet_until_s: float = float('-inf')
    has_unreadable_header: bool = False
    _was_unlisted: bool = False
    _ready_since_s: float | None = None

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether requests may be sent to the server."""
        return not self.is_leaving and self.quiet_until_s <= now_s

    def quiet_s(self, now_s: float) -> float:
        """Return how long the server still wants no requests."""
        return max(0.0, self.quiet_until_s - now_s)

    def record_leaving(self) -> bool:
        """Record that the server leaves; return whether that is new."""
        is_new = not self.is_leaving
        self.is_leaving = True
        return is_new

    def record_quiet(self, quiet_s: float, now_s: float) -> float:
        """Record that the server wants no requests; return for how long.

        A later answer may extend the time but not shorten it: an answer to a
        request that was sent earlier may arrive later.
        """
        granted_s = min(quiet_s, MAX_QUIET_S)
        self.quiet_until_s = max(self.quiet_until_s, now_s + granted_s)
        return granted_s

    def record_listing(self, *, is_ready: bool, now_s: float) -> None:
        """Record how the process id of the server is listed.

        A listing that still says ``ready`` is older than the answer and does
        not end the mark. One that had shown the end of the process does, since
        a process may start again under its id.
        """
        if not self.is_leaving:
            return
        if not is_ready:
            self._was_unlisted = True
            self._ready_since_s = None
            return
        if not self._was_unlisted:
            return
        if self._ready_since_s is None:
            self._ready_since_s = now_s
        if now_s - self._ready_since_s >= RESTART_CONFIRMATION_S:
            self.is_leaving = False
            self._was_unlisted = False
            self._ready_since_s = None
