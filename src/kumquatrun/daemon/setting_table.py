"""Table of all settings: flag, variable, kind, default and help text."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

import click

from kumquatrun.daemon import setting_kinds as kinds
from kumquatrun.daemon.settings import (
    AgentSettings,
    ControlSettings,
    EntrySettings,
)
from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.document.document import ServiceKind

ENVIRONMENT_PREFIX = 'KUMQUATRUN'
ENTRY = ('entry',)
AGENT = ('agent',)
ALL_DAEMONS = (*ENTRY, *AGENT, 'control')
MAX_COUNT = 1_000_000
MAX_BODY_BYTES = 1024 * 1024 * 1024
MAX_HELD_BYTES = 2**40
DAY_S = 86_400

SETTINGS_CLASSES: Mapping[str, type[DaemonSettings]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
    'control': ControlSettings,
}


@dataclass(frozen=True, kw_only=True)
class Setting:
    """One setting of the daemons.

    Attributes
    ----------
    name
        Name of the field, with underscores.
    kind
        Parses and validates a value.
    text
        What the setting does; shown by ``--help``.
    daemons
        Daemons that have the setting.
    secret
        Whether the value must not be printed or logged.
    """

    name: str
    kind: click.ParamType
    text: str
    daemons: tuple[str, ...] = ALL_DAEMONS
    default: Any = None
    required: bool = False
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return the flag of the command line."""
        return '--' + self.name.replace('_', '-')

    @property
    def env_name(self) -> str:
        """Return the environment variable."""
        return f'{ENVIRONMENT_PREFIX}_{self.name.upper()}'


def _seconds(low: float, high: float = DAY_S) -> kinds.NumberKind:
    return kinds.NumberKind(float, low, high, 'seconds')


def _count(unit: str, high: int = MAX_COUNT) -> kinds.NumberKind:
    return kinds.NumberKind(int, 1, high, unit)


def _setting(name: str, kind: click.ParamType, text: str, **options) -> Setting:
    daemons = options.pop('daemons', ALL_DAEMONS)
    options.setdefault('default', _field_default(name, daemons))
    return Setting(name=name, kind=kind, text=text, daemons=daemons, **options)


def _field_default(name: str, daemons: tuple[str, ...]) -> Any:
    for field in fields(SETTINGS_CLASSES[daemons[0]]):
        if field.name == name and isinstance(
            field.default,
            (str, int, float, tuple),
        ):
            return field.default or None
    return None


SETTINGS: tuple[Setting, ...] = (
    _setting(
        'host_id',
        kinds.NAME,
        'Name of this host, unique in the environment.',
        required=True,
    ),
    _setting('region', kinds.NAME, 'Region of this host.'),
    _setting('failure_domain', kinds.NAME, 'Failure domain of this host.'),
    _setting(
        'control_addresses',
        kinds.ADDRESSES,
        'Addresses of the control replicas. A host that runs the replica '
        'role takes them from --replicas if this is not set.',
    ),
    _setting(
        'cluster_token',
        kinds.TOKEN,
        'Shared secret of all processes of the environment.',
        secret=True,
    ),
    _setting(
        'operator_token',
        kinds.TOKEN,
        'Secret that operator commands must send; used by replicas.',
        secret=True,
    ),
    _setting(
        'admin_listen',
        kinds.ADDRESS,
        'Address of /metrics, /healthz and /readyz; off if not set.',
    ),
    _setting(
        'log_format',
        click.Choice(['text', 'json']),
        'Form of the log lines.',
    ),
    _setting(
        'log_level',
        click.Choice(['debug', 'info', 'warning', 'error']),
        'Least severe level that is logged.',
    ),
    _setting(
        'drain_timeout_s',
        _seconds(1),
        'Time after which an incomplete drain is logged.',
    ),
    _setting(
        'host_list_url',
        kinds.URL,
        "The platform's list of hosts; a host that it lists as leaving "
        'drains itself. Not read if not set.',
        daemons=ENTRY + AGENT,
    ),
    _setting(
        'http_listen',
        kinds.ADDRESS,
        'Address for callers.',
        daemons=ENTRY,
        required=True,
    ),
    _setting(
        'max_body_bytes',
        _count('bytes', MAX_BODY_BYTES),
        'Largest request body.',
        daemons=ENTRY,
    ),
    _setting(
        'max_connections',
        _count('connections'),
        'Most open connections of callers.',
        daemons=ENTRY,
    ),
    _setting(
        'max_held_bytes',
        _count('bytes', MAX_HELD_BYTES),
        'Most bytes held for callers: requests that have not ended and answers '
        'that are not read.',
        daemons=ENTRY,
    ),
    _setting(
        'write_timeout_s',
        _seconds(0.1),
        'Time after which a caller that reads nothing is disconnected.',
        daemons=ENTRY,
    ),
    _setting(
        'request_timeout_s',
        _seconds(0.1),
        'Deadline of a request.',
        daemons=ENTRY,
    ),
    _setting(
        'listen',
        kinds.PEER_ADDRESS,
        'Address for dispatches from entries.',
        daemons=AGENT,
        required=True,
    ),
    _setting(
        'service',
        kinds.NAME,
        'Service of the document that the backend server belongs to.',
        daemons=AGENT,
        required=True,
    ),
    _setting(
        'backend_url',
        kinds.URL,
        'Base URL of the backend server.',
        daemons=AGENT,
        required=True,
    ),
    _setting(
        'backend_kind',
        kinds.EnumKind(ServiceKind),
        'Whether the backend server is a model engine or a plain service.',
        daemons=AGENT,
    ),
    _setting(
        'max_running',
        _count('requests'),
        'Most requests that run at once in the backend server.',
        daemons=AGENT,
    ),
    _setting(
        'max_queued',
        _count('requests'),
        'Most requests that wait in the queue of the agent.',
        daemons=AGENT,
    ),
    _setting(
        'load_timeout_s',
        _seconds(0.1),
        'Time after which the load of an adapter counts as failed.',
        daemons=AGENT,
    ),
    _setting(
        'control_data_dir',
        kinds.DIRECTORY,
        'Data directory of the control replica; turns the replica role on.',
    ),
    _setting('replica_id', kinds.NAME, 'Name of the control replica.'),
    _setting(
        'replica_listen',
        kinds.PEER_ADDRESS,
        'Address of the control replica.',
    ),
    _setting(
        'replicas',
        kinds.MEMBERS,
        'Initial control replicas with their addresses.',
    ),
    _setting(
        'join',
        click.BOOL,
        'Join a running group of replicas instead of starting one.',
        default=False,
    ),
)


def settings_for(daemon: str) -> tuple[Setting, ...]:
    """Return the settings of one daemon."""
    return tuple(row for row in SETTINGS if daemon in row.daemons)
