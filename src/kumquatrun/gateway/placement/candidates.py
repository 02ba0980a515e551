"""Finds the backend servers that a request may go to."""

from collections.abc import Sequence

from kumquatrun.errors import NoCapacityError
from kumquatrun.gateway.backends.backends import Backend, BackendTable
from kumquatrun.gateway.placement.eligibility import (
    ALL_QUIET,
    Eligibility,
    Unavailability,
)
from kumquatrun.gateway.placement.model_spread import ModelScaler
from kumquatrun.gateway.routing.request_state import RequestState

# Cause of a refusal if no listed backend server may run the request.
NONE_ELIGIBLE = 'none_eligible'


class Candidates:
    """Selects backend servers by eligibility and by the models they hold.

    Parameters
    ----------
    backends
        Table of the listed backend servers.
    eligibility
        Rules that bind a request.
    scaler
        Has further engines load a model.
    """

    def __init__(
        self,
        backends: BackendTable,
        eligibility: Eligibility,
        scaler: ModelScaler,
    ) -> None:
        self._backends = backends
        self._eligibility = eligibility
        self._scaler = scaler

    def select(
        self, request_state: RequestState
    ) -> tuple[Sequence[Backend], str]:
        """Return the candidate backend servers and the affinity key.

        If backend servers hold the model, only these are candidates, since
        loading a model takes seconds. Otherwise all are candidates, and the
        affinity key directs all requests for the same model and adapter to
        the same backend server, which loads the model.
        """
        backends = self._eligibility.select(
            self._backends.of_service(request_state.service), request_state
        )
        request = request_state.request
        if not request.model:
            return backends, ''
        holders = [
            row for row in backends if request.model in row.record.models
        ]
        if not holders and self._are_holders_quiet(request_state):
            return (), ''
        if len(holders) < len(backends):
            others = [row for row in backends if row not in holders]
            self._scaler.scale_out_if_needed(request.model, holders, others)
        if request.adapter or not holders:
            return holders or backends, f'{request.model}/{request.adapter}'
        return holders, ''

    def take_share(self, backend: Backend) -> bool:
        """Return whether a chosen server may get a request; count it."""
        return self._eligibility.take_share(backend)

    def may_appear(self, request_state: RequestState) -> bool:
        """Return whether a wait for the listing may bring a candidate.

        Listed backend servers that may not run the request now would still be
        the only ones.
        """
        return (
            not self._backends.of_service(request_state.service)
            and self._unavailability(request_state) is None
        )

    def unavailable(
        self, request_state: RequestState
    ) -> NoCapacityError | None:
        """Return the refusal if all backend servers want no requests."""
        unavailability = self._unavailability(request_state)
        if unavailability is None:
            return None
        return NoCapacityError(
            'all backend servers are leaving or asked for a pause',
            retry_after_s=unavailability.retry_after_s,
            cause=unavailability.cause,
        )

    def refusal_cause(self, request_state: RequestState) -> str:
        """Return the cause of a refusal for any other reason."""
        listed = self._backends.of_service(request_state.service)
        if listed and not self._eligibility.select(listed, request_state):
            return NONE_ELIGIBLE
        return 'no_backend'

    def _are_holders_quiet(self, request_state: RequestState) -> bool:
        unavailability = self._unavailability(request_state)
        return unavailability is not None and unavailability.cause == ALL_QUIET

    def _unavailability(
        self, request_state: RequestState
    ) -> Unavailability | None:
        """Return whether the servers that matter for a request refuse it.

        These are the ones that hold its model, as long as one of them stays:
        another copy of the model takes longer to load than they pause.
        """
        known = self._backends.all_of_service(request_state.service)
        model = request_state.request.model
        holders = [
            row
            for row in known
            if model in row.record.models and not row.signals.is_leaving
        ]
        return self._eligibility.unavailability(holders or known, request_state)
