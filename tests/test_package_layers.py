"""Direction of imports between the packages of the library."""

from pathlib import Path

from importlinter.cli import lint_imports

ROOT = Path(__file__).parents[1]


def test_packages_import_only_lower_ones(monkeypatch):
    # Guards against import cycles between packages, and against a package
    # that pyproject.toml gives no layer.
    monkeypatch.chdir(ROOT)
    code = lint_imports(
        config_filename=str(ROOT / 'pyproject.toml'),
        cache_dir=None,
        no_cache=True,
    )
    assert code == 0
