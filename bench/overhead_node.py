"""Runs one entry or agent of the overhead measurement until it is stopped."""

import asyncio
from contextlib import suppress

import click
from bench.static_session import REGION, SERVICE, StaticSession, host_record

from kumquatrun.agent.agent import Agent
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.daemon.settings import AgentSettings, EntrySettings
from kumquatrun.entry.entry import Entry
from kumquatrun.peer import Address
from kumquatrun.runtime.clock import LoopClock

MAX_RUNNING = 256
AGENT_ID = 'agent-1'


async def _serve(server: Entry | Agent) -> None:
    await server.start()
    click.echo('ready')
    await asyncio.Event().wait()


@click.group()
def main() -> None:
    """Start a process of the overhead measurement."""


@main.command()
@click.option('--listen', type=Address.parse, required=True)
@click.option('--engine-url', required=True)
def agent(listen: Address, engine_url: str) -> None:
    """Serve dispatches for one engine."""
    settings = AgentSettings(
        host_id=AGENT_ID,
        region=REGION,
        listen=listen,
        service=SERVICE,
        backend_url=engine_url,
        max_running=MAX_RUNNING,
    )
    session = StaticSession(host_record(AGENT_ID, 'agent', str(listen)))

    async def run() -> None:
        engine = EngineClient(engine_url)
        await _serve(Agent(settings, session, engine, LoopClock()))

    with suppress(KeyboardInterrupt):
        asyncio.run(run())


@main.command()
@click.option('--listen', type=Address.parse, required=True)
@click.option('--agent-address', required=True)
def entry(listen: Address, agent_address: str) -> None:
    """Serve callers with one agent."""
    settings = EntrySettings(
        host_id='entry-1',
        region=REGION,
        http_listen=listen,
        max_connections=4000,
    )
    session = StaticSession(
        host_record('entry-1', 'entry', str(listen)),
        (host_record(AGENT_ID, 'agent', agent_address),),
    )

    async def run() -> None:
        await _serve(Entry(settings, session, LoopClock()))

    with suppress(KeyboardInterrupt):
        asyncio.run(run())


if __name__ == '__main__':
    main()
