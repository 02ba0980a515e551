"""Retry budgets per service, shared by all entries."""

from kumquatrun.runtime.retry import RetryBudget

# Fraction of the fixed allowance that is divided among the entries. The rest
# covers entries that restart within a window and begin with a full share.
ALLOWANCE_FRACTION = 0.5
# Fraction of the ratio that is used. The rest covers a check of the ratio whose
# window leaves out some of the requests that this entry counts.
RATIO_FRACTION = 0.8


class SharedRetryBudgets:
    """Keeps the share of one entry in the retry budget of each service.

    Parameters
    ----------
    ratio
        Retries per request that all entries together may send to a service.
    allowance
        Retries per window in addition to the ratio, for all entries together.
    window_s
        Length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_FRACTION
        self._allowance = allowance * ALLOWANCE_FRACTION
        self._window_s = window_s
        self._entry_count = 1
        self._budgets: dict[str, RetryBudget] = {}

    def set_entry_count(self, entries: int) -> None:
        """Set the number of entries that share the allowance."""
        if entries == self._entry_count or entries < 1:
            return
        self._entry_count = entries
        for budget in self._budgets.values():
            budget.floor = self._floor

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request to a service at its first attempt."""
        self._budget(service).record_request(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Use one retry of a service; return False if none is left."""
        return self._budget(service).take(now_s)

    @property
    def _floor(self) -> int:
        return int(self._allowance / self._entry_count)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._window_s, self._floor)
            self._budgets[service] = budget
        return budget
