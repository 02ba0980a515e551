"""Reads JSON objects that a backend server sent."""

import json
from typing import Any


def json_object(text: bytes) -> dict[str, Any] | None:
    """Return the parsed JSON object, or None if the text is not one."""
    try:
        content = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return content if isinstance(content, dict) else None
