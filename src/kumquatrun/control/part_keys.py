"""Keys of prompt parts, among the fingerprints of requests.

A part may crash backend servers in any request that holds it, so it is counted,
blocked and cleared like a request, under a key of its own.
"""

import hashlib

_PREFIX = 'part:'
# Ids are short; the digest of a longer one takes its place.
_MAX_ID_LENGTH = 48


def part_key(part_id: str) -> str:
    """Return the key of a prompt part."""
    if len(part_id) > _MAX_ID_LENGTH:
        encoded = part_id.encode('utf-8', 'surrogateescape')
        part_id = hashlib.blake2b(encoded, digest_size=12).hexdigest()
    return f'{_PREFIX}{part_id}'


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a prompt part."""
    return key.startswith(_PREFIX)
