"""Conversion between typed errors and peer messages."""

from kumquatrun.errors import (
    KumquatrunError,
    error_from_code,
)
from kumquatrun.peer.messages import ErrorReply


def error_to_reply(error: KumquatrunError) -> ErrorReply:
    """Return the message that carries ``error`` to a peer."""
    return ErrorReply(
        code=error.code,
        detail=error.detail,
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
        cause=error.cause,
    )


def reply_to_error(reply: ErrorReply) -> KumquatrunError:
    """Rebuild the error that a peer sent."""
    return error_from_code(
        reply.code,
        reply.detail,
        outcome=reply.outcome,
        retry_after_s=reply.retry_after_s,
        cause=reply.cause,
    )
