"""Reference pages list exactly what the code defines."""

import re
from pathlib import Path

import click
import pytest

from kumquatrun.command_line.cli import main
from kumquatrun.command_line.cli_output import ExitCode, exit_code_of
from kumquatrun.daemon.setting_table import ALL_DAEMONS, SETTINGS
from kumquatrun.errors import error_kinds
from kumquatrun.runtime.metrics import METRICS
from kumquatrun.runtime.statechart import load_chart

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / 'docs'


def page(name):
    return (DOCS / name).read_text(encoding='utf-8')


def default_text(row):
    if row.required:
        return 'required'
    return 'not set' if row.default is None else f'`{row.default}`'


def setting_rows():
    for row in SETTINGS:
        used = 'all' if row.daemons == ALL_DAEMONS else ', '.join(row.daemons)
        yield (
            f'| `{row.flag}` | `{row.env_name}` | {used} '
            f'| {default_text(row)} | {row.text} |'
        )


def metric_rows():
    for metric in METRICS:
        kind = metric.kind.__name__.lower()
        labels = ', '.join(metric.labels) or 'none'
        yield (
            f'| `kumquatrun_{metric.name}` | {kind} | {labels} '
            f'| {metric.text} |'
        )


def error_rows():
    for code, error_class in error_kinds().items():
        kind = error_class.kind
        exit_code = int(exit_code_of(error_class('x')))
        text = error_class.__doc__.splitlines()[0]
        yield (
            f'| `{code}` | {kind.http_status} | `{kind.outcome}` '
            f'| {exit_code} | {text} | {kind.remedy} |'
        )


def commands(group=main, path=()):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands(command, (*path, name))
        else:
            yield ' '.join((*path, name)), command


PAGES = (
    ('settings.md', setting_rows, r'^\| `--'),
    ('metrics-and-logs.md', metric_rows, r'^\| `kumquatrun_\w+` \|'),
    ('errors.md', error_rows, r'^\| `\w+` \| \d+ \|'),
)


@pytest.mark.parametrize(('name', 'rows', 'pattern'), PAGES)
def test_table_matches_the_code(name, rows, pattern):
    found = [
        line for line in page(name).splitlines() if re.match(pattern, line)
    ]
    # Sets are compared first, because their difference names the wrong rows.
    assert set(found) == set(rows())
    assert len(found) == len(list(rows()))


@pytest.mark.parametrize(('path', 'command'), list(commands()))
def test_every_command_and_option_is_listed(path, command):
    text = page('commands.md')
    assert f'`kumquatrun {path}' in text
    if path not in ALL_DAEMONS:
        for parameter in command.params:
            assert parameter.name != 'help'
            for flag in parameter.opts if parameter.opts[0][0] == '-' else ():
                assert flag in text, flag
            if isinstance(parameter, click.Option) and parameter.envvar:
                assert parameter.envvar in text, parameter.envvar


def test_no_unknown_command_or_variable():
    known = {path for path, _ in commands()}
    variables = {row.env_name for row in SETTINGS}
    variables |= {
        str(option.envvar)
        for _, command in commands()
        for option in command.params
    }
    for path in [*DOCS.glob('*.md'), ROOT / 'README.md']:
        text = path.read_text(encoding='utf-8')
        for words in re.findall(r'`?kumquatrun ((?:[a-z]+ ?)+)', text):
            parts = words.split()
            if path.name == 'design.md' or parts[0] in {'and'}:
                continue
            assert {' '.join(parts[:2]), parts[0]} & known, (path.name, words)
        if path.name != 'design.md':
            used = set(re.findall(r'KUMQUATRUN_[A-Z_]+[A-Z]', text))
            assert used <= variables, path.name


def test_exit_codes_are_listed():
    found = re.findall(r'^\| (\d) \| `(\w+)` \|', page('commands.md'), re.M)
    assert found == [(str(int(code)), code.name) for code in ExitCode]


def test_every_event_is_listed():
    # Guards against log lines that an operator cannot look up.
    source = ''.join(
        path.read_text(encoding='utf-8')
        for path in (ROOT / 'src' / 'kumquatrun').rglob('*.py')
    )
    events = set(re.findall(r"'event=([a-z_]+)", source))
    events |= set(re.findall(r"log_event\(\s*log,\s*'([a-z_]+)'", source))
    events |= set(re.findall(r'event=(log_[a-z_]+) count', source))
    events |= set(re.findall(r"_unavailable\(\s*'([a-z_]+)'", source))
    events |= {f'daemon_{state}' for state in load_chart('daemon').states}
    # The initial state of the chart is never logged.
    events.discard(f'daemon_{load_chart("daemon").initial}')
    text = page('metrics-and-logs.md').partition('### Events')[2]
    listed = re.findall(r'^\| `([a-z_]+)` \|', text, re.M)
    assert set(listed) == events
    assert len(listed) == len(events)


def test_links_resolve():
    for path in [*DOCS.glob('*.md'), ROOT / 'README.md']:
        for target in re.findall(r'\]\(([^)#]+)\)', path.read_text()):
            assert (path.parent / target).exists(), (path.name, target)


PLATFORM_NAMES = re.compile(
    'X-Kumquatrun|Config\\.Put|model_load|/instances|api_keys|/version-put',
)


def test_platform_names_stay_in_platform_folder():
    # Guards against names of the users' platform outside its adapter.
    package = ROOT / 'src' / 'kumquatrun'
    for path in package.rglob('*.py'):
        if 'platform' in path.relative_to(package).parts[:-1]:
            continue
        assert not PLATFORM_NAMES.search(path.read_text()), path


def test_platform_folder_imports():
    package = ROOT / 'src' / 'kumquatrun'
    for path in package.rglob('*.py'):
        if 'platform' in path.relative_to(package).parts[:-1]:
            continue
        if path.name != 'cli_platform.py':
            text = path.read_text()
            assert not re.search(r'(from|import) kumquatrun.platform', text)
