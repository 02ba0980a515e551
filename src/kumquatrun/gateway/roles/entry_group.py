"""The entries of the fleet, as one of them sees them."""

from kumquatrun.gateway.placement.cold_starts import EntryGroup
from kumquatrun.membership.control_client import Session


def entry_ids(session: Session) -> tuple[str, ...]:
    """Return the sorted ids of the registered entries."""
    hosts = session.view.hosts
    return tuple(sorted(host.host_id for host in hosts if host.role == 'entry'))


def entry_count(session: Session) -> int:
    """Return the number of registered entries, at least 1."""
    return max(1, len(entry_ids(session)))


def entry_group(session: Session) -> EntryGroup:
    """Return the registered entries, and whether this one may be among them."""
    return EntryGroup(
        own_id=session.record.host_id,
        entry_ids=entry_ids(session),
        has_lease=session.lease_valid(),
    )
