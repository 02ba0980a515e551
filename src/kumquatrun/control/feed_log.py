"""Newest feed items, kept so that a follower can go on where it stopped."""

import asyncio
from collections import deque
from collections.abc import Sequence

from kumquatrun.peer.node_messages import FeedItem

KEPT_ITEMS = 4096


class FeedLog:
    """A bounded list of feed items with a wake-up for followers."""

    def __init__(self, kept_items: int = KEPT_ITEMS) -> None:
        self._items: deque[FeedItem] = deque()
        self._kept_items = kept_items
        self._start_index = 0
        self._changed = asyncio.Event()
        self.index = 0

    def reset(self, index: int) -> None:
        """Start at ``index`` after the state was restored."""
        self._items.clear()
        self._start_index = index
        self.index = index
        self._wake()

    def extend(self, added: Sequence[FeedItem]) -> None:
        """Add items in index order."""
        if not added:
            return
        self._items.extend(added)
        self.index = added[-1].index
        while len(self._items) > self._kept_items:
            self._start_index = self._items.popleft().index
        self._wake()

    def after(self, index: int) -> list[FeedItem] | None:
        """Return the items after ``index``, None if some are gone.

        A follower can be ahead of a leader that has not applied all of its
        log yet; it gets an empty list.
        """
        if index < self._start_index:
            return None
        newer = []
        for feed_item in reversed(self._items):
            if feed_item.index <= index:
                break
            newer.append(feed_item)
        newer.reverse()
        return newer

    async def wait(self, timeout_s: float) -> None:
        """Wait until items were added, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
