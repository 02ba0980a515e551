"""Engines and services of the product whose answers are endless or no JSON."""

import pytest
from tests.raw_server import RawServer, answer

from kumquatrun.agent.completions import json_object
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.errors import ConnectionLostError

NESTED = [b'[' * 100_000, b'{"a":' * 100_000]


@pytest.mark.parametrize('text', NESTED, ids=['lists', 'objects'])
def test_json_that_is_nested_too_deeply_is_no_object(text):
    assert json_object(text) is None


@pytest.mark.parametrize('body', NESTED, ids=['lists', 'objects'])
async def test_health_that_is_nested_too_deeply_is_no_answer(body):
    # Guards against an agent that checks its engine no more: an error of
    # another type ended the task that checks it.
    server = await RawServer([answer(body)]).start()
    client = EngineClient(server.url)
    with pytest.raises(ConnectionLostError):
        await client.health()
    await client.close()


@pytest.mark.parametrize('garbage', [b'x' * 60000, b'\x00\xff' * 30000])
async def test_bytes_of_a_broken_answer_are_not_quoted_at_length(garbage):
    # Guards against log lines and answers to callers that grow with what an
    # engine sends.
    server = await RawServer([garbage]).start()
    client = EngineClient(server.url)
    with pytest.raises(ConnectionLostError) as raised:
        await client.health()
    assert len(str(raised.value)) < 400
    await client.close()
