"""Interface between the agent and what runs behind it."""

from collections.abc import Callable
from typing import Protocol

from kumquatrun.agent.scheduler import Job, Scheduler
from kumquatrun.peer import CallContext
from kumquatrun.peer.request_messages import Finished


class BackendRunner(Protocol):
    """Runs jobs on one backend server.

    Attributes
    ----------
    scheduler
        Queue, batch and adapter slots of the backend server.
    """

    scheduler: Scheduler

    @property
    def is_up(self) -> bool:
        """Return whether the backend server answered the last check."""
        ...

    def make_job(self, dispatch, now_s: float) -> Job:
        """Return the job of a dispatch."""
        ...

    async def start(self, on_change: Callable[[], None]) -> None:
        """Start the checks; ``on_change`` follows each change of state."""
        ...

    def start_loads(self) -> None:
        """Start the loads that the scheduler asks for."""
        ...

    async def run(self, job: Job, context: CallContext) -> Finished:
        """Run a started job and send its answer.

        Raises
        ------
        KumquatrunError
            With what is known about the execution as its outcome.
        """
        ...

    async def stop(self) -> None:
        """Stop the checks and close the connections."""
        ...
