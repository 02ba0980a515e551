"""Operator commands: calls, exit codes, resends and JSON output."""

import json

import pytest
from click.testing import CliRunner
from tests.fake_control import (
    CLUSTER_TOKEN,
    INTERNAL,
    OPERATOR_TOKEN,
    UNREACHABLE,
    FakeControl,
    running,
)

from kumquatrun.command_line import cli_documents
from kumquatrun.command_line.cli import main
from kumquatrun.command_line.cli_output import ExitCode
from kumquatrun.document.keys import hash_key
from kumquatrun.errors import (
    InvalidKeyError,
    NotFoundError,
    Outcome,
    error_from_code,
    error_kinds,
)
from kumquatrun.peer.wire import MAX_FRAME_BYTES

CONTENT = b'{"environment": "demo"}\n'


@pytest.fixture
def control():
    with running(FakeControl()) as fake:
        yield fake


@pytest.fixture
def trial():
    with running(FakeControl()) as fake:
        yield fake


@pytest.fixture
def document(tmp_path):
    path = tmp_path / 'document.json'
    path.write_bytes(CONTENT)
    return str(path)


@pytest.fixture
def invoke(control):
    def run(*arguments, **environment):
        variables = {
            'KUMQUATRUN_CONTROL_ADDRESSES': str(control.address),
            'KUMQUATRUN_CLUSTER_TOKEN': CLUSTER_TOKEN,
            'KUMQUATRUN_OPERATOR_TOKEN': OPERATOR_TOKEN,
            'KUMQUATRUN_OPERATOR': 'ada',
            'KUMQUATRUN_TIMEOUT_S': '1.5',
            **environment,
        }
        result = CliRunner(env=variables).invoke(main, list(arguments))
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return result

    return run


SIMPLE = (
    (('status',), 'get_status', {}, 'leader: control-1'),
    (('status',), 'get_status', {}, 'name  rate'),
    (('hosts',), 'list_hosts', {}, 'host_id  draining  loaded_on'),
    (
        ('adapters', '--after', 'harvest', '--limit', '2'),
        'list_adapters',
        {'after': 'harvest', 'limit': 2},
        'adapters: none',
    ),
    (
        ('adapters',),
        'list_adapters',
        {'after': '', 'limit': 100},
        'adapters: none',
    ),
    (
        ('audit', '--after', '7', '--limit', '20'),
        'list_audit',
        {'after': 7, 'limit': 20},
        'number  operator',
    ),
    (
        ('unblock', 'part:5c'),
        'unblock',
        {'fingerprint': 'part:5c'},
        'former_state: blocked',
    ),
    (('drain', 'e1'), 'drain_host', {'host_id': 'e1'}, 'draining: yes'),
    (
        ('evacuation', 'start', 'a1'),
        'start_evacuation',
        {'failure_domain': 'a1'},
        'is_evacuated: yes',
    ),
    (
        ('evacuation', 'finish', 'a1'),
        'finish_evacuation',
        {'failure_domain': 'a1'},
        'is_evacuated: no',
    ),
    (
        ('replica', 'add', 'd', '10.0.0.4:7400', 'disk-4'),
        'add_replica',
        {'replica_id': 'd', 'address': '10.0.0.4:7400', 'disk_id': 'disk-4'},
        'done',
    ),
    (
        ('replica', 'remove', 'd'),
        'remove_replica',
        {'replica_id': 'd'},
        'done',
    ),
    (('replica', 'list'), 'list_replicas', {}, 'replica_id  voter'),
    (('key', 'list'), 'list_keys', {}, 'keys: none'),
)


@pytest.mark.parametrize(('command', 'action', 'arguments', 'text'), SIMPLE)
def test_simple_commands(invoke, control, command, action, arguments, text):
    result = invoke(*command)
    assert result.exit_code == 0, result.output
    assert text in result.output
    call = control.calls[0]
    assert (call.action, call.arguments) == (action, arguments)
    assert call.operator == 'ada'
    answer = json.loads(invoke(*command, '--json').stdout)
    assert answer['ok'] is True
    assert isinstance(answer['result'], dict)


def test_document_apply_and_show(invoke, control, document):
    applied = invoke('document', 'apply', document, '--expected-revision', '0')
    assert applied.exit_code == 0, applied.output
    shown = invoke('document', 'show')
    # The output is the document byte for byte, so that it can be redirected.
    assert shown.stdout.encode() == control.content == CONTENT
    assert 'revision: 1' in shown.stderr


def test_second_operator_gets_a_conflict(invoke, control, document):
    # Guards against a lost update when two operators start from the same
    # revision.
    arguments = ('document', 'apply', document, '--expected-revision', '0')
    assert invoke(*arguments).exit_code == ExitCode.DONE
    result = invoke(*arguments, '--json')
    assert result.exit_code == ExitCode.CONFLICT
    answer = json.loads(result.stdout)
    assert answer['error']['code'] == 'revision_conflict'
    assert answer['exit_code'] == ExitCode.CONFLICT
    assert control.revision == 1


