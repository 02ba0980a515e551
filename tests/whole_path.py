"""Entries, agents, backend servers and control replicas in one process."""

import asyncio
import json
from contextlib import asynccontextmanager

import aiohttp
from tests.control_cluster import control_cluster, eventually
from tests.link_fault import FaultyLink

from kumquatrun.agent.agent import Agent
from kumquatrun.agent.engine_client import EngineClient
from kumquatrun.agent.service_client import ServiceClient
from kumquatrun.daemon.settings import AgentSettings, EntrySettings
from kumquatrun.document.document import ServiceKind
from kumquatrun.document.keys import hash_key
from kumquatrun.entry.entry import Entry
from kumquatrun.peer import Address
from kumquatrun.runtime.clock import LoopClock
from kumquatrun.runtime.invariants import Invariants
from kumquatrun_standins.engine import Engine
from kumquatrun_standins.engine_core import EngineOptions
from kumquatrun_standins.plain_service import PlainService

ANY_PORT = Address('127.0.0.1', 0)
KEY = 'kq-acme'
SMALL_KEY = 'kq-small'
SMALL_RATE, SMALL_BURST = 200.0, 400
READY_S = 6.0
CLIENTS = {
    ServiceKind.ENGINE: EngineClient,
    ServiceKind.PLAIN: ServiceClient,
}


def document():
    accounts = [('acme', 1e6, 1_000_000), ('small', SMALL_RATE, SMALL_BURST)]
    return {
        'environment': 'test',
        'accounts': [
            {'name': name, 'rate_tokens_per_s': rate, 'burst_tokens': burst}
            for name, rate, burst in accounts
        ],
        'services': [
            {'name': 'assistant', 'kind': 'engine'},
            {'name': 'ledger', 'kind': 'plain'},
        ],
        'adapters': [
            {
                'name': f'a{number}',
                'service': 'assistant',
                'versions': ['1', '2'],
            }
            for number in range(12)
        ],
        'routes': [
            {'path': '/v1/', 'service': 'assistant', 'idempotent': True},
            {'path': '/bookings', 'service': 'ledger'},
            {
                'path': '/lookup/',
                'service': 'ledger',
                'access': 'open',
                'idempotent': True,
            },
        ],
    }


class WholePath:
    """One cluster; each agent is reached through a faulty link."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entries = []
        self.agents = {}
        self.links = {}
        self.engines = []
        self.ledger = PlainService()
        self.http = aiohttp.ClientSession()
        self.sessions = {}

    async def start(self, engines, entries, options):
        await self.ledger.start()
        for _ in range(engines):
            self.engines.append(await Engine(options).start())
        for number, engine in enumerate(self.engines, start=1):
            await self.add_agent(
                f'agent-{number}', 'assistant', ServiceKind.ENGINE, engine.url
            )
        await self.add_agent(
            'ledger-1', 'ledger', ServiceKind.PLAIN, self.ledger.url
        )
        for number in range(1, entries + 1):
            await self.add_entry(f'entry-{number}')
        await self.configure()

    async def configure(self):
        await self.cluster.operate(
            'apply_document',
            expected_revision=0,
            content=json.dumps(document()).encode(),
        )
        for key, account in ((KEY, 'acme'), (SMALL_KEY, 'small')):
            await self.cluster.operate(
                'issue_key',
                key_id=account,
                key_hash=hash_key(key),
                account=account,
            )
        sessions = [
            self.sessions[name] for name in self.sessions if 'entry' in name
        ]
        await eventually(
            lambda: all(
                session.lease_valid()
                and session.view.account_of_key(SMALL_KEY)
                and len(session.view.agents_of('assistant'))
                == len(self.engines)
                and all(
                    session.view.report_of(name) is not None
                    for name in self.agents
                )
                for session in sessions
            ),
            READY_S,
        )

    async def add_agent(self, name, service, kind, url):
        link = FaultyLink(ANY_PORT)
        await link.start()
        session = await self.cluster.join(
            name, role='agent', service=service, address=str(link.address)
        )
        await eventually(session.lease_valid, READY_S)
        settings = AgentSettings(
            host_id=name,
            listen=ANY_PORT,
            service=service,
            backend_url=url,
            backend_kind=kind,
        )
        agent = Agent(settings, session, CLIENTS[kind](url), LoopClock())
        await agent.start()
        link.target = agent.address
        self.agents[name] = agent
        self.links[name] = link
        self.sessions[name] = session

    async def add_entry(self, name):
        session = await self.cluster.join(name)
        await eventually(session.lease_valid, READY_S)
        entry = Entry(
            EntrySettings(host_id=name, http_listen=ANY_PORT),
            session,
            LoopClock(),
            invariants=Invariants(is_strict=True),
        )
        await entry.start()
        self.entries.append(entry)
        self.sessions[name] = session

    async def post(self, path, body, key=KEY, entry=0, **headers):
        """Return status, headers and body; status 0 if the connection ends."""
        fields = {
            name.replace('_', '-'): content for name, content in headers.items()
        }
        fields['Authorization'] = f'Bearer {key}'
        url = f'http://{self.entries[entry].address}{path}'
        try:
            async with self.http.post(url, json=body, headers=fields) as answer:
                return answer.status, answer.headers, await answer.read()
        except aiohttp.ClientError:
            return 0, {}, b''

    async def complete(self, model='a1@1', tokens=4, stream=False, **more):
        body = {
            'model': model,
            'prompt': more.pop('prompt', 'Say it'),
            'max_tokens': tokens,
            'stream': stream,
        }
        return await self.post('/v1/completions', body, **more)

    def leases(self):
        """Return for each host the time until its lease ends, in seconds."""
        now_s = LoopClock().now_s()
        return {
            name: round(session._lease_ends_at_s - now_s, 3)
            for name, session in self.sessions.items()
        }

    async def stop(self):
        await self.http.close()
        for entry in self.entries:
            await entry.stop()
        for agent in self.agents.values():
            await agent.stop()
        for link in self.links.values():
            await link.stop()
        for engine in self.engines:
            await engine.stop()
        await self.ledger.stop()


@asynccontextmanager
async def whole_path(engines=2, entries=2, **options):
    options = {'load_s': 0.05, 'token_interval_s': 0.005, **options}
    async with control_cluster() as cluster:
        path = WholePath(cluster)
        try:
            await path.start(engines, entries, EngineOptions(**options))
            yield path
        finally:
            await path.stop()


def text_of(body):
    return json.loads(body)['choices'][0]['text']


def expected_text(model, tokens):
    return ''.join(f'{model}:{number} ' for number in range(tokens))


def outcome_of(answer):
    status, headers, _ = answer
    return headers.get('x-kumquatrun-outcome', '') if status else 'cut'


async def gather_in_time(calls, timeout_s=30):
    async with asyncio.timeout(timeout_s):
        return await asyncio.gather(*calls)
