"""Direction of imports between the packages of the library."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / 'src' / 'kumquatrun'
# Each package may import those before it.
LAYERS = (
    'errors',
    'runtime',
    'peer',
    'document',
    'daemon',
    'consensus',
    'control',
    'membership',
    'agent',
    'entry',
    'gateway',
    'platform',
    'command_line',
)
# Packages that stand beside each other although one is listed first.
INDEPENDENT = {('entry', 'agent')}


def imported_packages(path):
    """Return the packages of the library that a module imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or '']
            names += [f'{node.module}.{alias.name}' for alias in node.names]
        else:
            continue
        for name in names:
            parts = name.split('.')
            if parts[0] == 'kumquatrun' and len(parts) > 1:
                yield parts[1]


@pytest.mark.parametrize('package', LAYERS)
def test_packages_import_only_lower_ones(package):
    # Guards against import cycles between packages.
    allowed = LAYERS[: LAYERS.index(package) + 1]
    for path in (PACKAGE / package).rglob('*.py'):
        for imported in imported_packages(path):
            if imported not in LAYERS:
                continue
            assert imported in allowed, (path.name, imported)
            assert (package, imported) not in INDEPENDENT, path.name


def test_every_package_is_in_a_layer():
    found = {path.parent.name for path in PACKAGE.glob('*/__init__.py')}
    modules = {path.stem for path in PACKAGE.glob('*.py')}
    assert found == set(LAYERS)
    assert modules == {'__init__', '__main__'}
