"""Shared options and calls of operator commands, and simple commands."""

import asyncio
import getpass
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import click

from kumquatrun.command_line.cli_output import fail, print_result
from kumquatrun.command_line.operator_client import (
    READ_ACTIONS,
    ControlTarget,
    OperatorClient,
)
from kumquatrun.daemon import setting_kinds as kinds
from kumquatrun.daemon.setting_table import ENVIRONMENT_PREFIX
from kumquatrun.errors import KumquatrunError

MAX_ROWS = 10_000


@dataclass(frozen=True, kw_only=True)
class OperatorContext:
    """Options of one operator command."""

    target: ControlTarget
    operation_id: str
    as_json: bool

    def call(
        self,
        action: str,
        arguments: Mapping[str, Any],
        *,
        target: ControlTarget | None = None,
        hint: str = '',
    ) -> Mapping[str, Any]:
        """Run an action; exit the command if it fails."""
        client = OperatorClient(target or self.target)
        try:
            return asyncio.run(
                client.call(action, arguments, self.operation_id),
            )
        except KumquatrunError as error:
            self.fail(error, hint=hint)

    def fail(self, error: KumquatrunError, *, hint: str = '') -> None:
        """Exit the command with the exit code of ``error``."""
        fail(
            error,
            as_json=self.as_json,
            operation_id=self.operation_id,
            hint=hint,
        )

    def print(self, result: Mapping[str, Any]) -> None:
        """Print the result with the operation id."""
        print_result(
            result,
            as_json=self.as_json,
            operation_id=self.operation_id,
        )


def option(flag: str, **attributes: Any) -> click.Option:
    """Return an option with its environment variable."""
    name = flag.lstrip('-').replace('-', '_')
    if attributes.get('allow_from_autoenv', True):
        attributes['envvar'] = f'{ENVIRONMENT_PREFIX}_{name.upper()}'
        attributes['show_envvar'] = True
    return click.Option([flag, attributes.pop('name', name)], **attributes)


def target_options() -> list[click.Option]:
    """Return the options that name the control replicas and the operator."""
    return [
        option(
            '--control-addresses',
            type=kinds.ADDRESSES,
            help='Addresses of the control replicas.',
        ),
        option('--cluster-token', type=kinds.TOKEN, default=''),
        option('--operator-token', type=kinds.TOKEN, default=''),
        option(
            '--operator',
            type=kinds.NAME,
            default=getpass.getuser,
            help='Name for the audit trail; the login name by default.',
        ),
        option(
            '--timeout-s',
            type=kinds.NumberKind(float, 0.1, 600, 'seconds'),
            default=10,
            help='Time for the whole command, with resends.',
        ),
        # An operation id from the environment would make later commands
        # return the result of the first one.
        option(
            '--operation-id',
            type=kinds.NAME,
            default=lambda: str(uuid.uuid4()),
            allow_from_autoenv=False,
            help='Id of the change; a command that is repeated with the '
            'same id is executed once. A new UUID by default.',
        ),
        option(
            '--json',
            name='as_json',
            is_flag=True,
            allow_from_autoenv=False,
            help='Print one JSON object.',
        ),
    ]


def pop_context(options: dict[str, Any]) -> OperatorContext:
    """Remove the shared options from a command's options and return them."""
    if not options['control_addresses']:
        raise click.UsageError(
            '--control-addresses (KUMQUATRUN_CONTROL_ADDRESSES) is not set: '
            'list the control replicas as ip:port,ip:port.',
        )
    target = ControlTarget(
        addresses=options.pop('control_addresses'),
        cluster_token=options.pop('cluster_token'),
        operator_token=options.pop('operator_token'),
        operator=options.pop('operator'),
        timeout_s=options.pop('timeout_s'),
    )
    return OperatorContext(
        target=target,
        operation_id=options.pop('operation_id'),
        as_json=options.pop('as_json'),
    )


