"""TCP server with scripted answers, for faults that HTTP libraries avoid."""

import asyncio
from contextlib import suppress

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENTS = HEAD % b'text/event-stream'


def chunk(body):
    return b'%x\r\n%s\r\n' % (len(body), body)


LAST_CHUNK = chunk(b'')


def answer(body, status=b'200 OK', headers=b''):
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s' % (
        status,
        len(body),
        headers,
        body,
    )


class RawServer:
    """Reads one request per connection and writes ``pieces``.

    ``hold`` keeps the connection open and silent after the last piece.
    ``answers`` is how many requests of a connection are answered before it
    is dropped without an answer.
    """

    def __init__(self, pieces=(), hold=False, answers=1):
        self.pieces = pieces
        self.hold = hold
        self.answers = answers
        self.requests = []
        self._writers = []
        self.closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        return self

    async def stop(self):
        self._server.close()

    def drop(self):
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with suppress(EOFError, OSError):
            for _ in range(self.answers):
                await self._read_request(reader)
                for piece in self.pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.002)
                if not self.pieces and not self.hold:
                    break
            if self.hold or (self.pieces and self.answers > 1):
                await self._read_request(reader)
        self.closed.set()
        writer.transport.abort()

    async def _read_request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        for line in head.lower().splitlines():
            if line.startswith(b'content-length:'):
                head += await reader.readexactly(int(line.split(b':')[1]))
        self.requests.append(head)
