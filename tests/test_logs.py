"""Tests of log lines: format, request ids and the removal of secrets."""

import io
import json
import logging

import pytest

from kumquatrun.runtime.logs import (
    REDACTED,
    configure_logs,
    log_event,
    request_id_var,
)

KEY = 'kq-Zm9vYmFyYmF6cXV4Zm9vYmFyYmF6cXV4'
CLUSTER_TOKEN = 'cluster-token-value'
SECRETS = (KEY, CLUSTER_TOKEN, 'eyJhbGciOi.J9', 'hunter2')

log = logging.getLogger('kumquatrun.test')


@pytest.fixture(params=['text', 'json'])
def lines(request):
    """Return a function that returns the lines written so far."""
    root = logging.getLogger()
    saved = root.handlers[:], root.level
    stream = io.StringIO()
    configure_logs(request.param, 'info', (CLUSTER_TOKEN, ''), stream)
    yield lambda: stream.getvalue().splitlines()
    root.handlers[:], root.level = saved


def parsed(line):
    """Return the fields of a text or JSON line."""
    if line.startswith('{'):
        return {key: str(value) for key, value in json.loads(line).items()}
    fields = {}
    while line:
        name, _, line = line.partition('=')
        if line.startswith('"'):
            value, end = json.JSONDecoder().raw_decode(line)
        else:
            value = line.split(' ', 1)[0]
            end = len(value)
        fields[name] = value
        line = line[end + 1 :]
    return fields


VALUES = (
    'plain',
    'two words',
    '',
    'a="b"',
    'back\\slash',
    'line\nbreak',
    'tab\there',
    'ünïcode',
    'x=1 event=forged',
)


@pytest.mark.parametrize('value', VALUES)
def test_values_are_quoted(lines, value):
    # Guards against log injection: a value must not add fields or lines.
    log_event(log, 'tested', value=value)
    (line,) = lines()
    fields = parsed(line)
    assert fields['event'] == 'tested'
    assert fields['value'] == value
    assert set(fields) == {'time', 'level', 'logger', 'event', 'value'}


def test_request_id_of_the_context_is_added(lines):
    token = request_id_var.set('r-17')
    log_event(log, 'tested', level=logging.WARNING, elapsed_s=0.25)
    request_id_var.reset(token)
    log_event(log, 'tested')
    first, second = map(parsed, lines())
    assert first['request_id'] == 'r-17'
    assert first['level'] == 'warning'
    assert first['elapsed_s'] == '0.25'
    assert 'request_id' not in second


def test_key_value_messages_become_fields(lines):
    # Lines of modules that log a formatted text must be searchable by field.
    log.info('event=%s limit_s=%s error=%r', 'peer_silent', 2.0, 'two words')
    fields = parsed(lines()[0])
    assert fields['event'] == 'peer_silent'
    assert fields['limit_s'] == '2.0'
    assert fields['error'] == 'two words'


def test_text_outside_pairs_is_kept(lines):
    log.info('event=served by=%s', 'Engine(a, b)')
    assert 'Engine(a, b)' in parsed(lines()[0])['message']


def test_level_is_obeyed(lines):
    log_event(log, 'hidden', level=logging.DEBUG)
    assert not lines()


def raise_with_key():
    raise ValueError(f'bad key {KEY}')


def log_exception():
    try:
        raise_with_key()
    except ValueError:
        log.exception('event=failed')


LOG_CALLS_WITH_SECRETS = (
    lambda: log_event(log, 'x', detail=f'key {KEY} of a caller'),
    lambda: log_event(log, 'x', headers={'Authorization': f'Bearer {KEY}'}),
    lambda: log_event(log, 'x', header='Bearer eyJhbGciOi.J9'),
    lambda: log_event(log, 'x', header='bearer eyJhbGciOi.J9'),
    lambda: log_event(log, 'x', authorization='hunter2'),
    lambda: log_event(log, 'x', operator_token='hunter2', password='hunter2'),
    lambda: log_event(log, 'x', key='hunter2', api_key=b'hunter2'),
    lambda: log_event(log, 'x', detail=ValueError(CLUSTER_TOKEN)),
    lambda: log.info('got %s', KEY),
    lambda: log.info('event=got cluster_token=%s', 'hunter2'),
    lambda: log.info('event=got detail=%r', f'a {CLUSTER_TOKEN}'),
    lambda: log.warning('%s', [KEY, CLUSTER_TOKEN]),
    log_exception,
)


@pytest.mark.parametrize('log_secret', LOG_CALLS_WITH_SECRETS)
def test_secrets_never_appear(lines, log_secret):
    log_secret()
    (line,) = lines()
    assert not [secret for secret in SECRETS if secret in line]
    assert REDACTED in line


def test_counts_of_tokens_are_kept(lines):
    log_event(log, 'x', prompt_tokens=12, key_id='key-1', wanted_tokens='9')
    fields = parsed(lines()[0])
    assert fields['prompt_tokens'] == '12'
    assert fields['wanted_tokens'] == '9'
    assert fields['key_id'] == 'key-1'


def test_exception_stays_on_the_line(lines):
    log_exception()
    (line,) = lines()
    assert 'raise_with_key' in parsed(line)['exception']
