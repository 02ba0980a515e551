"""Starts aiohttp applications on a loopback address."""

import asyncio
from typing import Self

from aiohttp import web

from kumquatrun.peer import Address

LOOPBACK = Address('127.0.0.1', 0)


class StandinServer:
    """Base of the stand-ins: an application and its runner.

    Handlers are cancelled when the client's connection ends, which is how the
    engine stand-in notices that a caller cancelled.
    """

    def __init__(self) -> None:
        self.address = LOOPBACK
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}'

    def application(self) -> web.Application:
        """Return the application with its routes."""
        raise NotImplementedError

    async def start(self, listen: Address = LOOPBACK) -> Self:
        """Listen; port 0 picks a free port."""
        self._runner = web.AppRunner(
            self.application(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, listen.host, listen.port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = Address(host, port)
        return self

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()


async def serve_forever(server: StandinServer, listen: Address) -> None:
    """Run a stand-in until its task is cancelled."""
    await server.start(listen)
    try:
        await asyncio.Event().wait()
    finally:
        await server.stop()
