"""Change listeners, isolated from each other's errors."""

import logging
from collections.abc import Callable

from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)


class Listeners:
    """Calls listeners in the order in which they were added.

    An exception in a listener is logged; it affects neither the other listeners
    nor the task that reports the change.
    """

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []

    def add(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change from now on."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            try:
                listener()
            except Exception as error:
                log_event(
                    log,
                    'listener_failed',
                    level=logging.ERROR,
                    listener=getattr(listener, '__qualname__', listener),
                    error=error,
                    exc_info=True,
                )
