"""Starts a daemon from the source tree, without an installed package."""

import gc
import sys
from pathlib import Path


def main() -> None:
    """Run the command that starts one daemon."""
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))
    # What is imported lives as long as the process; looking for garbage in it
    # takes a tenth of the time of a start. The command enables this again.
    gc.disable()
    from kumquatrun.command_line.cli_platform import platform_command

    platform_command(prog_name='kumquatrun platform')


main()
