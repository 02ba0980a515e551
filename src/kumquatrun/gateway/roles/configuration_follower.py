"""Keeps the active configuration of a host up to date."""

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

# Parsing a configuration of 3,000 routes blocks the event loop for some 70 ms.
# A series of changes may take at most this fraction of a host's time; versions
# that are superseded in the meantime are skipped.
MAX_READING_FRACTION = 0.2
# A reading may take far longer than its work, for example if the host stands
# still meanwhile. The newest configuration waits no longer than this.
MAX_PAUSE_S = 1.0


class ConfigurationSource(Protocol):
    """The copy of the replicated state on this host."""

    @property
    def configuration(self) -> tuple[int, bytes]:
        """Return version and content; the version is 0 if there is none."""
        ...


class ConfigurationFollower:
    """Parses the newest configuration and makes it the active one.

    Parameters
    ----------
    view
        Replicated state that contains the configuration.
    wire
        Parses the configuration.
    clock
        Source of time.
    on_change
        Called with each configuration that has become active.
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
        """Return the active version, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def follow(self) -> None:
        """Parse the newest configuration, at once or after a pause."""
        version, content = self._view.configuration
        if version <= self._seen_version or self._timer is not None:
            return
        pause_s = self._next_read_at_s - self._clock.now_s()
        if pause_s > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._read_after_pause)
            log_event(
                log,
                'configuration_delayed',
                version=version,
                in_force=self.version,
                pause_ms=round(1000 * pause_s),
            )
            return
        self._seen_version = version
        began_s = self._clock.now_s()
        self._read(version, content)
        ended_s = self._clock.now_s()
        self._next_read_at_s = ended_s + _pause_after(ended_s - began_s)

    def close(self) -> None:
        """Cancel a pending read."""
        if self._timer is not None:
            self._timer.cancel()

    def _read_after_pause(self) -> None:
        self._timer = None
        self.follow()

    def _read(self, version: int, content: bytes) -> None:
        began_s = self._clock.now_s()
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
            read_ms=round(1000 * (self._clock.now_s() - began_s)),
        )


def _pause_after(reading_s: float) -> float:
    """Return the pause in seconds after a reading."""
    return min(MAX_PAUSE_S, reading_s * (1 / MAX_READING_FRACTION - 1))
