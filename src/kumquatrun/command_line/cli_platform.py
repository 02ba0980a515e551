"""Commands that start a daemon on the users' platform."""

import gc
import signal
import sys

import click

from kumquatrun.command_line.cli_configuration import (
    configuration_check_command,
)
from kumquatrun.command_line.daemon_runner import run_until_stopped
from kumquatrun.platform.configuration import decode_unchecked
from kumquatrun.runtime.bounded_log import BoundedLogHandler
from kumquatrun.runtime.logs import configure_logs

check_command = configuration_check_command(decode_unchecked)

ROLES = ('entry', 'agent', 'control')


@click.command('platform')
@click.argument('role', type=click.Choice(ROLES))
@click.option('--log-format', default='text', show_default=True)
@click.option('--log-level', default='info', show_default=True)
def platform_command(role: str, log_format: str, log_level: str) -> None:
    """Start a daemon with the settings file of the users' platform."""
    # The default action of SIGHUP would end the process. The settings file is
    # read later, so a change until then needs no signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here because the operator commands need no daemon modules.
    from kumquatrun.platform import daemons

    builder = daemons.builder_of(role)
    # The modules stay for good, so that later collections leave them out.
    gc.freeze()
    gc.enable()
    configure_logs(
        log_format,
        log_level,
        handler=BoundedLogHandler(sys.stdout.fileno()),
    )
    run_until_stopped(daemons.run(builder), 'settings file')
