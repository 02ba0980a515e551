"""Connections in memory over links with delay and bandwidth.

Replaces ``asyncio.open_connection`` and ``asyncio.start_server``, so that the
project's own connections run on a clock that the tests advance. Tasks belong
to the host in whose context they were started, see ``SimulatedNetwork.on``.
"""

import asyncio
import contextvars
from collections import deque
from contextlib import contextmanager

from tests.simulated_time import HostLoop, current_process

current_host = contextvars.ContextVar('current_host', default='')

SEGMENT_BYTES = 8 * 1024
WINDOW_BYTES = 64 * 1024
HIGH_WATER_BYTES = 64 * 1024
LOW_WATER_BYTES = 16 * 1024


class Pipe:
    """One direction of a link between regions; it sends data in order."""

    def __init__(self, bits_per_s, delay_s):
        self.bits_per_s = bits_per_s
        self.delay_s = delay_s
        self.carried_bytes = 0
        self._free_at_s = 0.0

    def arrival_s(self, size_bytes, now_s):
        self.carried_bytes += size_bytes
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + 8 * size_bytes / self.bits_per_s
        return self._free_at_s + self.delay_s


class SimulatedNetwork:
    """Hosts by IP address, each in a region.

    Parameters
    ----------
    regions
        Region of each host.
    between_bits_per_s
        Bandwidth between two regions, in each direction, for all connections.
    """

    def __init__(
        self,
        regions,
        *,
        between_bits_per_s=15e6,
        within_bits_per_s=1e9,
        between_delay_s=0.008,
        within_delay_s=0.0005,
    ):
        self.regions = regions
        self.cut_off = set()
        self.cut_links = set()
        self.powered_off = set()
        # Deliveries run in a context that belongs to no host.
        self.context = contextvars.Context()
        self._servers = {}
        self._pipes = {}
        self._endpoints = set()
        self._speeds = {
            True: (within_bits_per_s, within_delay_s),
            False: (between_bits_per_s, between_delay_s),
        }
        for region in dict.fromkeys(regions.values()):
            self.add_region(region)

    def add_region(self, region):
        """Link a region to all others; returns a counter of received bytes."""
        known = {row for pair in self._pipes for row in pair} | {region}
        arriving = []
        for other in sorted(known):
            for pair in dict.fromkeys([(other, region), (region, other)]):
                speed = self._speeds[other == region]
                self._pipes.setdefault(pair, Pipe(*speed))
                if pair[1] == region:
                    arriving.append(self._pipes[pair])
        return lambda: sum(pipe.carried_bytes for pipe in arriving)

    def install(self, monkeypatch):
        monkeypatch.setattr(asyncio, 'open_connection', self.open_connection)
        monkeypatch.setattr(asyncio, 'start_server', self.start_server)

    @contextmanager
    def on(self, host, process=''):
        """Assign the tasks that start in the block to ``host``."""
        token = current_host.set(host)
        process_token = current_process.set(process)
        try:
            yield
        finally:
            current_host.reset(token)
            current_process.reset(process_token)

    def pipe(self, source, target):
        return self._pipes[self.regions[source], self.regions[target]]

    def bytes_between(self, source_region, target_region):
        return self._pipes[source_region, target_region].carried_bytes

    def passes(self, source, target):
        if source == target:
            return True
        is_cut = (source, target) in self.cut_links
        return self.cut_off.isdisjoint({source, target} - {''}) and not is_cut

    def heal(self):
        """End all cuts; bytes held up on open connections are sent."""
        self.cut_off.clear()
        self.cut_links.clear()
        for endpoint in list(self._endpoints):
            endpoint.send_held_up()

    def lose_power(self, host):
        """Stop a host without closing its connections at the peers."""
        for key in [row for row in self._servers if row[0] == host]:
            self._servers.pop(key)
        for endpoint in list(self._endpoints):
            if endpoint.host == host:
                endpoint.is_silent = True
                endpoint.peer.is_silent = True
                self.remove_endpoint(endpoint)

    def reset_connections(self, host):
        """Reset the open connections of a host."""
        for endpoint in list(self._endpoints):
            if endpoint.host == host:
                endpoint.reset()
                endpoint.peer.reset()

    def silence_connections(self):
        """Drop all further bytes on the open connections."""
        for endpoint in self._endpoints:
            endpoint.is_silent = True

    def reset_host(self, host):
        """Close the listeners and reset the connections of a host."""
        for key in [row for row in self._servers if row[0] == host]:
            self._servers.pop(key)
        for endpoint in list(self._endpoints):
            if endpoint.host == host:
                endpoint.abort()

    async def start_server(self, handler, host, port, **_):
        server = SimulatedServer(self, handler, host, port)
        self._servers[host, port] = server
        return server

    async def open_connection(self, host, port, **_):
        source = current_host.get()
        if not (self.passes(source, host) and self.passes(host, source)):
            await asyncio.Event().wait()
        await asyncio.sleep(2 * self.pipe(source, host).delay_s)
        server = self._servers.get((host, port))
        if host in self.powered_off:
            await asyncio.Event().wait()
        if server is None:
            raise ConnectionRefusedError(f'nothing listens on {host}:{port}')
        near = Endpoint(self, source, current_process.get())
        far = Endpoint(self, host, server.process)
        near.peer, far.peer = far, near
        self._endpoints |= {near, far}
        server.accept(far)
        return near.reader, near

    def remove_endpoint(self, endpoint):
        self._endpoints.discard(endpoint)

    def remove_server(self, server):
        key = (server.host, server.port)
        if self._servers.get(key) is server:
            self._servers.pop(key)


