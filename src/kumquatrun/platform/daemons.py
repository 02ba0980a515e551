"""Runs the gateway daemons on the platform."""

from collections.abc import Callable
from importlib import import_module

from kumquatrun.daemon.lifecycle import Daemon, run_daemon
from kumquatrun.platform.settings import SettingsFile
from kumquatrun.runtime.clock import Clock, LoopClock

Builder = Callable[[SettingsFile, Clock], Daemon]


def builder_of(role: str) -> Builder:
    """Import the modules of one role and return the builder of its daemon.

    Those of the other roles are left out: a start is a large part of what a
    process costs, and callers wait for it after a power loss.
    """
    return import_module(f'kumquatrun.platform.{role}_daemon').build


async def run(builder: Builder) -> None:
    """Build and run a daemon with the platform's settings file."""
    await run_daemon(builder(SettingsFile(), LoopClock()))
