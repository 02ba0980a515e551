"""Server with endless answers, for tests of size limits of readers."""

import asyncio
from contextlib import suppress

from kumquatrun.peer.address import Address

# The server stops after this many bytes, so that a test of a reader without a
# limit fails before the memory of the machine is full.
MAX_SENT_BYTES = 8 * 1024 * 1024


class EndlessServer:
    """Answers each request with ``begin``, then repeats ``piece``.

    Parameters
    ----------
    begin
        First bytes of an answer; ``{id}`` stands for the id of the request.
    piece
        Bytes that are repeated until the reader closes.
    pause_s
        Time between two pieces.

    Attributes
    ----------
    sent_bytes
        Bytes that were written to the connection.
    closed
        Set when a reader has closed its connection.
    """

    def __init__(self, begin=b'', piece=b'x' * 4096, pause_s=0):
        self.begin = begin
        self.piece = piece
        self.pause_s = pause_s
        self.requests = []
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host, port)
        self.url = f'http://{host}:{port}'
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head)
        request_id = b''
        for line in head.split(b'\r\n'):
            if line.lower().startswith(b'x-kumquatrun-attempt-id:'):
                request_id = line.partition(b': ')[2]
        writer.transport.set_write_buffer_limits(high=64 * 1024)
        with suppress(OSError):
            writer.write(self.begin.replace(b'{id}', request_id))
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
                # Let other tasks run between two pieces.
                await asyncio.sleep(self.pause_s)
            await reader.read()
        self.closed.set()
        writer.transport.abort()
