"""Membership changes, which add or remove one voter at a time.

Majorities of two memberships that differ by one voter always intersect. A lost
voter is therefore replaced in two steps: a learner with the same replica id and
a new disk takes its place, and the learner is then promoted to voter.
"""

from collections.abc import Callable, Mapping

from kumquatrun.consensus.consensus_messages import Member
from kumquatrun.consensus.quorum_entries import EntryLog
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_progress import Progress
from kumquatrun.consensus.quorum_types import MembershipChange, Timing
from kumquatrun.errors import (
    InvalidRequestError,
    NotFoundError,
    NotLeaderError,
)


def _add_learner(
    membership: Membership, change: MembershipChange
) -> Membership:
    if change.replica_id in membership.by_id:
        raise InvalidRequestError(
            f'replica {change.replica_id} is already a member',
        )
    return membership.with_member(
        Member(
            replica_id=change.replica_id,
            disk_id=change.disk_id,
            address=change.address,
            voter=False,
        ),
    )


def _promote(membership: Membership, change: MembershipChange) -> Membership:
    member = membership.by_id[change.replica_id]
    return membership.with_member(
        Member(
            replica_id=member.replica_id,
            disk_id=member.disk_id,
            address=member.address,
        ),
    )


def _remove(membership: Membership, change: MembershipChange) -> Membership:
    changed = membership.without(change.replica_id)
    if not changed.voters:
        raise InvalidRequestError('the last voter cannot be removed')
    return changed


_ACTIONS: Mapping[str, Callable[[Membership, MembershipChange], Membership]] = {
    'add_learner': _add_learner,
    'promote': _promote,
    'remove': _remove,
}


def has_caught_up(log: EntryLog, progress: Progress, timing: Timing) -> bool:
    """Return whether a replica may become a learner, or a learner a voter.

    The replica must have the newest membership and lag by only a few entries.
    Otherwise the group would have to wait for it if another voter is lost.
    """
    lag_entries = log.last_index - progress.match_index
    return (
        progress.match_index >= max(log.membership_index, 1)
        and lag_entries <= timing.max_learner_lag_entries
    )


def requested_membership(
    log: EntryLog,
    progress: Mapping[str, Progress],
    change: MembershipChange,
    timing: Timing,
) -> Membership:
    """Return the membership after a requested change.

    Raises
    ------
    InvalidRequestError
        If the action is unknown, the replica to add is already a member, or
        the last voter would be removed.
    NotFoundError
        If the replica is not a member.
    NotLeaderError
        If the learner to promote has not caught up yet; the cause is then
        ``learner_behind``.
    """
    action = _ACTIONS.get(change.action)
    if action is None:
        raise InvalidRequestError(
            f'unknown action {change.action!r}; use {", ".join(_ACTIONS)}',
        )
    replica_id = change.replica_id
    if change.action != 'add_learner' and (
        replica_id not in log.membership.by_id
    ):
        raise NotFoundError(f'replica {replica_id} is not a member')
    replica_progress = progress.get(replica_id)
    is_ready = replica_progress is not None and has_caught_up(
        log, replica_progress, timing
    )
    if change.action == 'promote' and not is_ready:
        raise NotLeaderError(
            f'learner {replica_id} has not caught up',
            cause='learner_behind',
        )
    return action(log.membership, change)


def next_join_step(
    log: EntryLog,
    progress: Mapping[str, Progress],
    timing: Timing,
) -> Membership | None:
    """Return the membership after the next step of a join; None if none is due.

    A replica that joins with a new disk becomes a learner once it has caught
    up. A learner that replaces a lost voter is then promoted. A learner with a
    new replica id stays a learner until ``promote`` is requested for it.
    """
    membership = log.membership
    for replica_id, replica_progress in progress.items():
        member = membership.by_id.get(replica_id)
        if not has_caught_up(log, replica_progress, timing):
            continue
        if member is not None and member.disk_id == replica_progress.disk_id:
            if member.promote:
                return _promote(membership, MembershipChange('', replica_id))
            continue
        return membership.with_member(
            Member(
                replica_id=replica_id,
                disk_id=replica_progress.disk_id,
                address=replica_progress.address,
                voter=False,
                promote=member is not None and (member.voter or member.promote),
            ),
        )
    return None