def operator_command(
    name: str,
    callback: Any,
    text: str,
    params: tuple[click.Parameter, ...] = (),
) -> click.Command:
    """Return a command whose callback gets an ``OperatorContext``."""

    def run(**options: Any) -> None:
        context = pop_context(options)
        callback(context, **options)

    return click.Command(
        name,
        callback=run,
        params=[*params, *target_options()],
        help=text,
        context_settings={'auto_envvar_prefix': ENVIRONMENT_PREFIX},
    )


@dataclass(frozen=True)
class SimpleAction:
    """A command that sends its parameters as the arguments of an action."""

    command: str
    action: str
    text: str
    params: tuple[click.Parameter, ...] = ()

    def build(self) -> click.Command:
        """Return the command."""

        def callback(context: OperatorContext, **arguments: Any) -> None:
            plain_arguments = {
                name: value if isinstance(value, int) else str(value)
                for name, value in arguments.items()
            }
            result = context.call(self.action, plain_arguments)
            if self.action in READ_ACTIONS:
                print_result(result, as_json=context.as_json)
            else:
                context.print(result)

        name = self.command.split()[-1]
        return operator_command(name, callback, self.text, self.params)


def _argument(name: str, kind: click.ParamType = kinds.NAME) -> click.Argument:
    return click.Argument([name], type=kind)


def _limit(unit: str) -> click.Option:
    return option(
        '--limit',
        type=kinds.NumberKind(int, 1, MAX_ROWS, unit),
        default=100,
        allow_from_autoenv=False,
        help=f'Most {unit} to list.',
    )


SIMPLE_ACTIONS: tuple[SimpleAction, ...] = (
    SimpleAction(
        'key revoke',
        'revoke_key',
        'Revoke an API key; open streams of its callers end.',
        (_argument('key_id'),),
    ),
    SimpleAction(
        'key list',
        'list_keys',
        'List key ids with account and status.',
    ),
    SimpleAction('status', 'get_status', 'Show the state of the cluster.'),
    SimpleAction('hosts', 'list_hosts', 'List entry and agent hosts.'),
    SimpleAction(
        'adapters',
        'list_adapters',
        'List adapters and where they are loaded.',
        (
            option(
                '--after',
                type=click.STRING,
                metavar='NAME',
                default='',
                allow_from_autoenv=False,
                help='Name of the last adapter already seen.',
            ),
            _limit('adapters'),
        ),
    ),
    SimpleAction(
        'audit',
        'list_audit',
        'List changes: who, when, before and after.',
        (
            option(
                '--after',
                type=kinds.NumberKind(int, 0, 2**53, 'audit records'),
                default=0,
                allow_from_autoenv=False,
                help='Number of the last record already seen.',
            ),
            _limit('records'),
        ),
    ),
    SimpleAction(
        'drain',
        'drain_host',
        'Drain a host: it gets no new work and finishes what it has.',
        (_argument('host_id'),),
    ),
    SimpleAction(
        'evacuation start',
        'start_evacuation',
        'Send nothing more to the backend servers of a failure domain.',
        (_argument('failure_domain'),),
    ),
    SimpleAction(
        'evacuation finish',
        'finish_evacuation',
        'Use the backend servers of a failure domain again.',
        (_argument('failure_domain'),),
    ),
    SimpleAction(
        'unblock',
        'unblock',
        'Allow a blocked request or prompt part that status lists.',
        (_argument('fingerprint', click.STRING),),
    ),
    SimpleAction(
        'replica add',
        'add_replica',
        'Add a control replica that was started with --join.',
        (
            _argument('replica_id'),
            _argument('address', kinds.PEER_ADDRESS),
            _argument('disk_id'),
        ),
    ),
    SimpleAction(
        'replica remove',
        'remove_replica',
        'Remove a control replica.',
        (_argument('replica_id'),),
    ),
    SimpleAction('replica list', 'list_replicas', 'List control replicas.'),
)
