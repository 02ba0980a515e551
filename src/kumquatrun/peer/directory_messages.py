"""Messages for the discovery of the control replicas.

Any host that knows the control group answers queries for it, so that a host
finds the group through any host that its settings name.
"""

from kumquatrun.peer.messages import message


@message
class ControlMember:
    """One replica of the control group."""

    replica_id: str
    address: str


@message
class ControlGroup:
    """Leader and members of the control group in one term.

    ``index`` is the position of the membership in the log. A term of 0
    means that no group is known, an empty ``leader`` that the term has no
    leader yet.
    """

    term: int = 0
    index: int = 0
    leader: str = ''
    members: tuple[ControlMember, ...] = ()

    def is_newer_than(self, other: 'ControlGroup') -> bool:
        """Return whether this state of the group is newer than ``other``."""
        return self._position > other._position

    @property
    def _position(self) -> tuple[int, bool, int]:
        return self.term, bool(self.leader), self.index


@message
class FoundingReplica:
    """A replica with an empty data directory that helps to create the group."""

    replica_id: str
    address: str
    failure_domain: str


@message
class ControlHosts:
    """The control group and its founding replicas, as known to a host."""

    group: ControlGroup = ControlGroup()
    founders: tuple[FoundingReplica, ...] = ()


@message
class TellControlHosts:
    """Sends ``ControlHosts`` to a host, which replies with its own."""

    hosts: ControlHosts
