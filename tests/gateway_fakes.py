"""Fakes of the platform for the gateway tests, based on its documentation."""

import asyncio
import json
import socket
import struct
import time
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from kumquatrun.errors import ConnectionLostError, NoCapacityError
from kumquatrun.gateway.backends.backends import Backend, BackendRecord
from kumquatrun.gateway.backends.connection_pool import ConnectionPool
from kumquatrun.gateway.engine.engine_api import (
    EngineReport,
    HeldModel,
    OrderVerdict,
)
from kumquatrun.gateway.placement.reservations import Reservation
from kumquatrun.gateway.routing.configuration import (
    GatewayRoute,
    RouteKind,
    WeightedService,
)
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.peer.address import Address
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'stream',
            'host': 'shop.example',
            'path_prefix': '/draft/',
            'kind': 'streaming',
            'timeout_ms': 20000,
            'target_latency_ms': 1000,
            'priority': 1,
            'service': 'assistant',
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gap_target_ms': 250,
        },
        {
            'name': 'split',
            'host': 'shop.example',
            'path_prefix': '/draft/long/',
            'kind': 'non_idempotent',
            'timeout_ms': 1000,
            'target_latency_ms': 300,
            'priority': 2,
            'split': [
                {'service': 'assistant', 'weight': 90},
                {'service': 'ledger', 'weight': 10},
            ],
            'max_attempts': 1,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'assistant',
            'health_path': '/health',
            'max_connections': 390,
            'engine': {
                'slots': 64,
                'kv_tokens': 140098,
                'weights_mb': 75500.0,
                'adapter_slots': 20,
                'models': [
                    {
                        'name': 'm',
                        'weights_mb': 72700.0,
                        'load_s': 3.2,
                        'adapters': 3000,
                        'adapter_mb': 66.0,
                    },
                ],
            },
        },
        {'name': 'ledger', 'health_path': '/health', 'max_connections': 130},
    ],
    'limits': {'idle_timeout_ms': 15000},
    'tenants': [
        {
            'name': 'lamps',
            'api_keys': ['key-1', 'key-2'],
            'priority': 1,
            'unit': 'token_route',
            'plain_tokens': 200,
            'rate_per_s': 1000,
            'burst': 1000,
        },
    ],
}


def configuration(**changes):
    """Return the encoded configuration of the operator, with changes."""
    return json.dumps({**CONFIGURATION, **changes}).encode()


async def read_request(reader):
    """Return head, headers by lower-case name, and body of a request."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    headers = dict(
        line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if line
    )
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return head, headers, body


@dataclass(frozen=True)
class Freeze:
    """Bytes that arrive while the process of the gateway stands still."""

    sent: bytes
    freeze_s: float


class ScriptedBackend:
    """Backend server with one scripted response for each request, in order.

    Each script is a list of byte strings to send; ``'close'`` closes the
    connection, ``'reset'`` resets it, and a number is a delay in seconds.
    ``{id}`` is replaced by the attempt id of the request. A ``Freeze`` sends
    bytes and blocks the event loop before anything can read them.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host, port)
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                await self._respond(reader, writer)

    async def _respond(self, reader, writer):
        head, headers, body = await read_request(reader)
        self.requests.append((head, body))
        request_id = headers.get('x-kumquatrun-attempt-id', '')
        for step in self.scripts.pop(0):
            if step == 'reset':
                reset(writer)
                return
            if step == 'close':
                writer.close()
                return
            if isinstance(step, (int, float)):
                await asyncio.sleep(step)
                continue
            if isinstance(step, Freeze):
                writer.write(step.sent.replace(b'{id}', request_id.encode()))
                time.sleep(step.freeze_s)  # noqa: ASYNC251
                continue
            writer.write(step.replace(b'{id}', request_id.encode()))
            await writer.drain()


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', 1, 0),
    )
    writer.transport.abort()


def http_response(body=b'done', status='200 OK', headers='', request_id='{id}'):
    """Return one complete HTTP response."""
    return (
        f'HTTP/1.1 {status}\r\nX-Kumquatrun-Attempt-Id: {request_id}\r\n'
        f'{headers}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


NOT_RUN = http_response(
    b'',
    '503 Service Unavailable',
    'X-Kumquatrun-Not-Executed: 1\r\n',
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Kumquatrun-Attempt-Id: {id}\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)


def chunk(body):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(body), body)


LAST_CHUNK = chunk(b'')


def event(number):
    """Return one server-sent event."""
    return b'id: %d\ndata: token\n\n' % number


