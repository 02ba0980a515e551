"""Tests of errors: a code from another process restores the same class."""

import importlib
import pkgutil

import pytest

import kumquatrun
from kumquatrun import errors
from kumquatrun.errors import Outcome, error_from_code, error_kinds
from kumquatrun.peer import error_to_reply, reply_to_error

for module in pkgutil.walk_packages(kumquatrun.__path__, 'kumquatrun.'):
    if module.name != 'kumquatrun.__main__':
        importlib.import_module(module.name)


@pytest.mark.parametrize('code', sorted(error_kinds()))
def test_code_maps_to_one_class(code):
    # Guards against a class in another module that has the same code: an entry
    # then took a stream that an agent ended early for a caller that had
    # disconnected, and sent no error event.
    error_class = error_kinds()[code]
    assert error_class.__module__.startswith(f'{errors.__name__}.')
    error = error_class('detail', outcome=Outcome.RAN, retry_after_s=2)
    rebuilt = reply_to_error(error_to_reply(error))
    assert type(rebuilt) is error_class
    assert vars(rebuilt) == vars(error)
    assert error_class.kind.remedy in str(rebuilt)


def test_unknown_code_is_internal_error():
    error = error_from_code('from_the_future', 'detail', outcome=Outcome.RAN)
    assert error.code == 'internal_error'
    assert error.outcome is Outcome.RAN
