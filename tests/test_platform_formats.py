"""Headers, lists, reports, orders and settings in the platform's format."""

import json
import tomllib
from pathlib import Path

import pytest

from kumquatrun.errors import InvalidRequestError, SettingError
from kumquatrun.gateway.backends.listing_follower import (
    decode_records,
    encode_records,
)
from kumquatrun.gateway.engine.engine_api import EngineOrder
from kumquatrun.gateway.routing.wire_format import ForwardingFields
from kumquatrun.peer.address import Address
from kumquatrun.platform.engine import decode_report, encode_order
from kumquatrun.platform.listing import decode_entries
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.platform.settings import (
    SettingsFile,
    agent_settings,
    control_addresses,
    control_settings,
    directory_addresses,
    entry_settings,
)

HEADERS = (
    (b'Host', b'shop.example:80'),
    (b'X-Kumquatrun-Attempt-Id', b'attempt-1'),
    (b'X-Kumquatrun-Model', b'm/a3'),
    (b'X-Kumquatrun-Token-Usage', b'1460,80'),
    (b'X-Kumquatrun-Prompt-Prefix', b'5c:800,91:410'),
    (b'X-Kumquatrun-Deadline-Ms', b'15000'),
    (b'Api-Key', b'key-1'),
    (b'X-Other', b'stays'),
)
# Headers that a caller must not be able to set.
FORGED = (
    (b'X-Kumquatrun-Tenant', b'other'),
    (b'X-Kumquatrun-Hold', b'h'),
    (b'X-Kumquatrun-Pin-Ms', b'9'),
    (b'X-Kumquatrun-Kv-Backup', b'10.0.0.1:1'),
    (b'Kv-From', b'10.0.0.1:1/x'),
    (b'Kv-Fetch', b'10.0.0.1:1'),
    (b'X-Kumquatrun-Request-Priority', b'0'),
    (b'X-Kumquatrun-Expect-Instance', b'i-forged'),
    (b'X-Kumquatrun-Expect-Version', b'9'),
    (b'Connection', b'X-Hop, X-Kumquatrun-Model'),
    (b'X-Hop', b'dropped'),
    (b'Transfer-Encoding', b'chunked'),
)


def forwarded(headers, **more):
    wire = PlatformFormat()
    caller = wire.read_request('POST', '/a/%2e?q=%20', headers)
    head = wire.write_request(
        caller,
        ForwardingFields(
            backend_id='i-1',
            remaining_ms=900,
            account='lamps',
            priority=4,
            **more,
        ),
    )
    first, *rest = head.decode().rstrip().split('\r\n')
    fields = [line.lower().split(': ', 1) for line in rest]
    assert len(dict(fields)) == len(fields), 'a header is sent twice'
    return first, dict(fields)


def test_request_is_read():
    caller = PlatformFormat().read_request('POST', '/a/b?c', HEADERS)
    assert (caller.host, caller.path) == ('shop.example', '/a/b')
    assert (caller.model, caller.adapter) == ('m', 'a3')
    assert (caller.prompt_tokens, caller.output_tokens) == (1460, 80)
    assert (caller.key, caller.max_wait_ms) == ('key-1', 15000)


def test_path_and_query_are_unchanged():
    first, _ = forwarded(HEADERS)
    assert first == 'POST /a/%2e?q=%20 HTTP/1.1'


def test_key_and_forged_headers_are_dropped():
    # Guards against a caller that sets headers reserved for the gateway: the
    # first trial forwarded them.
    _, found = forwarded(HEADERS + FORGED, adapter_version=3)
    assert 'api-key' not in found
    assert 'x-hop' not in found
    assert 'transfer-encoding' not in found
    for name in ('hold', 'pin-ms', 'kv-backup'):
        assert f'x-kumquatrun-{name}' not in found
    assert 'kv-from' not in found
    assert 'kv-fetch' not in found
    assert found['x-kumquatrun-tenant'] == 'lamps'
    assert found['x-kumquatrun-expect-instance'] == 'i-1'
    assert found['x-kumquatrun-expect-version'] == '3'
    assert found['x-kumquatrun-request-priority'] == '4'
    assert found['x-kumquatrun-deadline-ms'] == '900'


