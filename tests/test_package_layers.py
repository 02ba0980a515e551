"""Test of the direction of imports between the packages."""

import logging
from pathlib import Path

import pytest
from importlinter.cli import lint_imports

ROOT = Path(__file__).parents[1]


@pytest.fixture
def kept_loggers():
    """Enable the loggers again that import-linter disables."""
    loggers = [
        logger
        for logger in logging.root.manager.loggerDict.values()
        if isinstance(logger, logging.Logger) and not logger.disabled
    ]
    yield
    for logger in loggers:
        logger.disabled = False


def test_packages_import_only_lower_ones(monkeypatch, kept_loggers):
    # Guards against import cycles between packages, and against a package that
    # has no layer in pyproject.toml.
    monkeypatch.chdir(ROOT)
    code = lint_imports(
        config_filename=str(ROOT / 'pyproject.toml'),
        cache_dir=None,
        no_cache=True,
    )
    assert code == 0
