"""Errors of documents, nodes, connections, settings and files."""

from kumquatrun.errors.base import ErrorKind, KumquatrunError, Outcome


class DocumentError(KumquatrunError):
    """Refuses a configuration document."""

    kind = ErrorKind(
        'invalid_document',
        422,
        Outcome.NOT_RUN,
        'Correct the document at the given path; nothing was changed.',
    )


class RevisionConflictError(KumquatrunError):
    """Refuses a change that was based on an old revision."""

    kind = ErrorKind(
        'revision_conflict',
        409,
        Outcome.NOT_RUN,
        'Read the current revision, review the difference and apply again.',
    )


class NotTriedError(KumquatrunError):
    """Refuses to promote a document that trial does not run."""

    kind = ErrorKind(
        'not_tried',
        409,
        Outcome.NOT_RUN,
        'Apply the same bytes in the trial environment first.',
    )


class StaleIncarnationError(KumquatrunError):
    """Refuses a host incarnation that was replaced or has expired."""

    kind = ErrorKind(
        'stale_incarnation',
        409,
        Outcome.NOT_RUN,
        'Register the host again with a new incarnation.',
    )


class FeedGapError(KumquatrunError):
    """Reports a feed item that needs an earlier item that is missing."""

    kind = ErrorKind(
        'feed_gap',
        409,
        Outcome.NOT_RUN,
        'Follow the feed from index 0, which sends a snapshot first.',
    )


class NotFoundError(KumquatrunError):
    """Reports an unknown account, host or key."""

    kind = ErrorKind(
        'not_found',
        404,
        Outcome.NOT_RUN,
        'Check the name with the status command.',
    )


class NotLeaderError(KumquatrunError):
    """Refuses a call that only the leader can answer."""

    kind = ErrorKind(
        'not_leader',
        503,
        Outcome.NOT_RUN,
        'Send the call to the leader that the message names.',
    )


class UnauthorizedPeerError(KumquatrunError):
    """Refuses a peer without the right cluster token."""

    kind = ErrorKind(
        'unauthorized_peer',
        403,
        Outcome.NOT_RUN,
        'Set the same cluster token on both processes.',
    )


class ConnectionLostError(KumquatrunError):
    """Reports a peer connection that ended during a call."""

    kind = ErrorKind(
        'connection_lost',
        503,
        Outcome.UNKNOWN,
        'Check that the peer runs and that its address is right.',
    )


class WireError(KumquatrunError):
    """Reports a frame that cannot be decoded."""

    kind = ErrorKind(
        'wire_error',
        500,
        Outcome.UNKNOWN,
        'Run the same version on both processes.',
    )


class SettingError(KumquatrunError):
    """Refuses a wrong setting."""

    kind = ErrorKind(
        'invalid_setting',
        400,
        Outcome.NOT_RUN,
        'Correct the flag or environment variable named in the message.',
    )


class CorruptLogError(KumquatrunError):
    """Refuses a data folder with a damaged record."""

    kind = ErrorKind(
        'corrupt_log',
        500,
        Outcome.NOT_RUN,
        'Replace this replica: empty its data folder and join it again.',
    )
