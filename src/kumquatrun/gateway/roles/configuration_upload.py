"""Sends a checked configuration to the control leader in parts."""

import asyncio
import logging
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

from kumquatrun.control.configuration_register import (
    AccountAllowance,
    ConfigurationReply,
    PutConfigurationPart,
    StoredConfiguration,
    encode_upload,
)
from kumquatrun.errors import RevisionConflictError
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer.parts import split_parts
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# A part is small, so that an election and some round trips fit.
PART_TIMEOUT_S = 3.0
# Other operators may change the base meanwhile; then the whole is sent.
MAX_DELTA_TRIES = 3
MAX_FULL_TRIES = 3
UPLOAD_ID_BYTES = 16
CATCH_UP_POLL_S = 0.01
# A host in the other region learns of a commit within some round trips.
CATCH_UP_TIMEOUT_S = 0.1


class CommittedConfiguration(Protocol):
    """The committed configuration that this host holds."""

    @property
    def configuration_version(self) -> int:
        """Return the version, 0 if there is none."""
        ...

    def configuration(self) -> StoredConfiguration:
        """Return version and content, a version of 0 if there is none."""
        ...


@dataclass(frozen=True)
class ConfigurationChange:
    """A checked configuration on its way to the leader.

    Without the decoded routes, which would take memory until the commit.
    """

    version: int
    content: bytes
    allowances: tuple[AccountAllowance, ...] = ()


class ConfigurationUpload:
    """Sends what a configuration changes against the one that this host holds.

    Each part is committed for itself, so that small changes do not wait for a
    large one.

    Parameters
    ----------
    leader
        Finds and calls the leader.
    committed
        Committed state that this host holds.
    """

    def __init__(
        self, leader: LeaderClient, committed: CommittedConfiguration
    ) -> None:
        self._leader = leader
        self._committed = committed

    async def commit(self, change: ConfigurationChange) -> ConfigurationReply:
        """Commit a configuration; returns the version in force.

        Raises
        ------
        KumquatrunError
            If it is not known to be committed.
        """
        for number in range(MAX_DELTA_TRIES + MAX_FULL_TRIES):
            base = self._committed.configuration()
            if number >= MAX_DELTA_TRIES:
                base = StoredConfiguration(0, b'')
            reply = await self._send(change, base)
            if reply.version >= change.version:
                return reply
            await wait_for_version(
                self._committed, reply.version, CATCH_UP_TIMEOUT_S
            )
        raise RevisionConflictError(
            f'other changes came between all parts of configuration '
            f'{change.version}',
        )

    async def _send(
        self,
        change: ConfigurationChange,
        base: StoredConfiguration,
    ) -> ConfigurationReply:
        upload = encode_upload(base.content, change.content, change.allowances)
        parts = split_parts(upload)
        upload_id = blake2b(
            upload,
            digest_size=UPLOAD_ID_BYTES,
            salt=base.version.to_bytes(8, 'big'),
        ).digest()
        reply = ConfigurationReply(version=0)
        for number, part in enumerate(parts):
            reply = await self._leader.call(
                PutConfigurationPart(
                    version=change.version,
                    base_version=base.version,
                    upload_id=upload_id,
                    number=number,
                    count=len(parts),
                    content=part,
                ),
                PART_TIMEOUT_S,
            )
            if reply.base_changed or reply.version >= change.version:
                break
        log_event(
            log,
            'configuration_sent',
            version=change.version,
            base_version=base.version,
            size_bytes=len(upload),
            parts=len(parts),
            base_changed=reply.base_changed,
            in_force=reply.version,
        )
        return reply


async def wait_for_version(
    committed: CommittedConfiguration,
    version: int,
    limit_s: float,
) -> bool:
    """Wait until this host holds a version; False if it does not in time."""
    for _ in range(round(limit_s / CATCH_UP_POLL_S)):
        if committed.configuration_version >= version:
            return True
        await asyncio.sleep(CATCH_UP_POLL_S)
    return committed.configuration_version >= version


def build_change(
    configuration: Configuration,
    content: bytes,
) -> ConfigurationChange:
    """Return what the leader needs of a checked configuration."""
    return ConfigurationChange(
        version=configuration.version,
        content=content,
        allowances=_allowances_of(configuration),
    )


def _allowances_of(
    configuration: Configuration,
) -> tuple[AccountAllowance, ...]:
    """Return the limits of the accounts that have one."""
    return tuple(
        AccountAllowance(
            name=account.name,
            rate_tokens_per_s=account.rate_per_s,
            burst_tokens=account.burst,
        )
        for account in configuration.accounts
        if account.rate_per_s > 0
    )
