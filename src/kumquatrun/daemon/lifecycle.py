"""Lifecycle of a daemon: ordered start, signals, drain and ordered stop."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any, Protocol

from kumquatrun.daemon.shared_settings import DaemonSettings
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.statechart import load_chart

log = logging.getLogger(__name__)

# Closing a terminal sends SIGHUP to the daemons that were started in it.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Component(Protocol):
    """One component with a start and a stop."""

    async def start(self) -> Any:
        """Start; raises if the component cannot work."""
        ...

    async def stop(self) -> None:
        """Stop at once."""
        ...


class Server(Component, Protocol):
    """A component that serves requests and can finish them before it stops."""

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait until the open ones have ended."""
        ...


class Daemon:
    """Starts components in order, drains on a signal and stops in order.

    Parameters
    ----------
    settings
        Settings of the daemon.
    components
        Components in the order of their start; they stop in reverse.
    server
        The one among ``components`` that drains, if any does.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        components: Sequence[Component],
        server: Server | None = None,
    ) -> None:
        self._settings = settings
        self._components = tuple(components)
        self._server = server
        self._chart = load_chart('daemon')
        self._state = self._chart.initial
        self._state_changed = asyncio.Event()
        self._signal_received = False
        self._server_has_started = False

    @property
    def state(self) -> str:
        """Return the state of the chart ``daemon``."""
        return self._state

    def add_component(self, component: Component) -> None:
        """Add a component that starts after the others."""
        self._components += (component,)

    def terminate(self, signal_name: str) -> None:
        """Handle one signal: the first one drains.

        A repeated SIGTERM or SIGHUP is ignored, since supervisors and
        overlapping rolling restarts send it again while requests are still
        open. SIGINT comes from an operator; after another signal it stops the
        daemon at once.
        """
        is_repeated = (
            self._signal_received and signal_name == signal.SIGINT.name
        )
        self._signal_received = True
        self._handle_event(
            'interrupt' if is_repeated else 'terminate', signal_name
        )

    def request_drain(self, reason: str) -> None:
        """Start a drain for a reason other than a signal; idempotent."""
        self._handle_event('terminate', reason)

    async def run(self) -> None:
        """Start, serve until a signal, drain and stop."""
        started: list[Component] = []
        try:
            await self._run_in_state('starting', partial(self._start, started))
            await self._run_in_state('running', asyncio.Event().wait)
            await self._run_in_state('draining', self._drain)
        except Exception as error:
            log_event(
                log,
                'daemon_failed',
                level=logging.ERROR,
                state=self._state,
                error=error,
            )
            raise
        finally:
            await self._stop(started)

    def _handle_event(self, event: str, reason: str) -> None:
        """Apply an event if the current state accepts it."""
        if self._chart.accepts(self._state, event):
            self._transition(event, reason=reason)
            self._state_changed.set()
        else:
            log_event(
                log,
                'stop_already_begun',
                state=self._state,
                reason=reason,
            )

    async def _start(self, started: list[Component]) -> None:
        for component in self._components:
            # Added first, so that a component whose start fails is stopped too.
            started.append(component)
            await component.start()
            self._server_has_started |= component is self._server

    async def _drain(self) -> None:
        # There may be open requests even if the signal came during the start of
        # a later component.
        if self._server_has_started:
            await self._server.drain(self._settings.drain_timeout_s)

    async def _stop(self, started: Sequence[Component]) -> None:
        if self._chart.accepts(self._state, 'failed'):
            self._transition('failed')
        for component in reversed(started):
            try:
                await component.stop()
            except Exception as error:
                # The remaining components must still be stopped.
                log_event(
                    log,
                    'stop_failed',
                    level=logging.ERROR,
                    part=type(component).__name__,
                    error=error,
                )
        if self._state == 'stopping':
            self._transition('done')

    async def _run_in_state(
        self,
        state: str,
        work: Callable[[], Awaitable[Any]],
    ) -> None:
        """Run the work of a state and cancel it when the state is left."""
        if self._state != state:
            return
        task = asyncio.ensure_future(work())
        state_left = asyncio.create_task(self._wait_until_left(state))
        tasks = {task, state_left}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                await task
                # A signal may have changed the state in the same loop
                # iteration.
                if self._state == state:
                    self._transition('done')
        finally:
            for pending in tasks:
                pending.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_until_left(self, state: str) -> None:
        while self._state == state:
            self._state_changed.clear()
            await self._state_changed.wait()

    def _transition(self, event: str, **fields: str) -> None:
        self._state = self._chart.next_state(self._state, event)
        log_event(
            log,
            f'daemon_{self._state}',
            host_id=self._settings.host_id,
            **fields,
        )


async def run_daemon(daemon: Daemon) -> None:
    """Run a daemon that ends on SIGTERM, SIGINT or SIGHUP.

    If SIGHUP was ignored before, as under ``nohup``, it stays ignored. The
    handlers stay installed until the event loop is closed: the default action
    of a late signal would kill the process before its last log lines are
    written.
    """
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        if number is signal.SIGHUP and _is_ignored(number):
            continue
        loop.add_signal_handler(number, daemon.terminate, number.name)
    await daemon.run()


def _is_ignored(number: signal.Signals) -> bool:
    return signal.getsignal(number) is signal.SIG_IGN
