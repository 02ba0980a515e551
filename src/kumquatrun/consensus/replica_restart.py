"""Creation of a replica node, at startup and after a failure."""

import asyncio
import random
import uuid
from dataclasses import dataclass

from kumquatrun.consensus.quorum_node import (
    LogNode,
    NodeOptions,
    NodeSettings,
)
from kumquatrun.consensus.state_machine import StateMachine
from kumquatrun.consensus.storage import Storage

# Short enough that a replica restarts within a second after its disk works
# again.
DISK_RETRY_MIN_S = 0.1
DISK_RETRY_MAX_S = 1.0
# The delays start again from their minimum after this time without a failure.
BACKOFF_RESET_S = 30.0
# An error that recurs on each restart must not use many resources of the host.
ERROR_RETRY_MIN_S = 1.0
ERROR_RETRY_MAX_S = 4.0
# Errors caused by wrong settings, not by a disk that temporarily refuses
# writes.
PATH_ERRORS = (
    PermissionError,
    FileNotFoundError,
    FileExistsError,
    NotADirectoryError,
    IsADirectoryError,
)


class NodeFactory:
    """Creates nodes of one replica from its storage.

    Parameters
    ----------
    machine
        Empty state machine; it is reset to the empty state for each node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        machine: StateMachine,
        storage: Storage,
        rng: random.Random,
        options: NodeOptions,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._storage = storage
        self._rng = rng
        self._options = options
        self._empty_state = machine.snapshot()

    def create(self, now_s: float) -> LogNode:
        """Create a node from the stored state.

        Raises
        ------
        OSError
            If the disk refuses reads or writes.
        CorruptLogError
            If the data folder is damaged.
        """
        self._storage.close()
        self._machine.restore(self._empty_state)
        return LogNode(
            self._settings,
            self._machine,
            self._storage,
            self._rng,
            self._options,
            uuid.uuid4().hex,
            now_s,
        )


@dataclass
class RestartPolicy:
    """Backoff for the restarts of a failed replica.

    The restarts never end: otherwise the group would count a member that does
    not work, and the next loss would leave no majority. A disk that refuses
    writes may work again at any time. Any other error, such as a violated
    invariant or a damaged file, is likely to recur, so the delays are longer.
    """

    _disk_delay_s: float = DISK_RETRY_MIN_S
    _error_delay_s: float = ERROR_RETRY_MIN_S
    _failed_at_s: float = float('-inf')

    async def wait(self, error: Exception, now_s: float) -> None:
        """Wait before the restart after ``error``."""
        await asyncio.sleep(self.next_delay_s(error, now_s))

    def next_delay_s(self, error: Exception, now_s: float) -> float:
        """Return the delay of the restart after ``error``."""
        if now_s - self._failed_at_s > BACKOFF_RESET_S:
            self._disk_delay_s = DISK_RETRY_MIN_S
            self._error_delay_s = ERROR_RETRY_MIN_S
        self._failed_at_s = now_s
        if isinstance(error, OSError):
            delay_s = self._disk_delay_s
            self._disk_delay_s = min(2 * delay_s, DISK_RETRY_MAX_S)
        else:
            delay_s = self._error_delay_s
            self._error_delay_s = min(2 * delay_s, ERROR_RETRY_MAX_S)
        return delay_s
