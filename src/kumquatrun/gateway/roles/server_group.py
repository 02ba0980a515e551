"""Several servers of one process that drain together."""

import asyncio
from collections.abc import Awaitable, Iterable

from kumquatrun.daemon.lifecycle import Server


class ServerGroup:
    """Starts servers in order, and drains and stops them together.

    Fits the ``Server`` protocol of the daemon.
    """

    def __init__(self, *servers: Server) -> None:
        self._servers = servers

    async def start(self) -> None:
        """Start the servers."""
        for server in self._servers:
            await server.start()

    async def drain(self, timeout_s: float) -> None:
        """Let all servers finish their open requests."""
        await _run_all(server.drain(timeout_s) for server in self._servers)

    async def stop(self) -> None:
        """Stop the servers at once; none has time to wait for another."""
        await _run_all(server.stop() for server in self._servers)


async def _run_all(steps: Iterable[Awaitable[None]]) -> None:
    """Run all steps to their end, then raise the first error, if any."""
    outcomes = await asyncio.gather(*steps, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, BaseException):
            raise outcome
