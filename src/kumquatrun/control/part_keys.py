"""Keys of prompt parts and identities of requests that hold them.

A part may crash backend servers in any request that holds it, so it is counted,
blocked and cleared like a request, under a key of its own.
"""

import hashlib
from collections.abc import Iterable

_PREFIX = 'part:'
# Ids are short; the digest of a longer one takes its place.
_MAX_ID_LENGTH = 48


def part_key(part_id: str) -> str:
    """Return the key of a prompt part."""
    if len(part_id) > _MAX_ID_LENGTH:
        encoded = part_id.encode('utf-8', 'surrogateescape')
        part_id = hashlib.blake2b(encoded, digest_size=12).hexdigest()
    return f'{_PREFIX}{part_id}'


def request_identity(fingerprint: str, part_ids: Iterable[str]) -> str:
    """Return a text that differs between requests with other prompts.

    Requests with other prompts may have equal bodies, and so one fingerprint.
    """
    digest = hashlib.blake2b(digest_size=6)
    for part_id in part_ids:
        digest.update(part_id.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    return f'{fingerprint}/{digest.hexdigest()}'


def is_request_of(identity: str, fingerprint: str) -> bool:
    """Return whether an identity is that of a request with a fingerprint."""
    return identity.startswith(f'{fingerprint}/')


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a prompt part."""
    return key.startswith(_PREFIX)
