"""Invariants that are checked while the program runs.

A violation is counted for the metrics and the program continues; tests make
it fatal.
"""

from collections import Counter

violations: Counter[str] = Counter()
_fatal = [False]


class InvariantError(AssertionError):
    """Reports a violated invariant in a test."""


def set_fatal(fatal: bool) -> None:
    """Set whether a violation raises ``InvariantError``."""
    _fatal[0] = fatal


def check_invariant(holds: bool, name: str) -> None:
    """Count a violation of the invariant ``name`` unless it holds.

    Raises
    ------
    InvariantError
        If it does not hold and violations are fatal.
    """
    if holds:
        return
    violations[name] += 1
    if _fatal[0]:
        raise InvariantError(name)
