"""Background tasks that restart after an unexpected error."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5


def start_background(work: Callable[[], Awaitable[None]]) -> asyncio.Task:
    """Run ``work`` in a task until it returns or is cancelled.

    If ``work`` raises, the error is logged and ``work`` is restarted, so that a
    daemon never keeps running without one of its background tasks.
    """
    return asyncio.create_task(_run(work))


async def _run(work: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            return await work()
        except Exception as error:
            log_event(
                log,
                'background_work_failed',
                level=logging.ERROR,
                work=getattr(work, '__qualname__', work),
                restart_in_s=RESTART_DELAY_S,
                error=error,
                exc_info=True,
            )
        await asyncio.sleep(RESTART_DELAY_S)
