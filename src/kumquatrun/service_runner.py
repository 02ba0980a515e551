"""Runs dispatches on one plain service."""

from collections.abc import Callable

from kumquatrun.backend_http import BackendCall
from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.messages import Dispatch, Finished, Started
from kumquatrun.peer import CallContext
from kumquatrun.scheduler import Job, Scheduler
from kumquatrun.service_client import ServiceApi
from kumquatrun.settings import AgentSettings


class ServiceRunner:
    """Backend runner for a plain service: no adapters, no repetition."""

    is_up = True

    def __init__(self, settings: AgentSettings, service: ServiceApi) -> None:
        self.scheduler = Scheduler(
            max_running=settings.max_running,
            max_queued=settings.max_queued,
        )
        self._host_id = settings.host_id
        self._service = service

    def make_job(self, dispatch: Dispatch, now_s: float) -> Job:
        """Return the job of a dispatch."""
        return Job(dispatch=dispatch, key=None, queued_s=now_s)

    async def start(self, on_change: Callable[[], None]) -> None:
        """Do nothing: a plain service has no state to watch."""

    def start_loads(self) -> None:
        """Do nothing: a plain service has no adapters."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._service.close()

    async def run(self, job: Job, context: CallContext) -> Finished:
        """Send the call once and relay the answer."""
        dispatch = job.dispatch
        call = BackendCall(
            request_id=dispatch.request_id,
            method=dispatch.method,
            path=dispatch.path,
            body=dispatch.body,
            content_type=dispatch.content_type,
        )

        def on_sent() -> None:
            context.outcome = Outcome.UNKNOWN

        try:
            async with self._service.call(call, on_sent) as answer:
                context.outcome = Outcome.RAN
                started = Started(
                    host_id=self._host_id,
                    adapter='',
                    version='',
                    status=answer.status,
                    content_type=answer.content_type,
                )
                await context.send_message(started)
                async for item in answer:
                    await context.send_item(item)
        except ConnectionLostError as error:
            context.outcome = error.outcome
            raise
        return Finished(outcome=Outcome.RAN)
