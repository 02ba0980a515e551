"""Register of hosts: records, incarnations and fencing numbers.

An incarnation is live from its registration until ``ExpireHost`` names it. A
newer incarnation of the same host replaces the record at once, but the older
one stays live until then: a paused process may still hold a lease.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from kumquatrun.errors import NotFoundError, StaleIncarnationError
from kumquatrun.peer.messages import encode_message
from kumquatrun.peer.node_messages import HostRecord

# A late registration of an expired incarnation arrives within minutes; at 93
# restarts a day, this many incarnations cover months.
_MAX_EXPIRED_INCARNATIONS = 10_000

Incarnation = tuple[str, str]
ENTRY_ROLE = 'entry'


class HostRegister:
    """Host records and the incarnations that may hold a lease."""

    def __init__(self) -> None:
        self._records: dict[str, HostRecord] = {}
        self._live: dict[Incarnation, None] = {}
        self._expired: OrderedDict[Incarnation, None] = OrderedDict()
        self._fencing_number = 0

    @property
    def records(self) -> Mapping[str, HostRecord]:
        """Return the newest record of each host by host id."""
        return self._records

    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return every live ``(host_id, incarnation)``, replaced ones too."""
        return tuple(self._live)

    def is_live(self, host_id: str, incarnation: str) -> bool:
        """Return whether the incarnation has not expired."""
        return (host_id, incarnation) in self._live

    def check_current(self, host_id: str, incarnation: str) -> HostRecord:
        """Return the record of the current incarnation of a host.

        Raises
        ------
        StaleIncarnationError
            If the host is unknown or has another incarnation.
        """
        record = self._records.get(host_id)
        if record is None or record.incarnation != incarnation:
            raise StaleIncarnationError(
                f'incarnation {incarnation!r} of host {host_id!r} is not '
                'the registered one',
            )
        return record

    def register(self, record: HostRecord) -> HostRecord:
        """Store a record with a new fencing number.

        A repeated registration keeps the fencing number and never undoes a
        drain.

        Raises
        ------
        StaleIncarnationError
            If the incarnation was replaced or has expired.
        """
        current = self._records.get(record.host_id)
        if current and current.incarnation == record.incarnation:
            committed = replace(
                record,
                fencing_number=current.fencing_number,
                draining=record.draining or current.draining,
            )
        else:
            self._check_new((record.host_id, record.incarnation))
            self._fencing_number += 1
            committed = replace(record, fencing_number=self._fencing_number)
            self._live[record.host_id, record.incarnation] = None
        self._records[record.host_id] = committed
        return committed

    def drain(self, host_id: str) -> HostRecord:
        """Mark a host as draining.

        Raises
        ------
        NotFoundError
            If the host is not registered.
        """
        record = self._records.get(host_id)
        if record is None:
            raise NotFoundError(f'host {host_id!r} is not registered')
        self._records[host_id] = replace(record, draining=True)
        return self._records[host_id]

    def expire(self, host_id: str, incarnation: str) -> bool:
        """End an incarnation; return whether the host's record was removed."""
        if self._live.pop((host_id, incarnation), True) is None:
            self._expired[host_id, incarnation] = None
            if len(self._expired) > _MAX_EXPIRED_INCARNATIONS:
                self._expired.popitem(last=False)
        record = self._records.get(host_id)
        if record is None or record.incarnation != incarnation:
            return False
        del self._records[host_id]
        return True

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [
            [host_fields(record) for record in self._records.values()],
            list(self._live),
            list(self._expired),
            self._fencing_number,
        ]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        records, live, expired, fencing_number = content
        self._fencing_number = fencing_number
        self._records = {row['host_id']: HostRecord(**row) for row in records}
        self._live = dict.fromkeys(map(tuple, live))
        self._expired = OrderedDict.fromkeys(map(tuple, expired))

    def _check_new(self, incarnation: Incarnation) -> None:
        if incarnation in self._live or incarnation in self._expired:
            raise StaleIncarnationError(
                f'incarnation {incarnation[1]!r} of host {incarnation[0]!r} '
                'was replaced or has expired',
            )


def host_fields(record: HostRecord) -> dict[str, Any]:
    """Return the fields of a record for msgpack."""
    return encode_message(record)[1]


def host_summary(record: HostRecord | None) -> str:
    """Return a summary for the audit trail."""
    if record is None:
        return ''
    state = 'draining' if record.draining else 'active'
    return (
        f'{record.role} {record.incarnation} at {record.address}, '
        f'fencing number {record.fencing_number}, {state}'
    )
