"""Walk-throughs of the operations page, run on log lines of a recorded run."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from kumquatrun.command_line.cli import main

TESTS = Path(__file__).parent
LOG = TESTS / 'cases' / 'operations.log'
PAGE = (TESTS.parent / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')

WALKTHROUGHS = {
    '6d8599d9b04a38f0': ('adapter_not_provided', 'no_capacity/no_backend'),
    '7d51036abd9c905a': ('adapter_provided', 'load_wait_ms=1088'),
    '8b2f96b5bd3956c0': ('attempt_failed', 'backend_error/backend_failed'),
}


def explain_output(request_id):
    result = CliRunner().invoke(main, ['explain', request_id, str(LOG)])
    assert result.exit_code == 0, result.output
    return result.stdout


@pytest.mark.parametrize('request_id', WALKTHROUGHS)
def test_explain_prints_lines_of_the_page(request_id):
    # Guards against a page whose steps do not work on real log lines.
    assert f'kumquatrun explain {request_id}' in PAGE
    found = explain_output(request_id)
    for text in (*WALKTHROUGHS[request_id], 'event=request_finished'):
        assert text in found


@pytest.mark.parametrize('request_id', WALKTHROUGHS)
def test_quoted_fields_are_in_the_log(request_id):
    found = explain_output(request_id)
    section = PAGE.partition(f'explain {request_id}')[2].partition('```')[0]
    quoted = re.findall(r'\b(\w+_ms=\d+|sends=\d|runs=\d|status=\d+)', section)
    assert quoted
    for field in quoted:
        assert field in found, field


def test_unanswered_orders_are_logged():
    orders = [
        line
        for line in LOG.read_text().splitlines()
        if line.startswith('side-lahore-shadman-2') and 'no_answer' in line
    ]
    assert len(orders) >= 2


def test_engine_crash_shows_at_several_entries():
    failed = [
        line
        for line in LOG.read_text().splitlines()
        if 'event=attempt_failed' in line and 'i-6f6ec06710' in line
    ]
    assert len(failed) == 9
    assert len({line.split('/')[0].split()[0] for line in failed}) == 5