def test_headers_of_the_caller_are_kept():
    _, found = forwarded(HEADERS + FORGED)
    assert found['x-kumquatrun-model'] == 'm/a3'
    assert found['x-kumquatrun-token-usage'] == '1460,80'
    assert found['x-kumquatrun-prompt-prefix'] == '5c:800,91:410'
    assert found['x-other'] == 'stays'


def test_resumed_stream_names_the_last_event_once():
    headers = (*HEADERS, (b'Last-Event-Id', b'2'))
    assert forwarded(headers)[1]['last-event-id'] == '2'
    assert forwarded(headers, last_event_id='7')[1]['last-event-id'] == '7'


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        (b'X-Kumquatrun-Deadline-Ms', b'soon'),
        (b'X-Kumquatrun-Token-Usage', b'1'),
    ],
)
def test_unreadable_header_is_refused(name, value):
    with pytest.raises(InvalidRequestError):
        PlatformFormat().read_request('GET', '/', ((name, value),))


ENTRY = {
    'id': 'i-1',
    'service': 'assistant',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'models': [{'name': 'm', 'version': 1, 'adapters': ['a3@2']}],
}


@pytest.mark.parametrize(
    'damage',
    [
        {'id': 7},
        {'address': 'nowhere'},
        {'state': 'odd'},
        {'service': None},
        {'models': 'm'},
    ],
)
def test_unreadable_entry_is_skipped(damage):
    # Guards against one invalid entry that hides the others.
    records = decode_entries([{**ENTRY, **damage}, 'text', None, ENTRY])
    assert [record.backend_id for record in records] == ['i-1']


@pytest.mark.parametrize(
    'address',
    [
        *('10.0.0.9:0', '10.0.0.9:-5', '10.0.0.9:65536', '10.0.0.9:99999'),
        *('10.0.0.9:+80', '10.0.0.9: 80', '10.0.0.9:80 ', '10.0.0.9:8_0'),
        *(
            '10.0.0.9:8\n',
            '10.0.0.9:\u0668\u0660',
            '10.0.0.9:\xb2',
            '10.0.0.9:',
        ),
        *('10.0.0.9:' + '1' * 5000, '10.0.0.9:' + '0' * 5000, '10.0.0.9'),
        *('10.0.0:80', '10.0.0.256:80', '010.0.0.9:80', ' 10.0.0.9:80'),
        *('[::1]:80', '::1:80', 'localhost:80', 'a..b:80', 'a\0b:80'),
        *('x' * 300 + ':80', '10.0.0.9/8:80', '0.0.0.0:80', ':80', ''),
    ],
)
def test_entry_with_invalid_address_is_skipped(address):
    # Guards against requests to an address that cannot be connected to, and
    # against name lookups.
    records = decode_entries(
        [{**ENTRY, 'id': 'odd', 'address': address}, ENTRY]
    )
    assert [record.backend_id for record in records] == ['i-1']


@pytest.mark.parametrize('port', [1, 80, 65535])
def test_every_port_of_an_entry_is_read(port):
    (record,) = decode_entries([{**ENTRY, 'address': f'10.0.0.9:{port}'}])
    assert record.address == Address('10.0.0.9', port)


def test_list_encoding_round_trip():
    records = decode_entries([ENTRY, {**ENTRY, 'id': 'i-0', 'remaining_ms': 5}])
    assert set(decode_records(encode_records(records))) == set(records)
    assert encode_records(records) == encode_records(records[::-1])
    assert records[1].is_draining


