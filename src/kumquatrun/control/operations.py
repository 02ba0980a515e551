"""Register of operation ids: a resend gets the recorded reply."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgpack

from kumquatrun.errors import InvalidRequestError, KumquatrunError
from kumquatrun.peer.errors import error_to_reply
from kumquatrun.peer.messages import decode_message, encode_message

MAX_OPERATIONS = 10_000
_DIGEST_BYTES = 16
_MAX_ID_LENGTH = 200


class OperationRegister:
    """Replies to the newest operations by operation id."""

    def __init__(self, max_operations: int = MAX_OPERATIONS) -> None:
        self._max_operations = max_operations
        # Maps each operation id to the digest of the command and the encoded
        # reply.
        self._replies: OrderedDict[str, tuple[bytes, Any]] = OrderedDict()

    def run(self, command: Any, handle: Callable[[Any], Any]) -> Any:
        """Run a command once; a resend gets the recorded reply."""
        operation_id = _operation_id(command)
        if operation_id is None:
            return handle(command)
        reply = self.find_reply(operation_id, command)
        if reply is None:
            try:
                reply = handle(command)
            except KumquatrunError as error:
                reply = error_to_reply(error)
            self.record(operation_id, command, reply)
        return reply

    def find_reply(self, operation_id: str, command: Any) -> Any | None:
        """Return the reply to an earlier run of the same command, or None.

        Raises
        ------
        InvalidRequestError
            If the id is empty, too long or was used for another command.
            Returning the reply to the other command would report a change
            that was not made.
        """
        if not 0 < len(operation_id) <= _MAX_ID_LENGTH:
            raise InvalidRequestError(
                f'the operation id must have 1 to {_MAX_ID_LENGTH} characters',
            )
        entry = self._replies.get(operation_id)
        if entry is None:
            return None
        if entry[0] != _command_digest(command):
            raise InvalidRequestError(
                f'operation id {operation_id!r} was used for another operation',
            )
        return decode_message(entry[1])

    def record(self, operation_id: str, command: Any, reply: Any) -> None:
        """Record a reply, also an error; above the limit drop the oldest."""
        self._replies[operation_id] = (
            _command_digest(command),
            encode_message(reply),
        )
        if len(self._replies) > self._max_operations:
            self._replies.popitem(last=False)

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [[key, *entry] for key, entry in self._replies.items()]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        self._replies = OrderedDict(
            (key, (digest, reply)) for key, digest, reply in content
        )


def _command_digest(command: Any) -> bytes:
    packed = msgpack.packb(encode_message(command))
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


def _operation_id(command: Any) -> str | None:
    """Return the id under which the reply to a command is recorded.

    Reports of suspects have a report id instead of an operation id; the prefix
    keeps the two kinds apart. Returns None if the command has neither.
    """
    report_id = getattr(command, 'report_id', '')
    if report_id:
        return f'report:{report_id}'
    return getattr(command, 'operation_id', None)