class SimulatedServer:
    def __init__(self, network, handler, host, port):
        self.host = host
        self.port = port
        self.sockets = (self,)
        self._network = network
        self._handler = handler
        self._context = contextvars.copy_context()
        self.process = current_process.get()
        self._tasks = set()

    def getsockname(self):
        return self.host, self.port

    def accept(self, endpoint):
        task = self._context.run(
            asyncio.ensure_future, self._handler(endpoint.reader, endpoint)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self):
        self._network.remove_server(self)


class Endpoint:
    """One end of a connection: reader, writer and transport in one object."""

    def __init__(self, network, host, process):
        self.host = host
        self._process = process
        self.peer = None
        self.is_silent = False
        self.reader = asyncio.StreamReader()
        self.transport = self
        self._network = network
        self._unsent = deque()
        self._unsent_bytes = 0
        self._held_up = []
        self._in_flight_bytes = 0
        self._is_closed = False
        self._high_bytes = HIGH_WATER_BYTES
        self._is_paused = False
        self._drained = asyncio.Event()

    def write(self, data):
        if self._is_closed or not data:
            return
        loop = asyncio.get_running_loop()
        if isinstance(loop, HostLoop) and loop.is_held(self._process):
            # The process was paused by its disk in the middle of a callback.
            context = contextvars.copy_context()
            context.run(current_process.set, self._process)
            loop.call_soon(self.write, data, context=context)
            return
        for start in range(0, len(data), SEGMENT_BYTES):
            self._unsent.append(data[start : start + SEGMENT_BYTES])
        self._unsent_bytes += len(data)
        self._pump()
        self._is_paused |= self._unsent_bytes > self._high_bytes

    async def drain(self):
        while self._is_paused and not self._is_closed:
            self._drained.clear()
            await self._drained.wait()
        if self._is_closed:
            raise ConnectionResetError('connection is closed')

    def is_closing(self):
        return self._is_closed

    def get_write_buffer_size(self):
        return self._unsent_bytes

    def set_write_buffer_limits(self, high):
        self._high_bytes = high
        self._is_paused = self._unsent_bytes > high

    def close(self):
        self.abort()

    def abort(self):
        if self._is_closed:
            return
        self._end()
        pipe = self._network.pipe(self.host, self.peer.host)
        if not self.is_silent and self._network.passes(
            self.host, self.peer.host
        ):
            asyncio.get_running_loop().call_later(pipe.delay_s, self.peer.reset)

    def reset(self):
        if not self._is_closed:
            self._end()

    def _end(self):
        self._is_closed = True
        self._network.remove_endpoint(self)
        self._drained.set()
        if not self.reader.at_eof() and self.reader.exception() is None:
            self.reader.set_exception(ConnectionResetError('connection reset'))

    def _pump(self):
        while self._unsent and self._in_flight_bytes < WINDOW_BYTES:
            segment = self._unsent.popleft()
            self._unsent_bytes -= len(segment)
            self._in_flight_bytes += len(segment)
            if self.is_silent:
                continue
            if not self._network.passes(self.host, self.peer.host):
                self._held_up.append(segment)
                continue
            self._send(segment)
        if self._is_paused and self._unsent_bytes <= min(
            LOW_WATER_BYTES, self._high_bytes
        ):
            self._is_paused = False
            self._drained.set()

    def send_held_up(self):
        held_up = self._held_up
        self._held_up = []
        if not self._is_closed and not self.is_silent:
            for segment in held_up:
                self._send(segment)

    def _send(self, segment):
        loop = asyncio.get_running_loop()
        pipe = self._network.pipe(self.host, self.peer.host)
        context = self._network.context
        arrival_s = pipe.arrival_s(len(segment), loop.time())
        loop.call_at(arrival_s, self._deliver, segment, context=context)
        loop.call_at(
            arrival_s + pipe.delay_s,
            self._acknowledge,
            len(segment),
            context=context,
        )

    def _deliver(self, segment):
        if self.is_silent or self.peer._is_closed:
            return
        if not self._network.passes(self.host, self.peer.host):
            self._held_up.append(segment)
            return
        self.peer.reader.feed_data(segment)

    def _acknowledge(self, size_bytes):
        self._in_flight_bytes -= size_bytes
        if not self._is_closed:
            self._pump()
