"""Bounded error texts, since errors of parsers may quote long input."""

MAX_ERROR_CHARS = 160


def error_text(error: BaseException) -> str:
    """Describe an error in at most ``MAX_ERROR_CHARS``."""
    return f'{type(error).__name__}: {error}'[:MAX_ERROR_CHARS]
