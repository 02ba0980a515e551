"""Accounts for what clients make a process hold, and relieves the process.

Answers the load of clients that ignore all limits: requests ahead, bodies on
many connections, answers that nobody reads.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

MIB = 1024 * 1024
DEFAULT_MEMORY_BYTES = 256 * MIB
DEFAULT_DESCRIPTORS = 4096
# What a process needs without any client.
PROCESS_BYTES = 64 * MIB
# While a body is joined, sent and buffered, it takes up to this many times its
# size.
COPIES_PER_BYTE = 4
# Two of the largest bodies.
MIN_HELD_BYTES = 8 * MIB
MAX_CONNECTIONS = 3000
# Descriptors for files, and for connections to backend servers and hosts.
FILE_DESCRIPTORS = 200
MAX_KEPT_DESCRIPTORS = 800
MAX_ACCEPT_BATCH = 1024
# Connections over the limit that are accepted, so that their first requests
# get a typed error.
MAX_EXCESS_CONNECTIONS = 100
# Relief goes on until this share of the limit is held.
RELIEVED_SHARE = 0.875


@dataclass(frozen=True)
class ClientLimits:
    """What all clients of a process together may make it hold.

    ``accept_batch`` is the number of connections that the event loop accepts
    at once, before any of them is counted.
    """

    held_bytes: int
    connections: int
    accept_batch: int = 100


def client_limits(
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
    descriptors: int = DEFAULT_DESCRIPTORS,
) -> ClientLimits:
    """Return the limits that follow from the limits of the process."""
    held_bytes = (memory_bytes - PROCESS_BYTES) // COPIES_PER_BYTE
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    kept = min(MAX_KEPT_DESCRIPTORS, sockets // 2)
    connections = sockets - kept - MAX_EXCESS_CONNECTIONS
    return ClientLimits(
        held_bytes=max(MIN_HELD_BYTES, held_bytes),
        connections=max(1, min(MAX_CONNECTIONS, connections)),
        accept_batch=max(1, min(MAX_ACCEPT_BATCH, kept)),
    )


class Holder(Protocol):
    """A connection for whose client the process holds bytes.

    Attributes
    ----------
    client
        Address of the client.
    held_bytes
        Bytes that the process holds for the connection.
    """

    client: str
    held_bytes: int

    def release(self) -> str:
        """Release bytes; return what was done, or '' if nothing could be."""
        ...


def heaviest_first(holders: Iterable[Holder]) -> Iterator[Holder]:
    """Yield the connections of the heaviest client first, largest first."""
    holding = [holder for holder in holders if holder.held_bytes]
    by_client: Counter[str] = Counter()
    for holder in holding:
        by_client[holder.client] += holder.held_bytes

    def weight(holder: Holder) -> tuple[int, int]:
        return by_client[holder.client], holder.held_bytes

    yield from sorted(holding, key=weight, reverse=True)


class ClientMemory:
    """Sums what the connections of a process hold, up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self._holders: set[Holder] = set()

    def add(self, holder: Holder) -> None:
        """Account for a connection from now on."""
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Account no longer for a connection that was closed."""
        self._holders.discard(holder)
        self.change(holder, -holder.held_bytes)

    def change(self, holder: Holder, size_bytes: int) -> None:
        """Record that ``size_bytes`` more, or fewer, are held."""
        holder.held_bytes += size_bytes
        self.held_bytes += size_bytes
        if self.held_bytes > self.limit_bytes and size_bytes > 0:
            self._relieve()

    def _relieve(self) -> None:
        """Release connections of the heaviest clients.

        Some release their bytes a little later, when their handlers end.
        """
        target_bytes = self.limit_bytes * RELIEVED_SHARE
        expected_bytes = self.held_bytes
        for holder in heaviest_first(self._holders):
            if expected_bytes <= target_bytes:
                return
            held_bytes = holder.held_bytes
            action = holder.release()
            if action:
                expected_bytes -= held_bytes
                self._report(holder, held_bytes, action)

    def _report(self, holder: Holder, held_bytes: int, action: str) -> None:
        process_metrics().count('client_releases_total', action=action)
        log_event(
            log,
            'client_released',
            level=logging.WARNING,
            client=holder.client,
            action=action,
            connection_bytes=held_bytes,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
        )
