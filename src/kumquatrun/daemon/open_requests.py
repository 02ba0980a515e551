"""Counter of the open requests that a drain waits for."""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager

log = logging.getLogger(__name__)


class OpenRequests:
    """Counts open requests and waits until there are none."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of requests that have not ended."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request while the context lasts."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    async def wait_completed(self, timeout_s: float) -> None:
        """Wait until no request is open.

        Logs ``stop_incomplete`` after each ``timeout_s`` and continues to
        wait.
        """
        while self._count:
            self._idle.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._idle.wait()
            except TimeoutError:
                log.warning(
                    'event=stop_incomplete open_requests=%d',
                    self._count,
                )
