"""Changes and reads of the configuration, from any control host."""

import zlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from kumquatrun.control.configuration_register import (
    ConfigurationReply,
    NameAdapterVersion,
    ReadConfiguration,
)
from kumquatrun.errors import ControlUnreachableError, KumquatrunError
from kumquatrun.gateway.roles.configuration_upload import (
    ConfigurationUpload,
    HeldConfiguration,
    catch_up,
)
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.membership.leader_client import LeaderClient

# Callers move on after a second without an answer.
COMMIT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.5


class CommittedState(HeldConfiguration, Protocol):
    """State that a replica has applied, so that it is committed."""

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter, 0 if none."""
        ...


class OperatorGate:
    """Passes operator calls to the control leader.

    A change that the local replica shows as committed is confirmed without
    the leader: what is committed stays so, and a change under a version that
    is held changes nothing.

    Parameters
    ----------
    leader
        Finds and calls the leader.
    committed
        State of the local replica.
    """

    def __init__(
        self,
        leader: LeaderClient,
        committed: CommittedState,
    ) -> None:
        self._leader = leader
        self._committed = committed
        self._upload = ConfigurationUpload(leader, committed)

    async def put(self, configuration: Configuration, content: bytes) -> int:
        """Commit a checked configuration; return the version in force.

        Raises
        ------
        KumquatrunError
            If it is not known to be committed.
        """
        committed = self._committed
        reply: ConfigurationReply | None = await self._commit(
            lambda: self._upload.commit(configuration, content),
            lambda: committed.configuration_version >= configuration.version,
        )
        return reply.version if reply else committed.configuration_version

    async def read(self) -> bytes:
        """Return the newest configuration as the operator sent it.

        Raises
        ------
        ControlUnreachableError
            If no leader can be sure, or none was accepted yet.
        """
        committed = self._committed
        request = ReadConfiguration(
            known_version=committed.configuration_version,
        )
        reply = await self._read(request)
        if not reply.version:
            raise ControlUnreachableError('no configuration was accepted yet')
        # The content rarely has to cross the link between the regions.
        if await catch_up(committed, reply.version):
            return committed.configuration().content
        if not reply.compressed:
            reply = await self._read(ReadConfiguration())
        return zlib.decompress(reply.compressed)

    async def _read(self, request: ReadConfiguration) -> ConfigurationReply:
        return await self._leader.call(request, READ_TIMEOUT_S)

    async def name_version(self, command: NameAdapterVersion) -> None:
        """Commit a new adapter version.

        Raises
        ------
        KumquatrunError
            If it is not known to be committed.
        """
        committed = self._committed
        await self._commit(
            lambda: self._leader.call(command, COMMIT_TIMEOUT_S),
            lambda: (
                committed.adapter_version(command.model, command.adapter)
                >= command.version
            ),
        )

    async def _commit(
        self,
        commit: Callable[[], Awaitable[Any]],
        is_committed: Callable[[], bool],
    ) -> Any:
        """Return the leader's reply, None if the local replica knows more."""
        if is_committed():
            return None
        try:
            return await commit()
        except KumquatrunError:
            # The leader may be lost after the commit and before its reply.
            if is_committed():
                return None
            raise
