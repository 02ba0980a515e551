"""Tests of settings: flags, variables, checks and error messages."""

import dataclasses

import pytest
from click.testing import CliRunner

from kumquatrun.command_line import daemons
from kumquatrun.command_line.cli import main
from kumquatrun.daemon.setting_builder import (
    REPLICA_SETTING_NAMES,
    build_settings,
)
from kumquatrun.daemon.setting_table import (
    ALL_DAEMONS,
    SETTINGS,
    SETTINGS_CLASSES,
    settings_for,
)
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import SettingError
from kumquatrun.peer import Address

REPLICA = {
    'control_data_dir': '/tmp/kumquatrun-test',
    'replica_id': 'a',
    'replica_listen': '10.0.0.1:7400',
    'replicas': 'a=10.0.0.1:7400,b=10.0.0.2:7400',
}
BASE = {
    'entry': {
        'host_id': 'e1',
        'http_listen': '127.0.0.1:8080',
        'control_addresses': '10.0.0.1:7400,10.0.0.2:7400',
    },
    'agent': {
        'host_id': 'g1',
        'listen': '10.0.0.9:7500',
        'service': 'assistant',
        'backend_url': 'http://127.0.0.1:9000',
        'control_addresses': '[::1]:7400',
    },
    'control': {'host_id': 'c1', **REPLICA},
}

# Daemon, changed setting, wrong value, text that the message must have besides
# the flag, the variable and the value.
WRONG_VALUES = (
    ('entry', 'http_listen', 'localhost:8080', 'write ip:port'),
    ('entry', 'http_listen', '127.0.0.1', 'write ip:port'),
    ('entry', 'http_listen', '127.0.0.1:0', 'from 1 to 65535'),
    ('entry', 'http_listen', '127.0.0.1:65536', 'from 1 to 65535'),
    ('entry', 'control_addresses', '10.0.0.1:1,control:2', 'names are not'),
    ('entry', 'max_body_bytes', '0', 'whole number of bytes from 1'),
    ('entry', 'max_connections', '2.5', 'whole number'),
    ('entry', 'write_timeout_s', 'nan', 'number of seconds'),
    ('entry', 'request_timeout_s', '-1', 'number of seconds'),
    ('entry', 'drain_timeout_s', 'soon', 'number of seconds'),
    ('entry', 'host_id', 'a b', 'use letters'),
    ('entry', 'host_id', 'x' * 129, 'at most 128'),
    ('entry', 'log_format', 'xml', "'text', 'json'"),
    ('entry', 'log_level', 'loud', "'info'"),
    ('agent', 'listen', '0.0.0.0:7500', 'not reachable'),
    ('agent', 'backend_url', 'https://127.0.0.1:9000', 'http://ip:port'),
    ('agent', 'backend_url', 'http://engine:9000', 'names are not'),
    ('agent', 'backend_url', 'http://127.0.0.1:9000/v1', 'without a path'),
    ('agent', 'backend_kind', 'gpu', "'engine', 'plain'"),
    ('agent', 'max_running', '-4', 'whole number'),
    ('control', 'replica_listen', '[::]:7400', 'not reachable'),
    ('control', 'replicas', '10.0.0.1:7400', 'id=ip:port'),
    ('control', 'replicas', 'a=10.0.0.1:1,a=10.0.0.2:1', 'twice'),
    ('control', 'replicas', 'a=10.0.0.1:1,b=10.0.0.1:1', 'twice'),
    ('control', 'control_data_dir', '/proc/version/x', 'directory'),
)

# Daemon, replaced settings (None removes one), parts of the message.
INCONSISTENT_SETTINGS = (
    ('entry', {'host_id': None}, ('--host-id', 'not set')),
    ('entry', {'http_listen': None}, ('--http-listen', 'not set')),
    ('agent', {'service': None}, ('--service', 'not set')),
    ('entry', {'control_addresses': None}, ('--control-addresses', 'list')),
    ('control', {'control_data_dir': None}, ('--control-data-dir',)),
    ('entry', {'replica_id': 'a'}, ('--control-data-dir', 'replica_id')),
    ('control', {'replica_listen': None}, ('--replica-listen',)),
    ('control', {'replica_id': 'z'}, ('--replicas', "'z'", '--join')),
    (
        'control',
        {'replica_listen': '10.0.0.3:7400'},
        ('--replica-listen', '10.0.0.3:7400', '10.0.0.1:7400'),
    ),
)


