"""Entries, agents and engines in one process without sockets.

The decision code is the project's own: ``Relay``, ``AgentPool``,
``BudgetClient``, ``Agent`` and ``ControlState``. Only the transport, the
engine's HTTP server and the consensus in front of the state are replaced.
"""

import asyncio
import json
import random
from collections import deque
from contextlib import asynccontextmanager

from bench.agent_scheduling import LeastRecentlyUsed

from kumquatrun.agent.agent import Agent
from kumquatrun.agent.completions import ServedBy, Usage
from kumquatrun.agent.engine_client import EngineHealth
from kumquatrun.agent.reload_costs import AdapterKey
from kumquatrun.control.agent_report_table import AgentReportTable
from kumquatrun.control.commands import (
    ExpireHost,
    ReportBudgets,
    decode_results,
    encode_batch,
)
from kumquatrun.control.load_slot_queue import LoadSlotQueue
from kumquatrun.daemon.settings import AgentSettings
from kumquatrun.document.document import ServiceKind
from kumquatrun.entry.agent_pool import AgentPool
from kumquatrun.entry.budget_client import BudgetClient
from kumquatrun.entry.claim_client import ClaimClient
from kumquatrun.entry.relay import Relay
from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    ControlUnreachableError,
    KumquatrunError,
    Outcome,
)
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import (
    Address,
    reply_to_error,
)
from kumquatrun.peer.link import CONNECT_TIMEOUT_S, SILENCE_LIMIT_S
from kumquatrun.peer.messages import ErrorReply
from kumquatrun.peer.node_messages import (
    AcquireLoadSlot,
    HostRecord,
    RegisterHost,
    ReleaseLoadSlot,
)
from kumquatrun.runtime.invariants import Invariants
from kumquatrun_standins.engine_core import EngineCore, Generation

SERVICE = 'assistant'
LEASE_S = 3.0
RENEW_S = 0.5
LOCAL_LATENCY_S = 0.001
REMOTE_LATENCY_S = 0.006
COMMIT_S = 0.003


class MemoryGeneration:
    """Answer of the engine core; ``None`` in the core's queue ends it."""

    content_type = 'text/event-stream'

    def __init__(self, core, generation, status):
        self.status = status
        self.served_by = None
        self.usage = Usage()
        self._core = core
        self._generation = generation

    async def __aiter__(self):
        """Yield one event per token."""
        if self.status != 200:
            yield b'{"code": "adapter_not_loaded"}'
            return
        job = self._generation
        self.served_by = ServedBy(
            adapter=job.adapter,
            version=job.version,
            incarnation=self._core.incarnation,
        )
        token = await job.tokens.get()
        while token is not None:
            if not token:
                raise ConnectionLostError('the engine restarted')
            yield f'data: {{"choices": [{{"text": "{token}"}}]}}\n\n'.encode()
            token = await job.tokens.get()
        self.usage = Usage(
            prompt_tokens=len(job.prompt) // 4,
            output_tokens=job.produced,
        )


class MemoryEngine:
    """``EngineApi`` around an engine core and the weight store."""

    kind = ServiceKind.ENGINE

    def __init__(self, options, store):
        self.core = EngineCore(options, on_crash=self._on_crash)
        self.fail_loads = 0
        self._store = store
        self._open = set()
        self._runner = asyncio.create_task(self.core.run())

    async def health(self):
        """Return the core's state."""
        self._check_up()
        return EngineHealth(
            incarnation=self.core.incarnation,
            slots=self.core.options.slots,
            adapters=tuple(AdapterKey(*pair) for pair in self.core.adapters),
        )

    async def load(self, key, fencing_number):
        """Fetch the weights and take a slot."""
        self._check_up()
        incarnation = self.core.incarnation
        await self._store.fetch()
        if self.fail_loads:
            self.fail_loads -= 1
            raise AdapterLoadError('scheduled fault: the load failed')
        if self.core.is_down() or incarnation != self.core.incarnation:
            raise ConnectionLostError('the engine restarted')
        if len(self.core.adapters) >= self.core.options.slots:
            raise AdapterLoadError('no free slot')
        self.core.adapters.add(tuple(key))
        return incarnation

    async def unload(self, key, fencing_number):
        """Free a slot."""
        self._check_up()
        self.core.adapters.discard(tuple(key))
        return self.core.incarnation

    @asynccontextmanager
    async def generate(self, call, on_sent):
        """Run a completion in the core's batch."""
        self._check_up()
        on_sent()
        body = json.loads(call.body)
        generation = Generation(
            request_id=call.request_id,
            adapter=call.key.adapter,
            version=call.key.version,
            prompt=body['prompt'],
            max_tokens=body['max_tokens'],
            priority=call.priority,
        )
        is_held = tuple(call.key) in self.core.adapters
        if is_held:
            self.core.submit(generation)
            self._open.add(generation)
        try:
            yield MemoryGeneration(
                self.core, generation, 200 if is_held else 404
            )
        finally:
            self._open.discard(generation)
            self.core.cancel(generation)

    async def close(self):
        """Stop the core."""
        self._runner.cancel()

    def _check_up(self):
        if self.core.is_down():
            raise ConnectionLostError(
                'connection refused', outcome=Outcome.NOT_RUN
            )

    def _on_crash(self):
        for generation in self._open:
            generation.tokens.put_nowait('')


