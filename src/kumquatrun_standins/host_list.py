"""Host list: live and leaving hosts, published with a delay."""

import asyncio

from aiohttp import web

from kumquatrun_standins.serving import StandinServer


class HostList(StandinServer):
    """Publishes each change ``lag_s`` after it was made."""

    def __init__(self, lag_s: float = 5) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._changes: list[tuple[float, str, str | None]] = []

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/hosts', self._list)
        app.router.add_put('/hosts/{host_id}', self._put)
        app.router.add_delete('/hosts/{host_id}', self._delete)
        return app

    def set_state(self, host_id: str, state: str | None) -> None:
        """Set ``live`` or ``leaving``, or remove the host with None."""
        now_s = asyncio.get_running_loop().time()
        self._changes.append((now_s, host_id, state))

    def published(self) -> dict[str, str]:
        """Return the hosts as the list shows them now."""
        visible_s = asyncio.get_running_loop().time() - self._lag_s
        newest = {
            host_id: state
            for changed_s, host_id, state in self._changes
            if changed_s <= visible_s
        }
        return {host: shown for host, shown in newest.items() if shown}

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(self.published())

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.set_state(request.match_info['host_id'], body['state'])
        return web.json_response({})

    async def _delete(self, request: web.Request) -> web.Response:
        self.set_state(request.match_info['host_id'], None)
        return web.json_response({})
