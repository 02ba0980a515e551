"""Parses JSON in which some values are beyond what this process can hold."""

import json
from typing import Any

# Longest whole number of 64 bits, with its sign.
MAX_WHOLE_CHARACTERS = 20


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
    return json.loads(content, parse_int=_whole_or_fraction)


def _whole_or_fraction(digits: str) -> float:
    if len(digits) > MAX_WHOLE_CHARACTERS:
        return float(digits)
    return int(digits)
