"""Run the command line with ``python -m kumquatrun``."""

from kumquatrun.cli import main

main(prog_name='kumquatrun')
