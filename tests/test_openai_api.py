"""Tests of parsing and rendering the OpenAI-compatible API."""

import json

import pytest

from kumquatrun.document.document import AdapterSpec
from kumquatrun.entry.error_body import (
    error_headers,
    render_error,
    render_error_event,
)
from kumquatrun.entry.openai_api import (
    Endpoint,
    endpoint_of,
    estimate_tokens,
    parse_completion,
    render_models,
)
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    Outcome,
    RateLimitedError,
    error_kinds,
)

TEXT = {'model': 'wheat', 'prompt': 'hello'}
CHAT = {'model': 'wheat', 'messages': [{'role': 'user', 'content': 'hello'}]}
BODIES = {Endpoint.COMPLETIONS: TEXT, Endpoint.CHAT: CHAT}


def parse(endpoint=Endpoint.COMPLETIONS, /, **changes):
    body = json.dumps(BODIES[endpoint] | changes).encode()
    return parse_completion(endpoint, body)


@pytest.mark.parametrize(
    ('text', 'tokens'),
    [('', 0), ('a', 1), ('abcd', 1), ('abcde', 2), ('گندم', 4), ('abcdگ', 2)],
)
def test_token_estimate_follows_its_rule(text, tokens):
    assert estimate_tokens(text) == tokens


@pytest.mark.parametrize(
    ('prompt', 'tokens', 'sequences'),
    [
        ('abcdefgh', 2, 1),
        (['abcd', 'efgh'], 2, 2),
        ([5, 6, 7], 3, 1),
        ([[5, 6], [7]], 3, 2),
        ([], 0, 1),
    ],
)
def test_each_prompt_form_is_counted(prompt, tokens, sequences):
    # Guards against a batch of prompts that is charged as one sequence.
    parsed = parse(prompt=prompt, max_tokens=10, n=2)
    assert parsed.prompt_tokens == tokens
    assert parsed.output_tokens(99) == 10 * 2 * sequences


@pytest.mark.parametrize(
    ('content', 'tokens'),
    [
        ('abcdefgh', 6),
        ([{'type': 'text', 'text': 'abcdefgh'}], 6),
        (None, 4),
    ],
)
def test_chat_messages_are_counted(content, tokens):
    messages = [{'role': 'user', 'content': content}]
    assert parse(Endpoint.CHAT, messages=messages).prompt_tokens == tokens


@pytest.mark.parametrize('endpoint', BODIES)
@pytest.mark.parametrize(
    ('model', 'expected'),
    [('wheat', ('wheat', '')), ('wheat@2', ('wheat', '2'))],
)
def test_model_names_adapter_and_version(endpoint, model, expected):
    parsed = parse(endpoint, model=model)
    assert (parsed.adapter, parsed.version) == expected


@pytest.mark.parametrize(
    ('changes', 'field', 'expected'),
    [
        ({}, 'max_tokens', None),
        ({'max_tokens': 7}, 'max_tokens', 7),
        ({}, 'stream', False),
        ({'stream': True}, 'stream', True),
        ({}, 'priority', 0),
        ({'priority': -3}, 'priority', -3),
    ],
)
def test_options_are_read(changes, field, expected):
    assert getattr(parse(**changes), field) == expected


def test_larger_chat_limit_is_charged():
    # Guards against an engine that uses the larger field than the charged one.
    parsed = parse(Endpoint.CHAT, max_tokens=5, max_completion_tokens=50)
    assert parsed.output_tokens(1) == 50


def test_missing_limit_is_filled_in():
    # Guards against a response with more tokens than were reserved.
    parsed = parse()
    assert parsed.output_tokens(33) == 33
    assert json.loads(parsed.body_with_limit(33)) == TEXT | {'max_tokens': 33}


