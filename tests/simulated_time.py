"""An event loop whose time jumps to the next timer instead of passing."""

import asyncio
import selectors


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
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s


def run_simulated(coroutine):
    """Run a coroutine to its end in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(coroutine)
