"""Rendezvous hashing: each key orders the members in its own way."""

import hashlib

_RANK_BYTES = 8


def rank(key: str, member: str) -> bytes:
    """Return the rank of a member for a key; the smallest rank is first.

    When a member joins or leaves, only the keys that rank it first move.
    """
    return hashlib.blake2b(
        f'{key}\0{member}'.encode(),
        digest_size=_RANK_BYTES,
    ).digest()
