"""Checks of invariants; violations are counted and logged.

``require`` guards an operation that must not be carried out if the invariant
does not hold. ``check_invariant`` checks an operation after the fact: the
program continues, and tests make a violation fatal with ``set_fatal``.
"""

import logging
from collections import Counter

log = logging.getLogger(__name__)

violations: Counter[str] = Counter()
_fatal = [False]


class InvariantError(AssertionError):
    """Reports a violated invariant."""


def set_fatal(fatal: bool) -> None:
    """Set whether ``check_invariant`` raises."""
    _fatal[0] = fatal


def require(holds: bool, invariant: str, detail: str = '') -> None:
    """Check an invariant before the operation that depends on it.

    Raises
    ------
    InvariantError
        If the invariant does not hold.
    """
    if not holds:
        _record(invariant, detail)
        raise InvariantError(f'{invariant}: {detail}')


def check_invariant(holds: bool, invariant: str, detail: str = '') -> None:
    """Count a violation of ``invariant`` unless it holds.

    Raises
    ------
    InvariantError
        If it does not hold and violations are fatal.
    """
    if holds:
        return
    _record(invariant, detail)
    if _fatal[0]:
        raise InvariantError(f'{invariant}: {detail}')


class Invariants:
    """Checks invariants after the fact.

    Parameters
    ----------
    is_strict
        Whether a violation raises ``InvariantError``.
    """

    def __init__(self, *, is_strict: bool = False) -> None:
        self.violations: Counter[str] = Counter()
        self._is_strict = is_strict

    def check(self, holds: bool, invariant: str, detail: str = '') -> None:
        """Count a violation of ``invariant`` unless ``holds``.

        Raises
        ------
        InvariantError
            If the checker is strict.
        """
        if holds:
            return
        self.violations[invariant] += 1
        _record(invariant, detail)
        if self._is_strict:
            raise InvariantError(f'{invariant}: {detail}')


def _record(invariant: str, detail: str) -> None:
    violations[invariant] += 1
    log.error(
        'event=invariant_violated invariant=%s detail=%r',
        invariant,
        detail,
    )
