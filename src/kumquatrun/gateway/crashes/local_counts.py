"""Counts the ends of backend servers by what this host saw alone.

The counts are in force until the count of the whole fleet replaces them.
"""

import math

from kumquatrun.control.ended_runs import EndedRun, EndedRuns
from kumquatrun.control.part_keys import is_part_key
from kumquatrun.gateway.crashes.watched_run import WatchedRun

# How long this host refuses by its own count: while the report is not
# delivered, and until the feed has brought the count of the fleet.
LOCAL_WINDOW_S = 60.0
FEED_DELAY_S = 2.0
# The same for a prompt part. Other hosts may have cleared a part that sound
# requests share, so this host must not refuse it for long by its own count.
PART_FEED_DELAY_S = 0.3
MAX_LOCAL_FINGERPRINTS = 2000


class LocalCounts:
    """Ends of backend servers by fingerprint, as this host counted them."""

    def __init__(self) -> None:
        self._runs = EndedRuns()
        # Times until which the counts are in force.
        self._ends_s: dict[str, float] = {}

    def __contains__(self, fingerprint: str) -> bool:
        """Return whether an end was counted for a fingerprint."""
        return fingerprint in self._runs

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a count in force is over the limit."""
        return (
            self._runs.is_over_limit(fingerprint)
            and now_s < self._ends_s[fingerprint]
        )

    def add(self, run: WatchedRun, fingerprint: str, now_s: float) -> None:
        """Count the end of a backend server under a run."""
        if now_s >= self._ends_s.get(fingerprint, now_s):
            # The fleet has counted the earlier ends, or cleared them.
            self._runs.forget(fingerprint)
        self._runs.add(
            fingerprint,
            EndedRun(
                run.backend_id,
                # Rounded apart: a run that began in the millisecond in which
                # another one ended has not ended with it.
                math.ceil(run.began_at_s * 1000),
                math.floor(now_s * 1000),
                request=run.identity if is_part_key(fingerprint) else '',
            ),
        )
        self._ends_s[fingerprint] = now_s + LOCAL_WINDOW_S
        if len(self._runs) > MAX_LOCAL_FINGERPRINTS:
            del self._ends_s[self._runs.forget_oldest()]

    def refute(self, fingerprint: str, backend_id: str) -> None:
        """Remove the end of a backend server that outlived its run."""
        self._runs.refute(fingerprint, backend_id)

    def clear(self, fingerprint: str) -> None:
        """Remove all ends that were counted for a fingerprint."""
        self._runs.forget(fingerprint)
        self._ends_s.pop(fingerprint, None)

    def shorten(self, fingerprint: str, now_s: float) -> None:
        """Let the count of the fleet, once the feed brings it, replace a count.

        Called when the control leader has received the ends.
        """
        ends_s = self._ends_s.get(fingerprint)
        if ends_s is None:
            return
        is_part = is_part_key(fingerprint)
        delay_s = PART_FEED_DELAY_S if is_part else FEED_DELAY_S
        self._ends_s[fingerprint] = min(ends_s, now_s + delay_s)
