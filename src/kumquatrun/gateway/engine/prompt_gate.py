"""Limits how many prompts an engine processes concurrently.

An engine processes prompts between the tokens of running requests, so prompts
that arrive together delay every stream of the batch. Requests therefore wait
here until earlier requests have got their first event: the target for the time
to the first event allows for this wait, the target for gaps within streams does
not.
"""

import asyncio
from dataclasses import dataclass, field

from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.clock import Clock

# Maximum number of prompt tokens that are processed concurrently. A single
# prompt may exceed it.
MAX_CONCURRENT_PROMPT_TOKENS = 3000
# Without a notification, a prompt counts as processed after this time.
PROMPT_EXPIRY_S = 1.5


@dataclass(eq=False)
class _WaitingPrompt:
    request_id: str
    tokens: int
    sort_key: tuple[int, float]
    future: asyncio.Future = field(repr=False)


class PromptGate:
    """Admits prompts by priority, then in order of arrival."""

    def __init__(
        self,
        clock: Clock,
        max_concurrent_tokens: int = MAX_CONCURRENT_PROMPT_TOKENS,
    ) -> None:
        self._clock = clock
        self._max_concurrent_tokens = max_concurrent_tokens
        # Number of tokens and admission time of each prompt in progress.
        self._processing: dict[str, tuple[int, float]] = {}
        self._waiting: list[_WaitingPrompt] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting prompts."""
        return len(self._waiting)

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
        """Record that a prompt was processed or abandoned."""
        self._processing.pop(request_id, None)
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
                del self._processing[request_id]
        while self._waiting:
            first = self._waiting[0]
            tokens_in_progress = sum(
                tokens for tokens, _ in self._processing.values()
            )
            if (
                tokens_in_progress
                and tokens_in_progress + first.tokens
                > self._max_concurrent_tokens
            ):
                return
            self._waiting.pop(0)
            self._processing[first.request_id] = (first.tokens, now_s)
            if not first.future.done():
                first.future.set_result(None)
