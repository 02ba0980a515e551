"""Messages between nodes and the control service."""

from kumquatrun.peer.directory_messages import ControlGroup
from kumquatrun.peer.messages import message
from kumquatrun.peer.share_messages import ShareGrant, ShareReport


@message
class HostRecord:
    """Describes one entry or agent host.

    ``directory_address`` is where the host accepts ``TellControlHosts``, empty
    if it accepts none.
    """

    host_id: str
    incarnation: str
    role: str
    address: str
    region: str
    failure_domain: str
    service: str = ''
    fencing_number: int = 0
    draining: bool = False
    directory_address: str = ''


@message
class RegisterHost:
    """Requests the commit of a host record with a new fencing number."""

    record: HostRecord


@message
class RegisterReply:
    """Returns the committed record with its fencing number."""

    record: HostRecord


@message
class AgentReport:
    """Soft state of one agent: load and loaded adapters.

    ``queued_tokens`` are the prompt tokens that wait or are being read, and
    ``tokens_per_s`` is how many are read in a second, 0 if that is unknown.
    """

    host_id: str
    incarnation: str
    running: int = 0
    queued: int = 0
    capacity: int = 0
    adapters: tuple[str, ...] = ()
    queued_tokens: int = 0
    tokens_per_s: int = 0


@message
class BudgetReport:
    """Tokens that an entry consumed and returned since its last report.

    ``abandoned_grants`` lists the numbers of grant requests whose replies the
    entry will not use; their tokens go back to the account.
    """

    account: str
    consumed_tokens: int = 0
    returned_tokens: int = 0
    abandoned_grants: tuple[int, ...] = ()


@message
class RenewLease:
    """Extends a host's lease and reports its soft state.

    ``sequence`` numbers the reports of one incarnation, so that a report that
    is resent after a lost reply is counted once. ``group_term`` and
    ``group_index`` identify the control group that the host knows. An entry
    reports its shares of account rates; ``boot_id`` differs after each start of
    its process, and ``sent_at_s`` is the time by its clock.
    """

    host_id: str
    incarnation: str
    feed_index: int
    sequence: int = 0
    agent_report: AgentReport | None = None
    budget_reports: tuple[BudgetReport, ...] = ()
    listing_version: str = ''
    group_term: int = 0
    group_index: int = 0
    boot_id: str = ''
    sent_at_s: float = 0.0
    share_reports: tuple[ShareReport, ...] = ()


@message
class LeaseReply:
    """Grants a lease, counted from the send time of the renewal.

    ``duration_s`` is 0 if the host must first catch up with the feed.
    ``listing`` is the platform's list of backend servers, see
    ``backend_listing``; None if the host already has this version.
    ``listing_age_s`` is the time since the leader read it.
    ``configuration_version`` is the version of the active routing
    configuration, 0 for none. ``group`` is the control group, None if the host
    already knows it. ``share_grants`` replace shares of account rates that the
    host holds; it keeps those of accounts that are left out.
    """

    duration_s: float
    feed_index: int
    agent_reports: tuple[AgentReport, ...] = ()
    listing_version: str = ''
    listing_age_s: float | None = None
    listing: bytes | None = None
    configuration_version: int = 0
    group: ControlGroup | None = None
    share_grants: tuple[ShareGrant, ...] = ()


@message
class FollowFeed:
    """Opens the feed; items after ``after_index`` follow as stream items.

    ``configuration_version`` is the version of the follower's routing
    configuration, 0 for none.
    """

    host_id: str
    after_index: int
    configuration_version: int = 0


@message
class FeedItem:
    """One change of replicated state.

    ``kind`` is ``snapshot``, ``document``, ``key``, ``host``, ``quarantine``
    or ``batch``, which holds several changes at one index; ``body`` is the
    record in msgpack, see ``cluster_view``.
    """

    index: int
    kind: str
    body: bytes


@message
class FeedPart:
    """One part of a feed item that is too large to be sent at once.

    The parts of an item are sent in sequence; concatenated, they are its body.
    """

    index: int
    kind: str
    number: int
    count: int
    content: bytes


@message
class GrantTokens:
    """Requests tokens of an account; committed before the reply is sent.

    ``needed_tokens`` is the number that waiting requests need; None means all
    wanted tokens. Further tokens are requested in advance. They are granted
    only while an eighth of the burst remains, so that unused tokens at one
    entry do not starve another.
    ``number`` is unique within the incarnation, so that a resend is granted
    once and a grant whose reply was lost can be abandoned; 0 disables both.
    """

    host_id: str
    incarnation: str
    account: str
    wanted_tokens: int
    needed_tokens: int | None = None
    number: int = 0


@message
class GrantReply:
    """Returns the granted tokens, which may be fewer than wanted."""

    granted_tokens: int
    retry_after_s: float = 0


@message
class AcquireLoadSlot:
    """Requests one of the fleet-wide load slots."""

    host_id: str
    incarnation: str
    adapter: str
    waiting_requests: int = 1


@message
class LoadSlotReply:
    """Returns a slot id, or an empty id and the delay before a retry."""

    slot_id: str
    retry_after_s: float = 0


@message
class ReleaseLoadSlot:
    """Returns a load slot."""

    slot_id: str


@message
class ReportSuspects:
    """Reports fingerprints of requests that ran when a backend server crashed.

    Attributes
    ----------
    alone
        Whether the fingerprint was the only one in the batch.
    report_id
        Makes a resend idempotent: without it and without ``backend_id``, a
        resent report counts as a second crash.
    backend_id
        Backend server that ended; empty in the reports of agents.
    run_ages_ms
        Time since the run of each fingerprint began, when the report is sent.
    end_ages_ms
        Time since each run was seen to have ended.
    requests
        Identity of the request of each run that is reported under the key of a
        prompt part, else an empty string.
    """

    host_id: str
    fingerprints: tuple[str, ...]
    alone: bool = False
    report_id: str = ''
    backend_id: str = ''
    run_ages_ms: tuple[int, ...] = ()
    end_ages_ms: tuple[int, ...] = ()
    requests: tuple[str, ...] = ()


@message
class ClearSuspect:
    """Reports that a suspected request finished while it ran alone."""

    host_id: str
    fingerprint: str


@message
class ClearEndedRuns:
    """Reports that a suspected request or prompt part is harmless.

    Without ``backend_id``, a run of the request was completed, or one with the
    prompt part was answered, ``age_ms`` ago. With it, that backend server is
    known to have been alive after a run was broken off.
    """

    host_id: str
    fingerprint: str
    backend_id: str = ''
    age_ms: int = 0


@message
class TakeTrialRun:
    """Asks for permission to run a blocked request once.

    ``others`` are further fingerprints that the request is blocked for.
    """

    host_id: str
    fingerprint: str
    others: tuple[str, ...] = ()


@message
class TrialRunReply:
    """Says whether a blocked request may run once."""

    is_granted: bool


@message
class QuarantineRecord:
    """State of one fingerprint: ``suspect``, ``quarantined`` or ``clear``."""

    fingerprint: str
    state: str
