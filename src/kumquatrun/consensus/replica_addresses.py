"""Addresses of initial members, current members and joining replicas."""

from collections.abc import Mapping

from kumquatrun.consensus.quorum_node import LogNode, NodeSettings
from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import InvalidRequestError, SettingError
from kumquatrun.peer import Address


def initial_addresses(settings: ReplicaSettings) -> Mapping[str, Address]:
    """Return the addresses of the initial members by replica id.

    For a joining replica, these are the replicas in the settings, which need
    not include it. Any other replica is the only member of its group if the
    settings list no replicas.

    Raises
    ------
    SettingError
        If a replica that does not join is missing in a non-empty list.
    """
    own_id = settings.replica_id
    if settings.join:
        return dict(settings.replicas)
    addresses = dict(settings.replicas) or {own_id: settings.listen}
    if own_id not in addresses:
        raise SettingError(f'replica {own_id} is not in its replica list')
    return addresses


def node_settings(settings: ReplicaSettings) -> NodeSettings:
    """Return the settings of the ``LogNode`` that a replica runs."""
    addresses = initial_addresses(settings)
    own_address = addresses.get(settings.replica_id, settings.listen)
    return NodeSettings(
        replica_id=settings.replica_id,
        address=str(own_address),
        initial_addresses={
            member_id: str(member_address)
            for member_id, member_address in addresses.items()
        },
        joining=settings.join,
        founding_quorum=settings.founding_quorum,
    )


def known_addresses(node: LogNode) -> dict[str, str]:
    """Return all addresses that a node knows, by replica id.

    The address of a joining replica takes precedence over the address in the
    membership, which may be that of the disk to be replaced.
    """
    core = node.core
    addresses = dict(node.learned_addresses)
    for member in core.membership.members:
        addresses[member.replica_id] = member.address
    if core.leadership is not None:
        addresses |= core.leadership.joining_addresses()
    return addresses


def peer_addresses(
    addresses: Mapping[str, str],
    own_id: str,
) -> dict[str, Address]:
    """Parse the addresses of the other replicas; empty ones are left out."""
    return {
        replica_id: Address.parse(address)
        for replica_id, address in addresses.items()
        if address and replica_id != own_id
    }


def check_address(text: str) -> None:
    """Check that a text is a valid address.

    Raises
    ------
    InvalidRequestError
        If the text cannot be parsed as an address.
    """
    try:
        Address.parse(text)
    except ValueError as error:
        raise InvalidRequestError(f'invalid replica address: {error}') from None
