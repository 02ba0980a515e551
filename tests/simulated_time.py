"""Event loop that advances its clock to the next timer without waiting."""

import asyncio
import contextvars
import selectors

# Process to which a callback belongs, empty for callers and the network.
current_process = contextvars.ContextVar('current_process', default='')


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting; for code without sockets and threads."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self):
        return self._jumping_selector.now_s


class HostLoop(SimulatedLoop):
    """Holds back the callbacks of paused processes.

    A callback belongs to the process in whose context it was scheduled.
    """

    def __init__(self):
        super().__init__()
        self._held = {}

    def is_held(self, process):
        return process in self._held

    def hold(self, process):
        """Pause a process."""
        self._held.setdefault(process, [])

    def release(self, process):
        """Resume a process; its held callbacks run in order."""
        held = self._held.pop(process, ())
        for handle, callback, arguments, context in held:
            if not handle.cancelled():
                self.call_soon(callback, *arguments, context=context)

    def release_all(self):
        for process in list(self._held):
            self.release(process)

    def call_soon(self, callback, *arguments, context=None):
        return self._schedule(
            super().call_soon, (), callback, arguments, context
        )

    def call_at(self, when, callback, *arguments, context=None):
        return self._schedule(
            super().call_at, (when,), callback, arguments, context
        )

    def _schedule(self, schedule, when, callback, arguments, context):
        context = context or contextvars.copy_context()
        process = context.get(current_process, '')

        def run():
            if process in self._held:
                row = (handle, callback, arguments, context)
                self._held[process].append(row)
            else:
                callback(*arguments)

        handle = schedule(*when, run, context=context)
        return handle


def run_simulated(coroutine, loop_factory=SimulatedLoop):
    """Run a coroutine to its end in simulated time."""
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(coroutine)
