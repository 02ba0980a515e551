"""Admin HTTP server: metrics, liveness and readiness."""

from collections.abc import Callable

from aiohttp import hdrs, web

from kumquatrun.peer import Address
from kumquatrun.runtime.bounded_server import BACKLOG, BoundedServer
from kumquatrun.runtime.metrics import Metrics

UNAVAILABLE = 503


class AdminServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    metrics
        Metrics of the process.
    not_ready_reason
        Returns why the daemon should receive no requests, or an empty string.
    listen
        Address to serve on; port 0 picks a free one.
    """

    def __init__(
        self,
        metrics: Metrics,
        not_ready_reason: Callable[[], str],
        listen: Address,
    ) -> None:
        self.address = listen
        self._metrics = metrics
        self._not_ready_reason = not_ready_reason
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen; ``address`` is the bound address afterwards."""
        server = BoundedServer(
            {
                '/metrics': self._serve_metrics,
                '/healthz': self._serve_health,
                '/readyz': self._serve_readiness,
            }
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.address.host,
            self.address.port,
            backlog=BACKLOG,
        )
        await site.start()
        self.address = Address(*self._runner.addresses[0][:2])

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, request: web.BaseRequest) -> web.Response:
        accept = request.headers.getall(hdrs.ACCEPT, [])
        content, headers = self._metrics.render(accept)
        return web.Response(body=content, headers=headers)

    async def _serve_health(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text='ok\n')

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        reason = self._not_ready_reason()
        if reason:
            return web.Response(status=UNAVAILABLE, text=f'{reason}\n')
        return web.Response(text='ready\n')
