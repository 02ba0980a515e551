"""Control group that a host knows, and its exchange with other hosts."""

import logging
from collections.abc import Callable
from typing import Any

from kumquatrun.errors import InvalidRequestError
from kumquatrun.peer import Address, CallContext, PeerHandler
from kumquatrun.peer.directory_messages import (
    ControlGroup,
    ControlHosts,
    FoundingReplica,
    TellControlHosts,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.listeners import Listeners
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# ``ControlDirectory.control_hosts`` omits founding replicas whose last
# announcement is older than this. Each founding replica announces itself
# several times a second to the directory addresses in its settings, until the
# group is formed.
FOUNDER_TTL_S = 10.0


class ControlDirectory:
    """Newest known control group, and replicas that are about to form one.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._group = ControlGroup()
        self._founders: dict[str, FoundingReplica] = {}
        self._founder_updated_at_s: dict[str, float] = {}
        self._listeners = Listeners()

    @property
    def group(self) -> ControlGroup:
        """Return the newest known group; its term is 0 if none is known."""
        return self._group

    @property
    def control_hosts(self) -> ControlHosts:
        """Return the known group and the recent founding replicas."""
        return ControlHosts(group=self._group, founders=self._recent_founders())

    @property
    def leader_address(self) -> Address | None:
        """Return the address of the leader, or None if it is unknown."""
        leader = self._group.leader
        return Address.parse(leader) if leader else None

    @property
    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all members."""
        members = self._group.members
        return tuple(Address.parse(member.address) for member in members)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a change of the leader or the members."""
        self._listeners.add(listener)

    def update(self, received: ControlHosts) -> None:
        """Merge the group and the founding replicas that another host knows.

        Raises
        ------
        InvalidRequestError
            If one of the addresses is invalid.
        """
        _check_addresses(received)
        if received.group.is_newer_than(self._group):
            self._update_group(received.group)
        if self._group.term:
            self._founders.clear()
            return
        now_s = self._clock.now_s()
        for founder in received.founders:
            self._founders[founder.replica_id] = founder
            self._founder_updated_at_s[founder.replica_id] = now_s

    def _update_group(self, group: ControlGroup) -> None:
        previous = self._group
        self._group = group
        is_changed = (group.leader, group.members) != (
            previous.leader,
            previous.members,
        )
        if not is_changed:
            return
        log_event(
            log,
            'control_group_known',
            term=group.term,
            leader=group.leader,
            members=','.join(member.address for member in group.members),
            former_term=previous.term,
        )
        self._listeners.notify()

    def _recent_founders(self) -> tuple[FoundingReplica, ...]:
        oldest_s = self._clock.now_s() - FOUNDER_TTL_S
        return tuple(
            founder
            for founder_id, founder in self._founders.items()
            if self._founder_updated_at_s[founder_id] >= oldest_s
        )


class DirectoryHandler:
    """Exchanges the known control group and forwards other calls.

    Implements the ``PeerHandler`` protocol.
    """

    def __init__(
        self,
        directory: ControlDirectory,
        fallback: PeerHandler | None = None,
    ) -> None:
        self._directory = directory
        self._fallback = fallback

    async def handle(self, request: Any, context: CallContext) -> Any:
        """Return the reply message, or raise a ``KumquatrunError``."""
        if isinstance(request, TellControlHosts):
            self._directory.update(request.hosts)
            return self._directory.control_hosts
        if self._fallback is None:
            raise InvalidRequestError(f'unexpected {type(request).__name__}')
        return await self._fallback.handle(request, context)


def _check_addresses(received: ControlHosts) -> None:
    group = received.group
    replicas = (*group.members, *received.founders)
    addresses = [replica.address for replica in replicas]
    if group.leader:
        addresses.append(group.leader)
    try:
        for address_text in addresses:
            Address.parse(address_text)
    except ValueError as error:
        raise InvalidRequestError(f'invalid control hosts: {error}') from None
