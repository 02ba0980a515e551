"""Engine: OpenAI-compatible completions over the engine core."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any

from aiohttp import ClientSession, web

from kumquatrun_standins.engine_answers import Answer
from kumquatrun_standins.engine_core import (
    EngineCore,
    EngineOptions,
    Generation,
)
from kumquatrun_standins.serving import StandinServer

FENCING_HEADER = 'X-Fencing-Number'
INCARNATION_HEADER = 'X-Engine-Incarnation'
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CHAT_PATH = '/v1/chat/completions'


def _event(payload: Any) -> bytes:
    text = payload if isinstance(payload, str) else json.dumps(payload)
    return f'data: {text}\n\n'.encode()


def _prompt_of(body: dict[str, Any]) -> str:
    if 'messages' in body:
        return '\n'.join(str(part['content']) for part in body['messages'])
    return str(body.get('prompt', ''))


class Engine(StandinServer):
    """HTTP server of one engine stand-in.

    ``answer_with`` handles completions instead of the core, to return errors.
    """

    def __init__(self, options: EngineOptions | None = None) -> None:
        super().__init__()
        self.core = EngineCore(
            options or EngineOptions(),
            on_crash=self.drop_connections,
        )
        self.headers_seen: list[dict[str, str]] = []
        self.answer_with: Handler | None = None
        self._transports: set[asyncio.Transport] = set()
        self._batch: asyncio.Task | None = None

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(middlewares=[self._track])
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_post(CHAT_PATH, self._complete)
        app.router.add_post('/orders/load', self._load)
        app.router.add_post('/orders/unload', self._unload)
        app.router.add_post('/crash', self._crash)
        app.router.add_get('/health', self._health)
        app.router.add_get('/cache-events', self._cache_events)
        app.on_startup.append(self._start_batch)
        app.on_cleanup.append(self._stop_batch)
        return app

    def crash(self) -> None:
        """Restart empty and drop all connections."""
        self.core.crash()

    def drop_connections(self) -> None:
        """Abort all open connections."""
        for transport in list(self._transports):
            transport.abort()

    async def _start_batch(self, app: web.Application) -> None:
        self._batch = asyncio.create_task(self.core.run())

    async def _stop_batch(self, app: web.Application) -> None:
        if self._batch is not None:
            self._batch.cancel()

    @web.middleware
    async def _track(self, request: web.Request, handler) -> web.StreamResponse:
        transport = request.transport
        if transport is None or self.core.is_down():
            if transport is not None:
                transport.abort()
            raise web.HTTPServiceUnavailable
        self._transports.add(transport)
        self.headers_seen.append(dict(request.headers))
        try:
            response = await handler(request)
        finally:
            self._transports.discard(transport)
        return response

    def _answer(self, content: Any, status: int = 200) -> web.Response:
        return web.json_response(
            content,
            status=status,
            headers={INCARNATION_HEADER: self.core.incarnation},
        )

    async def _health(self, request: web.Request) -> web.Response:
        running, waiting = self.core.load_report()
        adapters = sorted(list(pair) for pair in self.core.adapters)
        return self._answer(
            {
                'incarnation': self.core.incarnation,
                'slots': self.core.options.slots,
                'adapters': adapters,
                'running': running,
                'waiting': waiting,
            },
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        events = self.core.cache.events_after(after, self.core.now_s())
        return self._answer({'events': events})

    async def _crash(self, request: web.Request) -> web.Response:
        self.crash()
        raise web.HTTPServiceUnavailable

    def _fencing_refusal(self, request: web.Request) -> web.Response | None:
        number = int(request.headers.get(FENCING_HEADER, '0'))
        core = self.core
        if core.options.check_fencing and number < core.newest_fencing_number:
            return self._answer({'code': 'stale_fencing_number'}, 409)
        core.newest_fencing_number = max(core.newest_fencing_number, number)
        return None

    async def _load(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._fencing_refusal(request)
        if refusal is not None:
            return refusal
        core = self.core
        key = (body['adapter'], body['version'])
        incarnation = core.incarnation
        if key not in core.adapters:
            if not await self._fetch(key):
                return self._answer({'code': 'load_failed'}, 500)
            if core.incarnation != incarnation:
                return self._answer({'code': 'restarted'}, 500)
            if len(core.adapters) >= core.options.slots:
                return self._answer({'code': 'no_free_slot'}, 507)
            core.adapters.add(key)
        return self._answer({'incarnation': core.incarnation})

    async def _unload(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._fencing_refusal(request)
        if refusal is not None:
            return refusal
        self.core.adapters.discard((body['adapter'], body['version']))
        return self._answer({'incarnation': self.core.incarnation})

    async def _fetch(self, key: tuple[str, str]) -> bool:
        options = self.core.options
        if options.hang_loads:
            self.core.options = replace(
                options,
                hang_loads=options.hang_loads - 1,
            )
            await asyncio.Event().wait()
        if options.fail_loads:
            self.core.options = replace(
                options,
                fail_loads=options.fail_loads - 1,
            )
            return False
        if not options.weight_store_url:
            await asyncio.sleep(options.load_s)
            return True
        url = f'{options.weight_store_url}/weights/{key[0]}/{key[1]}'
        async with (
            ClientSession() as session,
            session.get(url) as answer,
        ):
            return answer.status == 200

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self.answer_with is not None:
            return await self.answer_with(request)
        body = await request.json()
        adapter, _, version = str(body['model']).partition('@')
        core = self.core
        if (adapter, version) not in core.adapters:
            return self._answer({'code': 'adapter_not_loaded'}, 404)
        generation = Generation(
            request_id=request.headers.get('X-Request-Id', ''),
            adapter=adapter,
            version=core.options.mislabel_version or version,
            prompt=_prompt_of(body),
            max_tokens=max(1, int(body.get('max_tokens', 16))),
            priority=int(body.get('priority', 0)),
        )
        core.submit(generation)
        incarnation = core.incarnation
        answer = Answer(generation, incarnation, request.path == CHAT_PATH)
        try:
            if body.get('stream'):
                options = body.get('stream_options') or {}
                with_usage = bool(options.get('include_usage'))
                return await self._stream(request, answer, with_usage)
            pieces = [piece async for piece in self._pieces(answer)]
            return self._answer(answer.full_answer(''.join(pieces)))
        finally:
            core.cancel(generation)

    async def _pieces(
        self,
        answer: Answer,
    ) -> AsyncIterator[str]:
        while True:
            piece = await answer.generation.tokens.get()
            if piece is None:
                return
            yield piece

    async def _stream(
        self,
        request: web.Request,
        answer: Answer,
        with_usage: bool,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                INCARNATION_HEADER: answer.incarnation,
            },
        )
        await response.prepare(request)
        async for piece in self._pieces(answer):
            await response.write(_event(answer.chunk(piece)))
        if with_usage:
            await response.write(_event(answer.usage_chunk()))
        await response.write(_event('[DONE]'))
        await response.write_eof()
        return response
