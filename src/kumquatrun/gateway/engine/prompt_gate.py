"""Limits how many prompts an engine processes concurrently.

An engine processes prompts between the tokens of running requests, so prompts
that arrive together delay every stream of the batch. Requests therefore wait
here until earlier requests have got their first event: the target for the time
to the first event allows for this wait, the target for gaps within streams does
not.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.engine.read_pace import ReadPace
from kumquatrun.runtime.clock import Clock

# Maximum number of prompt tokens that are processed concurrently while the pace
# of the engine is unknown. A single prompt may exceed it.
MAX_CONCURRENT_PROMPT_TOKENS = 3000
# With a known pace, the engine gets as many tokens as it reads within this
# fraction of the target for pauses; the rest is left for the running streams.
GAP_FRACTION = 0.8
# Bounds of the limit that follows from the pace.
MIN_PACED_TOKENS = 1000
MAX_PACED_TOKENS = 6000
# Without a notification, a prompt counts as processed after this time.
PROMPT_EXPIRY_S = 1.5


@dataclass(eq=False)
class _WaitingPrompt:
    request_id: str
    tokens: int
    sort_key: tuple[int, float]
    future: asyncio.Future = field(repr=False)


class PromptGate:
    """Admits prompts by priority, then in order of arrival.

    Parameters
    ----------
    clock
        Source of time.
    max_concurrent_tokens
        Limit while the pace of the engine is unknown.
    gap_target_s
        Returns the shortest target for pauses in streams, 0 for none.

    Attributes
    ----------
    pace
        Pace of the engine, learned from the prompts that it has read.
    """

    def __init__(
        self,
        clock: Clock,
        max_concurrent_tokens: int = MAX_CONCURRENT_PROMPT_TOKENS,
        gap_target_s: Callable[[], float] = float,
    ) -> None:
        self.pace = ReadPace()
        self._clock = clock
        self._max_concurrent_tokens = max_concurrent_tokens
        self._gap_target_s = gap_target_s
        # Number of tokens and admission time of each prompt in progress.
        self._processing: dict[str, tuple[int, float]] = {}
        self._waiting: list[_WaitingPrompt] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting prompts."""
        return len(self._waiting)

    @property
    def tokens_in_hand(self) -> int:
        """Return the prompt tokens that wait or are being processed."""
        return self._tokens_in_progress() + sum(
            waiting.tokens for waiting in self._waiting
        )

    async def enter(self, request_id: str, tokens: int, priority: int) -> None:
        """Wait until the engine may process a prompt."""
        waiting = _WaitingPrompt(
            request_id,
            tokens,
            (priority, self._clock.now_s()),
            asyncio.get_running_loop().create_future(),
        )
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda row: row.sort_key)
        self.admit()
        try:
            await waiting.future
        except asyncio.CancelledError:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            self.leave(request_id)
            raise

    def leave(self, request_id: str) -> None:
        """Record that a prompt was abandoned, if it was not processed."""
        self._processing.pop(request_id, None)
        self.admit()

    def finish(self, request_id: str) -> None:
        """Record that a prompt was processed."""
        self._end(request_id, self._clock.now_s())
        self.admit()

    def refuse_all(self, error: KumquatrunError) -> None:
        """Fail the waits of all prompts with an error."""
        for waiting in self._waiting:
            if not waiting.future.done():
                waiting.future.set_exception(error)
        self._waiting.clear()

    def admit(self) -> None:
        """Admit waiting prompts up to the limit."""
        now_s = self._clock.now_s()
        for request_id, (_, admitted_s) in list(self._processing.items()):
            if now_s - admitted_s > PROMPT_EXPIRY_S:
                self._end(request_id, now_s)
        limit_tokens = self._limit_tokens(now_s)
        while self._waiting:
            first = self._waiting[0]
            tokens_in_progress = self._tokens_in_progress()
            if (
                tokens_in_progress
                and tokens_in_progress + first.tokens > limit_tokens
            ):
                return
            self._waiting.pop(0)
            self._processing[first.request_id] = (first.tokens, now_s)
            if not first.future.done():
                first.future.set_result(None)

    def _end(self, request_id: str, now_s: float) -> None:
        tokens, admitted_s = self._processing.pop(request_id, (0, now_s))
        self.pace.record(tokens, admitted_s, now_s)

    def _tokens_in_progress(self) -> int:
        return sum(tokens for tokens, _ in self._processing.values())

    def _limit_tokens(self, now_s: float) -> float:
        """Return how many prompt tokens may be processed concurrently."""
        gap_target_s = self._gap_target_s()
        estimate = self.pace.estimate(now_s)
        if estimate is None or gap_target_s <= 0:
            return self._max_concurrent_tokens
        paced_tokens = estimate.tokens_per_s * GAP_FRACTION * gap_target_s
        return min(MAX_PACED_TOKENS, max(MIN_PACED_TOKENS, paced_tokens))
