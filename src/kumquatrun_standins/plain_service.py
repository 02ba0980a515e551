"""Plain service: counts how often each body id was executed."""

import asyncio
from collections import Counter

from aiohttp import web

from kumquatrun_standins.serving import StandinServer


class PlainService(StandinServer):
    """Answers idempotent lookups and non-idempotent bookings.

    ``drop_answers`` ends that many connections after the execution, so that
    the caller does not learn the outcome.
    """

    def __init__(self, delay_s: float = 0) -> None:
        super().__init__()
        self.executions: Counter[str] = Counter()
        self.headers_seen: list[dict[str, str]] = []
        self.drop_answers = 0
        self._delay_s = delay_s

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/health', self._health)
        app.router.add_get('/executions/{id}', self._count)
        app.router.add_route('*', '/lookup/{item:.*}', self._lookup)
        app.router.add_post('/bookings', self._book)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({'status': 'ok'})

    async def _count(self, request: web.Request) -> web.Response:
        body_id = request.match_info['id']
        return web.json_response({'count': self.executions[body_id]})

    async def _lookup(self, request: web.Request) -> web.Response:
        item = request.match_info['item']
        return await self._execute(request, item, 200)

    async def _book(self, request: web.Request) -> web.Response:
        body = await request.json()
        return await self._execute(request, str(body['id']), 201)

    async def _execute(
        self,
        request: web.Request,
        body_id: str,
        status: int,
    ) -> web.Response:
        self.executions[body_id] += 1
        self.headers_seen.append(dict(request.headers))
        await asyncio.sleep(self._delay_s)
        if self.drop_answers and request.transport is not None:
            self.drop_answers -= 1
            request.transport.abort()
        count = self.executions[body_id]
        answer = {'id': body_id, 'count': count}
        return web.json_response(answer, status=status)
