"""Reserves a backend server with the required adapter for a request."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Mapping
from collections.abc import Set as AbstractSet
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from kumquatrun.errors import KumquatrunError, NoCapacityError
from kumquatrun.gateway.backends.backends import Backend, BackendTable
from kumquatrun.gateway.placement.agent_calls import AgentCalls, PinnedAdapter
from kumquatrun.gateway.placement.agent_connections import (
    AGENT_STOPPED,
    AgentUnreachableError,
)
from kumquatrun.gateway.placement.agent_refusals import (
    all_lack_base_model,
    stopped_agents,
)
from kumquatrun.gateway.placement.balancer import Balancer
from kumquatrun.gateway.placement.candidates import Candidates
from kumquatrun.gateway.placement.eligibility import (
    BUSY_RETRY_AFTER_S,
    Eligibility,
)
from kumquatrun.gateway.placement.engine_reports import (
    EngineReports,
    record_ready,
)
from kumquatrun.gateway.placement.expected_delay import demand_of
from kumquatrun.gateway.placement.model_spread import ModelScaler
from kumquatrun.gateway.routing.messages import UseAdapter
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# Maximum number of agents that receive a request for the adapter before the
# caller's request is refused. Stopped agents do not count.
MAX_PIN_ATTEMPTS = 3
# Maximum wait for an adapter: at one backend server, as a fraction of the
# caller's remaining time, and at all backend servers together. Callers abandon
# a stream after 2 s or more without an event.
ADAPTER_WAIT_FRACTION = 0.3
MAX_ADAPTER_WAIT_S = 1.8
# Maximum wait while no backend server is listed, and the polling interval.
MAX_BACKEND_WAIT_S = 1.0
BACKEND_POLL_INTERVAL_S = 0.1
# Interval between attempts to reach stopped agents, which may restart.
AGENT_RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True)
class Reservation:
    """A backend server for one attempt to send a request.

    ``adapter_version`` is the required version, 0 for any; ``pinned_adapter``
    is None if the request needs no model or the agent is unreachable.
    """

    backend: Backend
    adapter_version: int = 0
    pinned_adapter: PinnedAdapter | None = None


class Reservations:
    """Chooses backend servers and requests adapters from their agents."""

    def __init__(
        self,
        backends: BackendTable,
        balancer: Balancer,
        agents: AgentCalls,
        adapter_version: Callable[[str, str], int],
        eligibility: Eligibility,
        clock: Clock,
        reports: EngineReports | None = None,
    ) -> None:
        self._reports = reports
        self._backends = backends
        self._balancer = balancer
        self._agents = agents
        self._adapter_version = adapter_version
        self._clock = clock
        self._scaler = ModelScaler(agents, clock)
        self._candidates = Candidates(backends, eligibility, self._scaler)

    def close(self) -> None:
        """Stop background work."""
        self._scaler.close()

    @asynccontextmanager
    async def reserve(
        self, request_state: RequestState
    ) -> AsyncIterator[Reservation]:
        """Yield a backend server that can run the request.

        Raises
        ------
        NoCapacityError
            If no backend server is available; the request was not sent.
        """
        refusals: dict[str, KumquatrunError] = {}
        request_state.waits_for_model = False
        while True:
            backend = await self._choose_next(request_state, refusals)
            if backend is None:
                if await self._prepare_retry(request_state, refusals):
                    continue
                break
            async with AsyncExitStack() as stack:
                reservation = await self._try_reserve(
                    request_state,
                    backend,
                    refusals,
                    stack,
                )
                if reservation is not None:
                    yield reservation
                    return
        last_refusal = [str(error) for error in refusals.values()][-1:]
        reason = last_refusal[0] if last_refusal else 'none is available'
        raise self.unavailable(request_state) or NoCapacityError(
            f'no backend server can take the request: {reason}',
            retry_after_s=BUSY_RETRY_AFTER_S,
            cause=self._candidates.refusal_cause(request_state),
        )

    def take_share(self, backend: Backend) -> bool:
        """Return whether a reserved server may get its request now.

        To be called right before the send: a cold server may have got others
        since it was chosen.
        """
        return self._candidates.take_share(backend)

    def unavailable(
        self, request_state: RequestState
    ) -> NoCapacityError | None:
        """Return the refusal if all backend servers want no requests."""
        return self._candidates.unavailable(request_state)

    async def _choose_next(
        self,
        request_state: RequestState,
        refusals: Mapping[str, KumquatrunError],
    ) -> Backend | None:
        # A stopped agent fails at once, so it does not count as an attempt.
        attempts = len(refusals) - len(stopped_agents(refusals))
        if attempts >= MAX_PIN_ATTEMPTS:
            return None
        if request_state.adapter_wait_s >= MAX_ADAPTER_WAIT_S:
            return None
        return await self._choose(request_state)

    async def _prepare_retry(
        self,
        request_state: RequestState,
        refusals: dict[str, KumquatrunError],
    ) -> bool:
        """Prepare a retry at agents that refused; return whether to retry.

        Before a retry at stopped agents, wait for one retry interval.
        """
        if all_lack_base_model(refusals) and not request_state.waits_for_model:
            # Waiting at one engine is faster than polling all of them.
            request_state.waits_for_model = True
            _clear_refusals(request_state, refusals, set(refusals))
            return True
        stopped = stopped_agents(refusals)
        began_s = self._clock.now_s()
        initial_remaining_s = (
            request_state.remaining_s(began_s) + request_state.adapter_wait_s
        )
        limit_s = min(
            MAX_ADAPTER_WAIT_S, ADAPTER_WAIT_FRACTION * initial_remaining_s
        )
        if not stopped or request_state.adapter_wait_s >= limit_s:
            return False
        if not request_state.waits_for_agents:
            request_state.waits_for_agents = True
            log_event(
                log,
                'agents_awaited',
                request_id=request_state.request.request_id,
                backends=','.join(sorted(stopped)),
                limit_s=limit_s,
            )
        await asyncio.sleep(AGENT_RETRY_INTERVAL_S)
        request_state.adapter_wait_s += self._clock.now_s() - began_s
        _clear_refusals(request_state, refusals, stopped)
        return True

    async def _choose(self, request_state: RequestState) -> Backend | None:
        deadline_s = self._clock.now_s() + min(
            MAX_BACKEND_WAIT_S,
            ADAPTER_WAIT_FRACTION
            * request_state.remaining_s(self._clock.now_s()),
        )
        while True:
            backends, affinity = self._candidates.select(request_state)
            if self._reports is not None and affinity:
                self._reports.apply(backends)
            backend = self._balancer.choose(
                backends,
                self._clock.now_s(),
                affinity=affinity,
                demand=demand_of(request_state),
                excluded=request_state.tried_backends,
            )
            if backend is not None or request_state.tried_backends:
                return backend
            if not self._candidates.may_appear(request_state):
                return None
            if self._clock.now_s() >= deadline_s:
                return None
            await self._backends.wait_for_change(BACKEND_POLL_INTERVAL_S)

    async def _try_reserve(
        self,
        request_state: RequestState,
        backend: Backend,
        refusals: dict[str, KumquatrunError],
        stack: AsyncExitStack,
    ) -> Reservation | None:
        """Reserve one backend server, or return None if its agent refused."""
        try:
            return await self._reserve_at(request_state, backend, stack)
        except KumquatrunError as error:
            refusals[backend.backend_id] = error
            self._mark_tried(request_state, backend, error)
            return None

    async def _reserve_at(
        self,
        request_state: RequestState,
        backend: Backend,
        stack: AsyncExitStack,
    ) -> Reservation:
        request = request_state.request
        if not request.model:
            return Reservation(backend)
        version = self._needed_version(request)
        message = UseAdapter(
            request_id=request.request_id,
            model=request.model,
            adapter=request.adapter,
            version=version,
            priority=request_state.priority,
            prompt_tokens=request.prompt_tokens or 0,
            waits_for_model=request_state.waits_for_model,
        )
        backend.tokens_since_report += message.prompt_tokens
        began_s = self._clock.now_s()
        wait_s = min(
            MAX_ADAPTER_WAIT_S - request_state.adapter_wait_s,
            ADAPTER_WAIT_FRACTION * request_state.remaining_s(began_s),
        )
        try:
            pinned_adapter = await stack.enter_async_context(
                self._agents.pin_adapter(backend, message, wait_s),
            )
        except AgentUnreachableError as error:
            if not _is_adapter_listed(backend, request, version):
                raise
            log_event(
                log,
                'agent_done_without',
                request_id=request.request_id,
                backend=backend.backend_id,
                adapter=request.adapter,
                reason=error.detail,
            )
            stack.enter_context(self._agents.report_use(backend, message))
            return Reservation(backend, version)
        finally:
            request_state.adapter_wait_s += self._clock.now_s() - began_s
        record_ready(backend, pinned_adapter.ready, self._clock.now_s())
        held_version = pinned_adapter.ready.version if version else 0
        return Reservation(backend, held_version, pinned_adapter)

    def _mark_tried(
        self,
        request_state: RequestState,
        backend: Backend,
        problem: KumquatrunError,
    ) -> None:
        request_state.tried_backends.add(backend.backend_id)
        if request_state.waits_for_agents and problem.cause == AGENT_STOPPED:
            return
        log_event(
            log,
            'adapter_not_provided',
            request_id=request_state.request.request_id,
            backend=backend.backend_id,
            adapter=request_state.request.adapter,
            load=backend.load,
            reason=str(problem),
        )

    def _needed_version(self, request: CallerRequest) -> int:
        if not request.adapter:
            return 0
        return self._adapter_version(request.model, request.adapter)


def _is_adapter_listed(
    backend: Backend,
    request: CallerRequest,
    version: int,
) -> bool:
    """Return whether a backend server is listed with the adapter, if any."""
    if not request.adapter:
        return True
    return backend.record.holds(request.model, request.adapter, version)


def _clear_refusals(
    request_state: RequestState,
    refusals: dict[str, KumquatrunError],
    backend_ids: AbstractSet[str],
) -> None:
    """Remove refusals so that their backend servers are tried again."""
    request_state.tried_backends -= backend_ids
    for backend_id in backend_ids:
        del refusals[backend_id]
