"""Tests of configuration documents: error paths, fast parser, deltas."""

import json
import random
from dataclasses import asdict

import pytest
from tests.shared_state import ACCOUNT, PARTS, content

from kumquatrun.document import document
from kumquatrun.document.document import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    BaseDocument,
    apply_document_delta,
    decode_delta,
    digest_document,
    document_delta,
    encode_delta,
    parse_document,
)
from kumquatrun.document.document_fast_parser import fast_parse_document
from kumquatrun.errors import DocumentError

ACME, SALES, ROUTE = ACCOUNT, PARTS['adapters'][0], PARTS['routes'][0]


def account(**fields):
    return {'accounts': [ACME, {**ACME, 'name': 'beta', **fields}]}


def adapter(**fields):
    return {'adapters': [SALES, {**SALES, 'name': 'legal', **fields}]}


def route(**fields):
    return {'routes': [{**ROUTE, **fields}]}


BASE = BaseDocument(parse_document(content()), content())
NO_BASE = BaseDocument()


@pytest.mark.parametrize(
    ('parts', 'path', 'text'),
    [
        (
            account(rate_tokens_per_s=0),
            'accounts[1].rate_tokens_per_s',
            'than 0',
        ),
        (account(rate_tokens_per_s=-1), 'accounts[1].rate_tokens_per_s', ''),
        (account(rate_tokens_per_s='9'), 'accounts[1].rate_tokens_per_s', ''),
        (
            account(rate_tokens_per_s=float('inf')),
            'accounts[1].rate_tokens',
            '',
        ),
        (
            account(rate_tokens_per_s=float('nan')),
            'accounts[1].rate_tokens',
            '',
        ),
        (account(rate_tokens_per_s=1e300), 'accounts[1].rate_tokens_per_s', ''),
        (account(rate_tokens_per_s=True), 'accounts[1].rate_tokens_per_s', ''),
        (account(burst_tokens=1.5), 'accounts[1].burst_tokens', 'integer'),
        (account(burst_tokens=0), 'accounts[1].burst_tokens', 'than 0'),
        (account(burst_tokens=10**12 + 1), 'accounts[1].burst_tokens', ''),
        (account(weight=0), 'accounts[1].weight', 'than 0'),
        (account(colour='red'), 'accounts[1].colour', 'unknown field'),
        (account(name='acme'), 'accounts[1].name', 'used twice'),
        (account(name=''), 'accounts[1].name', 'not allowed'),
        (account(name='a@1'), 'accounts[1].name', 'not allowed'),
        (account(name='a b'), 'accounts[1].name', 'not allowed'),
        (account(name='a\n'), 'accounts[1].name', 'not allowed'),
        (account(name='x' * 129), 'accounts[1].name', 'not allowed'),
        (account(name=None), 'accounts[1].name', 'string'),
        ({'accounts': [{'name': 'a'}]}, 'accounts[0].burst_tokens', 'required'),
        ({'accounts': {}}, 'accounts', ''),
        ({'environment': 1}, 'environment', 'string'),
        ({'extra': []}, 'extra', 'unknown field'),
        ({'services': [{'name': 's', 'kind': 'x'}]}, 'services[0].kind', ''),
        (
            {
                'services': [{'name': 'assistant', 'kind': 'plain'}],
                'routes': [],
            },
            'adapters[0].service',
            'not an engine',
        ),
        (adapter(name='sales'), 'adapters[1].name', 'used twice'),
        (adapter(service='none'), 'adapters[1].service', 'not in services'),
        (adapter(service='ledger'), 'adapters[1].service', 'not an engine'),
        (adapter(versions=[]), 'adapters[1].versions', ''),
        (adapter(versions=['1', '1']), 'adapters[1].versions', 'used twice'),
        (adapter(versions=['1@']), 'adapters[1].versions[0]', 'not allowed'),
        (route(service='none'), 'routes[0].service', 'not in services'),
        (route(accounts=['none']), 'routes[0].accounts[0]', 'not in accounts'),
        (route(adapters=['none']), 'routes[0].adapters[0]', 'not an adapter'),
        (
            route(access='open', accounts=['acme']),
            'routes[0].accounts',
            'must be empty',
        ),
        (route(access='all'), 'routes[0].access', ''),
        (route(path='v1'), 'routes[0].path', 'not allowed'),
        (route(path='/v1/../x'), 'routes[0].path', 'dot segments'),
        (route(path='/a?b'), 'routes[0].path', 'not allowed'),
        (route(path='//x'), 'routes[0].path', 'not allowed'),
        (route(cost_tokens=-1), 'routes[0].cost_tokens', ''),
        (route(idempotent='yes'), 'routes[0].idempotent', 'boolean'),
        ({'routes': [ROUTE, ROUTE]}, 'routes[1].path', 'used twice'),
    ],
)
def test_error_names_its_path(parts, path, text):
    with pytest.raises(DocumentError) as caught:
        parse_document(content(**parts), base=BASE)
    assert path in caught.value.detail
    assert text in caught.value.detail


@pytest.mark.parametrize(
    ('raw', 'text'),
    [
        (b'', '$'),
        (b'[]', '$'),
        (b'{"environment": "t"', '$'),
        (b'\xff\xfe', '$'),
        (b'[' * 100_000, '$'),
        (b'{"accounts": ' + b'[' * 100_000, '$'),
        (b'{"environment": "t", "environment": "t"}', 'environment: is given'),
        (
            content().replace(b'"kind"', b'"name": "x", "kind"', 1),
            'services[0].name: is given more than once',
        ),
        (b' ' * (MAX_DOCUMENT_BYTES + 1), 'the limit is 16777216'),
    ],
)
def test_malformed_text_is_refused(raw, text):
    with pytest.raises(DocumentError) as caught:
        parse_document(raw)
    assert text in caught.value.detail


