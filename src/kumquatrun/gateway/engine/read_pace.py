"""Learns how fast an engine reads prompts.

The load that it answers: engines of one service differ in pace by a factor of
two or three, and some stand still for moments. A pace is a mean over several
seconds, so that one pause does not make an engine look slow, and it becomes
unknown once it is old.
"""

from dataclasses import dataclass

# Half-life of what was observed.
HALF_LIFE_S = 6.0
# With less evidence than this many prompts, the pace is unknown.
MIN_PROMPTS = 4.0
# Paces outside these bounds are errors of measurement.
MIN_TOKENS_PER_S = 200.0
MAX_TOKENS_PER_S = 500_000.0
# Prompts are taken for read after a shorter time, see ``prompt_gate``. A longer
# one shows that this process stood still, and nothing about the engine.
MAX_READ_S = 2.0
# Largest prompt that is counted; the number is stated by the caller.
MAX_PROMPT_TOKENS = 200_000
# A published pace changes only by more than this factor, so that all entries
# use the same one and adapters keep their engines.
PUBLISHED_STEP = 1.2


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceEstimate:
    """Pace of an engine.

    Attributes
    ----------
    tokens_per_s
        Prompt tokens that are read in a second, the time to the first event
        included.
    relative_error
        Standard error as a fraction of the pace.
    age_s
        Time since the last prompt was read.
    """

    tokens_per_s: float
    relative_error: float
    age_s: float


class ReadPace:
    """Estimates the pace from prompts that the engine has read.

    Prompts are read one after the other, so each takes the time since its
    admission or since the end of the one before, whichever is later.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._duration_s = 0.0
        self._prompts = 0.0
        self._last_read_at_s = float('-inf')
        self._published_tokens_per_s = 0.0

    def record(self, tokens: int, admitted_s: float, now_s: float) -> None:
        """Record that a prompt was read; absurd values are ignored."""
        duration_s = now_s - max(admitted_s, self._last_read_at_s)
        if not 0 < tokens <= MAX_PROMPT_TOKENS or duration_s < 0:
            return
        self._fade(now_s)
        if now_s - admitted_s > MAX_READ_S:
            return
        self._tokens += tokens
        self._duration_s += duration_s
        self._prompts += 1

    def estimate(self, now_s: float) -> PaceEstimate | None:
        """Return the pace, or None if it is unknown."""
        prompts = self._prompts * self._remaining(now_s)
        if prompts < MIN_PROMPTS or self._duration_s <= 0:
            return None
        pace = self._tokens / self._duration_s
        return PaceEstimate(
            tokens_per_s=min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, pace)),
            relative_error=prompts**-0.5,
            age_s=now_s - self._last_read_at_s,
        )

    def published_tokens_per_s(self, now_s: float) -> int:
        """Return the pace for the entries, 0 if it is unknown."""
        estimate = self.estimate(now_s)
        if estimate is None:
            self._published_tokens_per_s = 0.0
            return 0
        pace = estimate.tokens_per_s
        published = self._published_tokens_per_s
        if not published / PUBLISHED_STEP < pace < published * PUBLISHED_STEP:
            self._published_tokens_per_s = pace
        return round(self._published_tokens_per_s)

    def _fade(self, now_s: float) -> None:
        """Reduce the earlier evidence by its age, and begin a new age."""
        remaining = self._remaining(now_s)
        self._tokens *= remaining
        self._duration_s *= remaining
        self._prompts *= remaining
        self._last_read_at_s = now_s

    def _remaining(self, now_s: float) -> float:
        """Return which fraction of the earlier evidence still counts."""
        age_s = max(0.0, now_s - self._last_read_at_s)
        return 0.5 ** (age_s / HALF_LIFE_S)
