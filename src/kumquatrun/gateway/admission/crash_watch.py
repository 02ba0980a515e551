"""Quarantines requests that crash backend servers."""

import asyncio
import hashlib
import logging
import uuid

from kumquatrun.errors import KumquatrunError, QuarantinedError
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.node_messages import ReportSuspects
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 2.0
# A request is refused if more than this number of responses to equal requests
# broke off at this host within ``LOCAL_WINDOW_S``, even if no leader counts
# them for the whole fleet.
LOCAL_FAILURE_LIMIT = 2
LOCAL_WINDOW_S = 60.0
MAX_LOCAL_FINGERPRINTS = 2000


def fingerprint_of(request: CallerRequest) -> str:
    """Return a hash that is the same for equal requests of one caller."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.target, request.key):
        digest.update(part.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


class CrashWatch:
    """Counts broken responses by fingerprint and reports repeated failures."""

    def __init__(self, session: Session, clock: Clock) -> None:
        self._session = session
        self._clock = clock
        self._failure_times: dict[str, list[float]] = {}
        self._reports: set[asyncio.Task] = set()

    def check(self, request: CallerRequest) -> None:
        """Refuse a request that is quarantined on this host or in the fleet.

        Raises
        ------
        QuarantinedError
            If responses to equal requests broke off too often.
        """
        if not request.body:
            return
        fingerprint = fingerprint_of(request)
        state = self._session.view.fingerprint_state(fingerprint)
        local_times = self._recent_failures(fingerprint)
        if state == 'quarantined' or len(local_times) > LOCAL_FAILURE_LIMIT:
            raise QuarantinedError(
                f'responses to equal requests broke off {len(local_times)} '
                f'times on this host; their state in the fleet is {state}',
            )

    def report(self, request: CallerRequest) -> None:
        """Record that a backend server broke off its response."""
        if not request.body:
            return
        fingerprint = fingerprint_of(request)
        times = self._recent_failures(fingerprint)
        times.append(self._clock.now_s())
        self._failure_times[fingerprint] = times
        if len(self._failure_times) > MAX_LOCAL_FINGERPRINTS:
            self._failure_times.pop(next(iter(self._failure_times)))
        log_event(
            log,
            'request_suspected',
            request_id=request.request_id,
            fingerprint=fingerprint,
            broken_here=len(times),
        )
        if len(times) > 1:
            task = asyncio.create_task(self._report_to_control(fingerprint))
            self._reports.add(task)
            task.add_done_callback(self._reports.discard)

    def _recent_failures(self, fingerprint: str) -> list[float]:
        oldest_s = self._clock.now_s() - LOCAL_WINDOW_S
        times = self._failure_times.get(fingerprint, ())
        return [time_s for time_s in times if time_s > oldest_s]

    async def _report_to_control(self, fingerprint: str) -> None:
        report = ReportSuspects(
            host_id=self._session.record.host_id,
            fingerprints=(fingerprint,),
            report_id=uuid.uuid4().hex,
        )
        try:
            await self._session.control.call(report, REPORT_TIMEOUT_S)
        except KumquatrunError as error:
            # The local count still quarantines the request on this host.
            log_event(
                log,
                'report_failed',
                fingerprint=fingerprint,
                reason=str(error),
            )
