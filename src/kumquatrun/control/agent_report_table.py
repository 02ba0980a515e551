"""Agent reports that the leader forwards to the entries."""

from dataclasses import dataclass, field

from kumquatrun.peer.node_messages import AgentReport

# Two replies a second with 32 reports of about 220 bytes are 14 KB/s, within
# the limit of 18 KB/s of control traffic per node. Reports of 730 agents whose
# load changes constantly are then each forwarded once in 12 s.
MAX_REPORTS_PER_REPLY = 32
# Reports in a lost reply count as sent. Unchanged reports are therefore sent
# again after this many replies (10 s).
REPEAT_AFTER_REPLIES = 20


@dataclass
class _EntryProgress:
    """What one entry was sent and at which agent the next reply starts."""

    # Version and reply number of the last report sent, by agent.
    sent: dict[str, tuple[int, int]] = field(default_factory=dict)
    reply_count: int = 0
    next_index: int = 0


class AgentReportTable:
    """Newest report of each agent, and which reports each entry was sent."""

    def __init__(self, reports_per_reply: int = MAX_REPORTS_PER_REPLY) -> None:
        self._reports_per_reply = reports_per_reply
        self._version = 0
        self._reports: dict[str, tuple[int, AgentReport]] = {}
        self._order: tuple[str, ...] = ()
        self._entries: dict[str, _EntryProgress] = {}

    def reports(self) -> tuple[AgentReport, ...]:
        """Return the newest report of each agent."""
        return tuple(report for _, report in self._reports.values())

    def put(self, report: AgentReport) -> None:
        """Record a report; an unchanged one keeps its version."""
        current = self._reports.get(report.host_id)
        if current is not None and current[1] == report:
            return
        self._version += 1
        self._reports[report.host_id] = (self._version, report)
        if current is None:
            self._order = tuple(self._reports)

    def remove(self, host_id: str, incarnation: str) -> None:
        """Remove an expired incarnation of a host."""
        self._entries.pop(incarnation, None)
        current = self._reports.get(host_id)
        if current is None or current[1].incarnation != incarnation:
            return
        del self._reports[host_id]
        self._order = tuple(self._reports)
        for entry in self._entries.values():
            entry.sent.pop(host_id, None)

    def take_changed(self, incarnation: str) -> tuple[AgentReport, ...]:
        """Return some reports that changed since they were last sent.

        Sent reports are tracked per incarnation of an entry, because a
        restarted entry has received none. If not all reports fit, the next
        call continues with the following agent, so that agents whose load
        changes constantly cannot delay the reports of others.
        """
        entry = self._entries.setdefault(incarnation, _EntryProgress())
        entry.reply_count += 1
        changed: list[AgentReport] = []
        count = len(self._order)
        for step in range(count):
            host_id = self._order[(entry.next_index + step) % count]
            version, report = self._reports[host_id]
            if self._is_due(entry, host_id, version):
                entry.sent[host_id] = (version, entry.reply_count)
                changed.append(report)
            if len(changed) == self._reports_per_reply:
                entry.next_index = (entry.next_index + step + 1) % count
                break
        return tuple(changed)

    def _is_due(
        self, entry: _EntryProgress, host_id: str, version: int
    ) -> bool:
        sent = entry.sent.get(host_id)
        if sent is None or sent[0] != version:
            return True
        return entry.reply_count - sent[1] >= REPEAT_AFTER_REPLIES
