"""A group of servers in one process that drain and stop together."""

import asyncio
from collections.abc import Awaitable, Iterable

from kumquatrun.daemon.lifecycle import Server


class ServerGroup:
    """Starts servers in order, and drains and stops them concurrently.

    Implements the ``Server`` protocol of the daemon.
    """

    def __init__(self, *servers: Server) -> None:
        self._servers = servers

    async def start(self) -> None:
        """Start the servers one after the other."""
        for server in self._servers:
            await server.start()

    async def drain(self, timeout_s: float) -> None:
        """Let all servers finish their open requests."""
        await _run_all(server.drain(timeout_s) for server in self._servers)

    async def stop(self) -> None:
        """Stop all servers concurrently, as the time for a stop is short."""
        await _run_all(server.stop() for server in self._servers)


async def _run_all(steps: Iterable[Awaitable[None]]) -> None:
    """Wait for all steps, then raise the first error, if any."""
    outcomes = await asyncio.gather(*steps, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, BaseException):
            raise outcome
