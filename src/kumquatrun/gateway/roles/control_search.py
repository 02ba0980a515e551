"""Discovery of the control group through the directories of other hosts."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from kumquatrun.errors import KumquatrunError
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.membership.directory_exchange import exchange_hosts
from kumquatrun.peer import Address
from kumquatrun.peer.directory_messages import (
    ControlGroup,
    ControlHosts,
    FoundingReplica,
)
from kumquatrun.peer.messages import Hello
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

EXCHANGE_INTERVAL_S = 0.25
# All hosts start within a fraction of a second. A failure domain whose control
# host is still unknown after this time may not have one.
FOUNDING_WAIT_S = 4.0


class ControlSearch:
    """Exchanges information about the control group with other hosts.

    Parameters
    ----------
    directory
        Control group and founders that this host knows.
    addresses
        Directory addresses to exchange with.
    identity
        Identity of this replica.
    is_settled
        Returns whether the replica is in a group and knows its leader.

    Attributes
    ----------
    founder
        This replica, while it waits to found the group; otherwise None.
    """

    def __init__(
        self,
        directory: ControlDirectory,
        addresses: Iterable[Address],
        identity: Hello,
        is_settled: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._addresses = tuple(addresses)
        self._identity = identity
        self._is_settled = is_settled
        self._last_sent: dict[Address, ControlGroup] = {}
        self.founder: FoundingReplica | None = None

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Replace the directory addresses."""
        self._addresses = tuple(addresses)

    async def run(self) -> None:
        """Exchange with each directory that lacks the newest group.

        Each round includes every directory until the replica is settled.
        Never returns.
        """
        while True:
            group = self._directory.group
            due = [
                address
                for address in self._addresses
                if not self._is_settled()
                or self._last_sent.get(address) != group
            ]
            await asyncio.gather(*(self._exchange(row, group) for row in due))
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    async def _exchange(self, address: Address, group: ControlGroup) -> None:
        founders = () if self.founder is None else (self.founder,)
        known = ControlHosts(group=group, founders=founders)
        try:
            found = await exchange_hosts(address, self._identity, known)
            self._directory.update(found)
        except KumquatrunError as error:
            log.debug(
                'event=directory_unreachable address=%s error=%r',
                address,
                str(error),
            )
            return
        self._last_sent[address] = group


class GroupBootstrap:
    """Decides which replicas found the control group.

    Each founding failure domain has one control host at the first start. The
    group can form without some of them, but only with a majority, so that no
    two groups form.

    Parameters
    ----------
    own
        Replica of this host.
    failure_domains
        Failure domains whose control hosts found the group.
    directory
        Control group and founders that this host knows.
    clock
        Source of time.

    Attributes
    ----------
    own
        The replica of this host.
    """

    def __init__(
        self,
        own: FoundingReplica,
        failure_domains: Iterable[str],
        directory: ControlDirectory,
        clock: Clock,
    ) -> None:
        self.own = own
        self._failure_domains = frozenset(failure_domains)
        self._directory = directory
        self._clock = clock

    @property
    def quorum(self) -> int:
        """Return the number of founders in a majority of all founders."""
        return len(self._failure_domains) // 2 + 1

    async def wait(self) -> dict[str, Address]:
        """Wait for the founders; return {} if the group already exists."""
        began_s = self._clock.now_s()
        while not self._directory.group.term:
            founders = self.founders()
            waited_s = self._clock.now_s() - began_s
            if self._may_form(founders, waited_s):
                log_event(
                    log,
                    'founders_known',
                    founders=','.join(sorted(founders)),
                    waited_ms=round(1000 * waited_s),
                )
                return founders
            await asyncio.sleep(EXCHANGE_INTERVAL_S / 2)
        return {}

    def founders(self) -> dict[str, Address]:
        """Return the addresses of the known founders by replica id."""
        return {
            row.replica_id: Address.parse(row.address)
            for row in self._founding_replicas()
        }

    def _founding_replicas(self) -> list[FoundingReplica]:
        rows = {
            row.replica_id: row
            for row in self._directory.control_hosts.founders
        }
        rows[self.own.replica_id] = self.own
        return [
            row
            for row in rows.values()
            if row.failure_domain in self._failure_domains
        ]

    def _may_form(self, founders: dict[str, Address], waited_s: float) -> bool:
        known_domains = {
            row.failure_domain for row in self._founding_replicas()
        }
        if known_domains == self._failure_domains:
            return True
        is_majority = 2 * len(known_domains) > len(self._failure_domains)
        return is_majority and waited_s > FOUNDING_WAIT_S
