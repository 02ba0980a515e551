"""Calls from an entry to the agents that run beside engines."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from functools import partial
from typing import Any

from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    KumquatrunError,
    NoCapacityError,
)
from kumquatrun.gateway.backends.backends import Backend
from kumquatrun.gateway.placement.agent_connections import (
    AGENT_STOPPED,
    AgentConnections,
    AgentUnreachableError,
    failure_cause,
)
from kumquatrun.gateway.routing.messages import (
    AdapterInUse,
    AdapterReady,
    CheckEngine,
    EngineState,
    PromptRead,
    UseAdapter,
)
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import Address, PeerClient, PeerStream
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# An agent that does not acknowledge a request within this time counts as
# unreachable. The limit allows for a round trip between regions and a busy
# event loop.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.25
# Interval between attempts to report to an agent that a request is running.
USE_REPORT_INTERVAL_S = 0.25
NOTIFY_TIMEOUT_S = 1.0
# Until an agent has answered, the end of a backend server does not count. Its
# engine is on the same host, and one that has ended refuses the connection.
CHECK_TIMEOUT_S = 0.25


class PinnedAdapter:
    """An adapter that an agent keeps loaded for one request."""

    def __init__(
        self,
        ready: AdapterReady,
        notify: Callable[[PromptRead], None],
        request_id: str,
    ) -> None:
        self.ready = ready
        self._notify = notify
        self._request_id = request_id

    def notify_prompt_read(self) -> None:
        """Notify the agent that the engine has processed the prompt."""
        self._notify(PromptRead(request_id=self._request_id))


class AgentCalls:
    """Requests adapters from agents and reports which ones are in use.

    Parameters
    ----------
    view
        Lists the registered agents.
    identity
        Returns the identity of this process.
    """

    def __init__(
        self,
        view: ClusterView,
        identity: Callable[[], Hello],
    ) -> None:
        self._connections = AgentConnections(view, identity)
        self._tasks: set[asyncio.Task] = set()

    @asynccontextmanager
    async def pin_adapter(
        self,
        backend: Backend,
        request: UseAdapter,
        timeout_s: float,
    ) -> AsyncIterator[PinnedAdapter]:
        """Keep an adapter loaded inside the block.

        Raises
        ------
        AgentUnreachableError
            If the agent does not respond.
        AdapterLoadError, NoCapacityError
            If the agent cannot provide the adapter in time.
        """
        client = await self._connections.client_of(backend)
        async with AsyncExitStack() as stack:
            call = await self._open(client, request, stack)
            await self._await_acknowledgement(call, client.address)
            ready = await _receive_ready(call, backend, timeout_s)
            stack.enter_context(self.report_use(backend, request, call))
            yield PinnedAdapter(
                ready,
                partial(self._notify, client),
                request.request_id,
            )

    @contextmanager
    def report_use(
        self,
        backend: Backend,
        request: UseAdapter,
        call: PeerStream | None = None,
    ) -> Iterator[None]:
        """Report to the agent that the request is running, inside the block.

        While ``call`` is open, the agent counts the request as running. Once
        ``call`` has ended, or if it is None, further calls report the request
        until the block ends.
        """
        message = AdapterInUse(
            request_id=request.request_id,
            model=request.model,
            adapter=request.adapter,
        )
        task = asyncio.create_task(
            self._keep_reporting_use(backend, message, call)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            yield
        finally:
            task.cancel()

    def has_agent(self, backend: Backend) -> bool:
        """Return whether an agent is registered for a backend server."""
        return self._connections.has_agent(backend)

    async def engine_known_for_s(self, backend: Backend) -> float | None:
        """Return how long the agent has observed the process that runs now.

        Returns None if the agent or its engine does not respond.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                client = await self._connections.client_of(backend)
                state: EngineState = await client.call(
                    CheckEngine(), CHECK_TIMEOUT_S
                )
        except (KumquatrunError, TimeoutError) as error:
            log_event(
                log,
                'engine_not_checked',
                backend=backend.backend_id,
                reason=str(error),
            )
            return None
        if state.known_for_ms is None:
            return None
        return state.known_for_ms / 1000

    async def _keep_reporting_use(
        self,
        backend: Backend,
        message: AdapterInUse,
        call: PeerStream | None,
    ) -> None:
        if call is not None:
            _log_call_end(message, backend, await _wait_for_end(call))
        while True:
            await asyncio.sleep(USE_REPORT_INTERVAL_S)
            try:
                reason = await self._report_use_once(backend, message)
            except KumquatrunError as error:
                reason = str(error)
            _log_call_end(message, backend, reason)

    async def _report_use_once(
        self, backend: Backend, message: AdapterInUse
    ) -> str:
        """Report a use, wait until the call ends and return why it ended."""
        client = await self._connections.client_of(backend)
        async with client.stream(message) as call:
            return await _wait_for_end(call)

    def _notify(self, client: PeerClient, message: PromptRead) -> None:
        task = asyncio.create_task(_send_prompt_read(client, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await self._connections.close()

    async def _open(
        self,
        client: PeerClient,
        request: UseAdapter,
        stack: AsyncExitStack,
    ) -> PeerStream:
        try:
            return await stack.enter_async_context(client.stream(request))
        except ConnectionLostError as error:
            raise AgentUnreachableError(
                error.detail,
                cause=AGENT_STOPPED,
            ) from error

    async def _await_acknowledgement(
        self, call: PeerStream, address: Address
    ) -> None:
        """Wait until the agent acknowledges the request."""
        try:
            await _next_item(call, address, ACKNOWLEDGEMENT_TIMEOUT_S)
        except AgentUnreachableError as error:
            self._connections.back_off(address, error.cause)
            raise


async def _wait_for_end(call: PeerStream) -> str:
    try:
        await call.result()
    except KumquatrunError as error:
        return str(error)
    return 'ended by the agent'


def _log_call_end(message: AdapterInUse, backend: Backend, reason: str) -> None:
    # Debug level, since each attempt for each running request logs a line.
    log_event(
        log,
        'adapter_call_ended',
        level=logging.DEBUG,
        request_id=message.request_id,
        backend=backend.backend_id,
        adapter=message.adapter,
        reason=reason,
    )


async def _send_prompt_read(client: PeerClient, message: PromptRead) -> None:
    try:
        await client.call(message, NOTIFY_TIMEOUT_S)
    except KumquatrunError as error:
        # Without this message, the agent counts the prompt as processed only
        # after the ``PROMPT_EXPIRY_S`` of its prompt gate.
        log_event(
            log,
            'prompt_end_not_told',
            request_id=message.request_id,
            reason=str(error),
        )


async def _receive_ready(
    call: PeerStream,
    backend: Backend,
    timeout_s: float,
) -> AdapterReady:
    try:
        return await _next_item(call, backend.backend_id, timeout_s)
    except AgentUnreachableError as error:
        if error.cause == AGENT_STOPPED:
            raise
        raise NoCapacityError(error.detail, cause='adapter_wait') from error


async def _next_item(
    call: PeerStream,
    agent: Address | str,
    timeout_s: float,
) -> Any:
    """Return the next message that an agent sends.

    Raises
    ------
    AgentUnreachableError
        If the agent sends no message in time or stops.
    AdapterLoadError, NoCapacityError
        If the agent refuses the request.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await anext(call)
    except (AdapterLoadError, NoCapacityError):
        raise
    except (TimeoutError, StopAsyncIteration) as error:
        raise AgentUnreachableError(
            f'no reply from {agent} within {timeout_s:.2f} s',
            cause=failure_cause(error),
        ) from None
    except KumquatrunError as error:
        raise AgentUnreachableError(
            f'{agent} failed: {error}',
            cause=failure_cause(error),
        ) from error
