"""Uploads a checked configuration to the control leader in parts."""

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

# Time limit for the commit of one part. Parts are small, so it leaves time for
# an election and some round trips.
PART_TIMEOUT_S = 3.0
# Another operator may change the base version during an upload. After this many
# attempts with a delta, the full configuration is sent.
MAX_DELTA_TRIES = 3
MAX_FULL_TRIES = 3
UPLOAD_ID_BYTES = 16
CATCH_UP_POLL_S = 0.01
# Longest wait for the version that the leader replied with. A host in the other
# region receives a commit within some round trips.
CATCH_UP_TIMEOUT_S = 0.1


class CommittedConfiguration(Protocol):
    """The committed configuration as this host knows it."""

    @property
    def configuration_version(self) -> int:
        """Return the version, 0 if there is none."""
        ...

    def configuration(self) -> StoredConfiguration:
        """Return version and content; the version is 0 if there is none."""
        ...


@dataclass(frozen=True)
class ConfigurationChange:
    """A checked configuration to send to the leader.

    It does not keep the decoded routes, which would take up memory until the
    commit.
    """

    version: int
    content: bytes
    allowances: tuple[AccountAllowance, ...] = ()


class ConfigurationUpload:
    """Uploads a configuration as a delta to the version on this host.

    Each part is committed separately, so that small changes do not wait for a
    large one.

    Parameters
    ----------
    leader
        Finds and calls the leader.
    committed
        Committed configuration on this host.
    """

    def __init__(
        self, leader: LeaderClient, committed: CommittedConfiguration
    ) -> None:
        self._leader = leader
        self._committed = committed

    async def commit(self, change: ConfigurationChange) -> ConfigurationReply:
        """Commit a configuration; return the active version.

        Raises
        ------
        KumquatrunError
            If the configuration is not known to be committed.
        """
        for attempt in range(MAX_DELTA_TRIES + MAX_FULL_TRIES):
            base = self._committed.configuration()
            if attempt >= MAX_DELTA_TRIES:
                base = StoredConfiguration(0, b'')
            reply = await self._send(change, base)
            if reply.version >= change.version:
                return reply
            await wait_for_version(
                self._committed, reply.version, CATCH_UP_TIMEOUT_S
            )
        raise RevisionConflictError(
            f'other changes interrupted every upload of configuration '
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
    """Wait until this host has a version; return False on a timeout."""
    for _ in range(round(limit_s / CATCH_UP_POLL_S)):
        if committed.configuration_version >= version:
            return True
        await asyncio.sleep(CATCH_UP_POLL_S)
    return committed.configuration_version >= version


def build_change(
    configuration: Configuration,
    content: bytes,
) -> ConfigurationChange:
    """Return the change that uploads a checked configuration."""
    return ConfigurationChange(
        version=configuration.version,
        content=content,
        allowances=_allowances_of(configuration),
    )


def _allowances_of(
    configuration: Configuration,
) -> tuple[AccountAllowance, ...]:
    """Return the limits of the accounts that have a rate limit."""
    return tuple(
        AccountAllowance(
            name=account.name,
            rate_tokens_per_s=account.rate_per_s,
            burst_tokens=account.burst,
        )
        for account in configuration.accounts
        if account.rate_per_s > 0
    )
