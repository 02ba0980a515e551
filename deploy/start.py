"""Starts a daemon from the source tree, without an installed package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from kumquatrun.command_line.cli import main

main()
