"""Opening the node of a replica, at its start and after it failed."""

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

# Short enough that a replica is back within a second of its disk.
DISK_RETRY_MIN_S = 0.1
DISK_RETRY_MAX_S = 1.0
# Waits grow again from the least one after a replica has run this long.
BACKOFF_RESET_S = 30.0
# An error that comes back with each start must not cost the host much.
ERROR_RETRY_MIN_S = 1.0
ERROR_RETRY_MAX_S = 4.0
# Wrong settings rather than a disk that refuses writes for a while.
PATH_ERRORS = (
    PermissionError,
    FileNotFoundError,
    FileExistsError,
    NotADirectoryError,
    IsADirectoryError,
)


class NodeFactory:
    """Opens the node of one replica from its storage, any number of times.

    Parameters
    ----------
    machine
        Empty state machine; it is emptied again before each open.
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
        """Load the stored state into a new node.

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
    """Says when a failed replica is opened again.

    A replica never gives up: the group would count a member that does nothing,
    and the next loss would leave no majority. A disk that refuses writes may
    work at any moment. Any other error, for example a violated invariant or a
    damaged file, is likely to come back, so it is tried less often.
    """

    _disk_delay_s: float = DISK_RETRY_MIN_S
    _error_delay_s: float = ERROR_RETRY_MIN_S
    _failed_at_s: float = float('-inf')

    async def wait(self, error: Exception, now_s: float) -> None:
        """Wait before the next open after ``error``."""
        await asyncio.sleep(self.next_delay_s(error, now_s))

    def next_delay_s(self, error: Exception, now_s: float) -> float:
        """Return the time to wait after ``error``."""
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
