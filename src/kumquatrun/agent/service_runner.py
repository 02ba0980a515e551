"""Runs dispatches on one plain service."""

from collections.abc import Callable

from kumquatrun.agent.backend_http import BackendCall
from kumquatrun.agent.crash_reports import CrashReporter
from kumquatrun.agent.scheduler import Job, Scheduler
from kumquatrun.agent.service_client import ServiceApi
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.errors import ConnectionLostError, Outcome
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer import CallContext
from kumquatrun.peer.request_messages import Dispatch, Finished, Started


class ServiceRunner:
    """Backend runner for a plain service: no adapters, no retries."""

    is_up = True

    def __init__(
        self,
        settings: AgentSettings,
        session: NodeSession,
        service: ServiceApi,
    ) -> None:
        self.scheduler = Scheduler(
            max_running=settings.max_running,
            max_queued=settings.max_queued,
        )
        self._host_id = settings.host_id
        self._service = service
        self._crash_reporter = CrashReporter(settings.host_id, session)

    def make_job(self, dispatch: Dispatch, now_s: float) -> Job:
        """Return the job of a dispatch."""
        return Job(dispatch=dispatch, key=None, queued_s=now_s)

    async def start(self, on_change: Callable[[], None]) -> None:
        """Do nothing: a plain service has no state to watch."""

    def start_loads(self) -> None:
        """Do nothing: a plain service has no adapters."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._crash_reporter.stop()
        await self._service.close()

    async def run(self, job: Job, context: CallContext) -> Finished:
        """Send the call once and relay the response."""
        try:
            finished = await self._relay(job, context)
        except ConnectionLostError as error:
            context.outcome = error.outcome
            # A plain service has no incarnation. If it refuses a new
            # connection right after losing an open one, it has crashed.
            if not await self._service.is_reachable():
                await self._crash_reporter.report()
            raise
        finally:
            self._crash_reporter.batch.discard(job)
        if job.dispatch.alone:
            self._crash_reporter.clear(job.dispatch.fingerprint)
        return finished

    async def _relay(self, job: Job, context: CallContext) -> Finished:
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
            self._crash_reporter.batch.add(job, dispatch.fingerprint)

        async with self._service.call(call, on_sent) as response:
            context.outcome = Outcome.RAN
            started = Started(
                host_id=self._host_id,
                adapter='',
                version='',
                status=response.status,
                content_type=response.content_type,
            )
            await context.send_message(started)
            async for item in response:
                await context.send_item(item)
        return Finished(outcome=Outcome.RAN)
