"""HTTP API for the operator in the platform's format."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

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
from kumquatrun.peer.address import Address
from kumquatrun.platform import decoding
from kumquatrun.platform.configuration import decode_configuration
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

PUT_PATH = '/Config.Put'
READ_PATH = '/Config.Get'
NAME_VERSION_PATH = '/version-put'
MAX_BODY_BYTES = 16 * 1024 * 1024
# Longest wait for a whole body. The operator gives up earlier than this, even
# with large bodies.
BODY_TIMEOUT_S = 5.0
BAD_REQUEST = 400
CONFIRMATION_METRIC = 'change_confirmation_seconds'
UNAVAILABLE = 503
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
    """

    def __init__(
        self,
        proxy: OperatorProxy,
        listen: Address,
        clock: Clock,
    ) -> None:
        self._proxy = proxy
        self._clock = clock
        self._listen = listen
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
            return _unavailable('operator_call_refused', _draining_error())
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
            return _unavailable('operator_call_refused', _busy_error())
        async with self._large_body_lock:
            return await self._put_body(request)

    async def _put_body(self, request: web.Request) -> web.Response:
        started_s = self._clock.now_s()
        content = await _read_body(request)
        try:
            configuration = decode_configuration(content)
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
            return _unavailable(
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
            return _unavailable('configuration_not_read', error)
        return web.Response(body=content, content_type='application/json')

    async def _name_version(self, request: web.Request) -> web.Response:
        started_s = self._clock.now_s()
        try:
            fields = decoding.parse_object(await _read_body(request))
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
            return _unavailable(
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


async def _read_body(request: web.Request) -> bytes:
    """Return the body, or respond with 408 if it does not end in time."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except TimeoutError:
        log_event(
            log,
            'operator_call_unfinished',
            path=request.path,
            limit_s=BODY_TIMEOUT_S,
            received_bytes=request.content.total_bytes,
        )
        raise web.HTTPRequestTimeout from None


def _draining_error() -> KumquatrunError:
    return DrainingError('this host is about to stop')


def _busy_error() -> KumquatrunError:
    return NoCapacityError('this host is reading another large configuration')


def _unavailable(
    event: str,
    error: KumquatrunError,
    **fields: str | int,
) -> web.Response:
    log_event(log, event, error=str(error), **fields)
    return web.Response(status=UNAVAILABLE, text=f'{error}\n')
