"""Commands that start a daemon."""

import sys
from typing import Any

import click

from kumquatrun.command_line.cli_output import ExitCode
from kumquatrun.command_line.daemon_runner import run_until_stopped
from kumquatrun.daemon.setting_builder import build_settings
from kumquatrun.daemon.setting_table import (
    ENVIRONMENT_PREFIX,
    Setting,
    settings_for,
)
from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.logs import configure_logs

_HELP_TEXTS = {
    'entry': 'Start an entry: the HTTP server for callers.',
    'agent': 'Start an agent beside one backend server.',
    'control': 'Start a dedicated control replica.',
}


def daemon_command(daemon: str) -> click.Command:
    """Return the command that starts a daemon with its settings."""

    def callback(**options: Any) -> None:
        start_daemon(daemon, options)

    return click.Command(
        daemon,
        callback=callback,
        params=[_option(setting) for setting in settings_for(daemon)],
        help=_HELP_TEXTS[daemon],
        context_settings={'auto_envvar_prefix': ENVIRONMENT_PREFIX},
    )


def start_daemon(daemon: str, options: dict[str, Any]) -> None:
    """Validate the settings and run the daemon until it is stopped."""
    # Imported here because the operator commands need no daemon modules and
    # start in half the time without them.
    from kumquatrun.command_line import daemons

    try:
        settings = build_settings(daemon, options)
    except KumquatrunError as error:
        click.echo(f'error: {error}', err=True)
        sys.exit(int(ExitCode.USAGE))
    configure_logs(
        settings.log_format,
        settings.log_level,
        secrets=(settings.cluster_token, settings.operator_token),
    )
    run_until_stopped(daemons.run(daemon, settings), 'settings')


def _option(setting: Setting) -> click.Option:
    return click.Option(
        [setting.flag, setting.name],
        type=setting.kind,
        default=setting.default,
        is_flag=setting.kind is click.BOOL,
        envvar=setting.env_name,
        show_envvar=True,
        show_default=not setting.secret,
        help=setting.text,
    )
