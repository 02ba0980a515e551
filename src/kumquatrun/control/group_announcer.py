"""Sends the control group to hosts that have not contacted the leader.

A new leader calls all hosts, so that they need not wait until their calls to
the former leader time out. A restarted host may not know any replica: its
settings name the hosts that serve the operator, which need not run a replica.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from kumquatrun.errors import KumquatrunError
from kumquatrun.peer import Address, PeerClient
from kumquatrun.peer.directory_messages import (
    ControlGroup,
    ControlHosts,
    TellControlHosts,
)
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import HostRecord
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# A host without contact for this time is overdue. The time is several renewal
# intervals, since a slow leader must not call hosts whose renewals it has yet
# to process.
CONTACT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 0.5
RETRY_MIN_S = 0.25
RETRY_MAX_S = 4.0
# A host that has not renewed for this time is no longer called. If it returns
# later, it is restarted with the settings that are current then.
HOST_RETENTION_S = 120.0
# Limits the load on the leader, which may have to call hundreds of hosts and
# must also send heartbeats.
MAX_CONCURRENT_CALLS = 128


@dataclass(frozen=True)
class _KnownHost:
    address: Address
    last_contact_s: float
    expires_at_s: float
    next_call_s: float
    retry_delay_s: float = RETRY_MIN_S

    def is_due(self, now_s: float) -> bool:
        """Return whether the host is overdue and the retry delay has passed."""
        is_overdue = now_s - self.last_contact_s > CONTACT_TIMEOUT_S
        return is_overdue and now_s >= self.next_call_s


class GroupAnnouncer:
    """Calls the hosts that do not renew their leases at this leader.

    Parameters
    ----------
    group
        Returns the control group as this replica knows it.
    is_leader
        Returns whether this replica leads.
    identity
        Sent to each host when a connection to it is opened.
    clock
        Source of time.
    """

    def __init__(
        self,
        group: Callable[[], ControlGroup],
        is_leader: Callable[[], bool],
        identity: Hello,
        clock: Clock,
    ) -> None:
        self._group = group
        self._is_leader = is_leader
        self._identity = identity
        self._clock = clock
        self._hosts: dict[str, _KnownHost] = {}
        self._wake = asyncio.Event()
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._calls: set[asyncio.Task] = set()

    def begin_term(self, records: Iterable[HostRecord]) -> None:
        """Treat all registered hosts as overdue until they renew."""
        self._hosts.clear()
        for record in records:
            self._update_host(record, float('-inf'))
        self._wake.set()

    def record_contact(self, record: HostRecord) -> None:
        """Record that a host has registered or renewed its lease."""
        self._update_host(record, self._clock.now_s())

    async def run(self) -> None:
        """Call overdue hosts while this replica leads; never returns."""
        while True:
            if self._is_leader():
                self._call_overdue_hosts()
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            self._wake.clear()

    def _update_host(self, record: HostRecord, last_contact_s: float) -> None:
        if not record.directory_address:
            return
        now_s = self._clock.now_s()
        self._hosts[record.host_id] = _KnownHost(
            address=Address.parse(record.directory_address),
            last_contact_s=last_contact_s,
            expires_at_s=now_s + HOST_RETENTION_S,
            # No delay before the first call to an overdue host.
            next_call_s=last_contact_s,
        )

    def _call_overdue_hosts(self) -> None:
        now_s = self._clock.now_s()
        for host_id, host in list(self._hosts.items()):
            if now_s > host.expires_at_s:
                del self._hosts[host_id]
            elif host.is_due(now_s):
                self._hosts[host_id] = replace(
                    host,
                    next_call_s=now_s + host.retry_delay_s,
                    retry_delay_s=min(2 * host.retry_delay_s, RETRY_MAX_S),
                )
                # A host that does not answer must not delay the others.
                call = asyncio.create_task(self._call(host_id, host))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _call(self, host_id: str, host: _KnownHost) -> None:
        client = PeerClient(host.address, self._identity)
        control_hosts = ControlHosts(group=self._group())
        try:
            async with self._call_slots:
                await client.call(
                    TellControlHosts(hosts=control_hosts), CALL_TIMEOUT_S
                )
        except KumquatrunError as error:
            log_event(
                log,
                'host_not_told',
                level=logging.DEBUG,
                host_id=host_id,
                error=str(error),
            )
        finally:
            await client.close()
