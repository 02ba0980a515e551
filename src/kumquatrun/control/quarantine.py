"""Register of request fingerprints that may crash backend servers.

After a crash, every request of the batch is a suspect, also those that did not
cause it. An idempotent request is retried once, alone, and cleared when it
finishes; its caller waits longer. For a request that is not idempotent, the
caller gets ``outcome_unknown``, as after any crash. Until a fingerprint is
cleared, requests with it run alone. A harmless request is quarantined
only if a backend server that runs it crashes a second time before it finished
alone.

After 10 minutes in quarantine a fingerprint is a suspect again, so that the
next attempt runs alone and cannot affect other requests.
"""

from collections import OrderedDict
from typing import Any

from kumquatrun.runtime.statechart import load_chart

QUARANTINE_MS = 10 * 60 * 1000
# A suspect that causes no further crash is cleared after this time.
SUSPECT_MS = 60 * 60 * 1000
# A blocked fingerprint is clear again after this time without further ends.
BLOCKED_MS = 24 * 60 * 60 * 1000
# A batch has at most tens of requests, so this limit covers hundreds of crashes
# within one hour. Only a flood of new fingerprints reaches it.
MAX_FINGERPRINTS = 20_000
_STATE_DURATION_MS = {
    'suspect': SUSPECT_MS,
    'quarantined': QUARANTINE_MS,
    'blocked': BLOCKED_MS,
}
# These events do not restart the time of a state that they leave unchanged.
_HARMLESS_EVENTS = frozenset(('finished_alone', 'completed'))

FingerprintChange = tuple[str, str, str]


class QuarantineRegister:
    """States of the fingerprints that are not clear, with their end times."""

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._chart = load_chart('fingerprint')
        self._max_fingerprints = max_fingerprints
        # Fingerprint to end time, per state, in the order of the end times.
        self._ends_ms: dict[str, OrderedDict[str, int]] = {
            state: OrderedDict() for state in _STATE_DURATION_MS
        }

    def state(self, fingerprint: str) -> str:
        """Return ``clear``, ``suspect``, ``quarantined`` or ``blocked``."""
        for state, ends_ms in self._ends_ms.items():
            if fingerprint in ends_ms:
                return state
        return self._chart.initial

    def states(self) -> dict[str, str]:
        """Return the state of each fingerprint that is not clear."""
        return {
            fingerprint: state
            for state, ends_ms in self._ends_ms.items()
            for fingerprint in ends_ms
        }

    def handle(
        self, fingerprint: str, event: str, now_ms: int
    ) -> FingerprintChange:
        """Process an event; return fingerprint, old and new state."""
        before = self.state(fingerprint)
        after = self._chart.next_state(before, event)
        if before == after and event in _HARMLESS_EVENTS:
            return fingerprint, before, after
        if before in self._ends_ms:
            # A repeated crash restarts the time of the quarantine.
            del self._ends_ms[before][fingerprint]
        if after in self._ends_ms:
            self._ends_ms[after][fingerprint] = (
                now_ms + _STATE_DURATION_MS[after]
            )
        return fingerprint, before, after

    def expire(self, now_ms: int) -> list[FingerprintChange]:
        """End expired states, and the oldest ones above the limit."""
        changes = []
        for state in ('quarantined', 'suspect', 'blocked'):
            ends_ms = self._ends_ms[state]
            while ends_ms and next(iter(ends_ms.values())) <= now_ms:
                oldest = next(iter(ends_ms))
                changes.append(self.handle(oldest, 'expired', now_ms))
        for state in ('suspect', 'blocked'):
            ends_ms = self._ends_ms[state]
            while len(ends_ms) > self._max_fingerprints:
                oldest = next(iter(ends_ms))
                changes.append(self.handle(oldest, 'expired', now_ms))
        return changes

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return {
            state: list(ends_ms.items())
            for state, ends_ms in self._ends_ms.items()
        }

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        self._ends_ms = {
            state: OrderedDict(map(tuple, content.get(state, ())))
            for state in _STATE_DURATION_MS
        }
