"""What is known of the work that an engine has in hand."""

from dataclasses import dataclass

# A report is sent again after 10 s if nothing changed; an older one says
# nothing of the engine.
MAX_REPORT_AGE_S = 12.0
# Paces outside these bounds are unknown.
MIN_TOKENS_PER_S = 100
MAX_TOKENS_PER_S = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """Load of an engine as its agent reported it.

    Attributes
    ----------
    requests
        Requests that run or wait.
    queued_tokens
        Prompt tokens that wait or are being read.
    tokens_per_s
        Prompt tokens that are read in a second, 0 if it is unknown.
    reported_at_s
        Clock time at which the report arrived.
    """

    requests: int = 0
    queued_tokens: int = 0
    tokens_per_s: int = 0
    reported_at_s: float = float('-inf')

    def pace_at(self, now_s: float) -> int:
        """Return the pace in tokens per second, 0 if it is unknown."""
        if now_s - self.reported_at_s > MAX_REPORT_AGE_S:
            return 0
        is_plausible = MIN_TOKENS_PER_S <= self.tokens_per_s <= MAX_TOKENS_PER_S
        return self.tokens_per_s if is_plausible else 0


UNKNOWN_LOAD = EngineLoad()
