"""Gateway entry over HTTP: routes, keys, failures and crash limits."""

import asyncio
import json

import pytest
from tests.gateway_fakes import (
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedBackend,
    chunk,
    configuration,
    event,
    http_response,
)
from tests.gateway_host import one_service, served


async def test_request_waits_for_the_first_configuration():
    # Guards against errors after a restart of the whole system: entries
    # responded before a leader had sent them the configuration.
    async with served(ScriptedBackend([http_response()])) as host:
        asked = asyncio.create_task(host.answer('/draft/a'))
        await asyncio.sleep(0.1)
        host.session.configure(one_service())
        assert (await asked)[0] == 200


async def test_outdated_configuration_is_not_used():
    # Guards against the routes and keys of an old version after a restart,
    # although the leader has announced a newer version to the entry.
    async with served(ScriptedBackend([http_response()])) as host:
        host.session.announced_version = 9
        host.session.configure(one_service())
        assert host.entry.not_ready_reason()
        for path in ('/draft/a', '/added/a'):
            assert (await host.answer(path))[0] == 503
        routes = json.loads(one_service())['routes']
        routes[0]['path_prefix'] = '/added/'
        host.session.configure(configuration(version=9, routes=routes))
        assert not host.entry.not_ready_reason()
        assert (await host.answer('/added/a'))[0] == 200
        assert (await host.answer('/draft/a'))[0] == 404


async def test_404_and_401_need_newest_configuration():
    # Guards against a wrong 404 or 401 while the configuration that adds the
    # route or the key has not arrived yet.
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        host.session.announced_version = 9
        async with host.ask('/added/a') as response:
            assert response.status == 503
            assert float(response.headers['Retry-After']) < 1
        assert (await host.answer('/draft/a', key='key-9'))[0] == 503
        assert (await host.answer('/draft/a'))[0] == 200


async def test_entry_without_a_configuration_is_not_ready():
    # Guards against a new host that responds with 404 because it does not have
    # the routes yet.
    async with served(ScriptedBackend([http_response()])) as host:
        assert host.entry.not_ready_reason()
        assert (await host.answer('/draft/a'))[0] == 503


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/draft/a', 'key-1', 200),
        ('/draft/a', 'key-9', 401),
        ('/draft/a', '', 401),
        ('/draft/long/a', '', 200),
        ('/other/a', 'key-1', 404),
    ],
)
async def test_routes_and_keys(path, key, status):
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        assert (await host.answer(path, key=key))[0] == status


async def test_removed_key_is_rejected():
    async with served(
        ScriptedBackend([http_response()]), content=one_service()
    ) as host:
        host.session.configure(configuration(version=8, tenants=[]))
        assert (await host.answer('/draft/a'))[0] == 401


async def test_stream_reaches_the_caller():
    script = [STREAM_HEAD, chunk(event(1)), chunk(event(2)), LAST_CHUNK]
    async with served(ScriptedBackend(script), content=one_service()) as host:
        status, body = await host.answer('/draft/a')
    assert (status, body) == (200, event(1) + event(2))


async def test_failure_after_a_send_is_502():
    async with served(
        ScriptedBackend(['close']), content=one_service()
    ) as host:
        assert (await host.answer('/draft/long/a'))[0] == 502


async def test_route_timeout():
    # Guards against a caller that waits beyond the timeout of the route.
    async with served(ScriptedBackend([3]), content=one_service()) as host:
        began_s = asyncio.get_running_loop().time()
        assert (await host.answer('/draft/long/a'))[0] == 504
        assert asyncio.get_running_loop().time() - began_s < 1.3


async def test_caller_disconnect_ends_request():
    # Guards against a request that stays open after its caller disconnected.
    runner = ScriptedBackend(
        [STREAM_HEAD, chunk(event(1)), 0.2, chunk(event(2)), 5]
    )
    async with served(runner, content=one_service()) as host:
        async with host.ask('/draft/a') as response:
            await response.content.readany()
            response.close()
        await asyncio.sleep(0.4)
        assert host.entry.open_requests == 0


async def test_crashing_request_is_refused():
    # Guards against a request that crashes one backend server after another
    # because its caller retries it.
    runners = [ScriptedBackend(['close'], ['close'], ['close'], ['close'])]
    async with served(*runners, content=one_service()) as host:
        statuses = [
            (await host.answer('/draft/long/a', data=b'poison'))[0]
            for _ in range(6)
        ]
    assert statuses[:3] == [502, 502, 502]
    assert set(statuses[3:]) == {503}
    assert len(runners[0].requests) == 3
