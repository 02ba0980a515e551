"""Serves the entries' calls about allowances on the leader."""

from kumquatrun.control.account_shares import ShareHolder
from kumquatrun.control.allowance_pool import (
    AllowancePool,
    AllowanceReply,
    TakeAllowance,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.control.hosts import ENTRY_ROLE
from kumquatrun.errors import ControlUnreachableError
from kumquatrun.peer.node_messages import RenewLease
from kumquatrun.peer.share_messages import ShareGrant
from kumquatrun.runtime.clock import Clock

# A leader that a majority confirmed this long ago grants nothing: another may
# have been elected. No election begins sooner.
MAX_CONFIRMATION_AGE_S = 0.5


class AllowanceService:
    """Allowances of one leadership term after the other.

    Parameters
    ----------
    state
        Replicated state with the limits and the registered hosts.
    clock
        Source of time.
    """

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._pool = AllowancePool()

    def begin_term(self) -> None:
        """Start a term with the shares that earlier leaders granted."""
        now_s = self._clock.now_s()
        self._pool = AllowancePool()
        self._pool.configure(*self._state.allowances(), now_s)
        hosts = self._state.hosts()
        self._pool.inherit(
            (host.host_id for host in hosts if host.role == ENTRY_ROLE), now_s
        )

    def take(
        self, request: TakeAllowance, confirmed_at_s: float
    ) -> AllowanceReply:
        """Grant requests of an account.

        Raises
        ------
        ControlUnreachableError
            If another leader may have been elected.
        """
        now_s = self._clock.now_s()
        if not _is_confirmed(confirmed_at_s, now_s):
            raise ControlUnreachableError(
                'no majority has confirmed this leader lately'
            )
        self._pool.configure(*self._state.allowances(), now_s)
        return self._pool.take(request, now_s)

    def renew_shares(
        self, request: RenewLease, confirmed_at_s: float
    ) -> tuple[ShareGrant, ...]:
        """Grant an entry its shares anew, none if the leader is in doubt."""
        now_s = self._clock.now_s()
        if not request.boot_id or not _is_confirmed(confirmed_at_s, now_s):
            return ()
        self._pool.configure(*self._state.allowances(), now_s)
        holder = ShareHolder(
            request.host_id, request.boot_id, request.sent_at_s
        )
        return self._pool.renew_shares(holder, request.share_reports, now_s)


def _is_confirmed(confirmed_at_s: float, now_s: float) -> bool:
    return now_s - confirmed_at_s < MAX_CONFIRMATION_AGE_S
