"""Id of the process that an engine runs at present."""

from collections.abc import Callable

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.engine.engine_api import ControllableEngine
from kumquatrun.runtime.clock import Clock

# Interval between attempts to read an id; it doubles up to the maximum, since
# some engines do not name their id at all.
FIRST_RETRY_S = 1.0
MAX_RETRY_S = 30.0


class EngineIdentity:
    """Reads the id of each process of one engine.

    Parameters
    ----------
    engine
        The engine.
    check_path
        Returns the path of the health check; empty before it is known.
    clock
        Source of time.
    """

    def __init__(
        self,
        engine: ControllableEngine,
        check_path: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._engine = engine
        self._check_path = check_path
        self._clock = clock
        # Process for which the id was read or is to be read, by start time.
        self._started_ms: int | None = None
        self._process_id = ''
        self._next_read_at_s = float('-inf')
        self._retry_s = FIRST_RETRY_S

    def id_of(self, started_ms: int) -> str:
        """Return the id of the process with this start time, or ``''``."""
        return self._process_id if started_ms == self._started_ms else ''

    def is_due(self, started_ms: int) -> bool:
        """Return whether to read the id of the process that runs now."""
        if started_ms != self._started_ms:
            self._started_ms = started_ms
            self._process_id = ''
            self._next_read_at_s = float('-inf')
            self._retry_s = FIRST_RETRY_S
        is_unknown = not self._process_id and bool(self._check_path())
        return is_unknown and self._clock.now_s() >= self._next_read_at_s

    async def read(self) -> str:
        """Return the id of the process that responds, or ``''``."""
        self._next_read_at_s = self._clock.now_s() + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        try:
            return await self._engine.identify(self._check_path())
        except KumquatrunError:
            return ''

    def record(self, started_ms: int, process_id: str) -> None:
        """Record the id of the process with this start time."""
        if started_ms == self._started_ms:
            self._process_id = process_id

    def forget(self) -> None:
        """Forget an id that the engine says is not its own."""
        self._process_id = ''
