"""Shares of one account's rate that the leader granted to entries.

Once an entry is silent for ``SILENCE_S``, the leader keeps its share back: it
deducts from its bucket what the entry may admit by itself. When the entry
reports again, what it admitted beyond that is deducted too. Tokens that it
did not use are not returned: granted late, they would add to those of a later
time. So the leader and all entries together stay within the rate of the account.
"""

from dataclasses import dataclass
from math import isfinite

from kumquatrun.control.share_division import (
    SHARE_END_S,
    Division,
    ShareLimit,
    divide,
    usable_s,
)
from kumquatrun.peer.share_messages import ShareGrant, ShareReport

# Silence after which the leader treats an entry as one that admits by itself:
# longer than the interval of renewals.
SILENCE_S = 0.65
# Interval at which the leader looks for silent entries.
CHECK_INTERVAL_S = 0.1
# Interval at which shares are divided anew.
DIVISION_INTERVAL_S = 0.5
# Covers the difference between the rates of two clocks until a share ends.
END_MARGIN_S = 1.0
# Largest difference between the rates of two clocks, in seconds per second.
CLOCK_DRIFT = 0.001


@dataclass(frozen=True)
class ShareHolder:
    """One process of an entry that renews its shares.

    Attributes
    ----------
    host_id
        Host of the entry.
    boot_id
        Differs after each start of the process.
    sent_at_s
        When the entry sent the renewal, by its own clock.
    """

    host_id: str
    boot_id: str
    sent_at_s: float


@dataclass
class _Holding:
    boot_id: str
    rate_per_s: float
    burst: float
    demand_per_s: float
    spent: float
    sent_at_s: float
    contact_at_s: float
    silent_burst: float
    # Smallest difference between the clocks, with the time of the way.
    clock_offset_s: float
    # Tokens that are deducted from the bucket since the last contact.
    withheld: float = 0.0

    def usable(self, now_s: float) -> float:
        """Return the tokens that may have been admitted since the contact."""
        silence_s = now_s - self.contact_at_s
        return self.burst + self.rate_per_s * usable_s(silence_s)

    def saved(self, now_s: float) -> float:
        """Return the tokens that may have been saved up since."""
        return min(self.usable(now_s), max(self.burst, self.silent_burst))


@dataclass
class _Inherited:
    """Shares that an earlier leader may have granted to unknown entries."""

    rate_per_s: float
    began_at_s: float
    counted_s: float = 0.0

    def count(self, now_s: float) -> float:
        """Return the tokens that became usable since the last count."""
        counted_s = usable_s(now_s - self.began_at_s)
        added_s = counted_s - self.counted_s
        self.counted_s = counted_s
        return self.rate_per_s * added_s


