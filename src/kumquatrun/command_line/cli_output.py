"""Output of the commands: exit codes, JSON objects and tables."""

import json
import sys
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click

from kumquatrun.errors import KumquatrunError, Outcome


class ExitCode(IntEnum):
    """Exit codes of all commands; part of the public API."""

    DONE = 0
    UNEXPECTED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6


_EXIT_CODE_BY_ERROR: Mapping[str, ExitCode] = {
    'internal_error': ExitCode.UNEXPECTED,
    'wire_error': ExitCode.UNEXPECTED,
    'corrupt_log': ExitCode.UNEXPECTED,
    'invalid_setting': ExitCode.USAGE,
    'revision_conflict': ExitCode.CONFLICT,
    'connection_lost': ExitCode.UNREACHABLE,
    'control_unreachable': ExitCode.UNREACHABLE,
    'deadline_exceeded': ExitCode.UNREACHABLE,
    'not_leader': ExitCode.UNREACHABLE,
}


def exit_code_of(error: KumquatrunError) -> ExitCode:
    """Return the exit code for an error."""
    if error.outcome is Outcome.UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    return _EXIT_CODE_BY_ERROR.get(error.code, ExitCode.REFUSED)


def to_json(value: Any) -> str:
    """Return JSON text; bytes become UTF-8 text or hexadecimal digits."""
    return json.dumps(value, indent=2, ensure_ascii=False, default=_to_text)


def print_json(value: Any) -> None:
    """Print JSON text on standard output."""
    click.echo(to_json(value))


def print_result(
    result: Mapping[str, Any],
    *,
    as_json: bool,
    operation_id: str = '',
) -> None:
    """Print the result of a command on standard output."""
    if not as_json:
        click.echo('\n'.join(_text_lines(result)))
        return
    content: dict[str, Any] = {'ok': True}
    if operation_id:
        content['operation_id'] = operation_id
    click.echo(to_json({**content, 'result': result}))


def fail(
    error: KumquatrunError,
    *,
    as_json: bool,
    operation_id: str = '',
    hint: str = '',
) -> NoReturn:
    """Print an error and exit the command with its exit code.

    Parameters
    ----------
    error
        Error to print.
    as_json
        Whether to print a JSON object.
    operation_id
        Id to repeat the command with.
    hint
        What to do if the outcome is unknown; by default, to repeat the
        command with the operation id.
    """
    code = exit_code_of(error)
    if code is not ExitCode.OUTCOME_UNKNOWN:
        hint = ''
    elif operation_id and not hint:
        hint = (
            f'Repeat the command with --operation-id {operation_id}: it '
            'is then executed at most once.'
        )
    if as_json:
        click.echo(to_json(_error_object(error, code, operation_id, hint)))
    else:
        click.echo(f'error: {error}', err=True)
        if hint:
            click.echo(hint, err=True)
    sys.exit(int(code))


def _error_object(
    error: KumquatrunError,
    code: ExitCode,
    operation_id: str,
    hint: str,
) -> Mapping[str, Any]:
    return {
        'ok': False,
        'exit_code': int(code),
        'operation_id': operation_id,
        'error': {
            'code': error.code,
            'detail': error.detail,
            'remedy': hint or error.remedy,
            'outcome': error.outcome.value,
        },
    }


def _to_text(value: Any) -> Any:
    if isinstance(value, bytes):
        try:
            return value.decode()
        except UnicodeDecodeError:
            return value.hex()
    return str(value)


def _text_lines(result: Mapping[str, Any]) -> list[str]:
    lines = []
    for name, value in result.items():
        lines.extend(_value_lines(name, value))
    return lines or ['done']


def _value_lines(name: str, value: Any) -> list[str]:
    if isinstance(value, Mapping):
        named_rows = [
            {'name': key, **row}
            for key, row in value.items()
            if isinstance(row, Mapping)
        ]
        if named_rows and len(named_rows) == len(value):
            return [f'{name}:', *_table_lines(named_rows)]
        return [f'{key}: {_cell(entry)}' for key, entry in value.items()]
    if _is_table(value):
        return _table_lines(value) or [f'{name}: none']
    return [f'{name}: {_cell(value)}']


def _is_table(value: Any) -> bool:
    return isinstance(value, (list, tuple)) and all(
        isinstance(row, Mapping) for row in value
    )


def _table_lines(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    if not rows:
        return []
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [names]
    table.extend([_cell(row.get(name, '')) for name in names] for row in rows)
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def _cell(value: Any) -> str:
    if isinstance(value, Mapping):
        return ', '.join(f'{key}={_cell(row)}' for key, row in value.items())
    if isinstance(value, (list, tuple)):
        return ', '.join(map(_cell, value))
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(_to_text(value))
