"""Prompt parts of requests that backend servers have answered."""

from collections import OrderedDict

MAX_PARTS = 20_000


class AnsweredParts:
    """Time of the last answer to a request with each prompt part."""

    def __init__(self) -> None:
        self._answered_at_s: OrderedDict[str, float] = OrderedDict()

    def record(self, part_key: str, now_s: float) -> None:
        """Record that a request with this part is being answered."""
        self._answered_at_s[part_key] = now_s
        self._answered_at_s.move_to_end(part_key)
        if len(self._answered_at_s) > MAX_PARTS:
            self._answered_at_s.popitem(last=False)

    def is_answered_since(self, part_key: str, since_s: float) -> bool:
        """Return whether a request with this part was answered since then."""
        return self._answered_at_s.get(part_key, float('-inf')) > since_s

    def take(self, part_key: str) -> float | None:
        """Return and forget when the part was last answered, if known."""
        return self._answered_at_s.pop(part_key, None)