WRONG_FIELDS = [
    *({'model': value} for value in (None, 5, '', 'x' * 300, ['wheat'])),
    *({'prompt': value} for value in (None, 5, {}, [None], [1.5], ['a', 1])),
    *({'max_tokens': value} for value in (0, -1, '5', 1.5, True, 10**9)),
    *({'stream': value} for value in ('true', 1)),
    *({'n': value} for value in (0, 1000, '1')),
    *({'priority': value} for value in (99, 'high')),
]


@pytest.mark.parametrize('changes', WRONG_FIELDS, ids=repr)
def test_wrong_field_is_named(changes):
    with pytest.raises(InvalidRequestError) as caught:
        parse(**changes)
    assert next(iter(changes)) in caught.value.detail
    assert caught.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    'messages',
    [None, [], 'hello', [5], [{'content': 'x'}], [{'role': 1}]],
    ids=repr,
)
def test_wrong_messages_are_refused(messages):
    with pytest.raises(InvalidRequestError, match='messages'):
        parse(Endpoint.CHAT, messages=messages)


MALFORMED = {
    'empty': b'',
    'cut': b'{"model": "wheat"',
    'list': b'[]',
    'text': b'"wheat"',
    'not utf-8': b'{"model": "\xff"}',
    'nan': b'{"model": "wheat", "prompt": "a", "temperature": NaN}',
    'deep': b'[' * 100_000,
    'long number': b'{"max_tokens": ' + b'9' * 5000 + b'}',
    'repeated field': b'{"model": "a", "model": "b", "prompt": "x"}',
    'escaped repeat': b'{"model": "a", "mod\\u0065l": "b", "prompt": "x"}',
    'lone surrogate': b'{"model": "wheat", "prompt": "\\ud800"}',
}


@pytest.mark.parametrize('body', MALFORMED.values(), ids=MALFORMED)
def test_malformed_body_is_refused(body):
    with pytest.raises(InvalidRequestError):
        parse_completion(Endpoint.COMPLETIONS, body)


@pytest.mark.parametrize('changes', [{'prompt': 'b'}, {'prompt': ['hello']}])
def test_prompt_digest_depends_on_prompt(changes):
    # Guards against a quarantine that also refuses other prompts.
    assert parse(**changes).prompt_digest != parse().prompt_digest
    assert parse(max_tokens=3).prompt_digest == parse().prompt_digest


@pytest.mark.parametrize(
    ('path', 'endpoint'),
    [
        ('/v1/completions', Endpoint.COMPLETIONS),
        ('/v1/chat/completions', Endpoint.CHAT),
        ('/v1/models', Endpoint.MODELS),
        ('/v1/embeddings', None),
    ],
)
def test_path_names_the_endpoint(path, endpoint):
    assert endpoint_of(path) is endpoint


@pytest.mark.parametrize('error_class', error_kinds().values())
def test_each_error_is_rendered_in_openai_style(error_class):
    error = error_class('what happened')
    fields = json.loads(render_error(error))['error']
    assert fields['message'] == 'what happened'
    assert fields['code'] == error_class.kind.code
    assert fields['remedy'] == error_class.kind.remedy
    assert fields['outcome'] == error_class.kind.outcome.value
    headers = error_headers(error, 'r1')
    assert headers['x-kumquatrun-outcome'] == fields['outcome']
    assert headers['x-request-id'] == 'r1'
    event = render_error_event(error)
    assert event.startswith(b'data: ')
    assert event.endswith(b'\n\n')


@pytest.mark.parametrize(
    ('error', 'expected'),
    [
        (RateLimitedError('x', retry_after_s=0.2), '1'),
        (RateLimitedError('x', retry_after_s=2.1), '3'),
        (error_kinds()['no_capacity']('x'), '1'),
        (KumquatrunError('x'), None),
    ],
)
def test_retry_after_is_whole_seconds(error, expected):
    assert error_headers(error, 'r1').get('Retry-After') == expected


def test_models_are_listed_with_versions():
    spec = AdapterSpec(name='wheat', service='s', versions=('1', '2'))
    [model] = json.loads(render_models([spec]))['data']
    assert (model['id'], model['versions']) == ('wheat', ['1', '2'])
