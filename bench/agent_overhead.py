"""Measures the overhead of the agent between caller and engine.

Starts the engine stand-in and an agent as processes on loopback and compares
streams through the agent with streams read from the engine directly::

    python -m bench.agent_overhead --streams 50 --seconds 10
"""

import asyncio
import json
import subprocess
import sys
import time
from types import SimpleNamespace

import aiohttp
import click

from kumquatrun.agent.agent import Agent
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.document.document import Document
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.messages import Ack, Hello
from kumquatrun.peer.node_messages import (
    AcquireLoadSlot,
    HostRecord,
    LoadSlotReply,
)
from kumquatrun.peer.request_messages import Dispatch, Started
from kumquatrun.runtime.clock import LoopClock

HOST = '127.0.0.1'
ENGINE_PORT = 18431
AGENT_PORT = 18432
ENGINE_URL = f'http://{HOST}:{ENGINE_PORT}'
ADAPTER = 'a'
TOKEN_INTERVAL_S = 0.02
# With one request at a time, the engine's token interval would hide the
# differences of a few milliseconds, so that phase uses a short one.
SHORT_INTERVAL_S = 0.002


class Control:
    """Control leader that grants each load slot."""

    async def call(self, request, timeout_s):
        """Answer a call of the agent."""
        if isinstance(request, AcquireLoadSlot):
            return LoadSlotReply(slot_id='s')
        return Ack()


def agent_session():
    """Return a session with a lease that never ends."""
    record = HostRecord(
        host_id='a',
        incarnation='1',
        role='agent',
        address='',
        region='r',
        failure_domain='d',
    )
    return SimpleNamespace(
        record=record,
        view=SimpleNamespace(document=Document(environment='bench')),
        control=Control(),
        lease_valid=lambda: True,
        on_change=lambda listener: None,
        report_agent=lambda source: None,
    )


async def agent_process(streams):
    """Run the agent; prints its CPU time in seconds for each input line."""
    settings = AgentSettings(
        host_id='a',
        listen=Address(HOST, AGENT_PORT),
        service='s',
        backend_url=ENGINE_URL,
        max_running=max(16, streams),
    )
    backend = EngineClient(ENGINE_URL)
    agent = Agent(settings, agent_session(), backend, LoopClock())
    await agent.start()
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(time.process_time(), flush=True)


def body(tokens):
    """Return the JSON of a completion."""
    content = {'model': f'{ADAPTER}@1', 'prompt': 'x', 'max_tokens': tokens}
    return json.dumps(content | {'stream': True}).encode()


class ThroughAgent:
    """Reads streams over a peer connection."""

    def __init__(self):
        identity = Hello(node_id='e', incarnation='1')
        self._client = PeerClient(Address(HOST, AGENT_PORT), identity)
        self._requests = 0

    async def read(self, tokens):
        """Read one stream; returns the time to the first token in seconds."""
        self._requests += 1
        message = Dispatch(
            request_id=f'r{self._requests}',
            attempt=1,
            agent_incarnation='1',
            account='x',
            service='s',
            adapter=ADAPTER,
            version='1',
            path='/v1/completions',
            method='POST',
            body=body(tokens),
            stream=True,
        )
        started_s = time.perf_counter()
        first_s = None
        async with self._client.stream(message) as call:
            async for item in call:
                if first_s is None and not isinstance(item, Started):
                    first_s = time.perf_counter() - started_s
        return first_s

    async def close(self):
        """Close the connection."""
        await self._client.close()


class Direct:
    """Reads streams from the engine."""

    def __init__(self):
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def read(self, tokens):
        """Read one stream; returns the time to the first token in seconds."""
        started_s = time.perf_counter()
        url = f'{ENGINE_URL}/v1/completions'
        async with self._session.post(url, data=body(tokens)) as response:
            await response.content.readany()
            first_s = time.perf_counter() - started_s
            async for _ in response.content.iter_any():
                pass
        return first_s

    async def close(self):
        """Close the session."""
        await self._session.close()


def start(*arguments, **options):
    """Start a Python module as a process."""
    command = [sys.executable, *arguments]
    return subprocess.Popen(command, text=True, **options)


def cpu_s(agent):
    """Ask the agent process for its CPU time."""
    agent.stdin.write('\n')
    agent.stdin.flush()
    return float(agent.stdout.readline())


async def until_ready(caller):
    """Wait until the first stream works."""
    for _ in range(100):
        try:
            return await caller.read(1)
        except Exception:
            await asyncio.sleep(0.1)
    raise TimeoutError('the processes did not start')


async def first_tokens(caller, requests):
    """Return median and 99th percentile of the first token, in ms."""
    times_s = sorted([await caller.read(2) for _ in range(requests)])
    return times_s[requests // 2] * 1000, times_s[requests * 99 // 100] * 1000


async def measure_first_token(agent, requests):
    """Compare the time to the first token, one request at a time."""
    through, direct = ThroughAgent(), Direct()
    await until_ready(through)
    for _ in range(2):
        for name, caller in (('direct', direct), ('agent', through)):
            median_ms, high_ms = await first_tokens(caller, requests)
            click.echo(f'{name} ttft_p50_ms={median_ms:.2f} p99={high_ms:.2f}')
    await through.close()
    await direct.close()


async def measure_streams(agent, streams, seconds):
    """Measure the agent's CPU time per token with open streams."""
    through = ThroughAgent()
    await until_ready(through)
    tokens = int(seconds / TOKEN_INTERVAL_S)
    before_s = cpu_s(agent)
    await asyncio.gather(*(through.read(tokens) for _ in range(streams)))
    used_s = cpu_s(agent) - before_s
    per_token_us = used_s / (streams * tokens) * 1e6
    click.echo(
        f'streams={streams} tokens={streams * tokens}'
        f' agent_cpu_us_per_token={per_token_us:.1f}',
    )
    await through.close()


def run_phase(interval_s, streams, measure):
    """Start the processes, measure and end them."""
    engine = start(
        *('-c', 'from kumquatrun_standins.cli import main; main()'),
        *('engine', '--listen', f'{HOST}:{ENGINE_PORT}'),
        *('--token-interval-s', str(interval_s)),
        *('--max-batch', str(max(16, streams))),
    )
    time.sleep(1)
    agent = start(
        *('-m', 'bench.agent_overhead', '--serve-agent'),
        *('--streams', str(streams)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        asyncio.run(measure(agent))
    finally:
        for process in (agent, engine):
            process.terminate()
            process.wait()


@click.command()
@click.option('--streams', default=50, show_default=True)
@click.option('--seconds', default=10, show_default=True)
@click.option('--requests', default=300, show_default=True)
@click.option('--serve-agent', is_flag=True, hidden=True)
def main(streams, seconds, requests, serve_agent):
    """Print time to first token and CPU time per token of the agent."""
    if serve_agent:
        asyncio.run(agent_process(streams))
        return
    run_phase(
        SHORT_INTERVAL_S,
        streams,
        lambda agent: measure_first_token(agent, requests),
    )
    run_phase(
        TOKEN_INTERVAL_S,
        streams,
        lambda agent: measure_streams(agent, streams, seconds),
    )


if __name__ == '__main__':
    main()
