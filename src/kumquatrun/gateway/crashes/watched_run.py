"""One run of a request on a backend server, and how it can end."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class RunEnding(StrEnum):
    """How a run ended, as seen by this host."""

    # The backend server gave a complete response to the run.
    COMPLETED = 'completed'
    # It answered, but did not run the request or sent malformed bytes.
    ANSWERED = 'answered'
    # The connection ended before the response did.
    BROKEN = 'broken'
    # No complete response came in time.
    SILENT = 'silent'
    # The caller left, or this host stopped, before the run ended.
    ABANDONED = 'abandoned'


class RunConnection(Protocol):
    """Times of the connection on which a request was sent."""

    @property
    def opened_at_s(self) -> float:
        """Return the time at which the connection was opened."""
        ...

    @property
    def received_at_s(self) -> float:
        """Return the time of the last received bytes."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class WatchedRun:
    """A run that this host has sent to a backend server."""

    request_id: str
    fingerprint: str
    part_keys: tuple[str, ...]
    identity: str
    backend_id: str
    connection: RunConnection
    began_at_s: float

    @property
    def last_sign_at_s(self) -> float:
        """Return the time of the last bytes for this run, or of its start."""
        return max(self.began_at_s, self.connection.received_at_s)
