"""The configuration in force on a host, as the membership brings it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from kumquatrun.errors import DocumentError
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.wire_format import WireFormat
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Reading a configuration of 3,000 routes blocks the loop for some 70 ms. A
# series of changes may take this part of a host's time, and what comes in
# between is skipped.
MAX_READING_FRACTION = 0.2


class ConfigurationSource(Protocol):
    """A node's copy of the shared state."""

    @property
    def configuration(self) -> tuple[int, bytes]:
        """Return version and content, a version of 0 before the first."""
        ...


class ConfigurationFollower:
    """Reads the newest configuration, and puts it in force.

    Parameters
    ----------
    view
        Where the configuration arrives.
    wire
        Reads it.
    clock
        Source of time.
    on_change
        Called after a configuration was put in force.
    """

    def __init__(
        self,
        view: ConfigurationSource,
        wire: WireFormat,
        clock: Clock,
        on_change: Callable[[Configuration], None] | None = None,
    ) -> None:
        self.configuration: Configuration | None = None
        self._view = view
        self._wire = wire
        self._clock = clock
        self._on_change = on_change
        self._seen_version = 0
        self._next_read_at_s = float('-inf')
        self._timer: asyncio.TimerHandle | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def follow(self) -> None:
        """Read what has arrived, now or after a pause."""
        version, content = self._view.configuration
        if version <= self._seen_version or self._timer is not None:
            return
        pause_s = self._next_read_at_s - self._clock.now_s()
        if pause_s > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._read_after_pause)
            return
        self._seen_version = version
        began_s = self._clock.now_s()
        self._read(version, content)
        ended_s = self._clock.now_s()
        reading_s = ended_s - began_s
        self._next_read_at_s = ended_s + reading_s * (
            1 / MAX_READING_FRACTION - 1
        )

    def close(self) -> None:
        """Read nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def _read_after_pause(self) -> None:
        self._timer = None
        self.follow()

    def _read(self, version: int, content: bytes) -> None:
        try:
            configuration = self._wire.read_configuration(content)
        except DocumentError as error:
            log_event(
                log,
                'configuration_unreadable',
                level=logging.ERROR,
                version=version,
                error=str(error),
            )
            return
        self.configuration = configuration
        if self._on_change is not None:
            self._on_change(configuration)
        log_event(
            log,
            'configuration_in_force',
            version=version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
