"""What a daemon of the platform imports when it starts."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

import kumquatrun

ROOT = Path(__file__).parents[1]
# Parts that a role does not use. Each start of an entry took 0.85 s of
# processor time when it imported them, and a power loss waits for all starts.
UNUSED = {
    'entry': ('consensus', 'document.document', 'entry.openai_api'),
    'agent': ('consensus', 'document.document', 'entry', 'gateway.forwarding'),
    'control': ('gateway.forwarding', 'gateway.engine', 'entry', 'agent'),
}
PRINT_MODULES = (
    'import sys; from kumquatrun.platform import daemons;'
    "daemons.builder_of(sys.argv[1]); print(' '.join(sys.modules))"
)


@pytest.mark.parametrize('role', UNUSED)
def test_start_leaves_out_the_parts_of_other_roles(role):
    # Guards against imports that make each start slower and each process larger.
    run = subprocess.run(
        [sys.executable, '-c', PRINT_MODULES, role],
        capture_output=True,
        check=True,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        text=True,
    )
    unused = tuple(f'kumquatrun.{name}' for name in UNUSED[role])
    imported = [
        name
        for name in run.stdout.split()
        if name in unused or name.startswith(tuple(f'{row}.' for row in unused))
    ]
    assert imported == []
    # Control keeps the documents of the loopback product, which need it.
    assert role == 'control' or 'pydantic' not in run.stdout.split()


def test_public_names_are_imported_on_first_use():
    for name in kumquatrun.__all__:
        assert getattr(kumquatrun, name) is not None
    with pytest.raises(AttributeError, match='no attribute'):
        kumquatrun.missing_name
