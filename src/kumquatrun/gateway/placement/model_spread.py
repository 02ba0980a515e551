"""Loads a base model into another engine if its holders are busy or failing."""

import asyncio
import logging
from collections.abc import Sequence

from kumquatrun.errors import KumquatrunError, NoCapacityError
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.placement.agent_calls import AgentCalls
from kumquatrun.gateway.routing.messages import UseAdapter
from kumquatrun.gateway.routing.ranking import rank
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Time after a load attempt in which no other copy of the model is requested. By
# its end, the listing shows the new copy and its load.
SCALE_OUT_COOLDOWN_S = 4.0
LOAD_TIMEOUT_S = 10.0
# Time for which an agent is not called again for a model that its engine has no
# room for or that was not loaded in time.
NO_CAPACITY_COOLDOWN_S = 15.0

NEVER_S = float('-inf')


class ModelScaler:
    """Requests further copies of base models from agents.

    Entries do not coordinate. They rank the engines for a model in the same
    way, so that all entries choose the same engine.
    """

    def __init__(self, agents: AgentCalls, clock: Clock) -> None:
        self._agents = agents
        self._clock = clock
        self._paused_until_s: dict[str, float] = {}
        self._no_capacity_until_s: dict[tuple[str, str], float] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def scale_out_if_needed(
        self,
        model: str,
        holders: Sequence[Backend],
        others: Sequence[Backend],
    ) -> None:
        """Start loading another copy of a model if no holder is available."""
        now_s = self._clock.now_s()
        is_paused = now_s < self._paused_until_s.get(model, NEVER_S)
        if is_paused or model in self._tasks:
            return
        if any(_is_available(row, now_s) for row in holders):
            return
        usable = [
            row
            for row in others
            if _is_available(row, now_s)
            and now_s
            >= self._no_capacity_until_s.get((model, row.backend_id), NEVER_S)
        ]
        if not usable:
            return
        chosen = min(usable, key=lambda row: rank(model, row.backend_id))
        self._tasks[model] = asyncio.create_task(self._load(model, chosen))

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks.values():
            task.cancel()

    async def _load(self, model: str, backend: Backend) -> None:
        request = UseAdapter(
            request_id=f'spread-{model}-{backend.backend_id}',
            model=model,
            adapter='',
        )
        problem = ''
        try:
            async with self._agents.pin_adapter(
                backend, request, LOAD_TIMEOUT_S
            ):
                pass
        except KumquatrunError as error:
            problem = str(error)
            if isinstance(error, NoCapacityError):
                refused = (model, backend.backend_id)
                now_s = self._clock.now_s()
                self._no_capacity_until_s[refused] = (
                    now_s + NO_CAPACITY_COOLDOWN_S
                )
        finally:
            self._paused_until_s[model] = (
                self._clock.now_s() + SCALE_OUT_COOLDOWN_S
            )
            del self._tasks[model]
        log_event(
            log,
            'model_spread',
            model=model,
            backend=backend.backend_id,
            load=backend.load,
            outcome='refused' if problem else 'loaded',
            reason=problem,
        )


def _is_available(backend: Backend, now_s: float) -> bool:
    """Return whether an engine is neither busy nor failing."""
    return not backend.is_busy and backend.is_healthy(now_s)
