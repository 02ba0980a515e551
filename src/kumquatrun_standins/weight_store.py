"""Weight store: a shared link that slows down above eight loads in flight."""

import asyncio

from aiohttp import web

from kumquatrun_standins.serving import StandinServer

FULL_SPEED_LOADS = 8
STEP_S = 0.01
# A smaller remainder counts as transferred. A sleep below the clock's
# resolution returns at once, so that a remainder from rounding would never end
# on a loop whose clock only timers advance.
MIN_REMAINING_S = 1e-6


class WeightStore(StandinServer):
    """Serves adapter weights.

    Each load has a setup phase and a transfer of ``load_s`` at full speed, so
    that one caller gets about three loads per second one after the other.
    """

    def __init__(self, load_s: float = 0.25, setup_s: float = 0.08) -> None:
        super().__init__()
        self.in_flight = 0
        self.most_in_flight = 0
        self.loads = 0
        self._load_s = load_s
        self._setup_s = setup_s

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/weights/{adapter}/{version}', self._serve)
        return app

    async def fetch(self) -> None:
        """Take the time of one load."""
        await asyncio.sleep(self._setup_s)
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await self._transfer()
        finally:
            self.in_flight -= 1
        self.loads += 1

    async def _serve(self, request: web.Request) -> web.Response:
        await self.fetch()
        return web.json_response(dict(request.match_info))

    async def _transfer(self) -> None:
        now_s = asyncio.get_running_loop().time
        remaining_s = self._load_s
        last_s = now_s()
        while remaining_s > MIN_REMAINING_S:
            await asyncio.sleep(min(STEP_S, remaining_s))
            elapsed_s = now_s() - last_s
            last_s += elapsed_s
            share = FULL_SPEED_LOADS / max(self.in_flight, FULL_SPEED_LOADS)
            remaining_s -= elapsed_s * share
