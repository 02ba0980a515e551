"""Expected time to the first event of a request at each backend server.

The load that it answers: engines of one service that differ in pace by a factor
of two or three, requests for few adapters at a time, and entries that know the
engines from reports of about half a second ago.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.routing.request_state import RequestState

# Usual time from one report to the next at an entry. Until then, an engine is
# taken to get as much new work as it finishes.
REPORT_DELAY_S = 1.5
# Time to load an adapter that an engine is not listed with.
ADAPTER_LOAD_S = 0.25
# A backend server that holds the adapter is used up to this fraction of the
# target, and one that has to load it, up to the other. The rest is left for the
# way, the first step and the error of the estimate.
HELD_TARGET_FRACTION = 0.2
LOAD_TARGET_FRACTION = 0.5
# Each delay is varied at random by up to this fraction. Entries that all see
# the same late reports would otherwise leave and return together.
NOISE_FRACTION = 0.5
DEFAULT_TOKENS_PER_S = 10_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What the expected delay of a request depends on."""

    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    target_s: float = 1.0


def demand_of(request_state: RequestState) -> Demand:
    """Return what the expected delay of a request depends on."""
    request = request_state.request
    return Demand(
        model=request.model,
        adapter=request.adapter,
        prompt_tokens=max(0, request.prompt_tokens or 0),
        target_s=request_state.route.target_latency_ms / 1000,
    )


class Paces:
    """Pace of each backend server at one time; of an unknown one, the median.

    Attributes
    ----------
    now_s
        Clock time of the paces.
    """

    def __init__(self, backends: Sequence[Backend], now_s: float) -> None:
        self.now_s = now_s
        self._known = {
            row.backend_id: pace
            for row in backends
            if (pace := row.engine_load.pace_at(now_s))
        }
        self._median = (
            median(self._known.values())
            if self._known
            else DEFAULT_TOKENS_PER_S
        )

    @property
    def is_known(self) -> bool:
        """Return whether any pace is known."""
        return bool(self._known)

    def of(self, backend: Backend) -> float:
        """Return the pace of a backend server in tokens per second."""
        return self._known.get(backend.backend_id, self._median)


def expected_delay_s(backend: Backend, demand: Demand, paces: Paces) -> float:
    """Return the expected time until the engine has read the prompt.

    Without new reports, the reported work counts as read by and by. Otherwise
    an engine that was busy once would be avoided for as long as the control
    leader is cut off.
    """
    pace = paces.of(backend)
    age_s = paces.now_s - backend.engine_load.reported_at_s
    read_tokens = pace * max(0, age_s - REPORT_DELAY_S)
    queued_tokens = max(0, backend.queued_tokens - read_tokens)
    reading_s = (queued_tokens + demand.prompt_tokens) / pace
    return reading_s if _holds(backend, demand) else reading_s + ADAPTER_LOAD_S


def _holds(backend: Backend, demand: Demand) -> bool:
    return not demand.adapter or backend.record.holds(
        demand.model, demand.adapter
    )


def first_that_fits(
    ranked: Sequence[Backend],
    demand: Demand,
    paces: Paces,
    rng: random.Random,
) -> Backend:
    """Return the first backend server that is expected to meet the target.

    Those that hold the adapter are considered first, since another copy has to
    be loaded from the store. If no server meets the target, return the one with
    the least delay.
    """
    delays_s = [
        rng.uniform(1 - NOISE_FRACTION, 1 + NOISE_FRACTION)
        * expected_delay_s(backend, demand, paces)
        for backend in ranked
    ]
    pairs = list(zip(ranked, delays_s, strict=True))
    for backend, delay_s in pairs:
        limit_s = HELD_TARGET_FRACTION * demand.target_s
        if delay_s <= limit_s and _holds(backend, demand):
            return backend
    for backend, delay_s in pairs:
        if delay_s <= LOAD_TARGET_FRACTION * demand.target_s:
            return backend
    return ranked[delays_s.index(min(delays_s))]