class MemoryControl:
    """Leader without replicas: state machine, load slots and reports."""

    def __init__(self, network, clock):
        self.state = {}
        self.slots = LoadSlotQueue('bench', clock)
        self.sessions = {}
        self._network = network
        self._clock = clock
        self._report_table = AgentReportTable()
        self._index = 0
        self._applied_s = clock.now_s()

    def set_state(self, state):
        """Set the state machine."""
        self.state = state

    def commit(self, *commands):
        """Apply one batch and send the changes to the nodes."""
        self._index += 1
        elapsed_ms = int((self._clock.now_s() - self._applied_s) * 1000)
        self._applied_s += elapsed_ms / 1000
        encoded = self.state.apply(
            self._index, encode_batch(elapsed_ms, commands)
        )
        for item in self.state.drain_changes():
            for session in self.sessions.values():
                if self._network.reaches_leader(session):
                    session.take_feed(item)
        reply = decode_results(encoded)[-1]
        if isinstance(reply, ErrorReply):
            raise reply_to_error(reply)
        return reply

    async def call(self, session, request, timeout_s):
        """Answer a node's call after the link's delay."""
        if not self._network.reaches_leader(session):
            await asyncio.sleep(timeout_s)
            raise ControlUnreachableError('leader is not reachable')
        delay_s = self._network.leader_delay_s(session)
        await asyncio.sleep(delay_s)
        if isinstance(request, AcquireLoadSlot):
            reply = await self.slots.acquire(request)
        elif isinstance(request, ReleaseLoadSlot):
            reply = self.slots.release(request.slot_id)
        else:
            await asyncio.sleep(COMMIT_S)
            reply = self.commit(request)
        await asyncio.sleep(delay_s)
        return reply

    def renew(self, session):
        """Extend the lease of a node that can reach the leader."""
        if not self._network.reaches_leader(session):
            return
        if session.host_id not in self.sessions:
            session.incarnation += 1
            self.sessions[session.host_id] = session
            reply = self.commit(RegisterHost(record=session.new_record()))
            session.record = reply.record
        if session.view.applied_index < self.state.feed_index:
            session.view.apply(self.state.snapshot_feed())
        if session.agent_source is not None:
            self._report_table.put(session.agent_source())
        if session.budget_source is not None:
            self._take_budgets(session)
            session.view.update_reports(
                self._report_table.take_changed(session.record.incarnation)
            )
        session.lease_until_s = self._clock.now_s() + LEASE_S

    def expire(self):
        """Expire the hosts whose lease has ended."""
        for session in list(self.sessions.values()):
            if not session.lease_valid():
                record = session.record
                self._report_table.remove(record.host_id, record.incarnation)
                del self.sessions[record.host_id]
                self.commit(
                    ExpireHost(
                        host_id=record.host_id, incarnation=record.incarnation
                    )
                )

    def _take_budgets(self, session):
        reports = session.budget_source()
        if reports:
            session.sequence += 1
            self.commit(
                ReportBudgets(
                    host_id=session.record.host_id,
                    incarnation=session.record.incarnation,
                    sequence=session.sequence,
                    reports=reports,
                )
            )


