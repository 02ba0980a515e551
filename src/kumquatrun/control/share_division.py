"""Divides part of an account's rate into shares of its entries.

Answers the load of a leader change under uneven demand: callers of an account
come to few of the entries, and those need most of its rate. A flood at some
entries must leave the others their demand, so the division is max-min fair.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Fraction of the rate that all entries together admit without a leader. The
# rest lets a new leader grant tokens before all entries have reported.
SHARE_FRACTION = 0.8
# Fraction of the shares that is divided evenly, for callers who come to an
# entry that had none of them before.
EVEN_FRACTION = 0.1
# Largest level of a share, in seconds of its rate, in touch with the leader and
# without. The design note gives their parts in the bound of an account.
BURST_S = 0.25
SILENT_BURST_S = 2.0
# What silent entries may save up beside a full bucket, as a fraction of the
# burst, or of the tokens of a second if that is less.
SAVED_FRACTION = 0.3
# Time without contact during which an entry may use its whole share, longer
# than most interruptions, and the fraction that it may use afterwards.
FULL_SHARE_S = 60.0
LATE_FRACTION = 0.25
# End of a share without contact.
SHARE_END_S = 600.0


@dataclass(frozen=True)
class ShareLimit:
    """Rate and burst of an account, and what its shares may be of them.

    Attributes
    ----------
    rate_per_s
        Tokens per second.
    burst
        Tokens.
    """

    rate_per_s: float
    burst: float

    @property
    def total_per_s(self) -> float:
        """Return the sum of all shares, in tokens per second."""
        return SHARE_FRACTION * self.rate_per_s

    def burst_of(self, share_per_s: float) -> float:
        """Return the tokens that a share holds at most on a contact."""
        return share_per_s * BURST_S * self._burst_factor()

    def silent_burst_of(self, share_per_s: float) -> float:
        """Return the tokens that a share saves up at most in silence."""
        return share_per_s * SILENT_BURST_S * self._burst_factor()

    def bucket_size(self, saved: float) -> float:
        """Return the size of the leader's bucket beside tokens saved up."""
        spare = SAVED_FRACTION * min(self.burst, self.rate_per_s)
        return min(self.burst, max(0.0, self.burst + spare - saved))

    def _burst_factor(self) -> float:
        burst_s = self.burst / self.rate_per_s if self.rate_per_s > 0 else 0.0
        return min(1.0, burst_s)


@dataclass(frozen=True)
class Division:
    """Shares by demand.

    Attributes
    ----------
    even_per_s
        Tokens per second that each share gets beside its demand.
    level_per_s
        Largest share before scaling, in tokens per second.
    scale
        Factor by which the shares use up the total.
    """

    even_per_s: float
    level_per_s: float
    scale: float

    def share_per_s(self, demand_per_s: float) -> float:
        """Return the share of an entry with a demand."""
        wanted_per_s = demand_per_s + self.even_per_s
        return self.scale * min(wanted_per_s, self.level_per_s)


def divide(demands_per_s: Mapping[str, float], total_per_s: float) -> Division:
    """Divide a rate by demand, max-min fair if the demand exceeds it."""
    count = max(1, len(demands_per_s))
    even_per_s = EVEN_FRACTION * total_per_s / count
    wanted = sorted(each + even_per_s for each in demands_per_s.values())
    wanted_sum = sum(wanted)
    if wanted_sum <= total_per_s:
        scale = total_per_s / wanted_sum if wanted_sum > 0 else 1.0
        return Division(even_per_s, float('inf'), scale)
    remaining_per_s = total_per_s
    for number, each_per_s in enumerate(wanted):
        level_per_s = remaining_per_s / (count - number)
        if each_per_s >= level_per_s:
            return Division(even_per_s, level_per_s, 1.0)
        remaining_per_s -= each_per_s
    return Division(even_per_s, float('inf'), 1.0)


def usable_s(silence_s: float) -> float:
    """Return for how many seconds of its rate a share is usable.

    Leader and entry both count with it: the leader from the last renewal that
    it answered, the entry from the time at which it sent that renewal.
    """
    silence_s = min(max(0.0, silence_s), SHARE_END_S)
    late_s = max(0.0, silence_s - FULL_SHARE_S)
    return silence_s - late_s + LATE_FRACTION * late_s
