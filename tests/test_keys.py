"""API keys: only issued, unrevoked keys of existing accounts are valid."""

import pytest
from tests.shared_state import Cluster, apply_document

from kumquatrun.control.commands import IssueKey, RevokeKey
from kumquatrun.document.keys import hash_key
from kumquatrun.membership.cluster_view import ClusterView


def issue(key_id='k1', key='secret', account='acme', operation_id='i1'):
    return IssueKey(
        key_id=key_id,
        key_hash=hash_key(key),
        account=account,
        operator='amina',
        operation_id=operation_id,
    )


def revoke(key_id='k1', operation_id='r1'):
    return RevokeKey(
        key_id=key_id,
        operator='amina',
        operation_id=operation_id,
    )


ISSUE_WITH_SHORT_HASH = IssueKey(
    key_id='k1',
    key_hash=b'short',
    account='acme',
    operator='amina',
    operation_id='i1',
)


@pytest.mark.parametrize(
    ('commands', 'account'),
    [
        ([], None),
        ([issue()], 'acme'),
        ([issue(key='another')], None),
        ([issue(), revoke()], None),
        ([issue(), revoke(), issue('k2', operation_id='i2')], None),
        ([issue(), apply_document(1, accounts=[])], None),
    ],
)
def test_account_of_key(commands, account):
    cluster = Cluster(*commands)
    incremental_view, new_view = ClusterView(), ClusterView()
    for item in cluster.feed:
        incremental_view.apply(item)
    new_view.apply(cluster.restored().snapshot_feed())
    assert incremental_view.account_of_key('secret') == account
    assert new_view.account_of_key('secret') == account


@pytest.mark.parametrize(
    ('earlier', 'command', 'code'),
    [
        ([], issue(account='nobody'), 'not_found'),
        ([], revoke('unknown'), 'not_found'),
        ([], ISSUE_WITH_SHORT_HASH, 'invalid_request'),
        # The same id or key twice would make the audit trail ambiguous.
        ([issue()], issue(key='b', operation_id='i2'), 'invalid_request'),
        ([issue()], issue('k2', operation_id='i2'), 'invalid_request'),
    ],
)
def test_refused_key_change(earlier, command, code):
    assert Cluster(*earlier).run(command).code == code


def test_no_key_text_in_state_or_feed():
    cluster = Cluster(issue(key='very-secret'))
    texts = [cluster.state.snapshot(), *(item.body for item in cluster.feed)]
    assert all(b'very-secret' not in text for text in texts)


@pytest.mark.parametrize('key', ['', 'a', 'a' * 10_000, '\udcff', 'schlüssel'])
def test_hash_of_any_text(key):
    assert len(hash_key(key)) == 32
    assert hash_key(key) != hash_key(f'{key} ')