class MemorySession:
    """``NodeSession`` of one process."""

    def __init__(self, host_id, role, domain, control, clock):
        self.host_id = host_id
        self.view = ClusterView()
        self.control = self
        self.incarnation = 0
        self.lease_until_s = 0
        self.sequence = 0
        self.is_lost = False
        self.agent_source = None
        self.budget_source = None
        self._role = role
        self._domain = domain
        self._leader = control
        self._clock = clock
        self._listeners = []
        self._had_lease = False
        self.record = self.new_record()

    def new_record(self):
        """Return the record under which the node registers."""
        return HostRecord(
            host_id=self.host_id,
            incarnation=f'{self.host_id}-{self.incarnation}',
            role=self._role,
            address=f'{self.host_id}:1',
            region=self._domain.partition('-')[0],
            failure_domain=self._domain,
            service=SERVICE if self._role == 'agent' else '',
        )

    def lease_valid(self):
        """Return whether the lease is valid now."""
        return self._clock.now_s() < self.lease_until_s

    def on_change(self, listener):
        """Call ``listener`` after a feed item and when the lease changes."""
        self._listeners.append(listener)

    def report_agent(self, source):
        """Set the source of the agent's report for renewals."""
        self.agent_source = source

    def report_budgets(self, source):
        """Set the source of used tokens for renewals."""
        self.budget_source = source

    async def call(self, request, timeout_s):
        """Call the leader."""
        return await self._leader.call(self, request, timeout_s)

    def take_feed(self, item):
        """Apply a feed item."""
        if item.index > self.view.applied_index > 0:
            self.view.apply(item)
            self.notify()

    def tick(self):
        """Renew the lease and report a change."""
        self._leader.renew(self)
        if self._had_lease != self.lease_valid():
            self._had_lease = not self._had_lease
            self.notify()

    def notify(self):
        """Call the listeners."""
        for listener in self._listeners:
            listener()


class BenchAgent(Agent):
    """Agent without a peer server that records stalls."""

    def __init__(self, *args, on_stall, uses_lru):
        super().__init__(*args)
        self._on_stall = on_stall
        if uses_lru:
            self._runner.scheduler.slots._costs = LeastRecentlyUsed()

    @property
    def scheduler(self):
        """Return the scheduler."""
        return self._runner.scheduler

    async def start(self):
        """Watch the engine and accept dispatches."""
        await self._runner.start(self._run_scheduler)
        self._step('registered')
        self._session.on_change(self._on_session_change)
        self._session.report_agent(self.report)
        self._on_session_change()

    async def _wait_for_turn(self, job):
        is_stalled = not self.scheduler.slots.is_ready(job.key)
        try:
            await super()._wait_for_turn(job)
        finally:
            if is_stalled:
                self._on_stall(
                    job.dispatch.request_id, self._clock.now_s() - job.queued_s
                )


class MemoryCall:
    """Both ends of one streaming call."""

    def __init__(self, record, region):
        self.record = record
        self.region = region
        self.outcome = Outcome.UNKNOWN
        self.reply = None
        self.is_done = False
        self.take_item = None
        self.task = None
        self._is_silent = False
        self._events = deque()
        self._news = asyncio.Event()

    async def serve(self, agent, dispatch, delay_s):
        """Run the agent's side."""
        await asyncio.sleep(delay_s)
        try:
            reply = await agent.handle(dispatch, self)
        except KumquatrunError as error:
            reply = error
        except asyncio.CancelledError:
            reply = ConnectionLostError('call cancelled', outcome=self.outcome)
        self.push(reply)

    async def send_message(self, msg):
        """Send a message as a stream item."""
        self.push(msg)

    async def send_item(self, item):
        """Send a part of the body."""
        if self._events or self.take_item is None or not self.take_item(item):
            self.push(item)

    def push(self, event):
        """Hand an item, reply or error to the caller's side."""
        if not self._is_silent:
            self._events.append(event)
            self._news.set()

    def silence(self):
        """Drop all events; the caller notices it after the silence limit."""
        self._is_silent = True
        self.take_item = None
        self.task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_LIMIT_S, self._report_lost)

    async def cancel(self):
        """Cancel the call."""
        self.task.cancel()
        await asyncio.wait({self.task})
        return Outcome.UNKNOWN if self._is_silent else self.outcome

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.is_done:
            raise StopAsyncIteration
        while not self._events:
            self._news.clear()
            await self._news.wait()
        event = self._events.popleft()
        if isinstance(event, KumquatrunError):
            self.is_done = True
            raise event
        if hasattr(event, 'output_tokens'):
            self.is_done = True
            self.reply = event
            raise StopAsyncIteration
        return event

    def _report_lost(self):
        self._events.append(ConnectionLostError('connection is silent'))
        self._news.set()


