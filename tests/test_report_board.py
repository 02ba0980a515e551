"""Reports of agents reach every entry within a bounded number of bytes."""

from kumquatrun.control.report_board import REPEAT_AFTER_REPLIES, ReportBoard
from kumquatrun.peer.node_messages import AgentReport


def report(number, running=0):
    return AgentReport(host_id=f'a{number}', incarnation='1', running=running)


def test_reply_is_bounded_and_no_agent_is_kept_back():
    # Guards against a reply that grows with the fleet, and against agents
    # that are never passed on because the load of others changes.
    board = ReportBoard(reports_per_reply=4)
    seen = set()
    for round_number in range(5):
        for number in range(20):
            board.put(report(number, running=round_number))
        news = board.take_news('entry-1')
        assert len(news) <= 4
        seen |= {row.host_id for row in news}
    assert len(seen) == 20


def test_unchanged_report_is_sent_again_only_after_a_while():
    # Guards against a report that is missing for good after a lost reply.
    board = ReportBoard()
    board.put(report(1))
    lengths = [
        len(board.take_news('entry-1')) for _ in range(REPEAT_AFTER_REPLIES + 1)
    ]
    assert lengths[0] == 1
    assert sum(lengths[1:-1]) == 0
    assert lengths[-1] == 1


def test_removed_agent_is_not_passed_on():
    board = ReportBoard()
    board.put(report(1))
    board.put(report(2))
    board.remove('a1', 'old')
    board.remove('a1', '1')
    assert [row.host_id for row in board.take_news('entry-1')] == ['a2']


def test_restarted_entry_gets_all_reports():
    # Guards against a new process that waits 10 s for what its predecessor
    # was sent.
    board = ReportBoard()
    board.put(report(1))
    assert len(board.take_news('first')) == 1
    assert len(board.take_news('first')) == 0
    assert len(board.take_news('second')) == 1
