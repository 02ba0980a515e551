"""Changes and reads of the configuration, from any control host."""

from kumquatrun.control.configuration_register import (
    AccountAllowance,
    ConfigurationReply,
    NameAdapterVersion,
    PutConfiguration,
    ReadConfiguration,
)
from kumquatrun.errors import ControlUnreachableError
from kumquatrun.gateway.configuration import Configuration
from kumquatrun.membership.leader_client import LeaderClient

# Callers move on after a second without an answer.
COMMIT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.5


class OperatorGate:
    """Passes operator calls to the control leader.

    Parameters
    ----------
    leader
        Finds and calls the leader.
    """

    def __init__(self, leader: LeaderClient) -> None:
        self._leader = leader

    async def put(self, configuration: Configuration, content: bytes) -> int:
        """Commit a checked configuration; return the version in force.

        Raises
        ------
        KumquatrunError
            If it is not known to be committed.
        """
        reply: ConfigurationReply = await self._leader.call(
            PutConfiguration(
                version=configuration.version,
                content=content,
                allowances=_allowances(configuration),
            ),
            COMMIT_TIMEOUT_S,
        )
        return reply.version

    async def read(self) -> bytes:
        """Return the newest configuration as the operator sent it.

        Raises
        ------
        ControlUnreachableError
            If no leader can be sure, or none was accepted yet.
        """
        reply: ConfigurationReply = await self._leader.call(
            ReadConfiguration(),
            READ_TIMEOUT_S,
        )
        if not reply.version:
            raise ControlUnreachableError('no configuration was accepted yet')
        return reply.content

    async def name_version(self, command: NameAdapterVersion) -> None:
        """Commit a new adapter version.

        Raises
        ------
        KumquatrunError
            If it is not known to be committed.
        """
        await self._leader.call(command, COMMIT_TIMEOUT_S)


def _allowances(configuration: Configuration) -> tuple[AccountAllowance, ...]:
    return tuple(
        AccountAllowance(
            name=account.name,
            rate_tokens_per_s=account.rate_per_s,
            burst_tokens=account.burst,
        )
        for account in configuration.accounts
        if account.rate_per_s > 0
    )
