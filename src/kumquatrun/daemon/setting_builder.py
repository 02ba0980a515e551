"""Builds validated settings from raw values by name."""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

import click

from kumquatrun.daemon.setting_table import (
    SETTINGS,
    SETTINGS_CLASSES,
    Setting,
    settings_for,
)
from kumquatrun.daemon.shared_settings import DaemonSettings, ReplicaSettings
from kumquatrun.errors import SettingError

_BY_NAME: Mapping[str, Setting] = {
    setting.name: setting for setting in SETTINGS
}

# Setting names of the replica role by field of ``ReplicaSettings``. The role
# also runs inside entries and agents, so the names of its directory and address
# differ from theirs.
REPLICA_SETTING_NAMES: Mapping[str, str] = {
    'replica_id': 'replica_id',
    'data_dir': 'control_data_dir',
    'listen': 'replica_listen',
    'replicas': 'replicas',
    'join': 'join',
}


def build_settings(
    daemon: str, raw_values: Mapping[str, Any]
) -> DaemonSettings:
    """Check ``raw_values`` by name and build the settings of a daemon.

    Raises
    ------
    SettingError
        If a value is missing, wrong or contradicts another one.
    """
    checked = {
        setting.name: _convert_value(setting, raw_values.get(setting.name))
        for setting in settings_for(daemon)
    }
    checked = {
        name: converted
        for name, converted in checked.items()
        if converted != ''
    }
    replica = _replica_settings(daemon, checked)
    field_names = {field.name for field in fields(SETTINGS_CLASSES[daemon])}
    arguments = {
        name: value
        for name, value in checked.items()
        if name in field_names and value is not None
    }
    if replica is not None and 'control_addresses' not in arguments:
        members = tuple(address for _, address in replica.replicas)
        arguments['control_addresses'] = members or (replica.listen,)
    if 'control_addresses' not in arguments:
        raise _missing('control_addresses', 'list the control replicas')
    return SETTINGS_CLASSES[daemon](replica=replica, **arguments)


def _convert_value(setting: Setting, value: Any) -> Any:
    if value is None:
        value = setting.default
    if value is None:
        if setting.required:
            raise _missing(setting.name, setting.text)
        return None
    try:
        return setting.kind.convert(value, None, None)
    except click.BadParameter as error:
        raise SettingError(
            f'{setting.flag} ({setting.env_name}): {error.message}',
        ) from None


def _missing(name: str, text: str) -> SettingError:
    setting = _BY_NAME[name]
    return SettingError(
        f'{setting.flag} ({setting.env_name}) is not set: {text}'
    )


def _replica_settings(
    daemon: str,
    checked: Mapping[str, Any],
) -> ReplicaSettings | None:
    if checked.get('control_data_dir') is None:
        if daemon == 'control':
            raise _missing('control_data_dir', 'a control host needs one')
        for given_name in ('replica_id', 'replica_listen'):
            if checked.get(given_name) is not None:
                raise _missing('control_data_dir', f'needed with {given_name}')
        return None
    replica_values = {
        field: checked.get(name)
        for field, name in REPLICA_SETTING_NAMES.items()
    }
    for required in ('replica_id', 'listen'):
        if replica_values[required] is None:
            raise _missing(
                REPLICA_SETTING_NAMES[required],
                'needed with --control-data-dir',
            )
    replica = ReplicaSettings(
        **{**replica_values, 'replicas': replica_values['replicas'] or ()}
    )
    _check_members(replica)
    return replica


def _check_members(replica: ReplicaSettings) -> None:
    addresses = dict(replica.replicas)
    if not replica.join and replica.replica_id not in addresses:
        raise SettingError(
            f'--replicas (KUMQUATRUN_REPLICAS) does not name '
            f'{replica.replica_id!r}: list this replica as well, or set '
            '--join to join a running group',
        )
    listed = addresses.get(replica.replica_id, replica.listen)
    if listed != replica.listen:
        raise SettingError(
            f'--replica-listen (KUMQUATRUN_REPLICA_LISTEN) is '
            f'{replica.listen} but --replicas says {listed}: write the same '
            'address in both',
        )
