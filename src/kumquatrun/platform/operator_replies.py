"""Replies to calls of the operator, and the reading of their bodies."""

import asyncio
import logging

from aiohttp import web

from kumquatrun.errors import KumquatrunError
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Longest wait for a whole body. The operator gives up earlier than this, even
# with large bodies.
BODY_TIMEOUT_S = 5.0
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


async def read_body(request: web.Request) -> bytes:
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


def reply_unavailable(
    event: str,
    error: KumquatrunError,
    **fields: str | int,
) -> web.Response:
    """Log an event and return a response that asks for another attempt."""
    log_event(log, event, error=str(error), **fields)
    return web.Response(status=UNAVAILABLE, text=f'{error}\n')
