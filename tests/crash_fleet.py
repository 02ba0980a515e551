"""Entries that share one control state, and backend servers that crash."""

import asyncio
import itertools
from contextlib import AsyncExitStack, asynccontextmanager, suppress

from tests.gateway_fakes import http_response, read_request, reset
from tests.gateway_host import one_service, served
from tests.shared_state import Cluster

from kumquatrun.errors import ControlUnreachableError
from kumquatrun.peer import Address

POISON = b'poison'
# A part of prompts that crashes each backend server that begins to answer it.
DEADLY_PART = 'dead0001'
POISON_PATH = '/draft/long/poison'


class CrashingBackend:
    """Backend server that ends when it begins to run a marked request.

    Parameters
    ----------
    down_s
        Time after which it listens again at the same address.
    is_dark
        Whether it falls silent instead of resetting its connections.
    deadly_parts
        Ids of the prompt parts that crash it.
    """

    def __init__(
        self, down_s=0.05, *, is_dark=False, deadly_parts=(DEADLY_PART,)
    ):
        self.crash_times_s = []
        self.completed = 0
        self.deadly_parts = set(deadly_parts)
        self._down_s = down_s
        self._is_dark = is_dark
        self._writers = set()
        self._tasks = set()
        self._server = None
        self._is_down = False

    @property
    def crashes(self):
        return len(self.crash_times_s)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = Address(*self._server.sockets[0].getsockname())
        return self

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            reset(writer)

    async def _listen_again(self):
        await asyncio.sleep(self._down_s)
        self._is_down = False
        if not self._is_dark:
            self._server = await asyncio.start_server(
                self._serve, self.address.host, self.address.port
            )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        with suppress(EOFError, OSError, asyncio.CancelledError):
            while await self._respond(reader, writer):
                pass
        self._writers.discard(writer)

    async def _respond(self, reader, writer):
        head, headers, body = await read_request(reader)
        if self._is_down:
            await asyncio.Event().wait()
        parts = headers.get('x-kumquatrun-prompt-prefix', '')
        is_deadly = any(part in parts for part in self.deadly_parts)
        if POISON_PATH in head or body == POISON or is_deadly:
            return await self._crash()
        await asyncio.sleep(0.01)
        if self._is_down:
            await asyncio.Event().wait()
        request_id = headers.get('x-kumquatrun-attempt-id', '')
        writer.write(http_response().replace(b'{id}', request_id.encode()))
        await writer.drain()
        self.completed += 1
        return True

    async def _crash(self):
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self._is_down = True
        task = asyncio.create_task(self._listen_again())
        self._tasks.add(task)
        if self._is_dark:
            await asyncio.Event().wait()
        self._server.close()
        for writer in self._writers:
            reset(writer)
        return False


class FleetControl:
    """One control state for all entries; may be out of reach of some.

    Attributes
    ----------
    cut_off
        Numbers of the entries that do not reach control.
    """

    def __init__(self):
        self.cluster = Cluster()
        self.sessions = []
        self.cut_off = set()
        self.commands = []
        self._committed_at_s = asyncio.get_running_loop().time()

    def join(self, session):
        number = len(self.sessions)
        self.sessions.append(session)
        answer_allowance = session.call

        async def call(request, timeout_s):
            if hasattr(request, 'amounts'):
                return await answer_allowance(request, timeout_s)
            if number in self.cut_off:
                raise ControlUnreachableError('cut off')
            # The reply arrives in a later turn of the loop, as over a network.
            await asyncio.sleep(0)
            self.commands.append(request)
            reply = self.cluster.run(request, elapsed_ms=self._elapsed_ms())
            self.publish()
            return reply

        session.call = call

    def _elapsed_ms(self):
        now_s = asyncio.get_running_loop().time()
        elapsed_ms = int(1000 * (now_s - self._committed_at_s))
        self._committed_at_s += elapsed_ms / 1000
        return elapsed_ms

    def publish(self):
        """Send the new feed items to the entries that reach control."""
        for number, session in enumerate(self.sessions):
            if number in self.cut_off:
                continue
            for item in self.cluster.feed:
                if item.index > session.view.applied_index:
                    session.view.apply(item)

    @property
    def fingerprints(self):
        return self.cluster.state.status()['fingerprints']


class Fleet:
    """Entries in front of the same backend servers."""

    def __init__(self, hosts, backends, control):
        self.hosts = hosts
        self.backends = backends
        self.control = control
        self._numbers = itertools.count()

    @property
    def crashes(self):
        return sum(backend.crashes for backend in self.backends)

    async def try_at(self, host_number, path=POISON_PATH, **more):
        """Send one request to an entry and return the status."""
        host = self.hosts[host_number % len(self.hosts)]
        status, _ = await host.answer(
            path, request_id=f'try-{next(self._numbers)}', **more
        )
        return status

    async def try_parts(self, host_number, *parts, path='/draft/long/a'):
        """Send a request like no other whose prompt has these parts."""
        number = next(self._numbers)
        own = f'{number:08x}'
        prefix = ','.join(f'{part}:100' for part in (*parts, own))
        return await self.try_at(
            host_number, path, data=own.encode(), parts=prefix
        )

    async def try_in_turn(self, tries, pause_s=0.06, **more):
        """Send a request to one entry after the other."""
        statuses = []
        for number in range(tries):
            statuses.append(await self.try_at(number, **more))
            await asyncio.sleep(pause_s)
        return statuses


@asynccontextmanager
async def crash_fleet(entries, *backends, content=None):
    """Run entries in front of backend servers that crash."""
    control = FleetControl()
    for backend in backends:
        await backend.start()
    async with AsyncExitStack() as stack:
        hosts = []
        for _ in range(entries):
            host = await stack.enter_async_context(
                served(
                    *(Started(backend) for backend in backends),
                    content=content or one_service(),
                )
            )
            # The shared feed continues where the configuration ended.
            control.cluster.index = max(
                control.cluster.index, host.session.view.applied_index
            )
            control.join(host.session)
            hosts.append(host)
        yield Fleet(hosts, backends, control)
    for backend in backends:
        await backend.stop()


class Started:
    """A backend server that another entry has started."""

    def __init__(self, backend):
        self._backend = backend

    async def start(self):
        return self._backend