@pytest.mark.parametrize('daemon', ALL_DAEMONS)
def test_defaults_match_the_data_classes(daemon):
    # Guards against defaults that differ between the table and a class.
    built = build_settings(daemon, BASE[daemon])
    for field in dataclasses.fields(SETTINGS_CLASSES[daemon]):
        if field.name not in BASE[daemon] and field.name not in (
            'replica',
            'control_addresses',
        ):
            assert getattr(built, field.name) == field.default, field.name


@pytest.mark.parametrize('daemon', ALL_DAEMONS)
def test_every_field_has_a_setting(daemon):
    names = {row.name for row in settings_for(daemon)}
    field_names = {
        field.name for field in dataclasses.fields(SETTINGS_CLASSES[daemon])
    }
    assert field_names - {'replica'} <= names
    replica = {field.name for field in dataclasses.fields(ReplicaSettings)}
    assert replica == set(REPLICA_SETTING_NAMES)
    assert set(REPLICA_SETTING_NAMES.values()) <= names


def test_values_are_parsed():
    built = build_settings('agent', BASE['agent'])
    assert built.listen == Address('10.0.0.9', 7500)
    assert built.control_addresses == (Address('::1', 7400),)
    control = build_settings('control', BASE['control'])
    assert control.replica.replicas[1] == ('b', Address('10.0.0.2', 7400))


def test_control_addresses_default_to_the_replicas():
    given = {**BASE['entry'], **REPLICA, 'control_addresses': None}
    built = build_settings('entry', given)
    assert built.replica.replica_id == 'a'
    assert built.control_addresses == (
        Address('10.0.0.1', 7400),
        Address('10.0.0.2', 7400),
    )


@pytest.mark.parametrize(
    ('daemon', 'name', 'value', 'expected_text'), WRONG_VALUES
)
def test_wrong_value_is_refused(daemon, name, value, expected_text):
    # The library and the command line must report the same error.
    with pytest.raises(SettingError) as caught:
        build_settings(daemon, {**BASE[daemon], name: value})
    given = {**BASE[daemon], name: value}
    environment = {f'KUMQUATRUN_{key.upper()}': given[key] for key in given}
    result = CliRunner(env=environment).invoke(main, [daemon])
    assert result.exit_code == 2
    shown = ' '.join(result.output.split())
    for text in (str(caught.value), shown):
        assert f'--{name.replace("_", "-")}' in text
        assert f'KUMQUATRUN_{name.upper()}' in text
        assert value.split(',')[-1] in text
        assert expected_text in text


@pytest.mark.parametrize(('daemon', 'changes', 'parts'), INCONSISTENT_SETTINGS)
def test_missing_or_inconsistent_settings(daemon, changes, parts):
    given = {**BASE[daemon], **changes}
    with pytest.raises(SettingError) as caught:
        build_settings(daemon, given)
    for part in parts:
        assert part in str(caught.value)


@pytest.mark.parametrize('row', SETTINGS, ids=lambda row: row.name)
def test_flag_and_variable_reach_the_daemon(row, monkeypatch, tmp_path):
    # Guards against a setting that is documented but has no effect.
    daemon = row.daemons[0]
    directory = str(tmp_path / 'data')
    values = {
        **{name: f'x-{name[:4]}' for name in ('region', 'failure_domain')},
        **dict.fromkeys(('cluster_token', 'operator_token'), 'secret-1'),
        **BASE['control'],
        **BASE['agent'],
        **BASE['entry'],
        'admin_listen': '127.0.0.1:9100',
        'log_format': 'json',
        'log_level': 'error',
        'backend_kind': 'plain',
        'host_list_url': 'http://10.0.0.2:80',
        'control_data_dir': directory,
        'join': 'true',
    }
    value = values.get(row.name, '3')
    base = {**BASE[daemon], **REPLICA, 'control_data_dir': directory}
    base.pop(row.name, None)
    seen = []

    async def run(name, settings):
        seen.append(settings)

    monkeypatch.setattr(daemons, 'run', run)
    common = [f'--{k.replace("_", "-")}={v}' for k, v in base.items()]
    tested_option = row.flag if row.name == 'join' else f'{row.flag}={value}'
    results = [
        CliRunner().invoke(main, [daemon, *common, tested_option]),
        CliRunner(env={row.env_name: value}).invoke(main, [daemon, *common]),
    ]
    assert [result.exit_code for result in results] == [0, 0], results[0].output
    assert seen[0] == seen[1]
    flat = {**vars(seen[0].replica), **vars(seen[0])}
    fields = {name: field for field, name in REPLICA_SETTING_NAMES.items()}
    actual = flat[fields.get(row.name, row.name)]
    assert actual == row.kind.convert(value, None, None)
