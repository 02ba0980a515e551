"""Commands that start a daemon."""

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

import click

from kumquatrun.command_line.cli_output import ExitCode, exit_code_of
from kumquatrun.daemon.setting_builder import build_settings
from kumquatrun.daemon.setting_table import (
    ENVIRONMENT_PREFIX,
    Setting,
    settings_for,
)
from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.logs import configure_logs

_TEXTS = {
    'entry': 'Start an entry: the HTTP server for callers.',
    'agent': 'Start an agent beside one backend server.',
    'control': 'Start a dedicated control replica.',
}


def daemon_command(daemon: str) -> click.Command:
    """Return the command that starts a daemon with its settings."""

    def callback(**given: Any) -> None:
        start_daemon(daemon, given)

    return click.Command(
        daemon,
        callback=callback,
        params=[_option(row) for row in settings_for(daemon)],
        help=_TEXTS[daemon],
        context_settings={'auto_envvar_prefix': ENVIRONMENT_PREFIX},
    )


def start_daemon(daemon: str, given: dict[str, Any]) -> None:
    """Check the settings and run the daemon until it is told to stop."""
    # Imported late: the operator commands need none of the daemons' parts
    # and start in half the time without them.
    from kumquatrun.command_line import daemons

    try:
        settings = build_settings(daemon, given)
    except KumquatrunError as error:
        click.echo(f'error: {error}', err=True)
        sys.exit(int(ExitCode.USAGE))
    configure_logs(
        settings.log_format,
        settings.log_level,
        secrets=(settings.cluster_token, settings.operator_token),
    )
    run_until_stopped(daemons.run(daemon, settings), 'settings')


def run_until_stopped(
    running: Coroutine[Any, Any, None],
    source: str,
) -> None:
    """Run a daemon and end the process with an error that names the remedy.

    Parameters
    ----------
    running
        Runs the daemon.
    source
        Where its addresses come from.
    """
    try:
        asyncio.run(running)
    except KumquatrunError as error:
        click.echo(f'error: {error}', err=True)
        sys.exit(int(exit_code_of(error)))
    except OSError as error:
        click.echo(
            f'error: cannot start: {error}. Check that the addresses of the '
            f'{source} belong to this host and are free.',
            err=True,
        )
        sys.exit(int(ExitCode.UNEXPECTED))


def _option(row: Setting) -> click.Option:
    return click.Option(
        [row.flag, row.name],
        type=row.kind,
        default=row.default,
        is_flag=row.kind is click.BOOL,
        envvar=row.env_name,
        show_envvar=True,
        show_default=not row.secret,
        help=row.text,
    )
