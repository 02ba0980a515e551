"""Reports of agents reach every entry within a bounded number of bytes."""

from kumquatrun.control.agent_report_table import (
    REPEAT_AFTER_REPLIES,
    AgentReportTable,
)
from kumquatrun.peer.node_messages import AgentReport


def report(number, running=0):
    return AgentReport(host_id=f'a{number}', incarnation='1', running=running)


def test_all_agents_in_bounded_replies():
    # Guards against a reply that grows with the fleet, and against agents
    # that are never passed on because the load of others changes.
    table = AgentReportTable(reports_per_reply=4)
    seen = set()
    for round_number in range(5):
        for number in range(20):
            table.put(report(number, running=round_number))
        changed = table.take_changed('entry-1')
        assert len(changed) <= 4
        seen |= {row.host_id for row in changed}
    assert len(seen) == 20


def test_unchanged_report_is_repeated():
    # Guards against a report that is missing for good after a lost reply.
    table = AgentReportTable()
    table.put(report(1))
    lengths = [
        len(table.take_changed('entry-1'))
        for _ in range(REPEAT_AFTER_REPLIES + 1)
    ]
    assert lengths[0] == 1
    assert sum(lengths[1:-1]) == 0
    assert lengths[-1] == 1


def test_removed_agent():
    table = AgentReportTable()
    table.put(report(1))
    table.put(report(2))
    table.remove('a1', 'old')
    table.remove('a1', '1')
    assert [row.host_id for row in table.take_changed('entry-1')] == ['a2']


def test_restarted_entry_gets_all_reports():
    # Guards against a new process that waits 10 s for what its predecessor
    # was sent.
    table = AgentReportTable()
    table.put(report(1))
    assert len(table.take_changed('first')) == 1
    assert len(table.take_changed('first')) == 0
    assert len(table.take_changed('second')) == 1
