"""Command that checks a routing configuration before it is sent."""

import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, BinaryIO

import click

from kumquatrun.command_line.cli_output import ExitCode, fail, print_json
from kumquatrun.errors import DocumentError
from kumquatrun.gateway.routing.checks import configuration_errors
from kumquatrun.gateway.routing.comparison import (
    Difference,
    compare_configurations,
)
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.review import Finding, review_configuration

Decoder = Callable[[bytes], Configuration]

_OPTIONS: tuple[click.Parameter, ...] = (
    click.Argument(['file'], type=click.File('rb'), default='-'),
    click.Option(
        ['--in-force'],
        type=click.File('rb'),
        help='Compare with this configuration, as any host returns it.',
    ),
    click.Option(
        ['--strict'],
        is_flag=True,
        help='Exit with 3 if there are warnings, too.',
    ),
    click.Option(
        ['--json', 'as_json'], is_flag=True, help='Print one JSON object.'
    ),
)


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of a check; ``differences`` is None without a comparison."""

    version: int
    errors: tuple[str, ...]
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    def exit_code(self, *, is_strict: bool) -> ExitCode:
        """Return the exit code of the command."""
        if self.errors or (is_strict and self.findings):
            return ExitCode.REFUSED
        return ExitCode.DONE


def check(
    configuration: Configuration, in_force: Configuration | None
) -> CheckResult:
    """Check a configuration and compare it with the one in force."""
    errors = list(configuration_errors(configuration))
    differences: tuple[Difference, ...] | None = None
    if in_force is not None:
        differences = tuple(compare_configurations(in_force, configuration))
        if configuration.version <= in_force.version:
            errors.append(
                f'version {configuration.version} is not above version '
                f'{in_force.version}, which is in force'
            )
    return CheckResult(
        version=configuration.version,
        errors=tuple(errors),
        findings=tuple(review_configuration(configuration)),
        differences=differences,
    )


def configuration_check_command(decode: Decoder) -> click.Command:
    """Return the command for configurations that ``decode`` reads.

    Parameters
    ----------
    decode
        Returns a configuration without checking its rules, or raises
        ``DocumentError``.
    """

    def callback(
        file: BinaryIO,
        in_force: BinaryIO | None,
        *,
        strict: bool,
        as_json: bool,
    ) -> None:
        try:
            configuration = decode(file.read())
            former = None if in_force is None else decode(in_force.read())
        except DocumentError as error:
            fail(error, as_json=as_json)
        result = check(configuration, former)
        code = result.exit_code(is_strict=strict)
        if as_json:
            print_json(_json_object(result, code))
        else:
            click.echo('\n'.join(_lines(result)))
        sys.exit(int(code))

    return click.Command(
        'check',
        callback=callback,
        params=list(_OPTIONS),
        help='Check a routing configuration offline; nothing is sent.\n\n'
        'Reads FILE, or standard input.',
    )


def _json_object(result: CheckResult, code: ExitCode) -> dict[str, Any]:
    is_done = code is ExitCode.DONE
    return {'ok': is_done, 'exit_code': int(code), 'result': asdict(result)}


def _lines(result: CheckResult) -> list[str]:
    lines = [f'error: {text}' for text in result.errors]
    lines.extend(
        f'warning: {row.place}: {row.text} ({row.kind})'
        for row in result.findings
    )
    lines.extend(
        f'change: {row.place}: {row.before} -> {row.after}'
        for row in result.differences or ()
    )
    lines.append(
        f'version {result.version}: {len(result.errors)} errors, '
        f'{len(result.findings)} warnings'
    )
    return lines
