"""Weighted fair queue per client account with token costs.

Start-time fair queuing: each backlogged account has a start tag, the account
with the smallest tag is served, and serving a request advances the tag by its
cost divided by the account's weight. Source: Goyal, Vin and Cheng, "Start-time
Fair Queuing", SIGCOMM 1996.
"""

import bisect
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from result import Err, Ok, Result

from kumquatrun.errors import NoCapacityError

Item = TypeVar('Item')

MIN_WEIGHT = 0.001


@dataclass(frozen=True, kw_only=True)
class Share:
    """Scheduling parameters of a request.

    Attributes
    ----------
    cost_tokens
        Expected work; values below 1 count as 1.
    weight
        Weight of the account relative to other accounts; lower values count
        as ``MIN_WEIGHT``.
    priority
        Higher values are served first within the account.
    deadline_s
        Clock time at which the request expires.
    """

    account: str
    cost_tokens: int
    weight: float = 1
    priority: int = 0
    deadline_s: float = float('inf')

    @property
    def charge(self) -> float:
        """Return how far the request advances the start tag of its account."""
        return max(1, self.cost_tokens) / max(MIN_WEIGHT, self.weight)


@dataclass(order=True)
class _Entry(Generic[Item]):
    rank: tuple[int, int]
    item: Item = field(compare=False)
    share: Share = field(compare=False)


@dataclass
class _Account(Generic[Item]):
    start_tag: float = 0
    backlog: float = 0
    entries: list[_Entry[Item]] = field(default_factory=list)

    def remove_entry(self, entry: _Entry[Item]) -> None:
        self.entries.remove(entry)
        self.backlog -= entry.share.charge


class FairQueue(Generic[Item]):
    """Bounded queue that divides service between accounts by weight.

    When the queue is full, the account with the largest weighted backlog
    loses an item, so that an account that sends far more than its share
    cannot cause refusals for the others.
    """

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._accounts: dict[str, _Account[Item]] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(
        self,
        item: Item,
        share: Share,
    ) -> Result[Item | None, NoCapacityError]:
        """Add an item.

        Returns
        -------
        Result
            ``Ok`` with the item of another account that was displaced from
            the full queue, or None; ``Err`` if this item is refused.
        """
        displaced = None
        if self._size >= self._max_items:
            victim = self._largest_backlog_account(share)
            if victim == share.account:
                return Err(NoCapacityError('the queue of the agent is full'))
            last_entry = self._accounts[victim].entries[-1]
            self._remove_entry(victim, last_entry)
            displaced = last_entry.item
        account = self._accounts.setdefault(share.account, _Account())
        if not account.entries:
            account.start_tag = max(account.start_tag, self._virtual_time)
        rank = (-share.priority, next(self._sequence))
        bisect.insort(account.entries, _Entry(rank, item, share))
        account.backlog += share.charge
        self._size += 1
        return Ok(displaced)

    def pop(
        self,
        is_ready: Callable[[Item], bool] = lambda item: True,
    ) -> Item | None:
        """Remove and return the next item in fair order that is ready."""
        for name, account in self._by_tag():
            for entry in account.entries:
                if is_ready(entry.item):
                    self._serve(name, entry)
                    return entry.item
        return None

    def in_order(self) -> Iterator[Item]:
        """Yield the first item of each account, then the second ones, etc.

        Each round follows the current start tags of the accounts; later
        changes of the tags are not simulated.
        """
        accounts = [account for _, account in self._by_tag()]
        columns = itertools.zip_longest(
            *(account.entries for account in accounts)
        )
        for column in columns:
            yield from (found.item for found in column if found is not None)

    def remove(self, item: Item) -> bool:
        """Remove an item; returns whether it was in the queue."""
        for name, account in self._accounts.items():
            for entry in account.entries:
                if entry.item is item:
                    self._remove_entry(name, entry)
                    return True
        return False

    def expire(self, now_s: float) -> list[Item]:
        """Remove and return the items whose deadline has passed."""
        expired = [
            (name, late)
            for name, account in self._accounts.items()
            for late in account.entries
            if late.share.deadline_s <= now_s
        ]
        for name, entry in expired:
            self._remove_entry(name, entry)
        return [late.item for _, late in expired]

    def _by_tag(self) -> list[tuple[str, _Account[Item]]]:
        backlogged = [
            (name, account)
            for name, account in self._accounts.items()
            if account.entries
        ]
        return sorted(backlogged, key=lambda pair: pair[1].start_tag)

    def _serve(self, name: str, entry: _Entry[Item]) -> None:
        account = self._accounts[name]
        self._virtual_time = max(self._virtual_time, account.start_tag)
        account.start_tag += entry.share.charge
        self._remove_entry(name, entry)
        self._remove_idle_accounts()

    def _remove_entry(self, name: str, entry: _Entry[Item]) -> None:
        self._accounts[name].remove_entry(entry)
        self._size -= 1

    def _remove_idle_accounts(self) -> None:
        # An idle account whose start tag is at or before the virtual time
        # would start at the virtual time anyway, so its record is not needed.
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.entries and account.start_tag <= self._virtual_time
        ]
        for name in idle:
            self._accounts.pop(name)

    def _largest_backlog_account(self, arriving: Share) -> str:
        backlogs = {
            name: account.backlog
            for name, account in self._accounts.items()
            if account.entries
        }
        own = backlogs.get(arriving.account, 0)
        backlogs[arriving.account] = own + arriving.charge
        return max(backlogs, key=lambda name: backlogs[name])
