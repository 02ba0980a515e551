"""Command that prints the log lines of one request."""

import re
import sys
from collections.abc import Iterable
from typing import TextIO

import click

from kumquatrun.command_line.cli_output import ExitCode

_TIME_FIELD = re.compile(r'\btime=(\S+)')
_REQUEST_FIELD = 'request_id='
_FINISHED_EVENT = 'event=request_finished'


@click.command('explain')
@click.argument('request_id')
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def explain_command(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print the path of one request through all processes, in time order.

    Reads the given log files, or standard input.
    """
    lines = request_lines(request_id, logs or (sys.stdin,))
    if not lines:
        click.echo(
            f'error: no line names the request {request_id}. Give the logs of '
            'all entries and agents of that time.',
            err=True,
        )
        sys.exit(int(ExitCode.REFUSED))
    click.echo('\n'.join(lines))
    if not any(_FINISHED_EVENT in text for text in lines):
        click.echo(
            'warning: no line reports the end of the request. The entry may '
            'have stopped before it, or its log is missing or was left out '
            '(event=log_lines_left_out).',
            err=True,
        )


def request_lines(request_id: str, logs: Iterable[Iterable[str]]) -> list[str]:
    """Return the lines that contain a request id, sorted by time.

    Parameters
    ----------
    request_id
        Id of one attempt by a caller.
    logs
        Lines of each log.
    """
    pattern = re.compile(rf'\b{_REQUEST_FIELD}{re.escape(request_id)}(?=\s|$)')
    lines = [
        line.rstrip('\n')
        for log in logs
        for line in log
        if pattern.search(line)
    ]
    return sorted(lines, key=_time_of)


def _time_of(line: str) -> str:
    match = _TIME_FIELD.search(line)
    return match[1] if match else ''
