"""Commands that start a daemon on the users' platform."""

import asyncio
import sys

import click

from kumquatrun.bounded_log import BoundedLogHandler
from kumquatrun.cli_output import ExitCode, exit_code_of
from kumquatrun.errors import KumquatrunError
from kumquatrun.logs import configure_logs

ROLES = ('entry', 'agent', 'control')


@click.command('platform')
@click.argument('role', type=click.Choice(ROLES))
@click.option('--log-format', default='text', show_default=True)
@click.option('--log-level', default='info', show_default=True)
def platform_command(role: str, log_format: str, log_level: str) -> None:
    """Start a daemon with the settings file of the users' platform."""
    # Imported late: the operator commands need none of the daemons' parts.
    from kumquatrun.platform import daemons

    configure_logs(
        log_format,
        log_level,
        handler=BoundedLogHandler(sys.stdout.fileno()),
    )
    try:
        asyncio.run(daemons.run(role))
    except KumquatrunError as error:
        click.echo(f'error: {error}', err=True)
        sys.exit(int(exit_code_of(error)))
    except OSError as error:
        click.echo(
            f'error: cannot start: {error}. Check that the addresses of the '
            'settings file belong to this host and are free.',
            err=True,
        )
        sys.exit(int(ExitCode.UNEXPECTED))
