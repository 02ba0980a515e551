"""Fingerprints under which the ends of backend servers are counted."""

import hashlib
from itertools import islice

from kumquatrun.control.part_keys import part_key
from kumquatrun.gateway.routing.wire_format import CallerRequest

# Parts of one prompt that are watched. Headers hold more, but all parts of a run
# must fit into one report.
MAX_PART_KEYS = 255


def fingerprint_of(request: CallerRequest, account: str) -> str:
    """Return a hash that is the same for equal requests of one caller.

    A caller with an account is the same with any of its keys. The query, the
    method and the host are not part of it: a caller that varies them still
    sends the same request.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.path, account or request.key):
        digest.update(part.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def part_keys_of(request: CallerRequest) -> tuple[str, ...]:
    """Return the keys of the prompt parts that other requests may share.

    Neither model nor adapter is part of a key: a part crashes backend servers
    whatever else its request holds.
    """
    shared = islice(request.prompt_parts[:-1], MAX_PART_KEYS)
    return tuple(dict.fromkeys(map(part_key, shared)))
