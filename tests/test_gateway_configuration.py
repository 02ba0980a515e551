"""Operator configurations of the platform: decoding, checks and lookups."""

import copy
import json

import pytest
from tests.gateway_fakes import CONFIGURATION, configuration

from kumquatrun.errors import DocumentError
from kumquatrun.platform.configuration import decode_configuration


def changed_content(change):
    fields = copy.deepcopy(CONFIGURATION)
    change(fields)
    return json.dumps(fields).encode()


def add_duplicate_route(fields):
    fields['routes'].append({**fields['routes'][0], 'name': 'again'})


def share_key(fields):
    fields['tenants'].append({'name': 'other', 'api_keys': ['key-2']})


INVALID = {
    'unknown service': lambda row: row['routes'][0].update(service='none'),
    'duplicate route': add_duplicate_route,
    'no weight': lambda row: [
        target.update(weight=0) for target in row['routes'][1]['split']
    ],
    'no timeout': lambda row: row['routes'][0].update(timeout_ms=0),
    'shared key': share_key,
    'no version': lambda row: row.pop('version'),
    'version is a string': lambda row: row.update(version='7'),
    'routes are not a list': lambda row: row.update(routes={}),
    'unknown kind': lambda row: row['routes'][0].update(kind='odd'),
    'limits are a list': lambda row: row.update(limits=[1]),
    'limits are a string': lambda row: row.update(limits='x'),
    'limits are a number': lambda row: row.update(limits=1e999),
    'keys are a string': lambda row: row['tenants'][0].update(api_keys='ab'),
    'keys are an object': lambda row: row['tenants'][0].update(
        api_keys={'a': 1},
    ),
    'prefix without slash': lambda row: row['routes'][0].update(
        path_prefix='/draft',
    ),
}


@pytest.mark.parametrize('name', INVALID)
def test_invalid_configuration_is_refused(name):
    # Guards against an invalid configuration that is acknowledged.
    with pytest.raises(DocumentError):
        decode_configuration(changed_content(INVALID[name]))


LARGE_NUMBERS = ['1e999', '-1e999', 'NaN', 'Infinity', '1' * 400, '1' * 5000]


@pytest.mark.parametrize('number', LARGE_NUMBERS)
@pytest.mark.parametrize('name', ['timeout_ms', 'gap_target_ms', 'priority'])
def test_non_finite_number_is_refused(name, number):
    # Guards against a time limit that breaks the timers of every request.
    content = changed_content(lambda row: row['routes'][0].update({name: '@'}))
    with pytest.raises(DocumentError):
        decode_configuration(content.replace(b'"@"', number.encode()))


@pytest.mark.parametrize('number', LARGE_NUMBERS)
def test_large_number_in_unread_field_is_ignored(number):
    # Guards against a valid configuration that is refused because of a field
    # that nothing reads.
    content = configuration(new_field='@').replace(b'"@"', number.encode())
    assert decode_configuration(content).version == 7


@pytest.mark.parametrize('length', [1, 40, -1])
def test_truncated_configuration_is_refused(length):
    with pytest.raises(DocumentError):
        decode_configuration(configuration()[:length])


def test_unknown_fields_are_ignored():
    found = decode_configuration(configuration(new_field={'a': 1}))
    assert found.version == 7


@pytest.mark.parametrize(
    ('host', 'path', 'route'),
    [
        ('shop.example', '/draft/a', 'stream'),
        ('SHOP.example', '/draft/', 'stream'),
        ('shop.example', '/draft/long/a/b', 'split'),
        ('shop.example', '/draft', None),
        ('shop.example', '/drafts/a', None),
        ('other.example', '/draft/a', None),
    ],
)
def test_longest_prefix_selects_the_route(host, path, route):
    found = decode_configuration(configuration()).route_for(host, path)
    assert (found.name if found else None) == route


def test_keys_select_the_account():
    found = decode_configuration(configuration())
    assert found.account_for('key-2').name == 'lamps'
    assert found.account_for('key-3') is None
    assert found.account_for('') is None
    assert found.account_for('key-1').counts_tokens


def test_configuration_without_accounts_needs_no_keys():
    fields = copy.deepcopy(CONFIGURATION)
    del fields['tenants']
    found = decode_configuration(json.dumps(fields).encode())
    assert not found.requires_keys


def test_engine_capacity_is_read():
    engine = decode_configuration(configuration()).service('assistant').engine
    assert engine.adapter_slots == 20
    assert engine.base_models[0].adapter_mb == 66


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/health', '/health'),
        ('@other.example/', ''),
        ('health', ''),
        (7, ''),
        (None, ''),
    ],
)
def test_path_of_a_health_check_names_no_host(path, expected):
    # Guards against a health check that goes to another host, and against a
    # configuration that is refused for a field that few hosts read.
    content = changed_content(
        lambda row: row['services'][0].update(health_path=path)
    )
    (engine,) = [
        row.engine
        for row in decode_configuration(content).services
        if row.engine
    ]
    assert engine.check_path == expected
