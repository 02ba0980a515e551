"""Messages about shares of account rates, carried by lease renewals."""

from kumquatrun.peer.messages import message


@message
class ShareReport:
    """What one process of an entry holds and used of an account.

    ``rate_tokens_per_s`` is the share that it holds, ``spent_tokens`` all that
    this process has ever admitted from its shares without the leader, and
    ``demand_tokens_per_s`` what its callers ask for. ``withheld_tokens_per_s``
    repeats the newest value of a ``ShareGrant``.
    """

    account: str
    rate_tokens_per_s: float = 0.0
    spent_tokens: float = 0.0
    demand_tokens_per_s: float = 0.0
    withheld_tokens_per_s: float = 0.0


@message
class ShareGrant:
    """Grants a share of an account's rate in place of the previous one.

    ``burst_tokens`` is the most that it holds on a contact, and
    ``silent_burst_tokens`` what it saves up without the leader.
    ``withheld_tokens_per_s`` is the sum of the shares of entries that the
    leader can't reach.
    """

    account: str
    rate_tokens_per_s: float
    burst_tokens: float
    silent_burst_tokens: float
    withheld_tokens_per_s: float = 0.0
