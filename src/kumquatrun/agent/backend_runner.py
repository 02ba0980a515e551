"""Interface of the classes that run jobs on a backend server."""

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
        """Return whether the backend server answered the last health check."""
        ...

    def make_job(self, dispatch, now_s: float) -> Job:
        """Return the job of a dispatch."""
        ...

    async def start(self, on_change: Callable[[], None]) -> None:
        """Start the health checks.

        ``on_change`` is called when ``is_up`` or the adapter slots may have
        changed.
        """
        ...

    def start_loads(self) -> None:
        """Start the adapter loads that the scheduler requests."""
        ...

    async def run(self, job: Job, context: CallContext) -> Finished:
        """Run a job that ``scheduler`` has started, and relay its response.

        Raises
        ------
        KumquatrunError
            Its outcome states what is known about the execution.
        """
        ...

    async def stop(self) -> None:
        """Stop the health checks and close the connections."""
        ...