def test_number_of_errors_is_limited():
    wrong = [{**ACME, 'name': f'n{row}', 'weight': 0} for row in range(30)]
    with pytest.raises(DocumentError) as caught:
        parse_document(content(accounts=wrong))
    assert 'accounts[19].weight' in caught.value.detail
    assert caught.value.detail.endswith('and 10 more')


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/v1/chat/completions', '/v1/'),
        ('/v1/', '/v1/'),
        ('/v1', None),
        ('/v1/models/x', '/v1/models'),
        ('/v1/models', '/v1/models'),
        ('/v1/modelsx', '/v1/'),
        ('/ledger', '/ledger'),
        ('/ledger/a', '/ledger'),
        ('/ledgers', None),
        ('/', None),
        ('', None),
        ('/ledger/../v1/x', None),
        ('/v1/./x', None),
    ],
)
def test_route_is_the_longest_prefix(path, expected):
    models = {'path': '/v1/models', 'service': 'assistant'}
    routes = [*PARTS['routes'], models]
    found = parse_document(content(routes=routes)).index.route(path)
    assert (found.path if found else None) == expected


@pytest.mark.parametrize(
    ('part', 'known'),
    [('account', 'acme'), ('service', 'ledger'), ('adapter', 'sales')],
)
def test_lookup_by_name(part, known):
    find = getattr(parse_document(content()).index, part)
    assert find(known).name == known
    assert find('none') is None


def test_digest_is_that_of_the_bytes():
    assert digest_document(content()) != digest_document(content() + b' ')
    assert len(digest_document(b'')) == 64


def test_order_in_the_text_is_ignored():
    parts = {
        name: rows[::-1] if isinstance(rows, list) else rows
        for name, rows in PARTS.items()
    }
    assert parse_document(content(**parts)) == parse_document(content())


def random_document(seed):
    rng = random.Random(seed)
    names = rng.sample([f'a{number}' for number in range(40)], 20)
    return parse_document(
        content(
            environment=rng.choice(['trial', 'other']),
            accounts=rng.choice([[], [ACME]]),
            adapters=[
                {**SALES, 'name': name, 'versions': rng.sample('123', 2)}
                for name in names
            ],
            routes=rng.choice([[], [{**ROUTE, 'adapters': names[:2]}]]),
        ),
    )


@pytest.mark.parametrize('seed', range(20))
def test_delta_leads_to_the_new_document(seed):
    old = EMPTY_DOCUMENT if seed == 0 else random_document(seed)
    new = random_document(seed + 1)
    encoded = json.loads(json.dumps(encode_delta(document_delta(old, new))))
    result = apply_document_delta(old, decode_delta(encoded))
    assert result == new
    assert vars(result.index) == vars(new.index)


def full_check(raw):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(document, 'fast_parse_document', lambda *_: None)
        return parse_document(raw)


PIECES = [b'"', b':', b',', b'{', b'}', b'[', b']', b'\\', b'"name": "sales",']
PIECES += [b', {"name": "x", "service": "assistant", "versions": ["1"]}']
PIECES += [b'"1"', b'1', b' ', b'\xff', b'@', b'"adapters": [],', b'null', b'']


@pytest.mark.parametrize('seed', range(300))
def test_fast_parser_agrees_with_full_check(seed):
    # Guards against replicas that parse the same document differently, as the
    # fast parser depends on the active document.
    rng = random.Random(seed)
    documents = random_document(seed), random_document(seed + 1)
    base, raw = (json.dumps(asdict(each)).encode() for each in documents)
    for _ in range(rng.choice([0, 1, 1, 2])):
        start = rng.randrange(len(raw))
        end = start + rng.choice([0, 0, 1, 3, 60])
        raw = raw[:start] + rng.choice(PIECES) + raw[end:]
    active = rng.choice([NO_BASE, BASE, BaseDocument(documents[0], base)])
    fast = fast_parse_document(raw, active)
    if fast is not None:
        assert fast == full_check(raw)


def rows_text(rows):
    """Return a document; each letter of ``rows`` stands for one adapter."""
    text = '{"name": "%s", "service": "assistant", "versions": ["1"]}'
    adapters = ''.join(text % row if row.isalpha() else row for row in rows)
    whole = content(adapters='ROWS', routes=[]).decode()
    return whole.replace('"ROWS"', f'[{adapters}]').encode()


@pytest.mark.parametrize(
    'rows',
    # Duplicate rows, and separators that are missing, duplicate or wrong.
    [
        'x, b, b, y',
        'a, b, b, c',
        'x, b, cb',
        'a, xc',
        'xa',
        'x, ba, c',
        'a, b c',
        'a,, b, c',
        ', a, b, c',
        'a, b, c,',
        'a; b, c',
        'a, b, a',
    ],
)
def test_malformed_changed_rows_are_refused(rows):
    base = BaseDocument(
        parse_document(rows_text('a, b, c')), rows_text('a, b, c')
    )
    with pytest.raises(DocumentError):
        parse_document(rows_text(rows), base)


@pytest.mark.parametrize('seed', range(50))
def test_fast_parser_accepts_valid_document(seed):
    base, new = random_document(seed), random_document(seed + 1)
    text = json.dumps(asdict(new)).encode()
    old_text = json.dumps(asdict(base)).encode()
    for active in (NO_BASE, BASE, BaseDocument(base, old_text)):
        fast = fast_parse_document(text, active)
        assert fast == full_check(text) == new
        assert vars(fast.index) == vars(new.index)


@pytest.mark.parametrize('seed', range(3))
def test_delta_of_equal_documents_is_empty(seed):
    pair = random_document(seed), random_document(seed)
    delta = encode_delta(document_delta(*pair))
    assert list(delta) == ['environment']
