"""The command ``kumquatrun``."""

import click

from kumquatrun import __version__
from kumquatrun.command_line.cli_daemons import daemon_command
from kumquatrun.command_line.cli_documents import (
    document_commands,
    key_commands,
)
from kumquatrun.command_line.cli_explain import explain_command
from kumquatrun.command_line.cli_operator import SIMPLE_ACTIONS
from kumquatrun.command_line.cli_platform import check_command, platform_command
from kumquatrun.daemon.setting_table import ALL_DAEMONS, ENVIRONMENT_PREFIX


@click.group(context_settings={'auto_envvar_prefix': ENVIRONMENT_PREFIX})
@click.version_option(__version__)
def main() -> None:
    """Serve many LoRA adapters on one base model for many client accounts."""


@main.group('document')
def document_group() -> None:
    """Check, apply, try, promote and show configuration documents."""


@main.group('configuration')
def configuration_group() -> None:
    """Check routing configurations of a gateway."""


@main.group('key')
def key_group() -> None:
    """Issue, revoke and list API keys."""


@main.group('evacuation')
def evacuation_group() -> None:
    """Evacuate failure domains and take them back."""


@main.group('replica')
def replica_group() -> None:
    """Add, remove and list control replicas."""


_GROUPS = {
    'document': document_group,
    'key': key_group,
    'evacuation': evacuation_group,
    'replica': replica_group,
}


def _add_commands() -> None:
    for daemon in ALL_DAEMONS:
        main.add_command(daemon_command(daemon))
    main.add_command(platform_command)
    main.add_command(explain_command)
    configuration_group.add_command(check_command)
    for command in document_commands():
        document_group.add_command(command)
    for command in key_commands():
        key_group.add_command(command)
    for simple in SIMPLE_ACTIONS:
        group = _GROUPS.get(simple.command.split()[0], main)
        group.add_command(simple.build())


_add_commands()
