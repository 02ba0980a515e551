"""Addresses of the replicas of a group: initial, recorded and joining."""

from collections.abc import Mapping

from kumquatrun.consensus.quorum_node import LogNode, NodeSettings
from kumquatrun.daemon.settings import ReplicaSettings
from kumquatrun.errors import InvalidRequestError, SettingError
from kumquatrun.peer import Address


def initial_addresses(settings: ReplicaSettings) -> Mapping[str, Address]:
    """Return the addresses of the initial members by replica id.

    Without a list of replicas, the replica is the single member of its group.

    Raises
    ------
    SettingError
        If the list does not include this replica.
    """
    own_id = settings.replica_id
    if settings.join:
        return dict(settings.replicas)
    addresses = dict(settings.replicas) or {own_id: settings.listen}
    if own_id not in addresses:
        raise SettingError(f'replica {own_id} is not in its replica list')
    return addresses


def node_settings(settings: ReplicaSettings) -> NodeSettings:
    """Return the settings of the node below a replica."""
    addresses = initial_addresses(settings)
    own_address = addresses.get(settings.replica_id, settings.listen)
    return NodeSettings(
        replica_id=settings.replica_id,
        address=str(own_address),
        initial_addresses={
            name: str(member_address)
            for name, member_address in addresses.items()
        },
        joining=settings.join,
    )


def known_addresses(node: LogNode) -> dict[str, str]:
    """Return the addresses that a node has learned, by replica id.

    The address of a joining disk takes precedence over the recorded one of
    the disk that it replaces.
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
    """Return the addresses of the other replicas that have one."""
    return {
        replica_id: Address.parse(address)
        for replica_id, address in addresses.items()
        if address and replica_id != own_id
    }


def check_address(text: str) -> None:
    """Refuse a text that is not an address.

    Raises
    ------
    InvalidRequestError
        If it cannot be parsed.
    """
    try:
        Address.parse(text)
    except ValueError as error:
        raise InvalidRequestError(f'address of a replica: {error}') from None
