"""Messages about where the control replicas are.

Any host that knows the control group may be asked for it, so that a host finds
the group whatever hosts its settings name.
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

    ``index`` is the position of the membership in the log. A term of 0 says
    that no group is known, an empty ``leader`` that the term has none yet.
    """

    term: int = 0
    index: int = 0
    leader: str = ''
    members: tuple[ControlMember, ...] = ()

    def is_newer_than(self, other: 'ControlGroup') -> bool:
        """Return whether this is the later knowledge of the two."""
        return self._position > other._position

    @property
    def _position(self) -> tuple[int, bool, int]:
        return self.term, bool(self.leader), self.index


@message
class FoundingReplica:
    """A replica with an empty disk that founds the group with others."""

    replica_id: str
    address: str
    failure_domain: str


@message
class ControlHosts:
    """What a host knows of the control group and of replicas that found it."""

    group: ControlGroup = ControlGroup()
    founders: tuple[FoundingReplica, ...] = ()


@message
class TellControlHosts:
    """Tells a host what the sender knows; its ``ControlHosts`` is the reply."""

    hosts: ControlHosts
