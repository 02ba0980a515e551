"""Log lines: one key=value or JSON line per event, without secrets."""

import ast
import json
import logging
import re
import sys
from contextvars import ContextVar
from datetime import UTC, datetime
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

KEY_PREFIX = 'kq-'
REDACTED = '[redacted]'

request_id_var: ContextVar[str] = ContextVar('request_id', default='')

_PLAIN_VALUE = re.compile(r'[^\s"=\\]+')
# Values in double quotes come from ``format_value``, those in single quotes
# from ``%r`` in a log call.
_DOUBLE_QUOTED = r'"(?:[^"\\]|\\.)*"'
_SINGLE_QUOTED = r"'(?:[^'\\]|\\.)*'"
_PAIR = re.compile(
    rf'([A-Za-z_][\w.]*)=({_DOUBLE_QUOTED}|{_SINGLE_QUOTED}|\S*)',
)
_SECRET_TEXT = re.compile(
    rf'(?<![\w-]){KEY_PREFIX}[\w-]{{16,}}|(?i:(?<=bearer )[\w.~+/=-]+)',
)
_SECRET_FIELD = re.compile(
    '^(authorization|.*(password|secret|token|api_key))$|^key$',
    re.IGNORECASE,
)


def log_event(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    exc_info: Any = None,
    **fields: Any,
) -> None:
    """Log one event with its fields.

    Parameters
    ----------
    logger
        Logger of the module.
    event
        Stable name of the event, in snake case.
    level
        Level of the standard library.
    exc_info
        Exception to add to the line.
    **fields
        Values with unit suffixes in their names.
    """
    if logger.isEnabledFor(level):
        logger.log(
            level,
            event,
            exc_info=exc_info,
            extra={'event_fields': {'event': event, **fields}},
        )


def _event_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Return the fields of a record, parsing a ``key=value`` message."""
    fields = getattr(record, 'event_fields', None)
    if fields is not None:
        return dict(fields)
    text = record.getMessage()
    if not text.startswith('event='):
        return {'event': 'message', 'message': text}
    fields = {name: _unquoted(value) for name, value in _PAIR.findall(text)}
    if _PAIR.sub('', text).strip():
        # The whole message is added, since it has text outside of the pairs.
        fields['message'] = text
    return fields


def _unquoted(value: str) -> str:
    if not value.startswith(('"', "'")):
        return value
    try:
        return str(ast.literal_eval(value))
    except (SyntaxError, ValueError):
        return value


def format_value(value: Any) -> str:
    """Return a value as it is written after ``=``; quoted if needed."""
    if isinstance(value, float):
        return f'{value:.6g}'
    if isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)


class SecretFilter(logging.Filter):
    """Removes keys and tokens from records before they are formatted.

    Replaces fields with names such as ``password``, texts in the form of an
    API key, bearer tokens and the given values.
    """

    def __init__(self, secrets: tuple[str, ...] = ()) -> None:
        super().__init__()
        self._secrets = tuple(secret for secret in secrets if secret)

    def filter(self, record: logging.LogRecord) -> bool:
        """Replace secrets in place; keeps every record."""
        fields = _event_fields(record)
        record.event_fields = {
            name: self._clean_field(name, value)
            for name, value in fields.items()
        }
        record.msg = self.clean(record.getMessage())
        record.args = ()
        if record.exc_info and record.exc_info[0] is not None:
            text = logging.Formatter().formatException(record.exc_info)
            record.event_fields['exception'] = self.clean(text)
        record.exc_info = None
        record.exc_text = None
        return True

    def clean(self, text: str) -> str:
        """Return ``text`` without secrets."""
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        return _SECRET_TEXT.sub(REDACTED, text)

    def _clean_field(self, name: str, value: Any) -> Any:
        if _SECRET_FIELD.match(name):
            return REDACTED
        if value is None or isinstance(value, (bool, int, float)):
            return value
        return self.clean(str(value))


def _line_fields(record: logging.LogRecord) -> dict[str, Any]:
    created_at = datetime.fromtimestamp(record.created, UTC)
    fields = _event_fields(record)
    head = {
        'time': created_at.isoformat(timespec='milliseconds'),
        'level': record.levelname.lower(),
        'logger': record.name,
        'event': fields.pop('event'),
    }
    request_id = request_id_var.get()
    if request_id:
        head['request_id'] = request_id
    return {**head, **fields}


class KeyValueFormatter(logging.Formatter):
    """Writes a record as one line of ``key=value`` pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        pairs = _line_fields(record).items()
        return ' '.join(
            f'{name}={format_value(value)}' for name, value in pairs
        )


class JsonLineFormatter(JsonFormatter):
    """Writes a record as one JSON object."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the content unchanged; ``format`` has chosen the fields."""
        return log_data

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        return self.jsonify_log_record(_line_fields(record))


def configure_logs(
    log_format: str,
    log_level: str,
    secrets: tuple[str, ...] = (),
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> logging.Handler:
    """Send the logs of the process to ``stream``, standard error by default.

    Returns the handler, which replaces all existing ones. If ``handler`` is
    given, it is used instead of a handler for ``stream``.
    """
    formatters = {'text': KeyValueFormatter, 'json': JsonLineFormatter}
    if handler is None:
        handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatters[log_format]())
    handler.addFilter(SecretFilter(secrets))
    root = logging.getLogger()
    for old_handler in tuple(root.handlers):
        root.removeHandler(old_handler)
    root.addHandler(handler)
    root.setLevel(log_level.upper())
    # The daemons log HTTP calls themselves; access lines would repeat that.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
    return handler
