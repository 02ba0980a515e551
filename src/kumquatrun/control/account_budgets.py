"""Token buckets of the accounts, with the tokens granted to entries.

Amounts are integers in millionths of a token and refills are whole numbers of
millionths per millisecond, so every replica computes the same and no rounding
adds tokens. A rate below 0.001 tokens/s refills nothing.

Invariant: level + outstanding <= burst at every refill. In any window an
account receives at most rate x time + burst, because the level plus the
outstanding amount at its start is at most burst and only refill adds to it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from kumquatrun.control.hosts import Incarnation
from kumquatrun.document.document import AccountSpec
from kumquatrun.errors import NotFoundError
from kumquatrun.peer.node_messages import BudgetReport, GrantReply, GrantTokens
from kumquatrun.runtime.invariants import check_invariant

_MICRO = 1_000_000
# 1 token/s is 1 millitoken/ms, that is 1,000 microtokens/ms.
_MICRO_PER_MS = 1000
# One eighth of the burst is not granted in advance, but reserved for waiting
# requests. A larger reserve makes busy accounts wait for each grant: with one
# half of the burst, tokens that are in use but not yet reported leave nothing
# to grant in advance.
_RESERVE_DIVISOR = 8
# Limits the grants recorded per entry. An entry abandons a grant after 5 s; at
# 50 grants/s, 512 grants cover twice this time.
_MAX_RECORDED_GRANTS = 512
# Retry delay if other entries hold the missing tokens. Entries return idle
# tokens after 1 s, so an earlier retry would be in vain.
_IDLE_RETURN_S = 1.0
_MIN_RETRY_S = 0.05


@dataclass
class AccountBudget:
    """Token bucket of one account; ``removed`` accounts get no grants."""

    rate_micro_per_ms: int
    burst_micro: int
    level_micro: int
    refilled_ms: int
    removed: bool = False
    outstanding_micro: dict[Incarnation, int] = field(default_factory=dict)
    outstanding_sum_micro: int = 0

    def refill(self, now_ms: int) -> None:
        """Add tokens at the rate, up to the burst minus outstanding."""
        refillable = self.refillable_micro()
        added = self.rate_micro_per_ms * (now_ms - self.refilled_ms)
        added = max(0, min(added, refillable))
        self.level_micro += added
        self.refilled_ms = now_ms
        total = self.level_micro + self.outstanding_sum_micro
        check_invariant(
            not added or total <= self.burst_micro,
            'budget_within_burst',
        )

    def cap_level(self) -> None:
        """Lower the level to at most the burst minus outstanding."""
        excess = -min(0, self.refillable_micro())
        self.level_micro = max(0, self.level_micro - excess)

    def refillable_micro(self) -> int:
        """Return how much the level may grow."""
        return self.burst_micro - self.outstanding_sum_micro - self.level_micro

    def set_limits(self, rate_micro_per_ms: int, burst_micro: int) -> None:
        """Set a new rate and burst; never raises the level."""
        self.rate_micro_per_ms = rate_micro_per_ms
        self.burst_micro = burst_micro
        self.cap_level()

    def adjust_outstanding(
        self,
        holder: Incarnation,
        amount_micro: int,
    ) -> None:
        """Change the outstanding amount of one entry."""
        amount = self.outstanding_micro.get(holder, 0) + amount_micro
        self.outstanding_sum_micro += amount_micro
        check_invariant(amount >= 0, 'outstanding_not_negative')
        if amount:
            self.outstanding_micro[holder] = amount
        else:
            self.outstanding_micro.pop(holder, None)

    def is_full(self) -> bool:
        """Return whether the level has reached the burst."""
        return self.level_micro >= self.burst_micro


class BudgetRegister:
    """Budgets of all accounts and the report numbers of the entries."""

    def __init__(self) -> None:
        self._budgets: dict[str, AccountBudget] = {}
        self._sequences: dict[Incarnation, int] = {}
        # Granted tokens by grant number, 0 for an abandoned grant.
        self._grants: dict[Incarnation, OrderedDict[int, int]] = {}

    def configure(self, specs: Iterable[AccountSpec], now_ms: int) -> None:
        """Apply the accounts of a new document.

        The bucket of a removed account is kept until it is full, so that
        removing an account and adding it again grants no second burst.
        """
        by_name = {spec.name: spec for spec in specs}
        for name, budget in list(self._budgets.items()):
            budget.refill(now_ms)
            budget.removed = name not in by_name
            if budget.removed and budget.is_full():
                del self._budgets[name]
        for name, spec in by_name.items():
            rate = int(spec.rate_tokens_per_s * _MICRO_PER_MS)
            burst = spec.burst_tokens * _MICRO
            if name in self._budgets:
                self._budgets[name].set_limits(rate, burst)
            else:
                self._budgets[name] = AccountBudget(rate, burst, burst, now_ms)

    def grant(self, command: GrantTokens, now_ms: int) -> GrantReply:
        """Move tokens from the level to the entry's outstanding amount.

        A resent request gets the amount recorded for its number.

        Raises
        ------
        NotFoundError
            If the account is not in the document.
        """
        budget = self._budgets.get(command.account)
        if budget is None or budget.removed:
            raise NotFoundError(f'account {command.account!r} does not exist')
        holder = (command.host_id, command.incarnation)
        recorded = self._grants.get(holder, {}).get(command.number)
        if recorded is not None:
            return GrantReply(granted_tokens=recorded)
        budget.refill(now_ms)
        wanted = max(0, command.wanted_tokens)
        needed = command.needed_tokens
        needed = wanted if needed is None else max(0, min(needed, wanted))
        level = budget.level_micro // _MICRO
        unreserved = level - budget.burst_micro // _MICRO // _RESERVE_DIVISOR
        granted = min(level, max(needed, min(wanted, unreserved)))
        budget.level_micro -= granted * _MICRO
        budget.adjust_outstanding(holder, granted * _MICRO)
        self._record_grant(holder, command.number, granted)
        missing = needed - granted
        return GrantReply(
            granted_tokens=granted,
            retry_after_s=_retry_after_s(budget, missing) if missing > 0 else 0,
        )

    def report(
        self,
        holder: Incarnation,
        sequence: int,
        reports: Iterable[BudgetReport],
        now_ms: int,
    ) -> bool:
        """Apply consumed and returned tokens; False for a repeated report.

        Amounts are limited to the outstanding amount, so that a faulty entry
        cannot create tokens.
        """
        if sequence <= self._sequences.get(holder, -1):
            return False
        self._sequences[holder] = sequence
        for row in reports:
            budget = self._budgets.get(row.account)
            if budget is None:
                continue
            budget.refill(now_ms)
            outstanding = budget.outstanding_micro.get(holder, 0)
            consumed = max(0, min(row.consumed_tokens * _MICRO, outstanding))
            returned = row.returned_tokens + self._abandon_grants(holder, row)
            returned *= _MICRO
            returned = max(0, min(returned, outstanding - consumed))
            budget.adjust_outstanding(holder, -consumed - returned)
            budget.level_micro += returned
            # The burst may have been lowered since the grant.
            budget.cap_level()
        return True

    def expire(self, holder: Incarnation, now_ms: int) -> None:
        """Count the outstanding tokens of an incarnation as consumed."""
        self._sequences.pop(holder, None)
        self._grants.pop(holder, None)
        for budget in self._budgets.values():
            budget.refill(now_ms)
            budget.adjust_outstanding(
                holder, -budget.outstanding_micro.get(holder, 0)
            )

    def status(self, now_ms: int) -> dict[str, dict[str, Any]]:
        """Return level and outstanding tokens per account."""
        rows = {}
        for name, budget in self._budgets.items():
            if budget.removed:
                continue
            # Refills a copy: a read must not change the replicated state.
            budget = replace(budget)
            budget.refill(now_ms)
            rows[name] = {
                'rate_tokens_per_s': budget.rate_micro_per_ms / _MICRO_PER_MS,
                'burst_tokens': budget.burst_micro // _MICRO,
                'level_tokens': budget.level_micro // _MICRO,
                'outstanding_tokens': {
                    host_id: micro // _MICRO
                    for (host_id, _), micro in budget.outstanding_micro.items()
                },
            }
        return rows

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        budgets = [
            [
                name,
                budget.rate_micro_per_ms,
                budget.burst_micro,
                budget.level_micro,
                budget.refilled_ms,
                budget.removed,
                list(budget.outstanding_micro.items()),
            ]
            for name, budget in self._budgets.items()
        ]
        grants = [
            [holder, list(numbers.items())]
            for holder, numbers in self._grants.items()
        ]
        return [budgets, list(self._sequences.items()), grants]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        budgets, sequences, grants = content
        self._budgets = {name: _restore_budget(*row) for name, *row in budgets}
        self._sequences = {tuple(key): number for key, number in sequences}
        self._grants = {
            tuple(holder): OrderedDict(map(tuple, numbers))
            for holder, numbers in grants
        }

    def _record_grant(
        self,
        holder: Incarnation,
        number: int,
        tokens: int,
    ) -> None:
        if not number:
            return
        grants = self._grants.setdefault(holder, OrderedDict())
        grants[number] = tokens
        if len(grants) > _MAX_RECORDED_GRANTS:
            grants.popitem(last=False)

    def _abandon_grants(self, holder: Incarnation, row: BudgetReport) -> int:
        """Mark grants as abandoned; return their tokens.

        Records 0 tokens for each, so that a late grant request gets none.
        """
        tokens = 0
        for number in row.abandoned_grants:
            tokens += self._grants.get(holder, {}).get(number, 0)
            self._record_grant(holder, number, 0)
        return tokens


def _retry_after_s(budget: AccountBudget, missing_tokens: int) -> float:
    """Estimate the seconds until the missing tokens can be granted."""
    missing = missing_tokens * _MICRO
    refill = max(0, budget.refillable_micro())
    if refill < missing:
        # Other entries hold the rest and will return or consume it.
        return _IDLE_RETURN_S
    wait_ms = missing / max(1, budget.rate_micro_per_ms)
    return max(_MIN_RETRY_S, wait_ms / 1000)


def _restore_budget(*row: Any) -> AccountBudget:
    *fields, outstanding = row
    budget = AccountBudget(*fields)
    for holder, amount in outstanding:
        budget.adjust_outstanding(tuple(holder), amount)
    return budget
