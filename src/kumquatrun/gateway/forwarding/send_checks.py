"""Checks right before a request is sent to the server that was chosen."""

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.placement.reservations import Reservations
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.metrics import process_metrics


class SendChecks:
    """Finds out whether a server still wants the request.

    Between the choice and the send, a request may have waited for an agent or
    a connection. Its server may have said in another answer that it wants no
    requests, or may have got all that it bears while it is cold.
    """

    def __init__(self, reservations: Reservations, clock: Clock) -> None:
        self._reservations = reservations
        self._clock = clock

    def is_wanted(self, request_state: RequestState, backend: Backend) -> bool:
        """Return whether the server still accepts requests of this host.

        If not, the reason is stored as the failure of the attempt.
        """
        signals = backend.signals
        now_s = self._clock.now_s()
        if signals.accepts_requests(now_s):
            return True
        return _pass_over(
            request_state,
            'the backend server is leaving'
            if signals.is_leaving
            else f'asked for a pause, {signals.quiet_s(now_s):.2f} s remain',
        )

    def may_send(self, request_state: RequestState, backend: Backend) -> bool:
        """Return whether the request may be sent now, and count it."""
        if not self.is_wanted(request_state, backend):
            return False
        if self._reservations.take_share(backend):
            return True
        return _pass_over(request_state, 'the backend server is cold')


def _pass_over(request_state: RequestState, reason: str) -> bool:
    request_state.failure = reason
    process_metrics().count('passed_over_total')
    return False
