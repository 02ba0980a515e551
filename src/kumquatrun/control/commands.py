"""Replicated commands, their results and the encoding of batches.

A log entry of the state machine holds one batch: the time elapsed on the leader
since its previous batch, and commands. The result of a command is a message or
an ``ErrorReply``.
"""

import zlib
from collections.abc import Sequence
from dataclasses import fields
from typing import Any, NamedTuple

import msgpack

from kumquatrun.errors import WireError
from kumquatrun.peer.compression import inflate
from kumquatrun.peer.messages import decode_message, encode_message, message
from kumquatrun.peer.node_messages import BudgetReport

# Batches and results of this size or more are compressed, because a document of
# the design size would not fit into a peer frame and the link between the
# regions is slow.
_COMPRESS_FROM_BYTES = 16 * 1024
_MAX_BATCH_BYTES = 64 * 1024 * 1024
_PLAIN = b'\x00'
_COMPRESSED = b'\x01'


@message
class ReportBudgets:
    """Reports tokens that an entry consumed and returned.

    ``sequence`` grows with each report of one incarnation; a report whose
    number is not above that of the newest report is ignored.
    """

    host_id: str
    incarnation: str
    sequence: int
    reports: tuple[BudgetReport, ...]


@message
class ExpireHost:
    """Records that the lease of an incarnation has certainly ended.

    Proposed by the leader; outstanding tokens then count as consumed and
    running claims become ``unknown``.
    """

    host_id: str
    incarnation: str


@message
class DrainHost:
    """Marks a host as draining."""

    host_id: str
    operator: str
    operation_id: str


@message
class Unblock:
    """Removes what was counted for a request or a prompt part."""

    fingerprint: str
    operator: str
    operation_id: str


@message
class UnblockReply:
    """Returns the state of the fingerprint before it was removed."""

    fingerprint: str
    former_state: str


@message
class ApplyDocument:
    """Replaces the configuration document."""

    expected_revision: int
    operation_id: str
    operator: str
    content: bytes


@message
class IssueKey:
    """Adds an API key; only the hash of the key is sent."""

    key_id: str
    key_hash: bytes
    account: str
    operator: str
    operation_id: str


@message
class RevokeKey:
    """Revokes an API key permanently."""

    key_id: str
    operator: str
    operation_id: str


@message
class DocumentReply:
    """Returns the revision and digest that a document was accepted under."""

    revision: int
    digest: str


@message
class KeyReply:
    """Returns the state of an API key."""

    key_id: str
    account: str
    revoked: bool


class Batch(NamedTuple):
    """Content of one log entry."""

    elapsed_ms: int
    commands: tuple[Any, ...]


def content_bytes(command: Any) -> int:
    """Return the total size of the byte strings in a command."""
    field_values = (getattr(command, field.name) for field in fields(command))
    return sum(len(row) for row in field_values if isinstance(row, bytes))


def encode_batch(elapsed_ms: int, commands: Sequence[Any]) -> bytes:
    """Encode commands with the milliseconds since the previous batch.

    Raises
    ------
    ValueError
        If ``elapsed_ms`` is negative.
    """
    if elapsed_ms < 0:
        raise ValueError(f'elapsed_ms must not be negative: {elapsed_ms}')
    rows = [encode_message(command) for command in commands]
    return _pack((elapsed_ms, rows))


def decode_batch(encoded: bytes) -> Batch:
    """Decode a log entry.

    Raises
    ------
    WireError
        If the entry or one of its commands cannot be decoded.
    """
    try:
        elapsed_ms, rows = _unpack(encoded)
    except (TypeError, ValueError) as error:
        raise WireError(f'cannot decode a batch: {error}') from error
    if not isinstance(elapsed_ms, int) or elapsed_ms < 0:
        raise WireError(f'invalid elapsed time of a batch: {elapsed_ms!r} ms')
    return Batch(elapsed_ms, tuple(decode_message(row) for row in rows))


def encode_results(replies: Sequence[Any]) -> bytes:
    """Encode the results of a batch, in the order of its commands."""
    return _pack([encode_message(row) for row in replies])


def decode_results(encoded: bytes) -> tuple[Any, ...]:
    """Decode the results of a batch.

    Raises
    ------
    WireError
        If a result cannot be decoded.
    """
    try:
        rows = _unpack(encoded)
    except (TypeError, ValueError) as error:
        raise WireError(f'cannot decode results: {error}') from error
    return tuple(decode_message(row) for row in rows)


def _pack(content: Any) -> bytes:
    packed = msgpack.packb(content)
    if len(packed) < _COMPRESS_FROM_BYTES:
        return _PLAIN + packed
    return _COMPRESSED + zlib.compress(packed, 1)


def _unpack(encoded: bytes) -> Any:
    packed = encoded[1:]
    if encoded[:1] == _COMPRESSED:
        packed = inflate(packed, _MAX_BATCH_BYTES)
    elif encoded[:1] != _PLAIN:
        raise ValueError(f'unknown format byte {encoded[:1]!r}')
    return msgpack.unpackb(packed)
