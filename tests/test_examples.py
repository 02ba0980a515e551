"""Runs the examples the way a new user would."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from bench import demo
from click.testing import CliRunner

from kumquatrun.command_line.cli import main
from kumquatrun.document.document import parse_document

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / 'examples'

# Each script with the lines that it must print, in order.
SCRIPTS = (
    (
        'peer_calls.py',
        (
            'maize: 120 tons',
            'wheat: 0 tons',
            'gold: not_found, outcome not_run',
            'rice: deadline_exceeded, outcome unknown',
            'maize: connection_lost, outcome not_run',
        ),
    ),
    # Lines of the default policy are left out, because they may change with it.
    ('own_placement.py', ('ReservedHost', '  harvest: agent-4 20')),
)


@pytest.mark.processes
@pytest.mark.parametrize(('script', 'lines'), SCRIPTS)
def test_script_output(script, lines, tmp_path):
    # Guards against an example that breaks when the library changes.
    result = subprocess.run(
        [sys.executable, str(EXAMPLES / script)],
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    printed = result.stdout.splitlines()
    assert [line for line in printed if line in lines] == list(lines)
    assert not result.stderr


def test_every_script_is_run():
    names = {path.name for path in EXAMPLES.glob('*.py')}
    assert names == {script for script, _ in SCRIPTS}


def test_document_fits_the_demo():
    path = EXAMPLES / 'document.json'
    result = CliRunner().invoke(main, ['document', 'check', str(path)])
    assert result.exit_code == 0, result.output
    document = parse_document(path.read_bytes())
    assert set(demo.ACCOUNTS) <= {spec.name for spec in document.accounts}
    versions = {spec.name: spec.versions for spec in document.adapters}
    for _, model, adapter, version in demo.COMPLETIONS:
        assert version in versions[adapter]
        # A model without a version uses the last one.
        assert '@' in model or versions[adapter][-1] == version
