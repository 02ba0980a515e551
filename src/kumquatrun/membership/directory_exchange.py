"""Exchanges knowledge of the control group with other hosts."""

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

# A few round trips between the regions and the work of a busy host.
EXCHANGE_TIMEOUT_S = 0.5
FIND_INTERVAL_S = 0.25
# After a longer time without a leader all hosts ask, which must not take a
# host's processor from the streams that it carries.
SLOW_FIND_INTERVAL_S = 1.0
QUICK_ROUNDS = 12


async def exchange_hosts(
    address: Address,
    identity: Hello,
    hosts: ControlHosts,
) -> ControlHosts:
    """Tell a host what is known here, and return what it knows.

    The connection is closed afterwards: a host rarely asks the same one again.

    Raises
    ------
    KumquatrunError
        If there is no answer in time.
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
    """Asks for the control group while no leader answers this host.

    Parameters
    ----------
    directory
        Takes what is learned.
    addresses
        Directories of other hosts.
    identity
        Returns the identity of this host.
    is_led
        Returns whether a leader has answered a moment ago.
    rng
        Spreads the questions of many hosts.
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
        """Replace the directories that are asked."""
        self._addresses = tuple(addresses)

    async def run(self) -> None:
        """Ask again and again while there is need; never returns."""
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
            # Founders tell of themselves only, so that old news ends.
            self._directory.update(ControlHosts(group=found.group))
        except KumquatrunError as error:
            log.debug(
                'event=directory_unreachable address=%s error=%r',
                address,
                str(error),
            )
