"""Checks of the guarantees while the program runs.

A violation is counted and logged in production and raised in tests.
"""

import logging
from collections import Counter

log = logging.getLogger(__name__)


class InvariantViolationError(AssertionError):
    """Reports a broken guarantee; raised in tests only."""


class Invariants:
    """Counts violations by name.

    Parameters
    ----------
    is_strict
        Whether a violation raises ``InvariantViolationError``.
    """

    def __init__(self, *, is_strict: bool = False) -> None:
        self.violations: Counter[str] = Counter()
        self._is_strict = is_strict

    def check(self, is_kept: bool, name: str, detail: str = '') -> None:
        """Count a violation of ``name`` unless ``is_kept``.

        Raises
        ------
        InvariantViolationError
            If the checker is strict.
        """
        if is_kept:
            return
        self.violations[name] += 1
        log.error('event=invariant_violated name=%s detail=%r', name, detail)
        if self._is_strict:
            raise InvariantViolationError(f'{name}: {detail}')
