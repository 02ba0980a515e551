"""``kumquatrun explain``: one request over the logs of several processes."""

import pytest
from click.testing import CliRunner

from kumquatrun.command_line.cli import main

ENTRY = (
    'time=2026-06-11T18:04:28.100+00:00 event=attempt_failed request_id=ab1 '
    'backend=i-1 result=broken\n'
    'time=2026-06-11T18:04:28.300+00:00 event=request_finished '
    'request_id=ab1 status=502\n'
    'time=2026-06-11T18:04:28.200+00:00 event=request_finished '
    'request_id=ab12 status=200\n'
)
AGENT = (
    '   5.2 side-1 time=2026-06-11T18:04:28.000+00:00 event=adapter_provided '
    'request_id=ab1 adapter=a1\n'
)


def explain(*arguments, stdin=None):
    return CliRunner().invoke(main, ['explain', *arguments], input=stdin)


def test_lines_are_sorted_by_time(tmp_path):
    (tmp_path / 'entry').write_text(ENTRY)
    (tmp_path / 'agent').write_text(AGENT)
    result = explain('ab1', str(tmp_path / 'entry'), str(tmp_path / 'agent'))
    assert result.exit_code == 0
    events = [
        line.partition('event=')[2].split()[0]
        for line in result.stdout.splitlines()
    ]
    assert events == ['adapter_provided', 'attempt_failed', 'request_finished']


def test_standard_input_is_read():
    assert 'status=502' in explain('ab1', stdin=ENTRY).stdout


@pytest.mark.parametrize(
    ('request_id', 'log', 'problem'),
    [
        ('zz', ENTRY, 'no line names the request'),
        ('ab1', AGENT, 'no line reports the end'),
    ],
)
def test_missing_lines_are_reported(request_id, log, problem):
    assert problem in explain(request_id, stdin=log).stderr
