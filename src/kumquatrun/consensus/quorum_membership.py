"""Membership of the consensus group, and majorities of its voters."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from functools import cached_property

import msgpack

from kumquatrun.consensus.consensus_messages import Member


@dataclass(frozen=True)
class Membership:
    """Recorded replicas: voters and learners."""

    members: tuple[Member, ...] = ()

    @classmethod
    def decode(cls, content: bytes) -> 'Membership':
        """Decode a membership from the data of a log entry."""
        rows = msgpack.unpackb(content, raw=False)
        return cls(tuple(Member(**member) for member in rows))

    def encode(self) -> bytes:
        """Encode the membership as the data of a log entry."""
        return msgpack.packb([asdict(member) for member in self.members])

    @cached_property
    def by_id(self) -> Mapping[str, Member]:
        """Return the members by replica id."""
        return {member.replica_id: member for member in self.members}

    @cached_property
    def voters(self) -> Mapping[str, str]:
        """Return the disk identity of each voter by replica id."""
        return {
            member.replica_id: member.disk_id
            for member in self.members
            if member.voter
        }

    @property
    def majority(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def has_spare_voter(self) -> bool:
        """Return whether the loss tolerance is the same with one voter less.

        This holds for every even number of voters.
        """
        return bool(self.voters) and len(self.voters) % 2 == 0

    def is_voter(self, replica_id: str, disk_id: str) -> bool:
        """Return whether this disk of this replica may vote."""
        return self.voters.get(replica_id) == disk_id

    def includes(self, replica_id: str, disk_id: str) -> bool:
        """Return whether this disk is recorded, as a voter or a learner."""
        member = self.by_id.get(replica_id)
        return member is not None and member.disk_id == disk_id

    def majority_value(self, reached: Mapping[str, int]) -> int:
        """Return the largest value that a majority of voters has reached."""
        by_voter = sorted(
            (reached.get(voter, 0) for voter in self.voters),
            reverse=True,
        )
        return by_voter[self.majority - 1] if by_voter else 0

    def with_member(self, member: Member) -> 'Membership':
        """Return the membership with ``member`` added or replaced."""
        others = self.without(member.replica_id).members
        return Membership((*others, member))

    def without(self, replica_id: str) -> 'Membership':
        """Return the membership without the replica ``replica_id``."""
        return Membership(
            tuple(
                member
                for member in self.members
                if member.replica_id != replica_id
            ),
        )