class MemoryClient:
    """Connection of one entry to one agent."""

    def __init__(self, cluster, address, region):
        self.address = address
        self._cluster = cluster
        self._region = region

    async def connect(self):
        """Check that the agent can be reached."""
        if not self._cluster.is_reachable(self.address.host, self._region):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectionLostError('no route', outcome=Outcome.NOT_RUN)

    @asynccontextmanager
    async def stream(self, dispatch):
        """Open a call; leaving the block cancels it."""
        node = self._cluster.nodes[self.address.host]
        call = MemoryCall(node.session.record, self._region)
        is_local = node.region == self._region
        delay_s = LOCAL_LATENCY_S if is_local else REMOTE_LATENCY_S
        call.task = asyncio.create_task(
            call.serve(node.agent, dispatch, 2 * delay_s)
        )
        self._cluster.calls.add(call)
        try:
            yield call
        finally:
            self._cluster.calls.discard(call)
            if not call.is_done:
                call.task.cancel()


class EngineNode:
    """Host of one agent and its engine."""

    def __init__(self, host_id, domain, cluster):
        self.host_id = host_id
        self.region = domain.partition('-')[0]
        self._domain = domain
        self._cluster = cluster
        self._starts = 0

    async def start(self):
        """Start agent and engine, both empty."""
        cluster = self._cluster
        self._starts += 1
        self.session = cluster.session(self.host_id, 'agent', self._domain)
        self.session.incarnation = self._starts * 1000
        self.engine = MemoryEngine(cluster.engine_options, cluster.store)
        settings = AgentSettings(
            host_id=self.host_id,
            region=self.region,
            failure_domain=self._domain,
            listen=Address('127.0.0.1', 0),
            service=SERVICE,
            backend_url='',
            max_running=cluster.engine_options.max_batch,
        )
        self.agent = BenchAgent(
            settings,
            self.session,
            self.engine,
            cluster.clock,
            on_stall=cluster.on_stall,
            uses_lru=cluster.uses_lru,
        )
        self.session.tick()
        await self.agent.start()

    async def fail(self):
        """Stop the host without notice to callers or to the leader."""
        self.session.is_lost = True
        for call in list(self._cluster.calls):
            if call.record.host_id == self.host_id:
                call.silence()
        await self.agent.stop()


class Cluster:
    """All nodes; also the network between them."""

    def __init__(self, *, clock, store, engine_options, on_stall, uses_lru):
        self.clock = clock
        self.store = store
        self.engine_options = engine_options
        self.on_stall = on_stall
        self.uses_lru = uses_lru
        self.control = MemoryControl(self, clock)
        self.nodes = {}
        self.relays = {}
        self.calls = set()
        self.is_cut = False
        self.leader_region = ''
        self._sessions = {}

    def session(self, host_id, role, domain):
        """Return a new session of a host."""
        made = MemorySession(host_id, role, domain, self.control, self.clock)
        self._sessions[host_id] = made
        return made

    def add_entry(self, region, policy, rng):
        """Start an entry in a region."""
        session = self.session(f'entry-{region}', 'entry', f'{region}-1')
        session.budget_source = tuple
        session.tick()

        def connect(address, identity):
            return MemoryClient(self, address, region)

        budgets = BudgetClient(session, self.clock)
        session.report_budgets(budgets.take_reports)
        relay = Relay(
            session,
            self.clock,
            AgentPool(session, self.clock, policy, connect),
            budgets,
            ClaimClient(session, self.clock, rng),
            rng=rng,
            invariants=Invariants(is_strict=True),
        )
        session.on_change(budgets.sync_session)
        session.on_change(relay.interrupt_unauthorized)
        self.relays[region] = relay

    async def renew_leases(self):
        """Renew all leases; never returns."""
        while True:
            for session in list(self._sessions.values()):
                session.tick()
            self.control.expire()
            await asyncio.sleep(RENEW_S)

    def cut(self):
        """Cut the link between the regions."""
        self.is_cut = True
        for call in list(self.calls):
            if call.region != call.record.region:
                call.silence()

    def reaches_leader(self, session):
        """Return whether a node can talk to the leader."""
        region = session.record.region
        return not session.is_lost and not (
            self.is_cut and region != self.leader_region
        )

    def leader_delay_s(self, session):
        """Return the one-way delay between a node and the leader."""
        is_local = session.record.region == self.leader_region
        return LOCAL_LATENCY_S if is_local else REMOTE_LATENCY_S

    def is_reachable(self, host_id, region):
        """Return whether an entry can connect to an agent."""
        node = self.nodes[host_id]
        return not node.session.is_lost and not (
            self.is_cut and node.region != region
        )


def seeded(seed, name):
    """Return a random generator for one purpose."""
    return random.Random(f'{seed}/{name}')
