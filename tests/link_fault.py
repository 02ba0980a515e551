"""TCP forwarder that can go silent, drop or delay traffic."""

import asyncio
from contextlib import suppress

from kumquatrun.peer import Address

CHUNK_BYTES = 65536


class FaultyLink:
    """Forwards connections to a target address.

    Without closing a connection, ``cut`` holds back and ``silence`` drops the
    bytes of both directions, as after a lost entry in a connection tracker. New
    connections work while ``accepts`` is true.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address: Address | None = None
        self.accepts = True
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> Address:
        self._server = await asyncio.start_server(
            self._forward, '127.0.0.1', port
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, bound)
        return self.address

    def cut(self) -> None:
        """Hold back all bytes and refuse new connections."""
        self.accepts = False
        self._open.clear()

    def silence(self) -> None:
        """Drop all further bytes on the open connections."""
        self._open = asyncio.Event()
        self._open.set()
        for task in self._tasks:
            task.cancel()

    def heal(self) -> None:
        """Accept connections and forward bytes again."""
        self.accepts = True
        self._open.set()

    async def stop(self) -> None:
        self._server.close()
        self.silence()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        self._writers.add(writer)
        if not self.accepts:
            writer.transport.abort()
            return
        with suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self._writers.add(target_writer)
            for source, sink in (
                (reader, target_writer),
                (target_reader, writer),
            ):
                task = asyncio.create_task(self._pump(source, sink))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
