"""Control state: deterministic, resend-safe and audited."""

import random

import pytest
from tests.shared_state import Cluster, apply_document, content, host
from tests.test_claims import claim, finish
from tests.test_keys import issue, revoke
from tests.test_quarantine import FINISHED_ALONE, crash

from kumquatrun.control.audit import AuditTrail
from kumquatrun.control.commands import (
    Batch,
    DocumentReply,
    DrainHost,
    ExpireHost,
    ReportBudgets,
    decode_batch,
    decode_results,
    encode_batch,
    encode_results,
    inflate,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.operations import OperationRegister
from kumquatrun.document.document import digest_document
from kumquatrun.errors import (
    InvalidRequestError,
    KumquatrunError,
    Outcome,
    WireError,
)
from kumquatrun.peer.messages import Ack, ErrorReply
from kumquatrun.peer.node_messages import (
    BudgetReport,
    GrantTokens,
    RegisterHost,
)

GRANT = GrantTokens(
    host_id='entry-1',
    incarnation='a',
    account='acme',
    wanted_tokens=7,
    number=1,
)
REPORT = ReportBudgets(
    host_id='entry-1',
    incarnation='a',
    sequence=1,
    reports=(BudgetReport(account='acme', consumed_tokens=1),),
)
EXPIRE = ExpireHost(host_id='entry-1', incarnation='a')


def drain(host_id='entry-1', operation_id='d1', operator='amina'):
    return DrainHost(
        host_id=host_id,
        operator=operator,
        operation_id=operation_id,
    )


COMMANDS = [
    apply_document(1),
    apply_document(1, operation_id='other', adapters=[], routes=[]),
    issue(),
    revoke(),
    drain(),
    GRANT,
    REPORT,
    EXPIRE,
    claim(),
    finish('ran'),
    crash('f', 'g'),
    crash('f', alone=True),
    FINISHED_ALONE,
    RegisterHost(record=host()),
    RegisterHost(record=host(incarnation='b')),
    RegisterHost(record=host('agent-1', role='agent', service='assistant')),
    Ack(),
]


@pytest.mark.parametrize('seed', range(10))
def test_replicas_agree(seed):
    rng = random.Random(seed)
    first, second = ControlState(), ControlState()
    for index in range(1, 60):
        rows = rng.choices([apply_document(), *COMMANDS], k=3)
        batch = encode_batch(rng.choice([0, 7, 700_000]), rows)
        assert first.apply(index, batch) == second.apply(index, batch)
        assert first.drain_changes() == second.drain_changes()
        first.status()
        if rng.random() < 0.2:
            restored = ControlState()
            restored.restore(second.snapshot())
            second = restored
        assert first.snapshot() == second.snapshot()
        assert first.snapshot_feed() == second.snapshot_feed()


@pytest.mark.parametrize(
    'command', COMMANDS, ids=lambda row: type(row).__name__
)
def test_batch_round_trip(command):
    batch = Batch(5, (command, command))
    assert decode_batch(encode_batch(*batch)) == batch


@pytest.mark.parametrize(
    'replies',
    [
        [],
        [Ack(), DocumentReply(revision=1, digest='d')],
        [ErrorReply(code='c', detail='d', outcome=Outcome.NOT_RUN)],
        [Ack()] * 5000,
    ],
)
def test_results_round_trip(replies):
    assert list(decode_results(encode_results(replies))) == replies


LARGE = encode_batch(0, [apply_document(environment='x' * 100_000)])


@pytest.mark.parametrize(
    'encoded',
    [
        b'',
        b'\x00',
        b'\x02abc',
        b'\x01abc',
        b'\x00\xc0',
        b'\x00\x92\xff\x90',
        b'\x00\x92\x01\x91\x92\xa1x\x80',
        LARGE[:-5],
    ],
)
def test_damaged_batch_is_refused(encoded):
    with pytest.raises(WireError):
        decode_batch(encoded)


def test_large_batch_is_compressed_and_bounded():
    assert len(LARGE) < 2000
    with pytest.raises(ValueError, match='exceeds 1000 bytes'):
        inflate(LARGE[1:], 1000)


def test_negative_elapsed_time():
    with pytest.raises(ValueError, match='negative'):
        encode_batch(-1, [])


def test_time_is_the_sum_of_the_batches():
    cluster = Cluster()
    for elapsed_ms in (5, 0, 7):
        cluster.run(elapsed_ms=elapsed_ms)
    assert cluster.restored().now_ms == 12


def test_document_is_stored_unchanged():
    cluster = Cluster()
    for state in (cluster.state, cluster.restored()):
        assert state.revision == 1
        assert state.content() == content()
        assert state.digest == digest_document(content())


@pytest.mark.parametrize(
    ('command', 'code'),
    [
        (apply_document(0, 'late'), 'revision_conflict'),
        (apply_document(2, 'early'), 'revision_conflict'),
        (apply_document(1, accounts=3), 'invalid_document'),
        (drain('nobody'), 'not_found'),
        (Ack(), 'invalid_request'),
        (drain(operation_id=''), 'invalid_request'),
        (drain(operation_id='x' * 201), 'invalid_request'),
        # Another change under a used id must not be reported as made.
        (drain(operation_id='apply-0'), 'invalid_request'),
        (drain(operator='bilal', operation_id='d0'), 'invalid_request'),
    ],
)
def test_refused_command_changes_nothing(command, code):
    cluster = Cluster(drain(operation_id='d0'))
    before = cluster.state.snapshot_feed()
    entries = cluster.state.audit()
    reply = cluster.run(command)
    assert (reply.code, reply.outcome) == (code, Outcome.NOT_RUN)
    assert cluster.state.snapshot_feed() == before
    assert cluster.state.audit() == entries


@pytest.mark.parametrize(
    'command',
    [apply_document(1), issue(), drain(), crash('f'), apply_document(9, 'x')],
)
def test_resent_operation(command):
    cluster = Cluster()
    first = cluster.run(command)
    cluster.run(apply_document(cluster.state.revision, 'between'))
    feed_index = cluster.state.feed_index
    cluster.state = cluster.restored()
    assert cluster.run(command) == first
    assert cluster.state.feed_index == feed_index


def test_revision_conflict_in_one_batch():
    cluster = Cluster()
    replies = cluster.run(
        apply_document(1, 'amina-1', adapters=[], routes=[]),
        apply_document(1, 'bilal-1'),
    )
    assert replies[0].revision == 2
    assert replies[1].code == 'revision_conflict'


def test_operation_limit():
    register = OperationRegister(max_operations=2)
    for number in range(3):
        register.record(f'op-{number}', Ack(), Ack())
    known = [register.find_reply(f'op-{number}', Ack()) for number in range(3)]
    assert known == [None, Ack(), Ack()]


@pytest.mark.parametrize(
    ('command', 'expected'),
    [
        (apply_document(1), ('amina', 'apply-1', 'apply_document')),
        (issue(), ('amina', 'i1', 'issue_key')),
        (drain(), ('amina', 'd1', 'drain_host')),
        (
            RegisterHost(record=host(incarnation='b')),
            ('host:entry-1', '', 'register_host'),
        ),
        (EXPIRE, ('control', '', 'expire_host')),
        (crash('f'), ('host:agent-1', '', 'change_fingerprint')),
    ],
)
def test_audit_entry_of_change(command, expected):
    cluster = Cluster()
    cluster.run(command, elapsed_ms=42)
    entry = cluster.restored().audit()[0]
    assert (entry.operator, entry.operation_id, entry.action) == expected
    assert entry.time_ms == 42
    assert entry.before != entry.after


@pytest.mark.parametrize(
    ('before', 'limit', 'numbers'),
    [
        (None, 2, [9, 8]),
        (8, 2, [7, 6]),
        (7, 9, [6, 5]),
        (5, 9, []),
        (99, 1, [9]),
        (None, -1, []),
    ],
)
def test_audit_paging_and_limits(before, limit, numbers):
    trail = AuditTrail(max_entries=5)
    for number in range(9):
        trail.record(
            time_ms=number,
            operator='o',
            operation_id='',
            action='a',
            subject='s',
            before='x' * 10_000,
            after='',
        )
    page = trail.page(before, limit)
    assert [entry.number for entry in page] == numbers
    assert all(len(entry.before) <= 300 for entry in page)


@pytest.mark.parametrize(
    ('after', 'limit', 'names'),
    [
        ('', 9, ['legal', 'sales']),
        ('', 1, ['legal']),
        ('legal', 9, ['sales']),
        ('sales', 9, []),
    ],
)
def test_adapters_are_paged(after, limit, names):
    rows = Cluster().state.adapters(after, limit)
    assert [row.name for row in rows] == names


@pytest.mark.parametrize(
    ('steps', 'run', 'fencing_number', 'live'),
    [
        ([], 'a', 1, ['a']),
        (['a'], 'a', 1, ['a']),
        (['b'], 'b', 2, ['a', 'b']),
        (['b', EXPIRE], 'b', 2, ['b']),
        ([EXPIRE, 'b'], 'b', 2, ['b']),
        # A late registration of a replaced or expired run has no effect.
        (['b', 'a'], 'b', 2, ['a', 'b']),
        (['b', EXPIRE, 'a'], 'b', 2, ['b']),
        (['b', EXPIRE, EXPIRE], 'b', 2, ['b']),
    ],
)
def test_fencing_numbers_grow_with_incarnations(
    steps,
    run,
    fencing_number,
    live,
):
    cluster = Cluster()
    for step in steps:
        if isinstance(step, str):
            step = RegisterHost(record=host(incarnation=step))
        cluster.run(step)
    state = cluster.restored()
    record = state.host('entry-1')
    assert (record.incarnation, record.fencing_number) == (run, fencing_number)
    assert state.incarnations() == tuple(('entry-1', row) for row in live)


@pytest.mark.parametrize(
    ('run', 'draining'),
    [('a', True), ('b', False)],
)
def test_drain_lasts_until_the_host_restarts(run, draining):
    cluster = Cluster(drain())
    reply = cluster.run(RegisterHost(record=host(incarnation=run)))
    assert reply.record.draining is draining
    assert cluster.state.hosts() == (reply.record,)


def test_snapshot_of_another_format_is_refused():
    state = Cluster().state
    snapshot = state.snapshot().replace(b'\xa6format\x02', b'\xa6format\x09')
    with pytest.raises(ValueError, match='format 9'):
        ControlState().restore(snapshot)


def test_errors_of_the_state_have_a_remedy():
    with pytest.raises(KumquatrunError) as caught:
        OperationRegister().find_reply('', Ack())
    assert isinstance(caught.value, InvalidRequestError)
    assert caught.value.remedy
