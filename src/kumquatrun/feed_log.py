"""Newest feed items, kept so that a follower can go on where it stopped."""

import asyncio
from collections import deque
from collections.abc import Sequence

from kumquatrun.messages import FeedItem

KEPT_ITEMS = 4096


class FeedLog:
    """A bounded list of feed items with a wake-up for followers."""

    def __init__(self, kept_items: int = KEPT_ITEMS) -> None:
        self._items: deque[FeedItem] = deque(maxlen=kept_items)
        self._changed = asyncio.Event()
        self._start_index = 0
        self.index = 0

    def reset(self, index: int) -> None:
        """Start at ``index`` after the state was restored."""
        self._items.clear()
        self._start_index = index
        self.index = index
        self._wake()

    def extend(self, items: Sequence[FeedItem]) -> None:
        """Add items in index order."""
        for item in items:
            if len(self._items) == self._items.maxlen:
                self._start_index = self._items[0].index
            self._items.append(item)
            self.index = item.index
        if items:
            self._wake()

    def after(self, index: int) -> list[FeedItem] | None:
        """Return the items after ``index``, None if some are gone."""
        if index < self._start_index or index > self.index:
            return None
        newer = []
        for item in reversed(self._items):
            if item.index <= index:
                break
            newer.append(item)
        return newer[::-1]

    async def wait(self) -> None:
        """Wait until items were added."""
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
