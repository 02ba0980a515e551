"""Register of the routing configuration and of named adapter versions.

The operator numbers configurations. The highest accepted number is in force; a
lower or equal one is confirmed and changes nothing, so that a change that is
sent again is confirmed again.
"""

import zlib
from typing import Any

from kumquatrun.peer.messages import message

# Adapter names per snapshot entry; a version of 0 was never named.
AdapterName = tuple[str, str]


@message
class AccountAllowance:
    """Rate and burst of one account, in tokens."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: float


@message
class PutConfiguration:
    """Puts a checked configuration into force if its version is the highest.

    ``content`` is what the operator sent, byte for byte; ``allowances`` are
    the limits in it, which the leader applies without parsing it.
    """

    version: int
    content: bytes
    allowances: tuple[AccountAllowance, ...] = ()


@message
class NameAdapterVersion:
    """Names a new version of an adapter."""

    model: str
    adapter: str
    version: int


@message
class ReadConfiguration:
    """Asks the leader for the configuration in force."""


@message
class ConfigurationReply:
    """Returns the version in force, and its content to a reader."""

    version: int
    content: bytes = b''


class ConfigurationRegister:
    """Configuration in force and the newest version of each named adapter."""

    def __init__(self) -> None:
        self.version = 0
        self.compressed = b''
        self.allowances: tuple[AccountAllowance, ...] = ()
        self.adapter_versions: dict[AdapterName, int] = {}

    def put(self, command: PutConfiguration) -> bool:
        """Take a configuration; False if its version is not higher."""
        if command.version <= self.version:
            return False
        self.version = command.version
        self.compressed = zlib.compress(command.content)
        self.allowances = command.allowances
        return True

    def content(self) -> bytes:
        """Return the configuration as the operator sent it."""
        return zlib.decompress(self.compressed) if self.compressed else b''

    def name_version(self, command: NameAdapterVersion) -> bool:
        """Record an adapter version; False if a newer one is known."""
        name = (command.model, command.adapter)
        if command.version <= self.adapter_versions.get(name, 0):
            return False
        self.adapter_versions[name] = command.version
        return True

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        versions = [
            [*name, version] for name, version in self.adapter_versions.items()
        ]
        allowances = [
            [row.name, row.rate_tokens_per_s, row.burst_tokens]
            for row in self.allowances
        ]
        return [self.version, self.compressed, allowances, versions]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        version, compressed, allowances, versions = content
        self.version = version
        self.compressed = compressed
        self.allowances = tuple(
            AccountAllowance(
                name=name,
                rate_tokens_per_s=rate_tokens_per_s,
                burst_tokens=burst_tokens,
            )
            for name, rate_tokens_per_s, burst_tokens in allowances
        )
        self.adapter_versions = {
            (model, adapter): version for model, adapter, version in versions
        }
