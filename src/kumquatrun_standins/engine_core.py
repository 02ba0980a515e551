"""Engine core: batch, adapter slots, prefix cache and delayed reports."""

import asyncio
import hashlib
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

CRASH_MARK = 'CRASH-THE-ENGINE'
PREFIX_BLOCK_CHARS = 64


@dataclass(frozen=True, kw_only=True)
class EngineOptions:
    """Behaviour of one engine stand-in.

    ``fail_loads`` and ``hang_loads`` are how many of the next loads fail or
    never finish. ``mislabel_version`` makes the engine run and report that
    version in place of the one asked for.
    """

    slots: int = 4
    max_batch: int = 16
    token_interval_s: float = 0.02
    prefill_s_per_block: float = 0.0
    load_s: float = 0.25
    weight_store_url: str = ''
    check_fencing: bool = True
    restart_s: float = 0.3
    report_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_loss: float = 0.1
    cached_blocks: int = 512
    fail_loads: int = 0
    hang_loads: int = 0
    mislabel_version: str = ''
    seed: int = 1


@dataclass(eq=False)
class Generation:
    """One request in the engine; ``None`` in ``tokens`` ends it."""

    request_id: str
    adapter: str
    version: str
    prompt: str
    max_tokens: int
    priority: int = 0
    prefill_until_s: float = 0
    produced: int = 0
    tokens: asyncio.Queue[str | None] = field(default_factory=asyncio.Queue)

    def step(self) -> bool:
        """Produce one token; returns whether the generation is complete."""
        self.tokens.put_nowait(
            f'{self.adapter}@{self.version}:{self.produced} ',
        )
        self.produced += 1
        if self.produced < self.max_tokens:
            return False
        self.tokens.put_nowait(None)
        return True


class PrefixCache:
    """Bounded cache of prompt prefixes with late and incomplete events."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=4096)
        self._sequence = itertools.count(1)

    def admit(self, generation: Generation, now_s: float) -> int:
        """Store the prompt's blocks; returns how many were missing."""
        missing = 0
        for end in range(
            PREFIX_BLOCK_CHARS,
            len(generation.prompt) + 1,
            PREFIX_BLOCK_CHARS,
        ):
            prefix = generation.prompt[:end]
            key = f'{generation.adapter}@{generation.version}/{prefix}'
            block = hashlib.blake2b(key.encode(), digest_size=8).hexdigest()
            if block not in self._blocks:
                missing += 1
                self._record('stored', block, now_s)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._options.cached_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record('removed', evicted, now_s)
        return missing

    def events_after(self, sequence: int, now_s: float) -> list[dict[str, Any]]:
        """Return the events that are old enough to be visible."""
        visible_s = now_s - self._options.event_lag_s
        return [
            event
            for made_s, event in self._events
            if made_s <= visible_s and event['sequence'] > sequence
        ]

    def clear(self) -> None:
        """Forget all blocks without an event, as a crash does."""
        self._blocks.clear()

    def _record(self, kind: str, block: str, now_s: float) -> None:
        event = {'sequence': next(self._sequence), 'kind': kind, 'block': block}
        if self._random.random() >= self._options.event_loss:
            self._events.append((now_s, event))


class EngineCore:
    """Continuous batch over a few adapter slots.

    Attributes
    ----------
    executions
        ``(request id, adapter, version)`` of every request that was admitted
        to the batch, in order.
    """

    def __init__(
        self,
        options: EngineOptions,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self.options = options
        self._on_crash = on_crash
        self.incarnation = ''
        self.adapters: set[tuple[str, str]] = set()
        self.executions: list[tuple[str, str, str]] = []
        self.cancelled: list[str] = []
        self.newest_fencing_number = 0
        self.down_until_s = 0.0
        self.cache = PrefixCache(options)
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self._reports: deque[tuple[float, int, int]] = deque()
        self._visible_report = (0, 0)
        self._starts = itertools.count(1)
        self._work = asyncio.Event()
        self._clear()

    def now_s(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def is_down(self) -> bool:
        """Return whether the engine is still restarting."""
        return self.now_s() < self.down_until_s

    def submit(self, generation: Generation) -> None:
        """Queue a request by priority."""
        self.waiting.append(generation)
        self.waiting.sort(key=lambda waiting: -waiting.priority)
        self._work.set()

    def cancel(self, generation: Generation) -> None:
        """Remove a request whose caller has disconnected."""
        for group in (self.waiting, self.running):
            if generation in group:
                group.remove(generation)
                self.cancelled.append(generation.request_id)

    def crash(self) -> None:
        """Lose all state and be unreachable until the restart is over."""
        self.down_until_s = self.now_s() + self.options.restart_s
        self._clear()
        self._on_crash()

    def load_report(self) -> tuple[int, int]:
        """Return running and waiting counts as of ``report_lag_s`` ago."""
        now_s = self.now_s()
        self._reports.append((now_s, len(self.running), len(self.waiting)))
        while (
            self._reports
            and self._reports[0][0] <= now_s - self.options.report_lag_s
        ):
            _, running, waiting = self._reports.popleft()
            self._visible_report = (running, waiting)
        return self._visible_report

    async def run(self) -> None:
        """Produce one token per request and interval; never returns."""
        while True:
            if not self.waiting and not self.running:
                self._work.clear()
                await self._work.wait()
            await asyncio.sleep(self.options.token_interval_s)
            if self._admit():
                self._step()

    def _clear(self) -> None:
        self.incarnation = f'engine-{id(self):x}-{next(self._starts)}'
        self.adapters.clear()
        self.waiting.clear()
        self.running.clear()
        self.cache.clear()

    def _admit(self) -> bool:
        while self.waiting and len(self.running) < self.options.max_batch:
            generation = self.waiting.pop(0)
            self.executions.append(
                (generation.request_id, generation.adapter, generation.version),
            )
            if CRASH_MARK in generation.prompt:
                self.crash()
                return False
            missing = self.cache.admit(generation, self.now_s())
            prefill_s = missing * self.options.prefill_s_per_block
            generation.prefill_until_s = self.now_s() + prefill_s
            self.running.append(generation)
        return True

    def _step(self) -> None:
        now_s = self.now_s()
        for generation in list(self.running):
            if generation.prefill_until_s <= now_s and generation.step():
                self.running.remove(generation)
