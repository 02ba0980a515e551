"""Parses JSON with values that are nested too deep or have too many digits."""

import json
import re
from collections.abc import Iterator
from typing import Any

# Length of the longest 64-bit integer, with its sign.
MAX_INTEGER_CHARACTERS = 20
# The parser recurses once per level; the recursion limit leaves it at least
# this many levels.
MAX_DEPTH = 200
# Depth of an entry: it is in a list, which is in the object of a response.
ENTRY_DEPTH = 2
OPENING = frozenset('[{')
CLOSING = frozenset(']}')

# An unterminated string matches up to the end of the text, so that no part of
# the text is scanned twice.
_STRING = r'"(?:[^"\\]++|\\.)*+"?'
_TOKEN = re.compile(rf'{_STRING}|[\[{{\]}}]', re.DOTALL)
# Matches a run of opening brackets, with the keys between them, or of closing
# brackets in one step.
_BRACKET_RUN = re.compile(
    rf'(?:[\[{{]\s*+(?:"[^"\\\[\]{{}}]*+"\s*+:\s*+)?+)++|[\]}}]++|{_STRING}',
    re.DOTALL,
)


def parse_json(content: str | bytes) -> Any:
    """Return the value of a JSON text.

    Integers too long for 64 bits become floats, which may be infinite.

    Raises
    ------
    ValueError
        If it is not valid JSON.
    RecursionError
        If it is nested too deep.
    """
    return json.loads(content, parse_int=_int_or_float)


def parse_json_entries(text: str) -> Any:
    """Return the value of a JSON text that lists entries of several writers.

    An entry that is nested too deep becomes None; the others are kept.

    Raises
    ------
    ValueError
        If it is not valid JSON.
    RecursionError
        If it is nested too deep outside of its entries.
    """
    try:
        return parse_json(text)
    except RecursionError:
        return parse_json(_without_deep_entries(text))


def _int_or_float(digits: str) -> float:
    if len(digits) > MAX_INTEGER_CHARACTERS:
        return float(digits)
    return int(digits)


def _without_deep_entries(text: str) -> str:
    pieces = []
    copied_to = 0
    for start, end, deepest in _nested_entries(text):
        if deepest > MAX_DEPTH:
            pieces.append(text[copied_to:start])
            copied_to = end
    pieces.append(text[copied_to:])
    return 'null'.join(pieces)


def _nested_entries(text: str) -> Iterator[tuple[int, int, int]]:
    """Yield start, end and greatest depth of each list or object entry."""
    depth = 0
    deepest = 0
    start = 0
    token = _TOKEN.search(text)
    while token is not None:
        end = token.end()
        if token[0][0] in OPENING:
            if depth == ENTRY_DEPTH:
                start = token.start()
                deepest = 0
            depth += token[0].count('[') + token[0].count('{')
            deepest = max(deepest, depth)
        elif token[0][0] in CLOSING:
            # A run of closing brackets may extend past the end of the entry.
            closed = min(len(token[0]), max(1, depth - ENTRY_DEPTH))
            depth -= closed
            end = token.start() + closed
            if depth == ENTRY_DEPTH:
                yield start, end, deepest
        pattern = _BRACKET_RUN if depth > ENTRY_DEPTH else _TOKEN
        token = pattern.search(text, end)
