"""Callers and backend servers for tests of planned stops."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field

from tests.gateway_fakes import (
    CONFIGURATION,
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    chunk,
    configuration,
    event,
    http_response,
)

from kumquatrun.peer.address import Address

TIMEOUT_MS = 20_000
END_OF_HEAD = b'\r\n\r\n'
# A request may end without an answer this long before its time limit.
MARGIN_S = 0.1
# A connection that closes within this time after the last byte of a request may
# have been closed before that byte arrived.
CROSSING_S = 0.2
REFUSED_AFTER_S = 0.2
REFUSALS = (429, 503)
# Text of a 502 that a stop sends instead of an answer.
ENDED_BY_STOP = b'before this host stopped'


def configuration_of_all_kinds():
    """Return a configuration with a route for each kind of request."""
    shared = {
        'host': 'shop.example',
        'timeout_ms': TIMEOUT_MS,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'assistant',
        'public': False,
    }
    stream = {**shared, 'kind': 'streaming'}
    routes = [
        {
            **stream,
            'name': 'resumable',
            'max_attempts': 2,
            'resumable': True,
            'gap_target_ms': 50,
        },
        {**stream, 'name': 'stream', 'max_attempts': 1},
        {
            **shared,
            'name': 'idempotent',
            'kind': 'idempotent',
            'max_attempts': 2,
        },
        {
            **shared,
            'name': 'once',
            'kind': 'non_idempotent',
            'max_attempts': 1,
        },
    ]
    for row in routes:
        row['path_prefix'] = f'/{row["name"]}/'
    accounts = [dict(row) for row in CONFIGURATION['tenants']]
    for row in accounts:
        row.update(rate_per_s=10**6, burst=10**6)
    return configuration(routes=routes, tenants=accounts)


KINDS = ('resumable', 'stream', 'idempotent', 'once')


@dataclass
class Execution:
    """A request at a backend server; ``ended_s`` is None while it runs."""

    request_id: str
    began_s: float
    ended_s: float | None = None
    is_complete: bool = False


class SlowServer:
    """Backend server that answers each request after a random time.

    It refuses ``refused_share`` of the requests after a while without running
    them, and never answers ``silent_share`` of the others.
    """

    def __init__(self, rng, durations_s, refused_share=0.0, silent_share=0.0):
        self.runs = []
        self._rng = rng
        self._durations_s = durations_s
        self._refused_share = refused_share
        self._silent_share = silent_share

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = Address(*self._server.sockets[0].getsockname())
        return self

    async def _serve(self, reader, writer):
        with suppress(EOFError, OSError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        lines = (await reader.readuntil(END_OF_HEAD)).decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:-2])
        await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers['x-kumquatrun-attempt-id']
        if self._rng.random() < self._refused_share:
            await asyncio.sleep(REFUSED_AFTER_S)
            writer.write(NOT_RUN.replace(b'{id}', request_id.encode()))
            return
        run = Execution(request_id, _now_s())
        self.runs.append(run)
        first = int(headers.get('last-event-id', 0)) + 1
        working = asyncio.create_task(
            self._work(lines[0], request_id.encode(), first, writer),
        )
        disconnected = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait(
            (working, disconnected),
            return_when=asyncio.FIRST_COMPLETED,
        )
        run.ended_s = _now_s()
        run.is_complete = working in done
        working.cancel()
        disconnected.cancel()
        await asyncio.gather(working, disconnected, return_exceptions=True)
        if not run.is_complete:
            raise EOFError

    async def _work(self, line, request_id, first, writer):
        if self._rng.random() < self._silent_share:
            await asyncio.Event().wait()
        duration_s = self._rng.choice(self._durations_s)
        if 'stream' not in line and 'resumable' not in line:
            await asyncio.sleep(duration_s)
            writer.write(http_response().replace(b'{id}', request_id))
            return
        writer.write(STREAM_HEAD.replace(b'{id}', request_id))
        last = max(first, round(duration_s / 0.05))
        for number in range(first, last + 1):
            writer.write(chunk(event(number)))
            await asyncio.sleep(0.05)
        writer.write(LAST_CHUNK)


@dataclass
class SentRequest:
    """One request of a caller and how it ended; status 0 for no answer."""

    kind: str
    request_id: str
    deadline_ms: int | None
    mode: str
    began_s: float = field(default_factory=lambda: _now_s())
    sent_s: float | None = None
    ended_s: float | None = None
    status: int = 0
    body: bytes = b''
    is_complete: bool = False
    keeps_alive: bool = False

    @property
    def limit_s(self):
        """Return the time after which a request may end without an answer."""
        return min(self.deadline_ms or TIMEOUT_MS, TIMEOUT_MS) / 1000

    def head(self, body_bytes=0):
        lines = [
            f'POST /{self.kind}/a HTTP/1.1',
            'Host: shop.example',
            'Api-Key: key-1',
            f'X-Kumquatrun-Attempt-Id: {self.request_id}',
            f'Content-Length: {body_bytes}',
        ]
        if self.deadline_ms is not None:
            lines.append(f'X-Kumquatrun-Deadline-Ms: {self.deadline_ms}')
        return '\r\n'.join([*lines, '', '']).encode()

    async def receive(self, reader):
        """Read the answer; it stays incomplete if the connection ends."""
        try:
            await self._read_answer(reader)
        except (EOFError, OSError):
            self.keeps_alive = False
        self.ended_s = _now_s()

    async def _read_answer(self, reader):
        head = (await reader.readuntil(END_OF_HEAD)).decode()
        self.status = int(head.split()[1])
        headers = dict(
            line.lower().split(': ', 1) for line in head.split('\r\n')[1:-2]
        )
        if 'content-length' in headers:
            body_bytes = int(headers['content-length'])
            self.body = await reader.readexactly(body_bytes)
        else:
            await _read_chunks(reader)
        self.is_complete = True
        self.keeps_alive = headers.get('connection') != 'close'


async def _read_chunks(reader):
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        await reader.readexactly(size + 2)
        if not size:
            return


class Callers:
    """Callers that send requests of every kind in every mode."""

    def __init__(self, port, rng):
        self.requests = []
        self._port = port
        self._rng = rng
        self._idle_connections = []
        self._tasks = set()

    async def run(self, until_s, pause_s):
        """Send requests until ``until_s`` and wait until all have ended."""
        self._idle_connections = [
            await self._connect() for _ in range(8 * len(KINDS))
        ]
        while _now_s() < until_s:
            for kind in KINDS:
                self._send_in_all_modes(kind)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))
        await asyncio.gather(*self._tasks)

    def _send_in_all_modes(self, kind):
        self._start(self._send_on_new_connection(kind, 'new', _send_whole))
        self._start(
            self._send_on_new_connection(kind, 'slow body', _send_slowly)
        )
        self._start(self._send_pipelined(kind))
        if self._idle_connections:
            index = self._rng.randrange(len(self._idle_connections))
            self._start(
                self._send_on_kept_connection(
                    kind, self._idle_connections.pop(index)
                )
            )

    def _start(self, coroutine):
        self._tasks.add(asyncio.create_task(coroutine))

    def _new_request(self, kind, mode):
        deadline_ms = self._rng.choice((None, 300, 1000, 1900, 3000, 60_000))
        request = SentRequest(
            kind, f'{mode}-{len(self.requests)}', deadline_ms, mode
        )
        self.requests.append(request)
        return request

    async def _connect(self):
        return await asyncio.open_connection('127.0.0.1', self._port)

    async def _send_on_new_connection(self, kind, mode, send):
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        request = self._new_request(kind, mode)
        await self._exchange(request, reader, writer, send)
        writer.close()

    async def _send_on_kept_connection(self, kind, connection):
        reader, writer = connection
        request = self._new_request(kind, 'kept')
        await self._exchange(request, reader, writer, _send_whole)
        if request.keeps_alive:
            self._idle_connections.append(connection)
        else:
            writer.close()

    async def _exchange(self, request, reader, writer, send):
        try:
            await send(request, writer)
        except OSError:
            request.ended_s = _now_s()
            return
        request.sent_s = _now_s()
        await request.receive(reader)

    async def _send_pipelined(self, kind):
        """Send two requests at once on one connection."""
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        pair = [self._new_request(kind, 'pipelined') for _ in range(2)]
        writer.write(b''.join(request.head() for request in pair))
        for request in pair:
            request.sent_s = _now_s()
        for request in pair:
            # A request is handled once the previous one is answered.
            request.began_s = _now_s()
            await request.receive(reader)
            if not request.keeps_alive:
                break
        writer.close()


async def _send_whole(request, writer):
    writer.write(request.head())


async def _send_slowly(request, writer):
    writer.write(request.head(body_bytes=3))
    for _ in range(3):
        await asyncio.sleep(0.1)
        if writer.is_closing():
            raise ConnectionResetError
        writer.write(b'x')


def find_faults(sent_requests, runs, sigterm_s, stop_s):
    """Return the faults of the stop, one line per request."""
    by_id = {}
    for run in runs:
        by_id.setdefault(run.request_id, []).append(run)
    found = []
    for request in sent_requests:
        request_runs = by_id.get(request.request_id, ())
        fault = _fault_of(request, request_runs, sigterm_s, stop_s)
        if fault:
            at_s = (request.sent_s or request.began_s) - sigterm_s
            found.append(
                f'{fault}: sent at {at_s:.2f} s, {request}, {request_runs}'
            )
    return found


def _fault_of(request, runs, sigterm_s, stop_s):
    if request.kind in ('once', 'stream') and len(runs) > 1:
        return 'ran twice'
    is_late = request.began_s > sigterm_s
    if request.is_complete:
        if request.status in REFUSALS and runs:
            return 'refused although it was sent to a backend server'
        if ENDED_BY_STOP in request.body and is_late:
            return 'sent to a backend server and ended by the stop'
        return ''
    if request.sent_s is None:
        return 'sent to a backend server before it was complete' if runs else ''
    if not runs:
        waited_s = (request.ended_s or request.sent_s) - request.sent_s
        return (
            'read and closed without an answer' if waited_s > CROSSING_S else ''
        )
    if request.ended_s - request.began_s >= request.limit_s - MARGIN_S:
        return ''
    if is_late or not request.status:
        return 'sent to a backend server and cut'
    # A stream that began before SIGTERM may last longer than the stop.
    ended_s = max(run.ended_s or request.ended_s for run in runs)
    is_excused = ended_s >= sigterm_s + stop_s * 5 / 6
    return '' if is_excused else 'cut before the end of the stop'


def _now_s():
    return asyncio.get_running_loop().time()


def seeded_random(seed):
    """Return the random generator of one run."""
    return random.Random(seed)