def test_repeated_operation_id_is_executed_once(invoke, control, document):
    arguments = ('document', 'apply', document, '--expected-revision', '0')
    for _ in range(2):
        result = invoke(*arguments, '--operation-id', 'op-1')
        assert result.exit_code == 0, result.output
    assert control.executions == ['apply_document']


def test_lost_reply_is_resent_with_the_same_id(invoke, control, document):
    control.lose_replies = 1
    arguments = ('document', 'apply', document, '--expected-revision', '0')
    result = invoke(*arguments)
    assert result.exit_code == 0, result.output
    assert len({call.operation_id for call in control.calls}) == 1
    assert len(control.calls) == 2
    assert control.executions == ['apply_document']


def test_lost_replies_leave_the_outcome_unknown(invoke, control, document):
    control.lose_replies = 99
    arguments = ('document', 'apply', document, '--expected-revision', '0')
    result = invoke(*arguments, '--operation-id', 'op-1')
    # Guards against reporting "not run" for a change that was executed.
    assert result.exit_code == ExitCode.OUTCOME_UNKNOWN
    assert '--operation-id op-1' in result.output
    assert control.revision == 1


DRAIN = ('drain', 'e1')
AFTER_A_LOST_REPLY = (
    (DRAIN, INTERNAL, ExitCode.OUTCOME_UNKNOWN),
    (DRAIN, InvalidKeyError('wrong token'), ExitCode.OUTCOME_UNKNOWN),
    (DRAIN, NotFoundError('no host e1'), ExitCode.REFUSED),
    (
        ('replica', 'remove', 'd'),
        NotFoundError('no replica d'),
        ExitCode.OUTCOME_UNKNOWN,
    ),
)


@pytest.mark.parametrize(('command', 'error', 'code'), AFTER_A_LOST_REPLY)
def test_refusal_of_a_resend(invoke, control, command, error, code):
    # Only the state machine knows that the first attempt had no effect. A check
    # that runs before it must not turn "unknown" into "not run".
    control.lose_replies = 1
    control.error_after_loss = error
    assert invoke(*command).exit_code == code


def test_lost_replies_of_reads_are_unreachable(invoke, control):
    control.lose_replies = 99
    assert invoke('status').exit_code == ExitCode.UNREACHABLE


def test_not_leader_is_followed(invoke, control, trial):
    control.leader = str(trial.address)
    result = invoke('status')
    assert result.exit_code == 0, result.output
    assert len(trial.calls) == 1


def test_temporary_refusals_are_retried(invoke, control):
    control.errors = [UNREACHABLE, UNREACHABLE]
    assert invoke('hosts').exit_code == 0


def test_other_addresses_are_tried(invoke, control):
    addresses = f'127.0.0.1:9,{control.address}'
    result = invoke('status', KUMQUATRUN_CONTROL_ADDRESSES=addresses)
    assert result.exit_code == 0, result.output


FAILURES = (
    (('status',), {'KUMQUATRUN_CONTROL_ADDRESSES': '127.0.0.1:9'}, 5),
    (('drain', 'e1'), {'KUMQUATRUN_CONTROL_ADDRESSES': '127.0.0.1:9'}, 5),
    (('status',), {'KUMQUATRUN_CONTROL_ADDRESSES': 'control:7400'}, 2),
    (('status',), {'KUMQUATRUN_CONTROL_ADDRESSES': ''}, 2),
    (('status',), {'KUMQUATRUN_TIMEOUT_S': 'soon'}, 2),
    (('status',), {'KUMQUATRUN_CLUSTER_TOKEN': 'wrong'}, 3),
    (('status',), {'KUMQUATRUN_OPERATOR_TOKEN': 'wrong'}, 3),
    (('key', 'revoke', 'key-0'), {}, 3),
    (('audit', '--limit', '0'), {}, 2),
    (('document', 'check', '/nonexistent'), {}, 2),
)


@pytest.mark.parametrize(('command', 'environment', 'code'), FAILURES)
def test_failures_have_documented_exit_codes(
    invoke, command, environment, code
):
    result = invoke(*command, **environment)
    assert result.exit_code == code, result.output
    assert result.stderr


def test_every_error_code_has_an_exit_code(invoke, control):
    # An error with outcome "not run" must never exit as "outcome unknown".
    expected = {
        'internal_error': 1,
        'wire_error': 1,
        'corrupt_log': 1,
        'invalid_setting': 2,
        'revision_conflict': 4,
    }
    retried = {
        'connection_lost',
        'control_unreachable',
        'deadline_exceeded',
        'not_leader',
    }
    for code in error_kinds().keys() - retried:
        error = error_from_code(code, 'x', outcome=Outcome.NOT_RUN)
        control.errors = [error]
        result = invoke('drain', 'e1', '--json')
        assert result.exit_code == expected.get(code, 3), code


def test_unknown_outcome_of_a_refusal(invoke, control):
    control.errors = [INTERNAL]
    assert invoke('drain', 'e1').exit_code == ExitCode.OUTCOME_UNKNOWN


