"""Register of the routing configuration and of named adapter versions.

The operator numbers configurations. The highest accepted number is in force; a
lower or equal one is acknowledged without effect, so that a resent change is
acknowledged again.
"""

import zlib
from typing import Any, NamedTuple

import msgpack

from kumquatrun.control.configuration_history import ConfigurationHistory
from kumquatrun.control.content_delta import (
    apply_content_delta,
    encode_delta,
)
from kumquatrun.errors import InvalidRequestError
from kumquatrun.peer.messages import message
from kumquatrun.peer.parts import PartCollector

# Model and adapter. An adapter that was never named has version 0.
AdapterName = tuple[str, str]
# Limits the incomplete uploads; covers two operators that send the largest
# configuration at the same time.
MAX_UPLOAD_BYTES = 32 * 1024 * 1024


@message
class AccountAllowance:
    """Rate and burst of one account, in tokens."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: float


@message
class PutConfiguration:
    """Puts a validated configuration into force if its version is the highest.

    ``content`` is what the operator sent, byte for byte; ``allowances`` are
    the limits in it, which the leader applies without parsing it.
    """

    version: int
    content: bytes
    allowances: tuple[AccountAllowance, ...] = ()


@message
class PutConfigurationPart:
    """Adds one part of a validated configuration.

    The joined parts of an upload hold the delta from ``base_version`` to what
    the operator sent, see ``encode_upload``; base version 0 has no content.
    The last part to arrive puts the configuration into force if its version is
    the highest.
    """

    version: int
    base_version: int
    upload_id: bytes
    number: int
    count: int
    content: bytes


@message
class NameAdapterVersion:
    """Names a new version of an adapter."""

    model: str
    adapter: str
    version: int


@message
class ReadConfiguration:
    """Requests the configuration in force from the leader.

    The reply has no content if the reader already has that version or receives
    it through the feed.
    """

    known_version: int = 0
    wants_content: bool = True


@message
class ConfigurationReply:
    """Returns the version in force, and its compressed content to a reader.

    ``base_changed`` means that an upload was complete, but its base version
    is no longer in force.
    """

    version: int
    compressed: bytes = b''
    base_changed: bool = False


class StoredConfiguration(NamedTuple):
    """A configuration as the operator sent it; version 0 means none."""

    version: int
    content: bytes


def encode_upload(
    base: bytes,
    content: bytes,
    allowances: tuple[AccountAllowance, ...],
) -> bytes:
    """Return the content of an upload, which is sent in parts."""
    rows = _allowance_rows(allowances)
    return msgpack.packb([encode_delta(base, content), rows])


class ConfigurationRegister:
    """Configuration in force and the newest version of each named adapter.

    Attributes
    ----------
    version
        Version in force, 0 if none.
    history
        Content in force and some earlier versions.
    allowances
        Limits of the accounts.
    adapter_versions
        Newest named version of each adapter.
    """

    def __init__(self) -> None:
        self.version = 0
        self.history = ConfigurationHistory()
        self.allowances: tuple[AccountAllowance, ...] = ()
        self.adapter_versions: dict[AdapterName, int] = {}
        self._uploads = PartCollector(MAX_UPLOAD_BYTES)

    def content(self) -> bytes:
        """Return the configuration as the operator sent it."""
        return self.history.content_of(self.version) or b''

    def put(self, command: PutConfiguration) -> bool:
        """Apply a configuration; False if its version is not higher."""
        if command.version <= self.version:
            return False
        self._activate(command.version, command.content, command.allowances)
        return True

    def put_part(self, command: PutConfigurationPart) -> ConfigurationReply:
        """Add a part of an upload; the last one applies the configuration.

        Raises
        ------
        InvalidRequestError
            If the upload cannot be decoded or applied to its base.
        """
        key = (command.version, command.upload_id)
        if command.version <= self.version:
            self._uploads.discard(key)
            return ConfigurationReply(version=self.version)
        upload = self._uploads.add(
            key,
            command.number,
            command.count,
            command.content,
        )
        if upload is None:
            return ConfigurationReply(version=self.version)
        if command.base_version not in {0, self.version}:
            return ConfigurationReply(version=self.version, base_changed=True)
        base = self.content() if command.base_version else b''
        try:
            delta, rows = msgpack.unpackb(upload)
            content = apply_content_delta(base, delta)
            allowances = _allowances(rows)
        except (TypeError, ValueError) as error:
            raise InvalidRequestError(
                f'cannot apply the upload: {error}'
            ) from None
        self._activate(command.version, content, allowances)
        return ConfigurationReply(version=self.version)

    def name_version(self, command: NameAdapterVersion) -> bool:
        """Record an adapter version; False if it is not a newer one."""
        name = (command.model, command.adapter)
        if command.version <= self.adapter_versions.get(name, 0):
            return False
        self.adapter_versions[name] = command.version
        return True

    def adapter_rows(self) -> list[list[Any]]:
        """Return model, adapter and version of each named adapter."""
        return [
            [*name, version] for name, version in self.adapter_versions.items()
        ]

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        uploads = [
            [*key, number, part]
            for key, number, part in self._uploads.iter_parts()
        ]
        return [
            self.version,
            zlib.compress(self.content()) if self.version else b'',
            _allowance_rows(self.allowances),
            self.adapter_rows(),
            uploads,
        ]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        # Snapshots of earlier releases hold no uploads.
        version, compressed, allowances, versions, *stored_uploads = content
        self.version = version
        self.history = ConfigurationHistory()
        if version:
            self.history.add(version, zlib.decompress(compressed))
        self.allowances = _allowances(allowances)
        self.adapter_versions = {
            (model, adapter): version for model, adapter, version in versions
        }
        self._uploads = PartCollector(MAX_UPLOAD_BYTES)
        for part_rows in stored_uploads:
            self._restore_uploads(part_rows)

    def _activate(
        self,
        version: int,
        content: bytes,
        allowances: tuple[AccountAllowance, ...],
    ) -> None:
        self.version = version
        self.history.add(version, content)
        self.allowances = allowances
        for key in self._uploads.incomplete():
            if key[0] <= version:
                self._uploads.discard(key)

    def _restore_uploads(self, rows: Any) -> None:
        for version, upload_id, number, part in rows:
            # A restored upload is never complete; the part count is not stored.
            self._uploads.add((version, upload_id), number, 0, part)


def _allowance_rows(allowances: tuple[AccountAllowance, ...]) -> list[list]:
    return [
        [row.name, row.rate_tokens_per_s, row.burst_tokens]
        for row in allowances
    ]


def _allowances(rows: Any) -> tuple[AccountAllowance, ...]:
    return tuple(
        AccountAllowance(
            name=name,
            rate_tokens_per_s=rate_tokens_per_s,
            burst_tokens=burst_tokens,
        )
        for name, rate_tokens_per_s, burst_tokens in rows
    )
