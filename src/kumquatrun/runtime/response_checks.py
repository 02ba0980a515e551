"""Checks whether a parsed response is one that HTTP/1.1 defines.

The parser accepts any three digits as a status, and versions whose responses
follow other rules. A server in trouble sends such responses, and none of them
is the answer to a request.
"""

from typing import Any, Protocol

INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
VERSIONS = frozenset(((1, 0), (1, 1)))
# No request asks for another coding of its response.
TRANSFER_CODINGS = frozenset(('chunked',))
DELETE = '\x7f'


class ParsedHead(Protocol):
    """Status line and headers of a response, as aiohttp parses them."""

    reason: str | None
    version: Any
    headers: Any


def final_problem(status: int, head: ParsedHead) -> str:
    """Return why a response is no final answer, or an empty string."""
    codings = head.headers.getall('Transfer-Encoding', ())
    problems = {
        f'the undefined status {status:03}': status not in FINAL_STATUSES,
        'an undefined version': head.version not in VERSIONS,
        'a control character in its reason': _has_control(head.reason or ''),
        'a coding that was not asked for': not all(map(_is_known, codings)),
    }
    return next((name for name, is_met in problems.items() if is_met), '')


def _has_control(text: str) -> bool:
    return any((row < ' ' and row != '\t') or row == DELETE for row in text)


def _is_known(coding: str) -> bool:
    return coding.strip().lower() in TRANSFER_CODINGS
