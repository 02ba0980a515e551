"""Limits how many prompts an engine reads at the same time.

An engine reads prompts between the tokens of running requests, so prompts that
arrive together cause a pause in every stream of its batch. Requests wait here
for the first event of earlier ones; the time to the first event has room for
it, the pauses have not.
"""

import asyncio
from dataclasses import dataclass, field

from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.clock import Clock

# Prompt tokens that may be read at the same time; one prompt of any size may
# be read alone.
MAX_CONCURRENT_PROMPT_TOKENS = 3000
# A prompt whose end was never told counts as read after this time.
PROMPT_EXPIRY_S = 1.5


@dataclass(eq=False)
class _WaitingPrompt:
    request_id: str
    tokens: int
    sort_key: tuple[int, float]
    future: asyncio.Future = field(repr=False)


class PromptGate:
    """Admits prompts by urgency, then by arrival."""

    def __init__(
        self,
        clock: Clock,
        max_concurrent_tokens: int = MAX_CONCURRENT_PROMPT_TOKENS,
    ) -> None:
        self._clock = clock
        self._max_concurrent_tokens = max_concurrent_tokens
        self._reading: dict[str, tuple[int, float]] = {}
        self._waiting: list[_WaitingPrompt] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of prompts that wait."""
        return len(self._waiting)

    async def enter(self, request_id: str, tokens: int, priority: int) -> None:
        """Wait until the engine may read a prompt."""
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
        """Record that a prompt was read, or will not be."""
        self._reading.pop(request_id, None)
        self.admit()

    def refuse_all(self, error: KumquatrunError) -> None:
        """End the wait of all prompts with an error."""
        for waiting in self._waiting:
            if not waiting.future.done():
                waiting.future.set_exception(error)
        self._waiting.clear()

    def admit(self) -> None:
        """Let waiting prompts in while there is room."""
        now_s = self._clock.now_s()
        for request_id, (_, admitted_s) in list(self._reading.items()):
            if now_s - admitted_s > PROMPT_EXPIRY_S:
                del self._reading[request_id]
        while self._waiting:
            first = self._waiting[0]
            reading_tokens = sum(tokens for tokens, _ in self._reading.values())
            if (
                reading_tokens
                and reading_tokens + first.tokens > self._max_concurrent_tokens
            ):
                return
            self._waiting.pop(0)
            self._reading[first.request_id] = (first.tokens, now_s)
            if not first.future.done():
                first.future.set_result(None)
