"""Interfaces between the control plane and the nodes that use it."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from kumquatrun.peer.node_messages import AgentReport, BudgetReport, HostRecord

if TYPE_CHECKING:
    from kumquatrun.document.document import Document


class ControlApi(Protocol):
    """Calls the control leader."""

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request to the leader and return its reply.

        The client finds the leader again after ``not_leader`` or a lost
        connection. It resends a request whose outcome is unknown only if it is
        one of the messages that the leader deduplicates.

        Raises
        ------
        ControlUnreachableError
            If no leader answered in time.
        """
        ...


class ClusterState(Protocol):
    """A node's copy of the shared state."""

    @property
    def document(self) -> 'Document':
        """Return the document in force; empty before the first document."""
        ...

    def account_of_key(self, key: str) -> str | None:
        """Return the account of an issued key, None if unknown or revoked."""
        ...

    def agents_of(self, service: str) -> Sequence[HostRecord]:
        """Return the agents of a service that are not draining."""
        ...

    def report_of(self, host_id: str) -> AgentReport | None:
        """Return the newest report of an agent."""
        ...

    def fingerprint_state(self, fingerprint: str) -> str:
        """Return ``clear``, ``suspect`` or ``quarantined``."""
        ...


class NodeSession(Protocol):
    """A node's membership: registration, lease and feed."""

    @property
    def record(self) -> HostRecord:
        """Return the committed host record with its fencing number."""
        ...

    @property
    def view(self) -> ClusterState:
        """Return the node's copy of the shared state."""
        ...

    @property
    def control(self) -> ControlApi:
        """Return the connection to the leader."""
        ...

    def lease_valid(self) -> bool:
        """Return whether the lease is valid now."""
        ...

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each feed item and when the lease ends."""
        ...

    def report_agent(self, source: Callable[[], AgentReport]) -> None:
        """Set the source of the agent reports that renewals carry."""
        ...

    def report_budgets(
        self,
        source: Callable[[], tuple[BudgetReport, ...]],
    ) -> None:
        """Set the source of the budget reports that renewals carry."""
        ...
