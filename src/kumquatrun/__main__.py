"""Run the command line with ``python -m kumquatrun``."""

from kumquatrun.command_line.cli import main

main(prog_name='kumquatrun')
