"""Recent changes of shared state, so that a follower can resume.

Of several changes of one object, for example of one host record, only the
newest is kept. So the amount of data sent to a follower does not grow with the
number of changes that it missed.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator, Mapping, Sequence
from itertools import groupby
from operator import attrgetter
from typing import Any, NamedTuple

import msgpack

from kumquatrun.peer.node_messages import FeedItem

MAX_FEED_ROWS = 4096


class FeedRow(NamedTuple):
    """One change; ``key`` is the same for all changes of one object."""

    key: Hashable
    index: int
    kind: str
    body: Any


# Key of the changed object, by kind of row. Documents are not listed: a row may
# be a delta to the document before, so none replaces an earlier row.
_ROW_KEYS: Mapping[str, Callable[[Any], Hashable]] = {
    'adapter_version': lambda body: tuple(body[:2]),
    'configuration': lambda body: '',
    'host': lambda body: body[0],
    'key': lambda body: body[0],
    'quarantine': lambda body: body[0],
}


class FeedLog:
    """Rows in index order; notifies followers of changes.

    Attributes
    ----------
    index
        Index of the newest change.
    replaced_row_count
        Number of rows that newer ones replaced, plus the number of resets. If
        it has changed, a sender must read the items again.
    """

    def __init__(self, max_rows: int = MAX_FEED_ROWS) -> None:
        self._rows: OrderedDict[Hashable, FeedRow] = OrderedDict()
        self._max_rows = max_rows
        self._start_index = 0
        self._changed = asyncio.Event()
        self.index = 0
        self.replaced_row_count = 0

    def reset(self, index: int) -> None:
        """Drop all rows after the state was restored to ``index``."""
        self._rows.clear()
        self._start_index = index
        self.index = index
        self.replaced_row_count += 1
        self._notify_followers()

    def extend(self, added: Sequence[FeedItem]) -> None:
        """Add items in index order."""
        if not added:
            return
        for feed_item in added:
            for row in _rows_of(feed_item):
                self._add(row)
        self.index = added[-1].index
        while len(self._rows) > self._max_rows:
            _, oldest = self._rows.popitem(last=False)
            self._start_index = oldest.index
        self._notify_followers()

    def after(self, index: int) -> list[FeedItem] | None:
        """Return the items after ``index``, None if some were dropped.

        A follower can be ahead of a leader that has not applied all of its
        log yet; the list is then empty.
        """
        if index < self._start_index:
            return None
        newer: list[FeedRow] = []
        for row in reversed(self._rows.values()):
            if row.index <= index:
                break
            newer.append(row)
        newer.reverse()
        return [
            encode_rows(row_index, list(rows))
            for row_index, rows in groupby(newer, key=attrgetter('index'))
        ]

    async def wait(self, timeout_s: float) -> None:
        """Wait until the rows change, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _add(self, row: FeedRow) -> None:
        if self._rows.pop(row.key, None) is not None:
            self.replaced_row_count += 1
        self._rows[row.key] = row

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def encode_rows(index: int, rows: Sequence[FeedRow]) -> FeedItem:
    """Return one item with all rows of one index."""
    if len(rows) == 1:
        kind, body = rows[0].kind, rows[0].body
    else:
        kind, body = 'batch', [[row.kind, row.body] for row in rows]
    return FeedItem(index=index, kind=kind, body=msgpack.packb(body))


def _rows_of(feed_item: FeedItem) -> Iterator[FeedRow]:
    body = msgpack.unpackb(feed_item.body)
    is_batch = feed_item.kind == 'batch'
    rows = body if is_batch else [(feed_item.kind, body)]
    for number, (kind, row) in enumerate(rows):
        key_of = _ROW_KEYS.get(kind)
        key = key_of(row) if key_of else (feed_item.index, number)
        yield FeedRow((kind, key), feed_item.index, kind, row)
