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
PROMPT_TOKENS_AT_ONCE = 3000
# A prompt whose end was never told counts as read after this time.
FORGET_AFTER_S = 1.5


@dataclass(eq=False)
class _Waiting:
    request_id: str
    tokens: int
    rank: tuple[int, float]
    future: asyncio.Future = field(repr=False)


class PromptGate:
    """Admits prompts by urgency, then by arrival."""

    def __init__(
        self,
        clock: Clock,
        tokens_at_once: int = PROMPT_TOKENS_AT_ONCE,
    ) -> None:
        self._clock = clock
        self._tokens_at_once = tokens_at_once
        self._reading: dict[str, tuple[int, float]] = {}
        self._waiting: list[_Waiting] = []

    @property
    def waiting(self) -> int:
        """Return the number of prompts that wait."""
        return len(self._waiting)

    async def enter(self, request_id: str, tokens: int, priority: int) -> None:
        """Wait until the engine may read a prompt."""
        waiting = _Waiting(
            request_id,
            tokens,
            (priority, self._clock.now_s()),
            asyncio.get_running_loop().create_future(),
        )
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda row: row.rank)
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
        for request_id, (_, since_s) in list(self._reading.items()):
            if now_s - since_s > FORGET_AFTER_S:
                del self._reading[request_id]
        while self._waiting:
            first = self._waiting[0]
            read = sum(tokens for tokens, _ in self._reading.values())
            if read and read + first.tokens > self._tokens_at_once:
                return
            self._waiting.pop(0)
            self._reading[first.request_id] = (first.tokens, now_s)
            if not first.future.done():
                first.future.set_result(None)
