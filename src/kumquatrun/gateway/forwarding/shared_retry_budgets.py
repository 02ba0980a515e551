"""Share of one entry in the retry budget that all entries keep together."""

from kumquatrun.runtime.retry import RetryBudget

# Part of the fixed allowance that is dealt out to the entries; the rest
# covers entries that start anew within one window.
ALLOWANCE_FRACTION = 0.5
# Part of the ratio that is used; the rest covers requests that the window of
# another observer does not count.
RATIO_FRACTION = 0.8


class SharedRetryBudgets:
    """One retry budget per service.

    Parameters
    ----------
    ratio
        Retries per request that the whole fleet may send to a service.
    allowance
        Retries per window on top of that, for the whole fleet.
    window_s
        Length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_FRACTION
        self._allowance = allowance * ALLOWANCE_FRACTION
        self._window_s = window_s
        self._entries = 1
        self._budgets: dict[str, RetryBudget] = {}

    def set_entry_count(self, entries: int) -> None:
        """Record how many entries share the allowance."""
        if entries == self._entries or entries < 1:
            return
        self._entries = entries
        for budget in self._budgets.values():
            budget.floor = self._floor

    def record_request(self, service: str, now_s: float) -> None:
        """Count a first send to a service."""
        self._budget(service).record_request(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Count a further send and return True, or False if none is left."""
        return self._budget(service).take(now_s)

    @property
    def _floor(self) -> int:
        return int(self._allowance / self._entries)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._window_s, self._floor)
            self._budgets[service] = budget
        return budget
