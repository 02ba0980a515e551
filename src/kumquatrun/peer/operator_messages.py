"""Messages of operator calls."""

from collections.abc import Mapping
from dataclasses import field
from typing import Any

from kumquatrun.peer.messages import message


@message
class OperatorCall:
    """Runs an operator action on the leader.

    ``action`` and ``arguments`` are listed in ``control``; ``operation_id``
    makes a resend idempotent.
    """

    action: str
    operator: str
    operation_id: str
    operator_token: str = ''
    arguments: Mapping[str, Any] = field(default_factory=dict)


@message
class OperatorReply:
    """Returns the result of an operator action."""

    result: Mapping[str, Any]
