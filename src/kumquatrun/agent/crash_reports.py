"""Reports suspects of a backend server crash to the control leader."""

import asyncio
import logging
import uuid
from typing import Any

from kumquatrun.agent.suspects import BatchRecord
from kumquatrun.errors import KumquatrunError
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.node_messages import ClearSuspect, ReportSuspects

log = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 2.0
REPORT_ATTEMPTS = 5
REPORT_RETRY_S = 0.5
# Longest time for which the error responses to the requests that ran on a
# crashed backend server are delayed until the report is delivered.
REPORT_WAIT_S = 1.0


class CrashReporter:
    """Reports the requests of ``batch`` when the backend server crashed.

    ``ReportSuspects`` and ``ClearSuspect`` are safe to retry: the control state
    counts each crash once, by its report id, and clearing is idempotent.
    """

    def __init__(self, host_id: str, session: NodeSession) -> None:
        self.batch = BatchRecord()
        self._host_id = host_id
        self._session = session
        self._tasks: set[asyncio.Task] = set()

    async def report(self) -> None:
        """Report the batch as suspects; waits at most ``REPORT_WAIT_S``."""
        crash = self.batch.take_crash_report()
        if crash is None:
            return
        log.warning(
            'event=backend_crashed suspects=%d alone=%s',
            len(crash.fingerprints),
            crash.alone,
        )
        message = ReportSuspects(
            host_id=self._host_id,
            fingerprints=crash.fingerprints,
            alone=crash.alone,
            report_id=uuid.uuid4().hex,
        )
        await asyncio.wait({self._send(message)}, timeout=REPORT_WAIT_S)

    def clear(self, fingerprint: str) -> None:
        """Report that a suspect ran alone and finished."""
        if fingerprint:
            self._send(
                ClearSuspect(host_id=self._host_id, fingerprint=fingerprint),
            )

    async def stop(self) -> None:
        """Cancel the messages that are not delivered."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send(self, message: Any) -> asyncio.Task:
        task = asyncio.create_task(self._deliver(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _deliver(self, message: Any) -> None:
        for _ in range(REPORT_ATTEMPTS):
            try:
                await self._session.control.call(message, REPORT_TIMEOUT_S)
            except KumquatrunError as error:
                log.warning('event=report_failed error=%r', str(error))
                await asyncio.sleep(REPORT_RETRY_S)
            else:
                return
