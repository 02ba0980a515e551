"""Has further engines load a base model whose engines are busy or fail."""

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

# Pause after a copy of a model, until the listing shows it and its load counts.
SCALE_OUT_COOLDOWN_S = 4.0
LOAD_TIMEOUT_S = 10.0
# An engine that has no room is not asked again for this time.
NO_ROOM_COOLDOWN_S = 15.0

NEVER_S = float('-inf')


class ModelScaler:
    """Asks agents to load base models.

    All entries choose the same engine for a model, since they do not know of
    each other's calls.
    """

    def __init__(self, agents: AgentCalls, clock: Clock) -> None:
        self._agents = agents
        self._clock = clock
        self._paused_until_s: dict[str, float] = {}
        self._no_room_until_s: dict[tuple[str, str], float] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def scale_out_if_needed(
        self,
        model: str,
        holders: Sequence[Backend],
        others: Sequence[Backend],
    ) -> None:
        """Begin a further copy of a model if none of its engines is of use."""
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
            >= self._no_room_until_s.get((model, row.backend_id), NEVER_S)
        ]
        if not usable:
            return
        chosen = min(usable, key=lambda row: rank(model, row.backend_id))
        self._tasks[model] = asyncio.create_task(self._load(model, chosen))

    def close(self) -> None:
        """Stop asking."""
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
                self._no_room_until_s[refused] = now_s + NO_ROOM_COOLDOWN_S
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
    """Return whether an engine has free slots and does not fail."""
    return not backend.is_busy and backend.is_healthy(now_s)
