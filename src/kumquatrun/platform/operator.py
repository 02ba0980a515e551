"""HTTP API for the operator in the platform's format."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web

from kumquatrun.control.configuration_register import NameAdapterVersion
from kumquatrun.errors import (
    DocumentError,
    DrainingError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.gateway.roles.configuration_upload import build_change
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.gateway.routing.checks import check_regions
from kumquatrun.peer.address import Address
from kumquatrun.platform import decoding
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.platform.evacuations import EvacuationCalls
from kumquatrun.platform.operator_replies import (
    BAD_REQUEST,
    read_body,
    reply_unavailable,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

PUT_PATH = '/Config.Put'
READ_PATH = '/Config.Get'
NAME_VERSION_PATH = '/version-put'
MAX_BODY_BYTES = 16 * 1024 * 1024
CONFIRMATION_METRIC = 'change_confirmation_seconds'
# Longest wait for open calls at a stop. The operator abandons a call after one
# second. An agent must restart quickly, since requests for its engine wait
# meanwhile.
DRAIN_LIMIT_S = 1.2
# Open calls are answered before the server stops. With 0, aiohttp would wait
# without a limit.
STOP_TIMEOUT_S = 0.1
# Larger bodies are read one at a time: several at once could exceed the memory
# of a host that also serves callers.
LARGE_BODY_BYTES = 1024 * 1024


class OperatorApi:
    """Serves the operator's HTTP calls on one address.

    Parameters
    ----------
    proxy
        Executes changes and reads of the configuration.
    listen
        Address to listen on.
    clock
        Source of time.
    regions
        Region of each zone, from the settings of this host.
    """

    def __init__(
        self,
        proxy: OperatorProxy,
        listen: Address,
        clock: Clock,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._proxy = proxy
        self._clock = clock
        self._listen = listen
        self._regions = regions or {}
        self._evacuations = EvacuationCalls(proxy, self._regions, clock)
        self._runner: web.AppRunner | None = None
        self._is_draining = False
        self._open_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._large_body_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the HTTP server."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[self._count_open_calls],
        )
        app.router.add_post(PUT_PATH, self._put)
        app.router.add_get(READ_PATH, self._read)
        app.router.add_post(NAME_VERSION_PATH, self._name_version)
        self._evacuations.add_routes(app.router)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._listen.host,
            self._listen.port,
        )
        await site.start()

    async def drain(self, timeout_s: float) -> None:
        """Refuse new calls and wait until the open ones are answered."""
        self._is_draining = True
        try:
            async with asyncio.timeout(min(timeout_s, DRAIN_LIMIT_S)):
                await self._idle.wait()
        except TimeoutError:
            log_event(
                log,
                'operator_calls_cut',
                level=logging.WARNING,
                open_calls=self._open_calls,
            )

    async def stop(self) -> None:
        """Stop the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _count_open_calls(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if self._is_draining:
            return reply_unavailable('operator_call_refused', _draining_error())
        self._open_calls += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._idle.set()

    async def _put(self, request: web.Request) -> web.Response:
        size_bytes = request.content_length
        if size_bytes is not None and size_bytes <= LARGE_BODY_BYTES:
            return await self._put_body(request)
        if self._large_body_lock.locked():
            return reply_unavailable('operator_call_refused', _busy_error())
        async with self._large_body_lock:
            return await self._put_body(request)

    async def _put_body(self, request: web.Request) -> web.Response:
        started_s = self._clock.now_s()
        content = await read_body(request)
        try:
            configuration = decode_configuration(content)
            check_regions(configuration, self._regions.values())
        except DocumentError as error:
            log_event(log, 'configuration_refused', reason=error.detail)
            return web.Response(status=BAD_REQUEST, text=f'{error}\n')
        read_s = self._clock.now_s() - started_s
        routes = len(configuration.routes)
        change = build_change(configuration, content)
        del configuration
        try:
            version = await self._proxy.put(change)
        except KumquatrunError as error:
            return reply_unavailable(
                'configuration_not_committed',
                error,
                took_ms=self._elapsed_ms(started_s),
                version=change.version,
            )
        took_s = self._clock.now_s() - started_s
        process_metrics().observe(
            CONFIRMATION_METRIC, took_s, change='configuration'
        )
        log_event(
            log,
            'configuration_confirmed',
            version=change.version,
            in_force=version,
            routes=routes,
            read_ms=round(1000 * read_s),
            took_ms=round(1000 * took_s),
        )
        return web.json_response({'version': version})

    async def _read(self, request: web.Request) -> web.Response:
        try:
            content = await self._proxy.read()
        except KumquatrunError as error:
            return reply_unavailable('configuration_not_read', error)
        return web.Response(body=content, content_type='application/json')

    async def _name_version(self, request: web.Request) -> web.Response:
        started_s = self._clock.now_s()
        try:
            fields = decoding.parse_object(await read_body(request))
            command = NameAdapterVersion(
                model=decoding.text(fields, 'model'),
                adapter=decoding.text(fields, 'adapter', ''),
                version=decoding.integer(fields, 'version'),
            )
        except DocumentError as error:
            return web.Response(status=BAD_REQUEST, text=f'{error}\n')
        try:
            await self._proxy.name_version(command)
        except KumquatrunError as error:
            return reply_unavailable(
                'adapter_version_not_committed',
                error,
                took_ms=self._elapsed_ms(started_s),
                adapter=command.adapter,
                version=command.version,
            )
        took_s = self._clock.now_s() - started_s
        process_metrics().observe(
            CONFIRMATION_METRIC, took_s, change='adapter_version'
        )
        log_event(
            log,
            'adapter_version_confirmed',
            adapter=command.adapter,
            version=command.version,
            took_ms=round(1000 * took_s),
        )
        return web.json_response({})

    def _elapsed_ms(self, started_s: float) -> int:
        return round(1000 * (self._clock.now_s() - started_s))


def _draining_error() -> KumquatrunError:
    return DrainingError('this host is about to stop')


def _busy_error() -> KumquatrunError:
    return NoCapacityError('this host is reading another large configuration')
