"""Command that shows what the logs say of one request."""

import re
import sys
from collections.abc import Iterable
from typing import TextIO

import click

from kumquatrun.command_line.cli_output import ExitCode

_TIME = re.compile(r'\btime=(\S+)')
_REQUEST = 'request_id='
_END = 'event=request_finished'


@click.command('explain')
@click.argument('request_id')
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def explain_command(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print the path of one request through all processes, in time order.

    Reads the given log files, or standard input.
    """
    found = lines_of(request_id, logs or (sys.stdin,))
    if not found:
        click.echo(
            f'error: no line names the request {request_id}. Give the logs of '
            'all entries and agents of that time.',
            err=True,
        )
        sys.exit(int(ExitCode.REFUSED))
    click.echo('\n'.join(found))
    if not any(_END in text for text in found):
        click.echo(
            'warning: no line tells the end of the request. The entry may have '
            'ended before it, or its log is missing or was left out '
            '(event=log_lines_left_out).',
            err=True,
        )


def lines_of(request_id: str, logs: Iterable[Iterable[str]]) -> list[str]:
    """Return the lines that name a request, by time.

    Parameters
    ----------
    request_id
        Id of one attempt of a caller.
    logs
        Lines of each log.
    """
    wanted = re.compile(rf'\b{_REQUEST}{re.escape(request_id)}(?=\s|$)')
    found = [
        line.rstrip('\n') for log in logs for line in log if wanted.search(line)
    ]
    return sorted(found, key=_time_of)


def _time_of(line: str) -> str:
    match = _TIME.search(line)
    return match[1] if match else ''
