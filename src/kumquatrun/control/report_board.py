"""Soft state of the agents, passed on to the entries by the leader."""

from dataclasses import dataclass, field

from kumquatrun.peer.node_messages import AgentReport

# Two replies a second with 32 reports of about 190 bytes are 12 KB/s, within
# the 18 KB/s that control may cost a node. 730 agents whose load changes all
# the time are then passed on once in 12 s.
MAX_REPORTS_PER_REPLY = 32
# A reply that was lost has marked reports as sent that never arrived; sending
# unchanged ones again after this many replies (10 s) repairs that.
REPEAT_AFTER_REPLIES = 20


@dataclass
class _Follower:
    """What one entry was sent: version and reply number by agent."""

    sent: dict[str, tuple[int, int]] = field(default_factory=dict)
    replies: int = 0
    position: int = 0


class ReportBoard:
    """Newest report of each agent and what each entry has received."""

    def __init__(self, reports_per_reply: int = MAX_REPORTS_PER_REPLY) -> None:
        self._reports_per_reply = reports_per_reply
        self._version = 0
        self._reports: dict[str, tuple[int, AgentReport]] = {}
        self._order: tuple[str, ...] = ()
        self._followers: dict[str, _Follower] = {}

    def reports(self) -> tuple[AgentReport, ...]:
        """Return the newest report of each agent."""
        return tuple(report for _, report in self._reports.values())

    def put(self, report: AgentReport) -> None:
        """Record a report; an unchanged one is not passed on again."""
        known = self._reports.get(report.host_id)
        if known is not None and known[1] == report:
            return
        self._version += 1
        self._reports[report.host_id] = (self._version, report)
        if known is None:
            self._order = tuple(self._reports)

    def remove(self, host_id: str, incarnation: str) -> None:
        """Remove an expired incarnation of a host."""
        self._followers.pop(incarnation, None)
        known = self._reports.get(host_id)
        if known is None or known[1].incarnation != incarnation:
            return
        del self._reports[host_id]
        self._order = tuple(self._reports)
        for follower in self._followers.values():
            follower.sent.pop(host_id, None)

    def take_news(self, incarnation: str) -> tuple[AgentReport, ...]:
        """Return some reports that changed since they were last sent.

        What was sent is kept for each incarnation of an entry, because a
        restarted one knows nothing. Goes round the agents, so that those whose load changes all the time
        cannot keep the reports of the others back.
        """
        follower = self._followers.setdefault(incarnation, _Follower())
        follower.replies += 1
        news: list[AgentReport] = []
        count = len(self._order)
        for step in range(count):
            host_id = self._order[(follower.position + step) % count]
            version, report = self._reports[host_id]
            if self._is_due(follower, host_id, version):
                follower.sent[host_id] = (version, follower.replies)
                news.append(report)
            if len(news) == self._reports_per_reply:
                follower.position = (follower.position + step + 1) % count
                break
        return tuple(news)

    def _is_due(self, follower: _Follower, host_id: str, version: int) -> bool:
        sent = follower.sent.get(host_id)
        if sent is None or sent[0] != version:
            return True
        return follower.replies - sent[1] >= REPEAT_AFTER_REPLIES
