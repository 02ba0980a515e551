"""Life of a daemon: ordered start, signals, drain and ordered stop."""

import asyncio
import logging
import signal
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from kumquatrun.daemon.settings import DaemonSettings
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.statechart import load_chart

log = logging.getLogger(__name__)

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Part(Protocol):
    """One component with a start and a stop."""

    async def start(self) -> Any:
        """Start; raises if the component cannot work."""
        ...

    async def stop(self) -> None:
        """Stop at once."""
        ...


class Server(Part, Protocol):
    """The component that serves requests and can finish them first."""

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait for the open ones."""
        ...


class Daemon:
    """Runs parts from the first signal-free start to an orderly stop.

    Parameters
    ----------
    settings
        Settings of the daemon.
    parts
        Components in the order of their start; they stop in reverse.
    server
        The one among ``parts`` that drains, if any does.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        parts: Sequence[Part],
        server: Server | None = None,
    ) -> None:
        self._settings = settings
        self._parts = tuple(parts)
        self._server = server
        self._chart = load_chart('daemon')
        self._state = self._chart.initial
        self._reasons = asyncio.Queue[str]()
        self._drain_requested = False
        self._had_signal = False

    @property
    def state(self) -> str:
        """Return the state of the chart ``daemon``."""
        return self._state

    def add_part(self, part: Part) -> None:
        """Add a component that starts after the others."""
        self._parts += (part,)

    def terminate(self, signal_name: str) -> None:
        """Handle one signal: drain on the first, stop on the second."""
        is_first = not self._had_signal
        self._had_signal = True
        # An operator's drain is followed by a signal of the platform, which
        # must not cut the requests that are still open.
        if not (is_first and self._drain_requested):
            self._drain_requested = True
            self._reasons.put_nowait(signal_name)

    def request_drain(self, reason: str) -> None:
        """Drain for another reason than a signal; repeating it is harmless."""
        if not self._drain_requested:
            self._drain_requested = True
            self._reasons.put_nowait(reason)

    async def run(self) -> None:
        """Start, serve until a signal, drain and stop."""
        started: list[Part] = []
        try:
            await self._until_reason(self._start(started), 'started')
            if self._state == 'running':
                await self._until_reason(asyncio.Event().wait(), '')
            if self._state == 'draining':
                await self._until_reason(self._drain(), 'drained')
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

    async def _start(self, started: list[Part]) -> None:
        for part in self._parts:
            # A part that fails half way must be stopped as well.
            started.append(part)
            await part.start()

    async def _drain(self) -> None:
        if self._server is not None:
            await self._server.drain(self._settings.drain_timeout_s)

    async def _stop(self, started: Sequence[Part]) -> None:
        if self._chart.accepts(self._state, 'failed'):
            self._step('failed')
        for part in reversed(started):
            try:
                await part.stop()
            except Exception as error:
                # The remaining parts must be stopped nevertheless.
                log_event(
                    log,
                    'stop_failed',
                    level=logging.ERROR,
                    part=type(part).__name__,
                    error=error,
                )
        if self._state == 'stopping':
            self._step('stopped')

    async def _until_reason(
        self,
        work: Coroutine[Any, Any, Any],
        event: str,
    ) -> None:
        """Step with ``event`` after ``work``, or with a reason to stop before it."""
        task = asyncio.ensure_future(work)
        next_reason = asyncio.ensure_future(self._reasons.get())
        waiting = {task, next_reason}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        try:
            if task.done():
                await task
                self._step(event)
            else:
                self._step('terminate', reason=next_reason.result())
        finally:
            for pending in waiting:
                pending.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

    def _step(self, event: str, **fields: str) -> None:
        self._state = self._chart.next_state(self._state, event)
        log_event(
            log,
            f'daemon_{self._state}',
            host_id=self._settings.host_id,
            **fields,
        )


async def run_daemon(daemon: Daemon) -> None:
    """Run a daemon that ends on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, daemon.terminate, number.name)
    try:
        await daemon.run()
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)
