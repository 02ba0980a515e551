"""Several servers of one process that drain together."""

import asyncio

from kumquatrun.daemon.lifecycle import Server


class ServerGroup:
    """Starts servers in order, drains them at once, and stops the last first.

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
        drains = (server.drain(timeout_s) for server in self._servers)
        await asyncio.gather(*drains)

    async def stop(self) -> None:
        """Stop the servers."""
        for server in reversed(self._servers):
            await server.stop()
