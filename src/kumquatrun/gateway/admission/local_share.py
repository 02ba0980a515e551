"""Decides what one entry admits of an account while no control leader responds.

Answers the load of a leader change or a cut: all entries decide by themselves,
and together they must keep the rate of the account. Each uses the share that
the leader granted it ahead, by what its callers ask for, see
``kumquatrun.control.account_shares``. A share can be smaller than a request, so
a request larger than the level is admitted with the probability that the level
covers it. The entries then admit the sum of their levels in the mean.
"""

import random
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import exp

from kumquatrun.control.share_division import usable_s
from kumquatrun.gateway.routing.configuration import GatewayAccount
from kumquatrun.peer.share_messages import ShareGrant, ShareReport
from kumquatrun.runtime.clock import Clock

# Number of bursts that may wait for a leader, over all entries. Callers spread
# unevenly over the entries, so it is more than a leader grants at once.
WAITING_BURSTS = 4
# Time over which the demand of callers is averaged.
DEMAND_PERIOD_S = 10.0
# A smaller demand, in tokens per second, is not reported.
MIN_DEMAND_PER_S = 0.01
# Silence after which a renewal counts as the return of a leader.
LOST_LEADER_S = 1.0
# Longest Retry-After for an account without a share on this entry.
MAX_RETRY_AFTER_S = 2.0


@dataclass
class _Demand:
    rate_per_s: float = 0.0
    updated_at_s: float = 0.0

    def at(self, now_s: float) -> float:
        passed_s = max(0.0, now_s - self.updated_at_s)
        return self.rate_per_s * exp(-passed_s / DEMAND_PERIOD_S)

    def add(self, amount: float, now_s: float) -> None:
        self.rate_per_s = self.at(now_s) + amount / DEMAND_PERIOD_S
        self.updated_at_s = now_s


@dataclass
class _Share:
    rate_per_s: float = 0.0
    burst: float = 0.0
    silent_burst: float = 0.0
    withheld_per_s: float = 0.0
    level: float = 0.0
    # All tokens that were ever spent, and those before the last report.
    spent: float = 0.0
    reported: float = 0.0
    sent_at_s: float = 0.0
    refilled_at_s: float = 0.0
    demand: _Demand = field(default_factory=_Demand)

    def refill(self, now_s: float) -> None:
        before_s = usable_s(self.refilled_at_s - self.sent_at_s)
        usable = usable_s(now_s - self.sent_at_s) - before_s
        gained = self.rate_per_s * max(0.0, usable)
        self.level = min(self.silent_burst, self.level + gained)
        self.refilled_at_s = now_s

    def spend(self, amount: float) -> None:
        self.level = max(0.0, self.level - amount)
        self.spent += amount

    def renew(self, grant: ShareGrant, sent_at_s: float, now_s: float) -> None:
        """Replace the share by that of a reply to a report.

        What was spent while the reply was on its way counts against the new
        share, as the leader doesn't know of it yet.
        """
        in_flight = self.spent - self.reported
        self.refill(now_s)
        self.rate_per_s = grant.rate_tokens_per_s
        self.burst = grant.burst_tokens
        self.silent_burst = grant.silent_burst_tokens
        self.withheld_per_s = grant.withheld_tokens_per_s
        self.level = max(0.0, min(self.level, self.burst - in_flight))
        self.sent_at_s = sent_at_s


class LocalShares:
    """The shares of one entry in the rates of accounts.

    Parameters
    ----------
    clock
        Source of time.
    entries
        Returns the number of entries that share a rate.
    rng
        Source of the admissions that a level covers in part.

    Attributes
    ----------
    boot_id
        Differs after each start of the process.
    regained_at_s
        When a leader last answered after a silence.
    """

    def __init__(
        self, clock: Clock, entries: Callable[[], int], rng: random.Random
    ) -> None:
        self._clock = clock
        self._entries = entries
        self._rng = rng
        self._shares: dict[str, _Share] = {}
        self._contact_at_s = float('inf')
        self.regained_at_s = float('-inf')
        self.boot_id = uuid.uuid4().hex

    def record_demand(self, account: GatewayAccount, amount: float) -> None:
        """Count a request, admitted or not, as demand on this entry."""
        share = self._shares.setdefault(account.name, _Share())
        share.demand.add(amount, self._clock.now_s())

    def admits(self, account: GatewayAccount, amount: float) -> bool:
        """Deduct a request from the share of this entry, if it is covered.

        A level that covers a request in part is spent whatever the outcome, or
        repeated requests would get more than the level.
        """
        share = self._refilled(account)
        if share.level >= amount:
            share.spend(amount)
            return True
        is_admitted = self._rng.random() * amount < share.level
        share.spend(share.level)
        return is_admitted

    def may_wait(
        self, account: GatewayAccount, amount: float, waiting: float
    ) -> bool:
        """Return whether a request may join those that wait for a leader.

        A new leader grants little more at once than the burst. One request may
        wait on each entry, however small the share of an entry is.
        """
        share = account.burst * WAITING_BURSTS / max(1, self._entries())
        return not waiting or waiting + amount <= share

    def retry_after_s(self, account: GatewayAccount, amount: float) -> float:
        """Return when the share of this entry covers a request."""
        share = self._refilled(account)
        missing = max(0.0, amount - share.level)
        if share.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        return missing / share.rate_per_s

    def reports(self, now_s: float) -> tuple[ShareReport, ...]:
        """Return what is held and used, for a renewal that is sent now."""
        rows = []
        for account, share in self._shares.items():
            demand_per_s = share.demand.at(now_s)
            was_used = share.rate_per_s > 0 or share.spent > 0
            if demand_per_s < MIN_DEMAND_PER_S and not was_used:
                continue
            share.reported = share.spent
            rows.append(
                ShareReport(
                    account=account,
                    rate_tokens_per_s=share.rate_per_s,
                    spent_tokens=share.spent,
                    demand_tokens_per_s=demand_per_s,
                    withheld_tokens_per_s=share.withheld_per_s,
                )
            )
        return tuple(rows)

    def apply(self, grants: Iterable[ShareGrant], sent_at_s: float) -> None:
        """Take over the reply to the renewal that was sent then."""
        now_s = self._clock.now_s()
        if now_s - self._contact_at_s > LOST_LEADER_S:
            self.regained_at_s = now_s
        self._contact_at_s = now_s
        for grant in grants:
            share = self._shares.setdefault(grant.account, _Share())
            share.renew(grant, sent_at_s, now_s)

    def _refilled(self, account: GatewayAccount) -> _Share:
        share = self._shares.setdefault(account.name, _Share())
        share.refill(self._clock.now_s())
        return share
