"""Shares of account rates that the renewals of a lease report and extend."""

from collections.abc import Iterable
from typing import Protocol

from kumquatrun.peer.share_messages import ShareGrant, ShareReport


class ShareSource(Protocol):
    """Shares that one process of an entry holds."""

    @property
    def boot_id(self) -> str:
        """Return an id that differs after each start of the process."""
        ...

    def reports(self, now_s: float) -> tuple[ShareReport, ...]:
        """Return what is held and used, for a renewal that is sent now."""
        ...

    def apply(self, grants: Iterable[ShareGrant], sent_at_s: float) -> None:
        """Take over the reply to the renewal that was sent then."""
        ...


class NoShares:
    """A host without callers holds no shares."""

    boot_id = ''

    def reports(self, now_s: float) -> tuple[ShareReport, ...]:
        """Return nothing."""
        return ()

    def apply(self, grants: Iterable[ShareGrant], sent_at_s: float) -> None:
        """Ignore the grants; there are none."""