def test_report_of_an_engine_is_read():
    report = decode_report(
        {
            'born': 12,
            'sequence': 3,
            'busy': False,
            'running': 2,
            'waiting': 1,
            'models': ENTRY['models'],
            'incoming': ['m/a9@1'],
            'runs': [['r1', 900, 4, 5], ['r2', 0, 0, 5]],
        },
    )
    assert report.running_ids == {'r1', 'r2'}
    assert report.model('m').adapters == {'a3': 2}
    assert report.loading == (('m', 'a9', 1),)
    assert (report.load, report.order_count) == (3, 3)


def test_order_names_holder_and_expected_count():
    order = EngineOrder(
        holder='side-1',
        fencing_number=1,
        is_load=True,
        model='m',
        adapter='a3',
        version=2,
        expected_count=5,
    )
    assert encode_order(order) == {
        'operation': 'model_load',
        'model': 'm',
        'adapter': 'a3',
        'version': 2,
        'expected': 5,
        'holder': 'side-1',
        'fence': 1,
    }


SETTINGS = {
    'node_name': 'front-1',
    'ip': '10.1.0.14',
    'zone': 'a',
    'region': 'r',
    'zones': {'a': 'r'},
    'listen': {
        'front': '10.1.0.14:8221',
        'ready': '10.1.0.14:8224',
        'control': '10.1.0.14:8229',
    },
    'internal_ports': [7600, 7615],
    'seeds': ['10.1.0.14:8229', '10.2.0.4:8229'],
    'bootstrap': True,
    'data_dir': '/data/x',
    'tolerate': {'machines': 1},
    'bounds': {'budget_ratio': 0.2, 'budget_extra': 64, 'grace_s': 8},
    'cloud': {'address': '10.200.0.35:8225'},
    'app': '10.1.0.14:8228',
    'service': 'assistant',
}


def test_settings_of_each_role_are_read():
    entry = entry_settings(SETTINGS)
    assert entry.retry_allowance == 64
    assert str(entry.control_addresses[1]) == '10.2.0.4:7600'
    assert str(entry.directory_addresses[1]) == '10.2.0.4:7601'
    agent = agent_settings(SETTINGS)
    assert str(agent.engine_address) == '10.1.0.14:8228'
    for node in (entry, agent):
        assert str(node.operator_listen) == '10.1.0.14:8229'
    control = control_settings(SETTINGS)
    assert control.is_first_start
    assert not control_settings({**SETTINGS, 'bootstrap': False}).is_first_start


def test_control_host_without_operator_address():
    # Guards against a control host that does not start: the platform lists only
    # the addresses that a program serves.
    fields = {**SETTINGS, 'listen': {}}
    assert control_settings(fields).replica.replica_id == '10.1.0.14'


def test_directory_addresses_without_seeds():
    # Guards against a control host that knows no other process, not even the
    # entry on its own host, because the settings have no seeds.
    fields = {**SETTINGS, 'seeds': []}
    addresses = control_settings(fields).directory_addresses
    assert list(map(str, addresses)) == ['10.1.0.14:7601']


@pytest.mark.parametrize(
    ('group', 'name', 'read'),
    [
        ('bounds', 'budget_extra', lambda row: row.retry_allowance),
        ('bounds', 'grace_s', lambda row: row.drain_timeout_s),
    ],
)
def test_bounds_may_be_fractions(group, name, read):
    # Guards against an entry that exits at startup: on a small deployment of
    # the users' bench the retry allowance is not an integer.
    fields = {**SETTINGS, group: {**SETTINGS[group], name: 61.4}}
    assert read(entry_settings(fields)) == 61.4


@pytest.mark.parametrize(
    ('build', 'change'),
    [
        (entry_settings, {'bounds': {'budget_ratio': 'many'}}),
        (agent_settings, {'service': None}),
        (control_settings, {'tolerate': {'machines': 'one'}}),
    ],
)
def test_wrong_field_is_a_setting_error(build, change):
    # Guards against an invalid setting that is reported with the remedy for an
    # invalid configuration.
    (name,) = change
    inner = change[name]
    if isinstance(inner, dict):
        (name,) = inner
    with pytest.raises(SettingError, match=name):
        build({**SETTINGS, **change})


