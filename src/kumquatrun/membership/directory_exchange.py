"""Exchange of the known control group between hosts."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from kumquatrun.errors import KumquatrunError
from kumquatrun.membership.control_directory import ControlDirectory
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.directory_messages import ControlHosts, TellControlHosts
from kumquatrun.peer.messages import Hello

log = logging.getLogger(__name__)

# A few round trips between the regions and the delay of a busy host.
EXCHANGE_TIMEOUT_S = 0.5
FIND_INTERVAL_S = 0.25
# After a longer time without a leader all hosts send queries, which must not
# take processor time from the streams of a host.
SLOW_FIND_INTERVAL_S = 1.0
QUICK_ROUNDS = 12


async def exchange_hosts(
    address: Address,
    identity: Hello,
    hosts: ControlHosts,
) -> ControlHosts:
    """Send the known control hosts to a host and return those it knows.

    The connection is closed afterwards: a host rarely queries the same host
    again.

    Raises
    ------
    KumquatrunError
        If the host does not answer in time.
    """
    client = PeerClient(address, identity)
    try:
        return await client.call(
            TellControlHosts(hosts=hosts),
            EXCHANGE_TIMEOUT_S,
        )
    finally:
        await client.close()


class ControlFinder:
    """Queries other hosts for the control group while no leader answers.

    Parameters
    ----------
    directory
        Receives the answers.
    addresses
        Directories of other hosts.
    identity
        Returns the identity of this host.
    has_leader
        Returns whether a leader has answered recently.
    rng
        Adds jitter, so that many hosts do not query at the same time.
    """

    def __init__(
        self,
        directory: ControlDirectory,
        addresses: Iterable[Address],
        identity: Callable[[], Hello],
        has_leader: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._addresses = tuple(addresses)
        self._identity = identity
        self._has_leader = has_leader
        self._rng = rng

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Replace the directories that are queried."""
        self._addresses = tuple(addresses)

    async def run(self) -> None:
        """Send queries at intervals while no leader answers; never returns."""
        rounds = 0
        while True:
            rounds += 1
            if self._has_leader():
                rounds = 0
            else:
                await asyncio.gather(*map(self._query, self._addresses))
            is_quick = rounds < QUICK_ROUNDS
            pause_s = FIND_INTERVAL_S if is_quick else SLOW_FIND_INTERVAL_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.75, 1.25))

    async def _query(self, address: Address) -> None:
        known = ControlHosts(group=self._directory.group)
        try:
            found = await exchange_hosts(address, self._identity(), known)
            # Founding replicas announce themselves. Hosts that repeated their
            # announcements would keep outdated founders alive.
            self._directory.update(ControlHosts(group=found.group))
        except KumquatrunError as error:
            log.debug(
                'event=directory_unreachable address=%s error=%r',
                address,
                str(error),
            )
