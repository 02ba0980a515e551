"""Soft state of the agents, passed on to the entries by the leader."""

from dataclasses import dataclass

from kumquatrun.messages import AgentReport

# A renewal whose reply was lost has marked reports as sent that never
# arrived; sending all of them now and then repairs that.
FULL_REPORT_EVERY = 20


@dataclass(frozen=True)
class _Cursor:
    version: int
    replies: int


class ReportBoard:
    """Newest report of each agent and what each entry has received."""

    def __init__(self) -> None:
        self._version = 0
        self._reports: dict[str, tuple[int, AgentReport]] = {}
        self._cursors: dict[str, _Cursor] = {}

    def reports(self) -> tuple[AgentReport, ...]:
        """Return the newest report of each agent."""
        return tuple(report for _, report in self._reports.values())

    def put(self, report: AgentReport) -> None:
        """Record a report; an unchanged one is not passed on again."""
        known = self._reports.get(report.host_id)
        if known is None or known[1] != report:
            self._version += 1
            self._reports[report.host_id] = (self._version, report)

    def remove(self, host_id: str) -> None:
        """Remove an expired host."""
        self._reports.pop(host_id, None)
        self._cursors.pop(host_id, None)

    def take_news(self, host_id: str) -> tuple[AgentReport, ...]:
        """Return the reports that changed since the entry's last call."""
        cursor = self._cursors.get(host_id, _Cursor(0, 0))
        is_full = cursor.replies % FULL_REPORT_EVERY == 0
        seen = 0 if is_full else cursor.version
        self._cursors[host_id] = _Cursor(self._version, cursor.replies + 1)
        return tuple(
            report
            for version, report in self._reports.values()
            if version > seen
        )
