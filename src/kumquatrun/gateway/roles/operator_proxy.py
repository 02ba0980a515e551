"""Operator calls, accepted on any host and passed to the leader."""

import zlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from kumquatrun.control.configuration_register import (
    ConfigurationReply,
    NameAdapterVersion,
    ReadConfiguration,
)
from kumquatrun.control.evacuations import FinishEvacuation, StartEvacuation
from kumquatrun.errors import ControlUnreachableError, KumquatrunError
from kumquatrun.gateway.roles.configuration_upload import (
    CommittedConfiguration,
    ConfigurationChange,
    ConfigurationUpload,
    wait_for_version,
)
from kumquatrun.membership.leader_client import LeaderClient

# Time limits for the reply of the leader. Operators call the next host after a
# second without a response.
COMMIT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.5
# The largest configuration crosses the link between the regions within this
# time.
CONTENT_TIMEOUT_S = 3.0
# Longest wait until this host has the newest version. The feed sends it as a
# small delta, mostly faster than this.
FEED_WAIT_S = 0.6


class CommittedState(CommittedConfiguration, Protocol):
    """The committed state as this host knows it."""

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter, 0 if there is none."""
        ...


class OperatorProxy:
    """Passes operator calls to the control leader.

    A change that this host knows as committed is confirmed without the
    leader: commits are final, and a change whose version is already committed
    has no effect. If no leader has answered this host for a while, other
    calls are refused at once, because the operator can call the next host.

    Parameters
    ----------
    leader
        Finds and calls the leader.
    committed
        Committed state as this host knows it.
    """

    def __init__(
        self,
        leader: LeaderClient,
        committed: CommittedState,
    ) -> None:
        self._leader = leader
        self._committed = committed
        self._upload = ConfigurationUpload(leader, committed)

    async def put(self, change: ConfigurationChange) -> int:
        """Commit a checked configuration; return the active version.

        Raises
        ------
        KumquatrunError
            If the configuration is not known to be committed.
        """
        committed = self._committed
        reply: ConfigurationReply | None = await self._commit(
            lambda: self._upload.commit(change),
            lambda: committed.configuration_version >= change.version,
        )
        return reply.version if reply else committed.configuration_version

    async def read(self) -> bytes:
        """Return the newest configuration as the operator sent it.

        Raises
        ------
        ControlUnreachableError
            If no leader can confirm the newest version, or no configuration
            has been accepted yet.
        """
        committed = self._committed
        self._require_leader()
        newest = await self._leader.call(
            ReadConfiguration(wants_content=False),
            READ_TIMEOUT_S,
        )
        if not newest.version:
            raise ControlUnreachableError(
                'no configuration has been accepted yet'
            )
        # Reading the local copy saves a transfer between the regions.
        if await wait_for_version(committed, newest.version, FEED_WAIT_S):
            return committed.configuration().content
        reply = await self._leader.call(ReadConfiguration(), CONTENT_TIMEOUT_S)
        return zlib.decompress(reply.compressed)

    def _require_leader(self) -> None:
        if not self._leader.has_leader:
            raise ControlUnreachableError(
                'no control leader has answered this host recently',
            )

    async def name_version(self, command: NameAdapterVersion) -> None:
        """Commit a new adapter version.

        Raises
        ------
        KumquatrunError
            If the version is not known to be committed.
        """
        committed = self._committed
        await self._commit(
            lambda: self._leader.call(command, COMMIT_TIMEOUT_S),
            lambda: (
                committed.adapter_version(command.model, command.adapter)
                >= command.version
            ),
        )

    async def evacuate(
        self, command: StartEvacuation | FinishEvacuation
    ) -> None:
        """Commit the start or the end of an evacuation.

        The leader decides always: what this host knows as committed may be
        reversed already.

        Raises
        ------
        KumquatrunError
            If the command is not known to be committed.
        """
        self._require_leader()
        await self._leader.call(command, COMMIT_TIMEOUT_S)

    async def _commit(
        self,
        commit: Callable[[], Awaitable[Any]],
        is_committed: Callable[[], bool],
    ) -> Any:
        """Commit and return the leader's reply; None if already committed."""
        if is_committed():
            return None
        self._require_leader()
        try:
            return await commit()
        except KumquatrunError:
            # The leader may have been lost between the commit and its reply.
            if is_committed():
                return None
            raise
