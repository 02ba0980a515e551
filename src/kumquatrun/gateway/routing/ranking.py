"""Order of members that each key has of its own (rendezvous hashing)."""

import hashlib

_RANK_BYTES = 8


def rank(key: str, member: str) -> bytes:
    """Return the place of a member in the order of a key.

    The member with the smallest rank is first. Only the keys of a member that
    leaves or joins move.
    """
    return hashlib.blake2b(
        f'{key}\0{member}'.encode(),
        digest_size=_RANK_BYTES,
    ).digest()
