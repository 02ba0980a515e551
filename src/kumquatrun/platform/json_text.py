"""Parses JSON in which some values are beyond what this process can hold."""

import json
import re
from collections.abc import Iterator
from typing import Any

# Longest whole number of 64 bits, with its sign.
MAX_INTEGER_CHARACTERS = 20
# The parser recurses once a level and has at least this many levels left.
MAX_DEPTH = 200
# Entries stand in a list in the object of an answer.
ENTRY_DEPTH = 2
OPENING = frozenset('[{')
CLOSING = frozenset(']}')

# A string that does not end reaches to the end of the text, so that no part
# of the text is searched twice.
_STRING = r'"(?:[^"\\]++|\\.)*+"?'
_TOKEN = re.compile(rf'{_STRING}|[\[{{\]}}]', re.DOTALL)
# Takes the levels of a long nesting in one step, with the keys before them.
_BRACKET_RUN = re.compile(
    rf'(?:[\[{{]\s*+(?:"[^"\\\[\]{{}}]*+"\s*+:\s*+)?+)++|[\]}}]++|{_STRING}',
    re.DOTALL,
)


def parse_json(content: str | bytes) -> Any:
    """Return the value of a JSON text.

    Whole numbers beyond 64 bits become fractions, which may be infinite.

    Raises
    ------
    ValueError
        If it is no JSON.
    RecursionError
        If it is nested too deep.
    """
    return json.loads(content, parse_int=_int_or_float)


def parse_json_entries(text: str) -> Any:
    """Return the value of a JSON text that lists entries of several writers.

    An entry that is nested too deep becomes None; the others hold.

    Raises
    ------
    ValueError
        If it is no JSON.
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
    kept = []
    kept_to = 0
    for start, end, deepest in _nested_entries(text):
        if deepest > MAX_DEPTH:
            kept.append(text[kept_to:start])
            kept_to = end
    kept.append(text[kept_to:])
    return 'null'.join(kept)


def _nested_entries(text: str) -> Iterator[tuple[int, int, int]]:
    """Yield start, end and depth of each entry that is a list or an object."""
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
            # A run may go on beyond the end of the entry.
            closed = min(len(token[0]), max(1, depth - ENTRY_DEPTH))
            depth -= closed
            end = token.start() + closed
            if depth == ENTRY_DEPTH:
                yield start, end, deepest
        pattern = _BRACKET_RUN if depth > ENTRY_DEPTH else _TOKEN
        token = pattern.search(text, end)
