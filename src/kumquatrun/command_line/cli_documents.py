"""Commands for configuration documents and API keys."""

import secrets
from pathlib import Path
from typing import Any

import click

from kumquatrun.command_line.cli_operator import (
    OperatorContext,
    operator_command,
    option,
)
from kumquatrun.command_line.cli_output import fail, print_result
from kumquatrun.command_line.operator_client import ControlTarget
from kumquatrun.daemon import setting_kinds as kinds
from kumquatrun.document.document import digest_document, parse_document
from kumquatrun.document.document_transfer import pack_content, unpack_content
from kumquatrun.document.keys import hash_key
from kumquatrun.errors import (
    DocumentError,
    KumquatrunError,
    NotTriedError,
    RevisionConflictError,
)
from kumquatrun.peer.wire import MAX_FRAME_BYTES
from kumquatrun.runtime.logs import KEY_PREFIX

KEY_BYTES = 32
KEY_ID_BYTES = 6
FRAME_MARGIN_BYTES = 4096


@click.command('check')
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON object.')
def check_document(file: str, *, as_json: bool) -> None:
    """Check a document offline; nothing is sent."""
    content = Path(file).read_bytes()
    try:
        document = parse_document(content)
    except KumquatrunError as error:
        fail(error, as_json=as_json)
    summary = {
        'digest': digest_document(content),
        'environment': document.environment,
        'accounts': len(document.accounts),
        'services': len(document.services),
        'adapters': len(document.adapters),
        'routes': len(document.routes),
    }
    print_result(summary, as_json=as_json)


def _apply(
    context: OperatorContext,
    content: bytes,
    expected_revision: int,
    target: ControlTarget | None = None,
) -> None:
    arguments = {
        'expected_revision': expected_revision,
        **pack_content(content),
    }
    result = context.call('apply_document', arguments, target=target)
    context.print(result)


def _read_checked(context: OperatorContext, file: str) -> bytes:
    content = Path(file).read_bytes()
    try:
        parse_document(content)
        _check_size(content)
    except KumquatrunError as error:
        context.fail(error)
    return content


def _check_size(content: bytes) -> None:
    # A document is sent in one frame of the peer protocol.
    limit = MAX_FRAME_BYTES - FRAME_MARGIN_BYTES
    for sent in pack_content(content).values():
        if len(sent) > limit:
            raise DocumentError(
                f'the encoded document has {len(sent)} bytes; the '
                f'limit is {limit}',
            )


def _apply_document(
    context: OperatorContext,
    file: str,
    expected_revision: int,
) -> None:
    _apply(context, _read_checked(context, file), expected_revision)


def _try_document(
    context: OperatorContext,
    file: str,
    expected_revision: int | None,
    **trial: Any,
) -> None:
    target = _trial_target(context, trial)
    content = _read_checked(context, file)
    if expected_revision is None:
        current = context.call('get_document', {}, target=target)
        expected_revision = int(current['revision'])
    _apply(context, content, expected_revision, target)


def _promote_document(
    context: OperatorContext,
    file: str,
    expected_revision: int | None,
    **trial: Any,
) -> None:
    content = _read_checked(context, file)
    target = _trial_target(context, trial)
    tried = context.call('get_document', {}, target=target)
    tried_digest = digest_document(unpack_content(tried))
    digest = digest_document(content)
    if digest != tried_digest:
        context.fail(
            NotTriedError(
                f'{file} has digest {digest}; trial has {tried_digest} in '
                f'force at revision {tried.get("revision")}',
            ),
        )
    if expected_revision is None:
        current = context.call('get_document', {})
        expected_revision = int(current['revision'])
    _apply(context, content, expected_revision)


def _show_document(context: OperatorContext) -> None:
    result = context.call('get_document', {})
    content = unpack_content(result)
    if context.as_json:
        shown = {
            'revision': result['revision'],
            'digest': result['digest'],
            'content': content,
        }
        print_result(shown, as_json=True)
        return
    # Only the content goes to standard output, so that it can be redirected to
    # a file byte for byte.
    click.echo(
        f'revision: {result["revision"]}\ndigest: {result["digest"]}',
        err=True,
    )
    click.echo(content, nl=False)


def _issue_key(context: OperatorContext, account: str) -> None:
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    key_id = f'key-{secrets.token_hex(KEY_ID_BYTES)}'
    hint = (
        f'If {key_id} is in "key list", revoke it: its text was not printed. '
        'Then issue a new key.'
    )
    arguments = {
        'key_id': key_id,
        'key_hash': hash_key(key),
        'account': account,
    }
    result = context.call('issue_key', arguments, hint=hint)
    recorded = result.get('key_id', key_id)
    if recorded != key_id:
        context.fail(
            RevisionConflictError(
                f'operation {context.operation_id} issued {recorded} before; '
                'its text cannot be printed again. Revoke it and issue a new '
                'key without --operation-id',
            ),
        )
    context.print({'key_id': key_id, 'account': account, 'key': key})


def _trial_target(
    context: OperatorContext,
    trial: dict[str, Any],
) -> ControlTarget:
    production = context.target
    return ControlTarget(
        addresses=trial['trial_control'],
        cluster_token=trial['trial_cluster_token'] or production.cluster_token,
        operator_token=trial['trial_operator_token']
        or production.operator_token,
        operator=production.operator,
        timeout_s=production.timeout_s,
    )


_FILE_ARGUMENT = click.Argument(
    ['file'], type=click.Path(exists=True, dir_okay=False)
)


def _revision_option(*, required: bool) -> click.Option:
    return option(
        '--expected-revision',
        type=kinds.NumberKind(int, 0, 2**53, 'revisions'),
        required=required,
        allow_from_autoenv=False,
        help='Revision that the change is based on; the current one by default.'
        if not required
        else 'Revision that the change is based on.',
    )


_TRIAL_OPTIONS = (
    option(
        '--trial-control',
        type=kinds.ADDRESSES,
        required=True,
        help='Addresses of the control replicas of the trial environment.',
    ),
    option(
        '--trial-cluster-token',
        type=kinds.TOKEN,
        default='',
        help='The cluster token by default.',
    ),
    option(
        '--trial-operator-token',
        type=kinds.TOKEN,
        default='',
        help='The operator token by default.',
    ),
)


def document_commands() -> list[click.Command]:
    """Return the commands of the group ``document``."""
    optional = _revision_option(required=False)
    return [
        check_document,
        operator_command(
            'apply',
            _apply_document,
            'Put a document in force.',
            (_FILE_ARGUMENT, _revision_option(required=True)),
        ),
        operator_command(
            'try',
            _try_document,
            'Put a document in force in the trial environment.',
            (_FILE_ARGUMENT, optional, *_TRIAL_OPTIONS),
        ),
        operator_command(
            'promote',
            _promote_document,
            'Put a document in force that trial has in force.',
            (_FILE_ARGUMENT, optional, *_TRIAL_OPTIONS),
        ),
        operator_command('show', _show_document, 'Print the document.'),
    ]


def key_commands() -> list[click.Command]:
    """Return the ``key`` commands that are not in ``SIMPLE_ACTIONS``."""
    account = click.Argument(['account'], type=kinds.NAME)
    return [
        operator_command(
            'issue',
            _issue_key,
            'Issue an API key and print it once.',
            (account,),
        ),
    ]
