"""Rate limits of all accounts, kept in the memory of the control leader.

Each request of a limited account takes its tokens from this pool, so that all
entries share one bucket per account. The pool lasts for one leadership term; a
new leader starts with part of each burst. What entries may admit while they
can't reach the leader is granted ahead in shares, see ``account_shares``.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from kumquatrun.control.account_shares import AccountShares, ShareHolder
from kumquatrun.control.configuration_register import AccountAllowance
from kumquatrun.control.share_division import ShareLimit
from kumquatrun.peer.messages import message
from kumquatrun.peer.share_messages import ShareGrant, ShareReport

# Fraction of the burst that a new account starts with.
INITIAL_FILL_RATIO = 0.5
# Fraction of the burst, and seconds of the rate at most, that a new leader
# starts with: its predecessor may have granted a whole burst just before.
INHERITED_FILL_RATIO = 0.18
# Limits the accounts that have shares, and so the size of a renewal.
MAX_SHARED_ACCOUNTS = 256


@message
class TakeAllowance:
    """Requests tokens for several requests of one account, in order.

    ``max_waits_s`` is how long each request can wait for its tokens. Entries of
    earlier versions leave it out: their requests can't wait, and those after
    the first that is not granted are not considered.
    """

    account: str
    amounts: tuple[float, ...]
    max_waits_s: tuple[float, ...] = ()


@message
class AllowanceReply:
    """Grants requests, some of them for a later time.

    ``granted`` is the number of requests before the first that is not granted,
    ``retry_after_s`` the time after which that one can be. ``waits_s`` is the
    time until the tokens of each request have accrued; a request is granted,
    and its tokens are taken, if it can wait as long.
    """

    granted: int
    retry_after_s: float = 0.0
    waits_s: tuple[float, ...] = ()


@dataclass
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    refilled_at_s: float
    shares: AccountShares = field(default_factory=AccountShares)
    is_shared: bool = False

    @property
    def limit(self) -> ShareLimit:
        return ShareLimit(self.rate_per_s, self.burst)

    def fill(self, now_s: float) -> None:
        gained = self.rate_per_s * max(0.0, now_s - self.refilled_at_s)
        gained -= self.shares.withhold(now_s)
        self.level = min(self._size(), self.level + gained)
        self.refilled_at_s = now_s

    def renew_share(
        self, holder: ShareHolder, report: ShareReport, now_s: float
    ) -> ShareGrant | None:
        self.fill(now_s)
        grant, deducted = self.shares.renew(holder, report, self.limit, now_s)
        self.level -= deducted
        return grant

    def wait_s(self, amount: float) -> float:
        """Return the time until the tokens of a request have accrued.

        A request larger than the burst is admitted by a full bucket, whose
        level then becomes negative. So it does for requests that wait for
        their tokens.
        """
        shortfall = min(float(amount), self._size()) - self.level
        return max(0.0, shortfall) / max(1.0, self.rate_per_s)

    def _size(self) -> float:
        return self.shares.bucket_size(self.limit)


class AllowancePool:
    """Token buckets of the limited accounts."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._version = -1
        self._awaited_hosts: set[str] = set()

    def inherit(self, hosts: Iterable[str], now_s: float) -> None:
        """Begin a term in which entries may hold shares of earlier leaders.

        Parameters
        ----------
        hosts
            Ids of the hosts with an entry that are registered now.
        now_s
            Current time.
        """
        self._awaited_hosts = set(hosts)
        for bucket in self._buckets.values():
            start = min(bucket.burst, bucket.rate_per_s)
            bucket.level = INHERITED_FILL_RATIO * start
            bucket.shares.inherit(bucket.limit, now_s)

    def configure(
        self,
        version: int,
        allowances: Iterable[AccountAllowance],
        now_s: float,
    ) -> None:
        """Apply the limits of a configuration; keeps the levels."""
        if version == self._version:
            return
        self._version = version
        previous_buckets = self._buckets
        self._buckets = {}
        for row in allowances:
            burst = float(row.burst_tokens)
            bucket = previous_buckets.get(row.name)
            if bucket is None:
                level = burst * INITIAL_FILL_RATIO
            else:
                bucket.fill(now_s)
                level = min(bucket.level, burst)
            self._buckets[row.name] = _Bucket(
                row.rate_tokens_per_s,
                burst,
                level,
                now_s,
                bucket.shares if bucket else AccountShares(),
                bucket.is_shared if bucket else False,
            )

    def take(self, request: TakeAllowance, now_s: float) -> AllowanceReply:
        """Grant the requests whose tokens accrue in time.

        A request that waits has its tokens reserved, so that those of other
        entries can't overtake it and it is not refused after its wait.
        Requests of an account that has no limit, or is not known here yet,
        are all granted: keys are validated elsewhere.
        """
        count = len(request.amounts)
        bucket = self._buckets.get(request.account)
        if bucket is None:
            return AllowanceReply(granted=count, waits_s=(0.0,) * count)
        bucket.fill(now_s)
        waits_s: list[float] = []
        refused: list[int] = []
        max_waits_s = request.max_waits_s or (0.0,) * count
        rows = zip(request.amounts, max_waits_s, strict=True)
        for number, (amount, max_wait_s) in enumerate(rows):
            waits_s.append(bucket.wait_s(amount))
            if waits_s[number] <= max_wait_s:
                bucket.level -= amount
                continue
            refused.append(number)
            if not request.max_waits_s:
                break
        return AllowanceReply(
            granted=refused[0] if refused else count,
            retry_after_s=waits_s[refused[0]] if refused else 0.0,
            waits_s=tuple(waits_s),
        )

    def renew_shares(
        self,
        holder: ShareHolder,
        reports: Iterable[ShareReport],
        now_s: float,
    ) -> tuple[ShareGrant, ...]:
        """Grant an entry its shares of all accounts that are in use."""
        by_account = {report.account: report for report in reports}
        self._share_accounts(by_account)
        grants = [
            bucket.renew_share(
                holder,
                by_account.get(account, ShareReport(account=account)),
                now_s,
            )
            for account, bucket in self._buckets.items()
            if bucket.is_shared
        ]
        self._record_contact(holder.host_id)
        return tuple(grant for grant in grants if grant is not None)

    def _share_accounts(self, accounts: Iterable[str]) -> None:
        shared = sum(bucket.is_shared for bucket in self._buckets.values())
        for account in accounts:
            bucket = self._buckets.get(account)
            if bucket is None or bucket.is_shared:
                continue
            if shared >= MAX_SHARED_ACCOUNTS:
                return
            bucket.is_shared = True
            shared += 1

    def _record_contact(self, host_id: str) -> None:
        if host_id not in self._awaited_hosts:
            return
        self._awaited_hosts.discard(host_id)
        if not self._awaited_hosts:
            for bucket in self._buckets.values():
                bucket.shares.limit_inherited()