def test_document_check_is_offline(invoke, control, document, tmp_path):
    result = invoke('document', 'check', document, '--json')
    assert json.loads(result.stdout)['result']['environment'] == 'demo'
    bad = tmp_path / 'bad.json'
    bad.write_text('no')
    result = invoke('document', 'check', str(bad))
    assert result.exit_code == ExitCode.REFUSED
    assert 'invalid_document' in result.stderr
    apply = ('document', 'apply', str(bad), '--expected-revision', '0')
    assert invoke(*apply).exit_code == ExitCode.REFUSED
    assert not control.calls


def test_document_of_the_design_size(invoke, control, trial, tmp_path):
    # Guards against rejecting a valid document that is larger than a frame when
    # uncompressed. The design page names 130,000 adapters.
    adapters = [
        {
            'name': f'adapter-{number:06}',
            'service': 's',
            'versions': ['1', '2'],
        }
        for number in range(130_000)
    ]
    content = json.dumps(
        {
            'environment': 'demo',
            'services': [{'name': 's', 'kind': 'engine'}],
            'adapters': adapters,
        },
    )
    assert len(content) > MAX_FRAME_BYTES
    path = tmp_path / 'large.json'
    path.write_text(content)
    applied = invoke(
        'document',
        'apply',
        str(path),
        '--expected-revision',
        '0',
        KUMQUATRUN_TIMEOUT_S='10',
    )
    assert applied.exit_code == 0, applied.output[:300]
    assert control.content == content.encode()
    assert invoke('document', 'show').stdout == content


def test_oversized_document_is_refused(invoke, control, document, monkeypatch):
    # Without the size check, the frame is refused after the connection is open
    # and the outcome is unknown.
    limit = cli_documents.FRAME_MARGIN_BYTES + len(CONTENT) - 1
    monkeypatch.setattr(cli_documents, 'MAX_FRAME_BYTES', limit)
    apply = ('document', 'apply', document, '--expected-revision', '0')
    assert invoke(*apply).exit_code == ExitCode.REFUSED
    assert not control.calls


def test_promote_needs_the_tried_document(invoke, control, trial, document):
    promote = (
        'document',
        'promote',
        document,
        '--trial-control',
        str(trial.address),
    )
    trial.content = CONTENT.strip()
    refused = invoke(*promote, '--json')
    # A difference of one byte is enough: production must run what was tried.
    assert refused.exit_code == ExitCode.REFUSED
    assert json.loads(refused.stdout)['error']['code'] == 'not_tried'
    assert control.revision == 0
    tried = invoke('document', 'try', *promote[2:])
    assert tried.exit_code == 0, tried.output
    assert (trial.content, control.revision) == (CONTENT, 0)
    assert invoke(*promote).exit_code == 0
    assert (control.content, control.revision) == (CONTENT, 1)


def test_promote_with_old_revision(invoke, control, trial, document):
    trial.content, control.revision = CONTENT, 5
    result = invoke(
        'document',
        'promote',
        document,
        '--trial-control',
        str(trial.address),
        '--expected-revision',
        '4',
    )
    assert result.exit_code == ExitCode.CONFLICT


def test_issued_key_is_sent_as_hash(invoke, control):
    answer = json.loads(invoke('key', 'issue', 'mill', '--json').stdout)
    issued = answer['result']
    (record,) = control.keys.values()
    assert record['account'] == 'mill'
    assert record['key_hash'] == hash_key(issued['key'])
    assert issued['key'] not in repr(control.calls)
    listed = invoke('key', 'list').output
    assert issued['key_id'] in listed
    assert issued['key'] not in listed
    assert invoke('key', 'revoke', issued['key_id']).exit_code == 0
    assert not control.keys


def test_repeated_key_issue_is_a_conflict(invoke, control):
    # Guards against printing a new key that the cluster does not hold.
    command = ('key', 'issue', 'mill', '--operation-id', 'op-1')
    assert invoke(*command).exit_code == 0
    repeated = invoke(*command)
    assert repeated.exit_code == ExitCode.CONFLICT
    assert 'kq-' not in repeated.output
    assert len(control.keys) == 1


def test_unknown_outcome_of_key_issue(invoke, control):
    control.lose_replies = 99
    result = invoke('key', 'issue', 'mill')
    assert result.exit_code == ExitCode.OUTCOME_UNKNOWN
    assert next(iter(control.keys)) in result.output
    assert 'kq-' not in result.output


def test_refused_key_issue_has_no_hint(invoke, control):
    control.errors = [NotFoundError('no account mill')]
    result = invoke('key', 'issue', 'mill')
    assert result.exit_code == ExitCode.REFUSED
    assert 'key-' not in result.output


def test_operation_id_ignores_environment(invoke, control):
    # A variable that stays set would make later changes return the result of
    # the first one.
    for _ in range(2):
        invoke('drain', 'e1', KUMQUATRUN_OPERATION_ID='op-1')
    assert len({call.operation_id for call in control.calls}) == 2
