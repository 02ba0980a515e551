"""Calls of the operator that evacuate a zone and take it back."""

import logging
import uuid
from collections.abc import Collection

from aiohttp import web

from kumquatrun.control.evacuations import FinishEvacuation, StartEvacuation
from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.roles.operator_proxy import OperatorProxy
from kumquatrun.platform.operator_replies import (
    BAD_REQUEST,
    NOT_FOUND,
    read_body,
    reply_unavailable,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import process_metrics

log = logging.getLogger(__name__)

START_PATH = '/Evacuations.Start/{zone}'
FINISH_PATH = '/Evacuations.Finish/{zone}'
CONFIRMATION_METRIC = 'change_confirmation_seconds'
# Calls of the platform's operator carry no user name.
OPERATOR = 'operator'

Command = type[StartEvacuation] | type[FinishEvacuation]


class EvacuationCalls:
    """Handles the calls that start and finish evacuations.

    Parameters
    ----------
    proxy
        Passes the commands to the control leader.
    zones
        Zones that the settings of this host name; others are refused.
    clock
        Source of time.
    """

    def __init__(
        self, proxy: OperatorProxy, zones: Collection[str], clock: Clock
    ) -> None:
        self._proxy = proxy
        self._zones = frozenset(zones)
        self._clock = clock

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the paths of both calls."""
        router.add_post(START_PATH, self._start)
        router.add_post(FINISH_PATH, self._finish)

    async def _start(self, request: web.Request) -> web.Response:
        return await self._run(request, StartEvacuation)

    async def _finish(self, request: web.Request) -> web.Response:
        return await self._run(request, FinishEvacuation)

    async def _run(
        self, request: web.Request, command: Command
    ) -> web.Response:
        zone = request.match_info['zone']
        if zone not in self._zones:
            return _refusal(NOT_FOUND, zone, 'the zone is unknown')
        if request.body_exists and await read_body(request):
            return _refusal(BAD_REQUEST, zone, 'the call has no body')
        started_s = self._clock.now_s()
        try:
            await self._proxy.evacuate(
                command(
                    failure_domain=zone,
                    operator=OPERATOR,
                    operation_id=uuid.uuid4().hex,
                )
            )
        except KumquatrunError as error:
            return reply_unavailable(
                'evacuation_not_committed',
                error,
                action=command.__name__,
                failure_domain=zone,
            )
        took_s = self._clock.now_s() - started_s
        process_metrics().observe(
            CONFIRMATION_METRIC, took_s, change='evacuation'
        )
        log_event(
            log,
            'evacuation_confirmed',
            action=command.__name__,
            failure_domain=zone,
            took_ms=round(1000 * took_s),
        )
        return web.json_response({})


def _refusal(status: int, zone: str, reason: str) -> web.Response:
    log_event(log, 'evacuation_refused', failure_domain=zone, reason=reason)
    return web.Response(status=status, text=f'{reason}: {zone!r}\n')
