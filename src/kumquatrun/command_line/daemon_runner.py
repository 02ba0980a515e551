"""Runs a daemon and reports why it could not start."""

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

import click

from kumquatrun.command_line.cli_output import ExitCode, exit_code_of
from kumquatrun.errors import KumquatrunError


def run_until_stopped(
    running: Coroutine[Any, Any, None],
    source: str,
) -> None:
    """Run a daemon; on an error, print it with the remedy and exit.

    Parameters
    ----------
    running
        Coroutine that runs the daemon.
    source
        Where its addresses are set, for the error message.
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
