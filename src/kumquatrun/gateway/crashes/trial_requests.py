"""Asks the control leader for trial runs of refused fingerprints."""

import logging
from collections import OrderedDict
from dataclasses import dataclass

from kumquatrun.errors import KumquatrunError
from kumquatrun.membership.control_client import Session
from kumquatrun.peer.node_messages import TakeTrialRun
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

TRIAL_TIMEOUT_S = 0.5
# Time from the first refusal to the first request for a trial run, doubled with
# each further one.
FIRST_TRIAL_S = 5.0
MAX_REFUSED_FINGERPRINTS = 2000


@dataclass(frozen=True, slots=True)
class TrialSchedule:
    """When this host asks for the next trial run of a fingerprint."""

    next_at_s: float
    delay_s: float


class TrialRequests:
    """Decides when this host asks for a trial run, and asks."""

    def __init__(self, session: Session, clock: Clock) -> None:
        self._session = session
        self._clock = clock
        self._schedules: OrderedDict[str, TrialSchedule] = OrderedDict()

    async def take(self, refused: tuple[str, ...]) -> bool:
        """Return whether a request with these fingerprints gets a trial run."""
        fingerprint = refused[0]
        now_s = self._clock.now_s()
        schedule = self._schedules.get(fingerprint)
        if schedule is None:
            self._schedules[fingerprint] = TrialSchedule(
                now_s + FIRST_TRIAL_S, FIRST_TRIAL_S
            )
            if len(self._schedules) > MAX_REFUSED_FINGERPRINTS:
                self._schedules.popitem(last=False)
            return False
        if now_s < schedule.next_at_s:
            return False
        delay_s = 2 * schedule.delay_s
        self._schedules[fingerprint] = TrialSchedule(now_s + delay_s, delay_s)
        request = TakeTrialRun(
            host_id=self._session.record.host_id,
            fingerprint=fingerprint,
            others=refused[1:],
        )
        try:
            reply = await self._session.control.call(request, TRIAL_TIMEOUT_S)
        except KumquatrunError as error:
            log_event(
                log,
                'trial_run_not_granted',
                fingerprint=fingerprint,
                reason=str(error),
            )
            return False
        return reply.is_granted

    def forget(self, fingerprint: str) -> None:
        """Begin anew with the next refusal of a fingerprint."""
        self._schedules.pop(fingerprint, None)
