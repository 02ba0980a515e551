"""Invariants of the guarantees: counted, logged and raised when violated."""

import logging
from collections import Counter

log = logging.getLogger(__name__)

violations: Counter[str] = Counter()


class InvariantError(AssertionError):
    """Reports a violated invariant; the operation is not carried out."""


def require(holds: bool, invariant: str, detail: str = '') -> None:
    """Check an invariant before the operation that depends on it.

    Parameters
    ----------
    holds
        Whether the invariant holds.
    invariant
        Name of the invariant, the key in ``violations``.
    detail
        Values involved.

    Raises
    ------
    InvariantError
        If the invariant does not hold.
    """
    if not holds:
        violations[invariant] += 1
        log.error(
            'event=invariant_violated invariant=%s detail=%r', invariant, detail
        )
        raise InvariantError(f'{invariant}: {detail}')
