"""Planned stop of an entry: which requests it still takes, and until when."""

from kumquatrun.errors import DrainingError
from kumquatrun.runtime.clock import Clock

# The platform's balancer takes two missed questions, one a second, to notice
# that this host takes no new connections.
TAKE_NEW_S = 2.8
# Time that the process needs to end before the platform kills it.
END_MARGIN_S = 0.4
# Time for the first event of a stream, with the load of an adapter.
FIRST_EVENT_S = 1.0
# Another host can take the request at once.
RETRY_AFTER_S = 0.05


class StreamPace:
    """Time per output token of the slowest streams of late.

    Streams that end long before their largest number of tokens would hide the
    pace, so that the slowest counts and not the mean.
    """

    # Shorter streams last about as long as the pauses of a busy engine.
    SHORTEST_TOKENS = 64
    # Few streams use all of their tokens. The pace falls by half in 70 streams.
    DECAY = 0.99
    # Pace of a busy engine, assumed before any stream has ended.
    ASSUMED_TOKEN_S = 0.0125

    def __init__(self) -> None:
        self._token_s = self.ASSUMED_TOKEN_S

    def record(self, output_tokens: int | None, duration_s: float) -> None:
        """Count a stream that ended, timed from its first event."""
        if output_tokens is None or output_tokens < self.SHORTEST_TOKENS:
            return
        self._token_s = max(
            duration_s / output_tokens,
            self._token_s * self.DECAY,
        )

    def expected_s(self, output_tokens: int | None) -> float:
        """Return how long a request may take; 0 if it is no stream."""
        if output_tokens is None:
            return 0.0
        return FIRST_EVENT_S + output_tokens * self._token_s


class PlannedStop:
    """Tells which requests can end before the process has to."""

    def __init__(self, clock: Clock) -> None:
        self.pace = StreamPace()
        self._clock = clock
        self._ends_at_s: float | None = None
        self._refuses_all = False

    @property
    def has_begun(self) -> bool:
        """Return whether this host is about to stop."""
        return self._ends_at_s is not None

    def begin(self, timeout_s: float) -> None:
        """Begin the stop, which ends within this time."""
        self._ends_at_s = self._clock.now_s() + timeout_s - END_MARGIN_S

    def refuse_all(self) -> None:
        """Take no request from now on."""
        self._refuses_all = True

    def left_s(self) -> float:
        """Return the time until open requests are cut."""
        return self._ends_at_s - self._clock.now_s()

    def check(self, output_tokens: int | None) -> None:
        """Check that a request can end before the process does.

        Raises
        ------
        DrainingError
            If it may last longer; it was not run.
        """
        if not self.has_begun:
            return
        left_s = self.left_s()
        expected_s = self.pace.expected_s(output_tokens)
        if self._refuses_all or expected_s > left_s:
            raise DrainingError(
                f'this host stops in {left_s:.1f} s, and the request may take '
                f'{expected_s:.1f} s',
                retry_after_s=RETRY_AFTER_S,
            )
