"""Messages between the project's processes.

Each message is a frozen data class. The class name travels with the fields, so
renaming a class or field changes the peer protocol and requires a higher
``PROTOCOL_VERSION``.
"""

from dataclasses import dataclass
from typing import Any

from kumquatrun.errors import Outcome, WireError
from kumquatrun.peer.message_codec import decoder_of, encode_fields

PROTOCOL_VERSION = 3

_registry: dict[str, type] = {}


def message(cls: type) -> type:
    """Register a frozen data class as a message type."""
    registered = dataclass(frozen=True, kw_only=True)(cls)
    _registry[cls.__name__] = registered
    return registered


def encode_message(msg: Any) -> list:
    """Return ``[class name, fields]`` for msgpack."""
    return [type(msg).__name__, encode_fields(msg)]


def decode_message(encoded: Any) -> Any:
    """Rebuild a message from ``[class name, fields]``.

    Raises
    ------
    WireError
        If the class is unknown or a field is missing or mistyped.
    """
    try:
        name, fields = encoded
        return decoder_of(_registry[name])(fields)
    except (LookupError, TypeError, ValueError) as error:
        raise WireError(f'cannot decode a message: {error}') from error


@message
class Hello:
    """Opens a connection and identifies the sender.

    ``region`` is only used to count the bytes sent to other regions.
    """

    node_id: str
    incarnation: str
    cluster_token: str = ''
    region: str = ''
    protocol_version: int = PROTOCOL_VERSION


@message
class Ack:
    """Confirms a call that has no other result."""


@message
class ErrorReply:
    """Carries a typed error to the caller of a request."""

    code: str
    detail: str
    outcome: Outcome
    retry_after_s: float | None = None
    cause: str = ''