class AccountShares:
    """Shares of one account."""

    def __init__(self) -> None:
        self._holdings: dict[str, _Holding] = {}
        self._inherited = _Inherited(0.0, 0.0)
        self._reported_withheld_per_s = 0.0
        self._silent_per_s = 0.0
        self._reserved_per_s = 0.0
        self._saved = 0.0
        self._checked_at_s = float('-inf')
        self._divided_at_s = float('-inf')
        self._division = Division(0.0, 0.0, 1.0)

    def inherit(self, limit: ShareLimit, now_s: float) -> None:
        """Reserve the shares that an earlier leader may have granted."""
        self._inherited = _Inherited(limit.total_per_s, now_s)

    def limit_inherited(self) -> None:
        """Reserve only what earlier leaders withheld: all others reported."""
        self._inherited.rate_per_s = min(
            self._inherited.rate_per_s, self._reported_withheld_per_s
        )

    def bucket_size(self, limit: ShareLimit) -> float:
        """Return the size of the bucket beside what entries may save up."""
        inherited = self._inherited
        saved = min(
            inherited.rate_per_s * inherited.counted_s,
            limit.silent_burst_of(inherited.rate_per_s),
        )
        return limit.bucket_size(self._saved + saved)

    def withhold(self, now_s: float) -> float:
        """Return the tokens to deduct for silent entries since the last call.

        These entries may have admitted them since the leader last heard of
        them.
        """
        if now_s - self._checked_at_s < CHECK_INTERVAL_S:
            return 0.0
        self._checked_at_s = now_s
        deducted = self._inherited.count(now_s)
        self._silent_per_s = 0.0
        self._saved = 0.0
        self._reserved_per_s = 0.0
        for host_id, holding in tuple(self._holdings.items()):
            silence_s = now_s - holding.contact_at_s
            if silence_s > SHARE_END_S + END_MARGIN_S:
                del self._holdings[host_id]
                continue
            self._reserved_per_s += holding.rate_per_s
            if silence_s > SILENCE_S:
                withheld = holding.rate_per_s * usable_s(silence_s - SILENCE_S)
                deducted += withheld - holding.withheld
                holding.withheld = withheld
                self._silent_per_s += holding.rate_per_s
                self._saved += holding.saved(now_s)
        return deducted

    def renew(
        self,
        holder: ShareHolder,
        report: ShareReport,
        limit: ShareLimit,
        now_s: float,
    ) -> tuple[ShareGrant | None, float]:
        """Return a new grant and the tokens to deduct from the bucket.

        A renewal that a later one has overtaken gets no grant.
        """
        previous = self._holdings.get(holder.host_id)
        if previous is not None and _is_overtaken(holder, previous):
            return None, 0.0
        held_per_s = _clean(report.rate_tokens_per_s, limit.rate_per_s)
        deducted = self._settle(previous, holder, report, now_s)
        holding = _holding_of(previous, holder, report, limit, now_s)
        self._holdings[holder.host_id] = holding
        share_per_s = self._share(holding, limit, now_s)
        # The entry keeps its present share if this grant does not arrive.
        holding.rate_per_s = max(held_per_s, share_per_s)
        holding.burst = limit.burst_of(holding.rate_per_s)
        holding.silent_burst = limit.silent_burst_of(holding.rate_per_s)
        self._reserved_per_s += holding.rate_per_s
        grant = ShareGrant(
            account=report.account,
            rate_tokens_per_s=share_per_s,
            burst_tokens=limit.burst_of(share_per_s),
            silent_burst_tokens=limit.silent_burst_of(share_per_s),
            withheld_tokens_per_s=(
                self._silent_per_s + self._inherited.rate_per_s
            ),
        )
        return grant, deducted

    def _settle(
        self,
        previous: _Holding | None,
        holder: ShareHolder,
        report: ShareReport,
        now_s: float,
    ) -> float:
        """Close the previous holding; return the tokens to deduct for it."""
        self._reported_withheld_per_s = max(
            self._reported_withheld_per_s,
            _clean(report.withheld_tokens_per_s),
        )
        if previous is None:
            held_per_s = _clean(report.rate_tokens_per_s)
            inherited = self._inherited
            inherited.rate_per_s = max(0.0, inherited.rate_per_s - held_per_s)
            return 0.0
        self._reserved_per_s -= previous.rate_per_s
        if previous.boot_id == holder.boot_id:
            spent = max(0.0, _clean(report.spent_tokens) - previous.spent)
        else:
            # A process that ended can't report what it admitted.
            spent = previous.usable(now_s)
        return max(0.0, spent - previous.withheld)

    def _share(
        self, holding: _Holding, limit: ShareLimit, now_s: float
    ) -> float:
        if now_s - self._divided_at_s >= DIVISION_INTERVAL_S:
            self._divided_at_s = now_s
            demands_per_s = {
                host_id: each.demand_per_s
                for host_id, each in self._holdings.items()
            }
            self._division = divide(demands_per_s, limit.total_per_s)
        free_per_s = (
            limit.total_per_s
            - self._inherited.rate_per_s
            - self._reserved_per_s
        )
        share_per_s = self._division.share_per_s(holding.demand_per_s)
        return max(0.0, min(share_per_s, free_per_s))


def _is_overtaken(holder: ShareHolder, previous: _Holding) -> bool:
    is_same_process = previous.boot_id == holder.boot_id
    return is_same_process and holder.sent_at_s < previous.sent_at_s


def _holding_of(
    previous: _Holding | None,
    holder: ShareHolder,
    report: ShareReport,
    limit: ShareLimit,
    now_s: float,
) -> _Holding:
    """Return what a renewal says, as of the time at which it was sent.

    A renewal that was on its way for long does not hide what the entry has
    admitted since.
    """
    offset_s = now_s - holder.sent_at_s
    contact_at_s = now_s
    if previous is not None and previous.boot_id == holder.boot_id:
        drift_s = CLOCK_DRIFT * (now_s - previous.contact_at_s)
        offset_s = min(offset_s, previous.clock_offset_s + drift_s)
        contact_at_s = min(now_s, holder.sent_at_s + offset_s)
    return _Holding(
        boot_id=holder.boot_id,
        rate_per_s=0.0,
        burst=0.0,
        silent_burst=0.0,
        demand_per_s=_clean(report.demand_tokens_per_s, limit.rate_per_s),
        spent=_clean(report.spent_tokens),
        sent_at_s=holder.sent_at_s,
        contact_at_s=contact_at_s,
        clock_offset_s=offset_s,
    )


def _clean(reported: float, limit: float = float('inf')) -> float:
    """Return a reported figure, 0 if it makes no sense."""
    if not isfinite(reported) or reported < 0:
        return 0.0
    return min(reported, limit)
