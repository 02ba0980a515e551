"""What a follower of the feed receives after a restart or a pause."""

import asyncio

import msgpack
import pytest
from tests.control_group import ControlGroup, large_configuration

from kumquatrun.control.feed_log import FeedLog
from kumquatrun.peer.node_messages import FeedItem

ROUTES = 400
# The platform requires that a change is in force within this time.
IN_FORCE_S = 2.5
# Limit for a whole configuration; compressed, one of 400 routes takes 9 KB.
MAX_WHOLE_BYTES = 16 * 1024
# Limit for a delta of three routes and the overhead of the connection.
MAX_DELTA_BYTES = 4 * 1024


async def change(group, versions):
    hosts = list(group.hosts)
    for version in versions:
        content = large_configuration(version, ROUTES, changed=version)
        await group.operate(content, hosts)


async def applied_versions(group, host, region):
    """Start a node; return the versions that it puts into force."""
    applied = []
    session = await group.join(host, region)
    session.on_change(
        lambda: applied.append(session.view.configuration_version)
    )
    async with asyncio.timeout(5):
        newest = max(
            row._host.state.configuration_version
            for row in group.hosts.values()
        )
        while session.view.configuration_version < newest:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    return [version for version in dict.fromkeys(applied) if version]


@pytest.mark.looptime
@pytest.mark.parametrize('past_changes', [2, 60])
async def test_new_follower_receives_newest_version(monkeypatch, past_changes):
    # Guards against a restarted host that applies every version since the
    # first, one by one, and so uses outdated ones for seconds.
    async with ControlGroup(monkeypatch) as group:
        await change(group, range(1, past_changes + 1))
        await asyncio.sleep(1)
        received_bytes = group.network.add_region('alone')
        applied = await applied_versions(group, '10.9.0.1', 'alone')
        assert applied == [past_changes]
        assert received_bytes() < MAX_WHOLE_BYTES


@pytest.mark.looptime
async def test_lagging_follower_receives_one_delta(monkeypatch):
    # Guards against a host that was disconnected briefly and receives each
    # version that it missed, or a whole configuration.
    async with ControlGroup(monkeypatch) as group:
        received_bytes = group.network.add_region('alone')
        await change(group, range(1, 3))
        applied = await applied_versions(group, '10.9.0.1', 'alone')
        session = group.sessions['10.9.0.1']
        group.network.cut_off.add('10.9.0.1')
        await change(group, range(3, 8))
        await asyncio.sleep(3)
        before = received_bytes()
        session.on_change(
            lambda: applied.append(session.view.configuration_version)
        )
        group.network.cut_off.clear()
        async with asyncio.timeout(5):
            while session.view.configuration_version < 7:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
        assert set(applied) == {2, 7}
        assert received_bytes() - before < MAX_DELTA_BYTES
        assert session.view.configuration[1] == large_configuration(
            7, ROUTES, changed=7
        )


@pytest.mark.looptime
@pytest.mark.parametrize('routes', [400, 3000])
async def test_restarted_hosts_apply_newest_version(
    monkeypatch, tmp_path, routes
):
    # Guards against hosts that reach the newest version seconds after a loss
    # of power, and use outdated ones until then.
    async with ControlGroup(monkeypatch, folder=tmp_path) as group:
        hosts = list(group.hosts)
        for version in range(1, 41):
            content = large_configuration(version, routes, changed=version)
            await group.operate(content, hosts)
        await group.restart_all()
        restarted_s = asyncio.get_running_loop().time()
        applied = set()
        for number in range(14):
            region = 'near' if number < 9 else 'far'
            session = await group.join(f'10.9.0.{number}', region)
            session.on_change(
                lambda view=session.view: applied.add(
                    view.configuration_version
                )
            )
        async with asyncio.timeout(60):
            while any(  # noqa: ASYNC110  # polls several views
                session.view.configuration_version < 40
                for session in group.sessions.values()
            ):
                await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - restarted_s < IN_FORCE_S
        assert applied <= {0, 40}


def item(index, kind, body):
    return FeedItem(index=index, kind=kind, body=msgpack.packb(body))


def test_newer_rows_replace_older_ones():
    log = FeedLog()
    log.extend(
        [
            item(1, 'host', ['a', {'address': '1'}]),
            item(2, 'batch', [['host', ['b', None]], ['key', ['k', 1, 2, 3]]]),
            item(3, 'document', [1, 'd', 0, None, b'']),
            item(4, 'adapter_version', ['m', 'a1', 2]),
            item(5, 'host', ['b', {'address': '2'}]),
            item(6, 'document', [2, 'd', 1, b'', None]),
            item(7, 'adapter_version', ['m', 'a1', 3]),
        ]
    )
    assert log.after(0) == [
        item(1, 'host', ['a', {'address': '1'}]),
        item(2, 'key', ['k', 1, 2, 3]),
        item(3, 'document', [1, 'd', 0, None, b'']),
        item(5, 'host', ['b', {'address': '2'}]),
        item(6, 'document', [2, 'd', 1, b'', None]),
        item(7, 'adapter_version', ['m', 'a1', 3]),
    ]
    assert log.replaced_row_count == 2


def test_feed_row_limit():
    log = FeedLog(max_rows=2)
    log.extend([item(at, 'document', [at, '', 0, None, b'']) for at in (1, 2)])
    assert len(log.after(0)) == 2
    log.extend([item(3, 'document', [3, '', 2, b'', None])])
    assert log.after(0) is None
    assert [row.index for row in log.after(1)] == [2, 3]
