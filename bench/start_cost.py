"""Measures what a start of each daemon of the platform costs before it serves.

Prints the processor time and the peak memory of a process that imports what
one role needs, as ``deploy/start.py`` does: the least of several runs.
"""

import os
import subprocess
import sys
from pathlib import Path

import click

ROOT = Path(__file__).parents[1]
ROLES = ('entry', 'agent', 'control')
MEASURE = """
import gc, resource, sys
gc.disable()
from kumquatrun.command_line import cli_platform
from kumquatrun.platform import daemons
daemons.builder_of(sys.argv[1])
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024)
"""
# As in deploy/system.toml: no connection uses TLS.
ENVIRONMENT = {'SSL_CERT_FILE': '/dev/null', 'PYTHONPATH': str(ROOT / 'src')}


def measure(role: str) -> tuple[float, float]:
    """Return processor time in seconds and peak memory in MB of one start."""
    run = subprocess.run(
        [sys.executable, '-c', MEASURE, role],
        capture_output=True,
        check=True,
        env={**os.environ, **ENVIRONMENT},
        text=True,
    )
    cpu_s, memory_mb = map(float, run.stdout.split())
    return cpu_s, memory_mb


@click.command()
@click.option('--runs', default=5, show_default=True)
def main(runs: int) -> None:
    """Print the cost of a start by role."""
    for role in ROLES:
        cpu_s, memory_mb = min(measure(role) for _ in range(runs))
        click.echo(f'{role:8} {cpu_s:.3f} s {memory_mb:.1f} MB')


if __name__ == '__main__':
    main()