class Caller:
    """Fake ``ResponseWriter``."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b''
        self.is_finished = False

    @property
    def has_begun(self):
        return self.status != 0

    async def begin(self, status, reason, headers):
        assert not self.has_begun
        self.status = status
        self.headers = headers

    async def write(self, part):
        self.body += part

    async def finish(self):
        self.is_finished = True


class FixedReservations:
    """Fake ``Reservations`` with backend servers in a fixed order."""

    def __init__(self, *scripted_backends):
        self.backends = [
            Backend(
                BackendRecord(
                    backend_id=f'runner-{number}',
                    service='assistant',
                    address=scripted.address,
                    failure_domain='a',
                ),
                ConnectionPool(scripted.address),
            )
            for number, scripted in enumerate(scripted_backends)
        ]

    @asynccontextmanager
    async def reserve(self, request_state):
        for backend in self.backends:
            if backend.backend_id not in request_state.tried_backends:
                yield Reservation(backend)
                return
        raise NoCapacityError('none is left', cause='no_backend')

    def take_share(self, backend):
        return True

    def unavailable(self, request_state):
        return None


def request_state_of(kind, *, max_attempts=1, is_resumable=False, body=b'x'):
    """Return the state of an admitted request."""
    wire = PlatformFormat()
    caller = wire.read_request(
        'POST',
        '/draft/%2e/a?b=%20c',
        (
            (b'Host', b'shop.example'),
            (b'X-Kumquatrun-Attempt-Id', b'attempt-1'),
        ),
    )
    route = GatewayRoute(
        name='r',
        host='shop.example',
        path_prefix='/draft/',
        kind=RouteKind(kind),
        targets=(WeightedService(service='assistant'),),
        timeout_ms=5000,
        target_latency_ms=200,
        gap_target_ms=50,
        max_attempts=max_attempts,
        is_resumable=is_resumable,
    )
    now_s = asyncio.get_running_loop().time()
    return RequestState(
        request=type(caller)(**{**vars(caller), 'body': body}),
        route=route,
        service='assistant',
        account='lamps',
        priority=1,
        deadline_s=now_s + 5,
    )


class FreezingClock(LoopClock):
    """Clock of a process that has stood still for ``freeze_s`` in total."""

    freeze_s = 0.0

    def now_s(self):
        return super().now_s() + self.freeze_s


class Engine:
    """Fake engine that loads an adapter in ``load_s`` seconds."""

    def __init__(self, slots=4, load_s=0.25):
        self.slots = slots
        self.load_s = load_s
        self.held = {}
        self.loading = {}
        self.count = 0
        self.started_ms = 1
        self.process_id = 'engine-1'
        # Which fields of an order the engine compares with its own state.
        self.checks_process_id = True
        self.checks_fencing_number = True
        self.seen_fencing_number = 0
        self.is_unidentified = False
        self.identifications = 0
        # The engine starts again after it has named its id once more.
        self.identify_restarts = False
        self.orders = []
        self.max_held = 0
        self.models = ('m',)
        self.model_load_s = 0
        self.is_draining = False
        self.is_changing_model = False
        self.is_silent = False
        # Number of reports that get lost.
        self.failing_reports = 0
        self.report_s = 0
        # Number of orders that get no response, and the delay of their effect.
        self.late_orders = 0
        self.late_s = 0
        # Only loads of this adapter get no response, if it is named.
        self.late_adapter = ''
        # Adapters of running requests, by request id. An adapter is unloaded
        # only after its requests have ended.
        self.runs = {}
        self.reports_runs = True
        self.unloading = set()

    async def report(self):
        if self.is_silent:
            raise ConnectionLostError('no report')
        await asyncio.sleep(self.report_s)
        if self.failing_reports:
            self.failing_reports -= 1
            raise ConnectionLostError('no report in time')
        self._finish_loads()
        return EngineReport(
            started_ms=self.started_ms,
            order_count=self.count,
            is_draining=self.is_draining,
            is_changing_model=self.is_changing_model,
            models=tuple(
                HeldModel(name=name, version=1, adapters=dict(self.held))
                for name in self.models
            ),
            loading=tuple(
                ('m', adapter, version)
                for adapter, (version, _) in self.loading.items()
            ),
            running=len(self.runs),
            running_ids=frozenset(self.runs if self.reports_runs else ()),
        )

    async def identify(self, check_path):
        self.identifications += 1
        if self.is_unidentified or self.is_silent:
            raise ConnectionLostError('no id')
        process_id = self.process_id
        if self.identify_restarts:
            self.identify_restarts = False
            self.restart()
        return process_id

    async def order(self, order):
        self.orders.append(order)
        if self.late_orders and self._is_late(order):
            self.late_orders -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._carry_out, order)
            await asyncio.sleep(0.3)
            return OrderVerdict.NO_ANSWER
        return self._carry_out(order)

    def _is_late(self, order):
        if not self.late_adapter:
            return True
        return order.is_load and order.adapter == self.late_adapter

    def _carry_out(self, order):
        is_other = order.process_id not in {'', self.process_id}
        if is_other and self.checks_process_id:
            return OrderVerdict.OTHER_PROCESS
        is_stale = order.fencing_number < self.seen_fencing_number
        if is_stale and self.checks_fencing_number:
            return OrderVerdict.STALE_HOLDER
        self.seen_fencing_number = order.fencing_number
        if order.expected_count != self.count:
            return OrderVerdict.CONFLICT
        self._finish_loads()
        self.count += 1
        if not order.adapter:
            asyncio.get_running_loop().call_later(
                self.model_load_s,
                self._set_models,
                (order.model,) if order.is_load else (),
            )
            self.is_changing_model = True
        elif order.is_load:
            version = order.version or 1
            ready_s = asyncio.get_running_loop().time() + self.load_s
            self.loading[order.adapter] = (version, ready_s)
            occupied = {*self.held, *self.loading}
            self.max_held = max(self.max_held, len(occupied))
        elif order.adapter in self.runs.values():
            self.unloading.add(order.adapter)
        else:
            self.held.pop(order.adapter, None)
            return OrderVerdict.HOLDS
        return OrderVerdict.ACCEPTED

    def end_run(self, request_id):
        adapter = self.runs.pop(request_id)
        if adapter in self.unloading and adapter not in self.runs.values():
            self.unloading.discard(adapter)
            self.held.pop(adapter, None)

    def _set_models(self, models):
        self.models = models
        self.is_changing_model = False

    def restart(self, *, keeps_id=False):
        self.started_ms += 1
        if not keeps_id:
            self.process_id = f'engine-{self.started_ms}'
        self.seen_fencing_number = 0
        self.count = 0
        self.held.clear()
        self.loading.clear()
        self.models = ()

    def _finish_loads(self):
        now_s = asyncio.get_running_loop().time()
        for adapter, (version, ready_s) in list(self.loading.items()):
            if ready_s <= now_s:
                self.held[adapter] = version
                del self.loading[adapter]
