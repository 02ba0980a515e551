"""``kumquatrun configuration check``: mistakes are found before they are sent.

Guards against a check that differs from what control accepts, against a
mistake that is in force unnoticed, and against keys in the output.
"""

import copy
import json

import pytest
from click.testing import CliRunner
from tests.gateway_fakes import CONFIGURATION

from kumquatrun.command_line.cli import main

CLEAN = copy.deepcopy(CONFIGURATION)
CLEAN['routes'][1]['max_attempts'] = 1


def changed(*path, value):
    """Return the clean configuration with one value replaced."""
    content = copy.deepcopy(CLEAN)
    entry = content
    for step in path[:-1]:
        entry = entry[step]
    entry[path[-1]] = value
    return content


def run(content, *arguments, in_force=None, tmp_path=None):
    if in_force is not None:
        (tmp_path / 'in-force').write_text(json.dumps(in_force))
        arguments = (*arguments, '--in-force', str(tmp_path / 'in-force'))
    return CliRunner().invoke(
        main,
        ['configuration', 'check', *arguments],
        input=content if isinstance(content, str) else json.dumps(content),
    )


def test_clean_configuration_passes():
    result = run(CLEAN, '--strict')
    assert result.exit_code == 0, result.output
    assert result.output == 'version 7: 0 errors, 0 warnings\n'


@pytest.mark.parametrize(
    ('path', 'value', 'words'),
    [
        (('routes', 0, 'service'), 'gone', "'gone', which is not listed"),
        (('routes', 0, 'timeout_ms'), 0, "timeout of route 'stream'"),
        (('routes', 1, 'path_prefix'), '/draft/', '2 routes share host'),
        (('services', 1, 'name'), 'assistant', '2 services are named'),
    ],
)
def test_errors_of_control_are_errors_here(path, value, words):
    result = run(changed(*path, value=value))
    assert result.exit_code == 3
    assert f'error: {words}' in result.output or words in result.output


def test_all_errors_are_listed():
    content = changed('routes', 0, 'timeout_ms', value=0)
    content['routes'][1]['timeout_ms'] = -1
    assert run(content).output.count('error: the timeout') == 2


@pytest.mark.parametrize(
    ('path', 'value', 'words'),
    [
        (('routes', 0, 'path_prefix'), '/a?b/', 'no path contains'),
        (('routes', 0, 'host'), '', 'no request names host'),
        (('routes', 1, 'split', 1, 'weight'), 0, "'ledger' is 0"),
        (('routes', 1, 'split', 1, 'service'), 'assistant', 'no route names'),
        (('tenants', 0, 'api_keys'), [], 'it has no keys'),
        (('routes', 0, 'public'), True, 'all routes are public'),
        (('routes', 1, 'max_attempts'), 2, '2 attempts have no effect'),
        (('routes', 1, 'resumable'), True, 'only streams can be resumed'),
        (('routes', 0, 'target_latency_ms'), 30000, 'above the timeout'),
        (('routes', 0, 'gap_target_ms'), 30000, 'target for pauses'),
        (('tenants', 0, 'burst'), 100, 'does not cover one request of 200'),
        (('tenants', 0, 'rate_per_s'), 0, 'a burst without a rate'),
        (('services', 0, 'engine', 'weights_mb'), 9, 'does not fit into 9 MB'),
        (('limits', 'idle_timeout_ms'), 0, 'no connection stays open'),
    ],
)
def test_probable_mistakes_are_warnings(path, value, words):
    result = run(changed(*path, value=value))
    assert result.exit_code == 0
    assert result.output.count('warning:') == 1
    assert words in result.output
    assert run(changed(*path, value=value), '--strict').exit_code == 3


def test_regions_without_a_common_one_are_a_warning():
    content = changed('routes', 0, 'allowed_regions', value=['a'])
    content['tenants'][0]['allowed_regions'] = ['b']
    assert 'shares no allowed region' in run(content).output


def test_differences_name_each_field(tmp_path):
    content = changed('routes', 0, 'timeout_ms', value=9000)
    content['version'] = 8
    content['routes'].append(
        {**CLEAN['routes'][0], 'name': 'new', 'host': 'new.example'}
    )
    output = run(content, in_force=CLEAN, tmp_path=tmp_path).output
    assert "change: route 'stream' timeout_ms: 20000.0 -> 9000.0" in output
    assert "change: route 'new': none -> present" in output
    assert output.count('change:') == 3


def test_version_that_is_not_newer_is_an_error(tmp_path):
    result = run(CLEAN, in_force=CLEAN, tmp_path=tmp_path)
    assert result.exit_code == 3
    assert 'version 7 is not above version 7' in result.output


def test_keys_are_never_printed(tmp_path):
    content = changed('tenants', 0, 'api_keys', value=['key-2', 'secret-9'])
    content['version'] = 8
    for arguments in ((), ('--json',)):
        output = run(
            content, *arguments, in_force=CLEAN, tmp_path=tmp_path
        ).output
        assert 'key-1' not in output
        assert 'secret-9' not in output
        assert '2 (1 gone, 1 new)' in output


def test_json_holds_errors_findings_and_differences(tmp_path):
    content = changed('routes', 0, 'timeout_ms', value=0)
    output = run(content, '--json', in_force=CLEAN, tmp_path=tmp_path).output
    fields = json.loads(output)
    assert fields['ok'] is False
    assert fields['exit_code'] == 3
    assert fields['result']['errors']
    assert {'kind', 'place', 'text'} == set(fields['result']['findings'][0])
    assert fields['result']['differences'][0]['before'] == '20000.0'


@pytest.mark.parametrize('content', ['', '[]', '{"version": 1', '\ud800'])
def test_unreadable_file_is_refused(content):
    result = run(content.encode('utf-8', 'surrogatepass').decode('latin-1'))
    assert result.exit_code == 3
    assert 'error:' in result.output
