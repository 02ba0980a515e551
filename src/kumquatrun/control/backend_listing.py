"""The platform's list of backend servers, read by the control leader.

Only the leader reads the list, so that the number of calls to the platform does
not depend on the number of hosts. Lease replies carry a changed list to the
entries.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from hashlib import blake2b

from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.clock import Clock

log = logging.getLogger(__name__)

READ_INTERVAL_S = 0.5


class BackendListing:
    """Newest encoded list, with its version and the time of the read.

    Parameters
    ----------
    read
        Returns the encoded list; raises ``KumquatrunError`` if the platform
        does not answer.
    clock
        Source of time.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[bytes]],
        clock: Clock,
    ) -> None:
        self.version = ''
        self.encoded = b''
        self._read = read
        self._clock = clock
        self._read_at_s: float | None = None
        self._is_failing = False

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the last successful read, None before it."""
        return None if self._read_at_s is None else now_s - self._read_at_s

    async def follow(self, is_needed: Callable[[], bool]) -> None:
        """Read the list at intervals while it is needed."""
        while True:
            if is_needed():
                await self.refresh()
            await asyncio.sleep(READ_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once; keeps the previous one on failure."""
        requested_at_s = self._clock.now_s()
        try:
            encoded = await self._read()
        except KumquatrunError as error:
            if not self._is_failing:
                self._is_failing = True
                log.warning('event=listing_lost error=%r', str(error))
            return
        if self._is_failing:
            self._is_failing = False
            log.info('event=listing_regained')
        self._read_at_s = requested_at_s
        if encoded != self.encoded:
            self.encoded = encoded
            self.version = blake2b(encoded, digest_size=8).hexdigest()
            log.info(
                'event=listing_changed version=%s size_bytes=%d',
                self.version,
                len(encoded),
            )
