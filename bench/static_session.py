"""A node session without a control plane, for measurements of one path."""

from typing import Any

from kumquatrun.document.document import (
    AccountSpec,
    AdapterSpec,
    Document,
    RouteSpec,
    ServiceKind,
    ServiceSpec,
)
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import (
    AcquireLoadSlot,
    GrantReply,
    GrantTokens,
    HostRecord,
    LoadSlotReply,
)

KEY = 'bench-key'
ACCOUNT = 'bench'
SERVICE = 'assistant'
REGION = 'local'
ADAPTER = 'wheat'
BURST_TOKENS = 2**40

DOCUMENT = Document(
    environment='trial',
    accounts=(
        AccountSpec(
            name=ACCOUNT,
            rate_tokens_per_s=float(BURST_TOKENS),
            burst_tokens=BURST_TOKENS,
        ),
    ),
    services=(ServiceSpec(name=SERVICE, kind=ServiceKind.ENGINE),),
    adapters=(AdapterSpec(name=ADAPTER, service=SERVICE, versions=('1',)),),
    routes=(RouteSpec(path='/v1/', service=SERVICE, idempotent=True),),
)


def host_record(host_id: str, role: str, address: str) -> HostRecord:
    """Return the record of a host in this measurement."""
    return HostRecord(
        host_id=host_id,
        incarnation=f'{host_id}-1',
        role=role,
        address=address,
        region=REGION,
        failure_domain=REGION,
        service=SERVICE if role == 'agent' else '',
    )


class StaticControl:
    """Control leader that grants every request at once."""

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Answer a call of an entry or agent."""
        if isinstance(request, GrantTokens):
            return GrantReply(granted_tokens=request.wanted_tokens)
        if isinstance(request, AcquireLoadSlot):
            return LoadSlotReply(slot_id='slot')
        return Ack()


class StaticView:
    """Shared state that never changes."""

    document = DOCUMENT

    def __init__(self, agents: tuple[HostRecord, ...]) -> None:
        self._agents = agents

    def account_of_key(self, key: str) -> str | None:
        """Return the only account."""
        return ACCOUNT if key == KEY else None

    def agents_of(self, service: str) -> tuple[HostRecord, ...]:
        """Return the agents."""
        return self._agents if service == SERVICE else ()

    def report_of(self, host_id: str) -> None:
        """Return no report: there are no lease renewals."""

    def fingerprint_state(self, fingerprint: str) -> str:
        """Return that no fingerprint is suspect."""
        return 'clear'


class StaticSession:
    """Membership that is always valid."""

    def __init__(
        self,
        record: HostRecord,
        agents: tuple[HostRecord, ...] = (),
    ) -> None:
        self.record = record
        self.view = StaticView(agents)
        self.control = StaticControl()

    def lease_valid(self) -> bool:
        """Return that the lease is valid."""
        return True

    def on_change(self, listener: Any) -> None:
        """Ignore the listener: nothing changes."""

    def report_agent(self, source: Any) -> None:
        """Ignore the source: there are no renewals."""

    def report_budgets(self, source: Any) -> None:
        """Ignore the source: there are no renewals."""