@pytest.mark.parametrize('name', ['listen', 'cloud', 'internal_ports', 'zones'])
def test_missing_setting_is_named(name):
    fields = {key: row for key, row in SETTINGS.items() if key != name}
    with pytest.raises(SettingError, match=name):
        entry_settings(fields)


def test_settings_file_is_read_again_when_it_changes(tmp_path):
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(SETTINGS))
    file = SettingsFile({'KUMQUATRUN_BOOT': str(path)})
    assert file.read() == SETTINGS
    assert not file.has_changed()
    path.write_text(json.dumps({**SETTINGS, 'seeds': []}))
    assert file.has_changed()


@pytest.mark.parametrize(
    ('name', 'wrong'),
    [
        ('seeds', [5]),
        ('seeds', ['10.1.0.14']),
        ('seeds', ['10.1.0.14:99999']),
        ('seeds', ['10.1.0.14:-5']),
        ('seeds', ['10.1.0.14:' + '1' * 5000]),
        ('internal_ports', [float('inf')]),
        ('internal_ports', [65536]),
        ('seeds', 7),
        ('internal_ports', [{}]),
    ],
)
def test_wrong_address_is_a_setting_error(name, wrong):
    # Guards against a daemon that stops watching its settings file: any other
    # error ended the task that watches it.
    with pytest.raises(SettingError, match=name):
        directory_addresses({**SETTINGS, name: wrong})
    with pytest.raises(SettingError, match=name):
        control_addresses({**SETTINGS, name: wrong})


def test_wrong_own_ip_is_a_setting_error():
    # Guards against a ``DocumentError`` in the same task: it is not a
    # ``SettingError``, so it ended the task as well.
    with pytest.raises(SettingError, match='ip'):
        directory_addresses({**SETTINGS, 'ip': 5})


@pytest.mark.parametrize('environment', [{}, {'KUMQUATRUN_BOOT': '/no/file'}])
def test_missing_settings_file_is_an_error(environment):
    with pytest.raises(SettingError):
        SettingsFile(environment).read()


def test_control_host_without_data_dir():
    # Guards against a host without a disk that exits at startup.
    control = control_settings({**SETTINGS, 'data_dir': None})
    assert control.replica.data_dir == ''


def test_metrics_ports_match_deploy_file():
    # Guards against metrics on a port that changes every day.
    deploy = Path(__file__).parent.parent / 'deploy' / 'system.toml'
    roles = tomllib.loads(deploy.read_text())['roles']
    builders = {
        'entry': entry_settings,
        'agent': agent_settings,
        'control': control_settings,
    }
    for name, build in builders.items():
        port = build(SETTINGS).admin_listen.port
        assert roles[name]['metrics'] == f'{port}/metrics'


def test_drops_idle_connections_is_read():
    # Guards against a request that must not be repeated and is lost on a
    # connection that the backend server closed while it was idle.
    usual = entry_settings(SETTINGS)
    dropping = entry_settings({**SETTINGS, 'contracts': ['base', 'pool']})
    assert dropping.drops_idle_connections
    assert not usual.drops_idle_connections


@pytest.mark.parametrize(
    ('values', 'parts'),
    [
        ([], ()),
        ([b''], ()),
        ([b'5C1E:800, 91bd:410 ,e4:250'], ('5c1e', '91bd', 'e4')),
        ([b'5c1e:800', b'91bd:410'], ('5c1e', '91bd')),
        ([b'5c1e,,:4,x:y:z'], ('5c1e', '', 'x')),
    ],
    ids=['none', 'empty', 'list', 'two headers', 'malformed'],
)
def test_parts_of_a_prompt_are_read(values, parts):
    # Guards against a part that can't be recognized because requests write it
    # in another form, and against requests that are refused for the header.
    headers = tuple((b'X-Kumquatrun-Prompt-Prefix', text) for text in values)
    caller = PlatformFormat().read_request('POST', '/a/', headers)
    assert caller.prompt_parts == parts
