"""Fakes for the tests of the entry: session, control leader and agents."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from kumquatrun.document.document import (
    Access,
    AccountSpec,
    AdapterSpec,
    Document,
    RouteSpec,
    ServiceKind,
    ServiceSpec,
)
from kumquatrun.errors import (
    ConnectionLostError,
    ControlUnreachableError,
    KumquatrunError,
    Outcome,
    OutcomeUnknownError,
    StaleDispatchError,
)
from kumquatrun.peer import (
    Address,
    PeerServer,
    PeerStream,
    error_to_reply,
)
from kumquatrun.peer.link import SILENCE_LIMIT_S
from kumquatrun.peer.messages import Ack, Hello, encode_message
from kumquatrun.peer.node_messages import GrantReply, GrantTokens, HostRecord
from kumquatrun.peer.request_messages import (
    ClaimReply,
    ClaimRequest,
    Dispatch,
    FinishClaim,
    Finished,
    Started,
)
from kumquatrun.peer.wire import Frame, FrameKind

KEY = 'key-a'
ACCOUNT = 'a'


def make_document(**changes) -> Document:
    fields = {
        'environment': 'trial',
        'accounts': (
            AccountSpec(name='a', rate_tokens_per_s=1000, burst_tokens=10_000),
            AccountSpec(name='b', rate_tokens_per_s=1000, burst_tokens=10_000),
        ),
        'services': (
            ServiceSpec(name='assistant', kind=ServiceKind.ENGINE),
            ServiceSpec(name='ledger', kind=ServiceKind.PLAIN),
        ),
        'adapters': (
            AdapterSpec(name='wheat', service='assistant', versions=('1', '2')),
            AdapterSpec(name='rice', service='assistant', versions=('1',)),
        ),
        'routes': (
            RouteSpec(path='/v1/', service='assistant', idempotent=True),
            RouteSpec(
                path='/open/v1/',
                service='assistant',
                access=Access.OPEN,
                idempotent=True,
            ),
            RouteSpec(path='/private/', service='ledger', accounts=('a',)),
            RouteSpec(path='/ledger/', service='ledger', cost_tokens=5),
            RouteSpec(
                path='/stock/', service='ledger', cost_tokens=5, idempotent=True
            ),
        ),
    }
    return Document(**fields | changes)


class FakeView:
    def __init__(self) -> None:
        self.document = make_document()
        self.keys = {KEY: ACCOUNT, 'key-b': 'b'}
        self.agents: list[HostRecord] = []
        self.reports = {}
        self.fingerprints = {}

    def account_of_key(self, key):
        return self.keys.get(key)

    def agents_of(self, service):
        return [
            agent
            for agent in self.agents
            if agent.service == service and not agent.draining
        ]

    def report_of(self, host_id):
        return self.reports.get(host_id)

    def fingerprint_state(self, fingerprint):
        return self.fingerprints.get(fingerprint, 'clear')


class FakeControl:
    """Control leader that stores claims and grants from ``tokens``."""

    def __init__(self) -> None:
        self.is_reachable = True
        self.lose_replies: Counter[type] = Counter()
        self.tokens = 1_000_000
        self.grants: Counter[int] = Counter()
        self.claims: dict[str, dict] = {}
        self.calls = []

    async def call(self, request, timeout_s):
        self.calls.append(request)
        if not self.is_reachable:
            await asyncio.sleep(timeout_s)
            raise ControlUnreachableError('no leader')
        reply = self._handlers[type(request)](self, request)
        if self.lose_replies[type(request)]:
            self.lose_replies[type(request)] -= 1
            await asyncio.sleep(timeout_s)
            raise ControlUnreachableError('the reply was lost')
        return reply

    def _grant(self, request):
        granted = min(self.tokens, request.wanted_tokens)
        self.tokens -= granted
        self.grants[request.number] = granted
        return GrantReply(granted_tokens=granted, retry_after_s=0.5)

    def _claim(self, request):
        known = self.claims.get(request.claim_key)
        if known is None or known['request_id'] == request.request_id:
            self.claims[request.claim_key] = {
                'request_id': request.request_id,
                'digest': request.body_digest,
                'status': 'in_progress',
                'answer': None,
            }
            return ClaimReply(status='granted')
        if known['digest'] != request.body_digest:
            return ClaimReply(status='mismatch')
        return ClaimReply(status=known['status'], answer=known['answer'])

    def _finish(self, request):
        known = self.claims.get(request.claim_key)
        if known and known['request_id'] == request.request_id:
            if request.outcome is Outcome.NOT_RUN:
                del self.claims[request.claim_key]
            else:
                known['answer'] = request.answer
                known['status'] = (
                    'finished' if request.outcome is Outcome.RAN else 'unknown'
                )
        return Ack()

    _handlers = {
        GrantTokens: _grant,
        ClaimRequest: _claim,
        FinishClaim: _finish,
    }


class FakeSession:
    def __init__(self) -> None:
        self.record = HostRecord(
            host_id='entry-1',
            incarnation='e1',
            role='entry',
            address='127.0.0.1:1',
            region='lahore',
            failure_domain='l1',
        )
        self.view = FakeView()
        self.control = FakeControl()
        self.is_leased = True
        self._listeners = []

    def lease_valid(self):
        return self.is_leased

    def on_change(self, listener):
        self._listeners.append(listener)

    def report_agent(self, source):
        """Entries report no agent state."""

    def report_budgets(self, source):
        self.budget_source = source

    def changed(self):
        for listener in self._listeners:
            listener()


class EndResponse(Exception):  # noqa: N818
    """Lets a fault end a response as if it were complete."""


@dataclass
class FakeAgent:
    """Agent that records every execution; ``start`` opens a real socket."""

    host_id: str = 'agent-1'
    service: str = 'assistant'
    region: str = 'lahore'
    incarnation: str = 'i1'
    chunks: tuple[bytes, ...] = (b'{"choices":', b'[]}')
    content_type: str = 'application/json'
    status: int = 200
    output_tokens: int = 2
    executions: list[Dispatch] = field(default_factory=list)
    dispatches: list[Dispatch] = field(default_factory=list)
    cancelled: int = 0
    open: int = 0
    chunk_delay_s: float = 0
    hook: Callable[..., Awaitable[None]] | None = None

    async def start(self, session) -> None:
        identity = Hello(node_id=self.host_id, incarnation=self.incarnation)
        self.server = PeerServer(identity, self)
        address = await self.server.start(Address('127.0.0.1', 0))
        session.view.agents.append(self.record(str(address)))

    def record(self, address: str) -> HostRecord:
        return HostRecord(
            host_id=self.host_id,
            incarnation=self.incarnation,
            role='agent',
            address=address,
            region=self.region,
            failure_domain='d1',
            service=self.service,
        )

    async def stop(self) -> None:
        await self.server.stop()

    async def handle(self, request, context):
        self.dispatches.append(request)
        self.open += 1
        try:
            return await self.execute(request, context)
        except EndResponse:
            return self.finished(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.open -= 1

    async def execute(self, request, context):
        if request.agent_incarnation != self.incarnation:
            raise StaleDispatchError('other incarnation')
        context.outcome = Outcome.NOT_RUN
        await self.run_hook('received', context)
        self.executions.append(request)
        context.outcome = Outcome.RAN
        await self.run_hook('executed', context)
        await context.send_message(self.started(request))
        await self.run_hook('started', context)
        for number, chunk in enumerate(self.chunks):
            await asyncio.sleep(self.chunk_delay_s)
            await context.send_item(chunk)
            if number == 0:
                await self.run_hook('body', context)
        await self.run_hook('end', context)
        return self.finished(request)

    async def run_hook(self, step, context):
        if self.hook is not None:
            await self.hook(step, self, context)

    def started(self, request, **changes):
        fields = {
            'host_id': self.host_id,
            'adapter': request.adapter,
            'version': request.version,
            'status': self.status,
            'content_type': self.content_type,
        }
        return Started(**fields | changes)

    def finished(self, request):
        return Finished(
            outcome=Outcome.RAN,
            prompt_tokens=1 if request.adapter else 0,
            output_tokens=self.output_tokens if request.adapter else 0,
        )


class FakeCall(PeerStream):
    """One call in memory; both ends of a ``PeerStream``."""

    def __init__(self, agent, request) -> None:
        super().__init__(self, 1)
        self.outcome = Outcome.UNKNOWN
        self.is_silent = False
        self.task = asyncio.create_task(self._serve(agent, request))

    async def send(self, kind, call_id, body):
        self.send_now(kind, call_id, body)

    def send_now(self, kind, call_id, body):
        if kind is FrameKind.CANCEL:
            self.task.cancel()

    async def send_message(self, message):
        await self.send_item(encode_message(message))

    async def send_item(self, item):
        if not self.is_silent:
            self.push(Frame(FrameKind.ITEM, 1, item))

    def lose(self):
        """Cut the connection; the agent notices and ends the call."""
        self.is_silent = True
        self.push(ConnectionLostError('lost'))
        self.task.cancel()

    async def stop_responding(self):
        """Send nothing more; the call ends after the heartbeat limit."""
        self.is_silent = True
        await asyncio.sleep(SILENCE_LIMIT_S)
        self.lose()

    async def _serve(self, agent, request):
        kind = FrameKind.ERROR
        try:
            result = await agent.handle(request, self)
            kind = FrameKind.REPLY
        except KumquatrunError as error:
            result = error_to_reply(error)
        except asyncio.CancelledError:
            error = OutcomeUnknownError('cancelled', outcome=self.outcome)
            result = error_to_reply(error)
        if not self.is_silent:
            self.push(Frame(kind, 1, encode_message(result)))


class FakeNetwork:
    """Connects to agents in memory, so that tests can simulate time."""

    def __init__(self, session) -> None:
        self.session = session
        self.agents: dict[str, FakeAgent] = {}
        self.hook = None

    def add(self, agent) -> FakeAgent:
        address = f'10.0.0.{len(self.agents) + 1}:1'
        self.agents[address] = agent
        self.session.view.agents.append(agent.record(address))
        return agent

    def replace(self, agent, **changes) -> None:
        agents = self.session.view.agents
        self.session.view.agents = [
            replace(each, **changes) if each.host_id == agent.host_id else each
            for each in agents
        ]

    def connect(self, address, identity):
        return FakeClient(self, address)


class FakeClient:
    def __init__(self, network, address) -> None:
        self.address = address
        self._network = network

    async def connect(self):
        if self._network.hook is not None:
            await self._network.hook('connect', self.agent, None)

    async def close(self):
        """Nothing is open between calls."""

    @property
    def agent(self):
        return self._network.agents[str(self.address)]

    @asynccontextmanager
    async def stream(self, request):
        if self._network.hook is not None:
            await self._network.hook('send', self.agent, None)
        call = FakeCall(self.agent, request)
        # The agent receives a request that was written, even if the call is
        # cancelled at once.
        await asyncio.sleep(0)
        try:
            yield call
        finally:
            if not call.is_done:
                call.task.cancel()
            await asyncio.wait([call.task])
