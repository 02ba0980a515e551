"""Rendezvous hashing: each key orders the members in its own way."""

import hashlib
import math

_RANK_BYTES = 8
_RANK_COUNT = 256**_RANK_BYTES


def rank(key: str, member: str) -> bytes:
    """Return the rank of a member for a key; the smallest rank is first.

    When a member joins or leaves, only the keys that rank it first move.
    """
    return hashlib.blake2b(
        f'{key}\0{member}'.encode(),
        digest_size=_RANK_BYTES,
    ).digest()


def weighted_rank(key: str, member: str, weight: float) -> float:
    """Return a rank by which members get keys in proportion to their weights.

    The smallest rank is first. When a weight changes, keys move only to or
    from that member. Equal weights give the order of ``rank``.
    """
    position = int.from_bytes(rank(key, member))
    return -math.log1p(-(position + 0.5) / (_RANK_COUNT + 1)) / weight
