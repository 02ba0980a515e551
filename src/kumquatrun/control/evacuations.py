"""Failure domains that the operator has evacuated.

The backend servers of an evacuated failure domain get no new requests until the
evacuation has ended. The commands take effect in the order of their commit, and
a repeated command is confirmed again without effect.
"""

from collections.abc import Callable, Mapping
from typing import Any

from kumquatrun.control.change_log import ChangeLog
from kumquatrun.errors import InvalidRequestError
from kumquatrun.peer.messages import message

MAX_NAME_LENGTH = 256
# Well above the number of failure domains of any deployment.
MAX_EVACUATED_DOMAINS = 1024


@message
class StartEvacuation:
    """Evacuates a failure domain."""

    failure_domain: str
    operator: str
    operation_id: str


@message
class FinishEvacuation:
    """Ends the evacuation of a failure domain."""

    failure_domain: str
    operator: str
    operation_id: str


@message
class EvacuationReply:
    """Returns whether a failure domain is evacuated after a command."""

    failure_domain: str
    is_evacuated: bool


class EvacuationRegister:
    """Evacuated failure domains, with feed rows and audit entries.

    Parameters
    ----------
    changes
        Receives feed rows and audit entries.
    now_ms
        Returns the state machine time.
    """

    def __init__(self, changes: ChangeLog, now_ms: Callable[[], int]) -> None:
        self._domains: set[str] = set()
        self._changes = changes
        self._now_ms = now_ms
        self.handlers: Mapping[type, Callable[[Any], Any]] = {
            StartEvacuation: self._start,
            FinishEvacuation: self._finish,
        }

    @property
    def domains(self) -> list[str]:
        """Return the evacuated failure domains, sorted."""
        return sorted(self._domains)

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return self.domains

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        self._domains = set(content)

    def _start(self, command: StartEvacuation) -> EvacuationReply:
        domain = command.failure_domain
        if not 0 < len(domain) <= MAX_NAME_LENGTH:
            raise InvalidRequestError(
                f'a failure domain has 1 to {MAX_NAME_LENGTH} characters'
            )
        is_new = domain not in self._domains
        if is_new and len(self._domains) >= MAX_EVACUATED_DOMAINS:
            raise InvalidRequestError(
                f'{MAX_EVACUATED_DOMAINS} failure domains are evacuated already'
            )
        if is_new:
            self._domains.add(domain)
            self._record('start_evacuation', command, is_evacuated=True)
        return EvacuationReply(failure_domain=domain, is_evacuated=True)

    def _finish(self, command: FinishEvacuation) -> EvacuationReply:
        domain = command.failure_domain
        if domain in self._domains:
            self._domains.remove(domain)
            self._record('finish_evacuation', command, is_evacuated=False)
        return EvacuationReply(failure_domain=domain, is_evacuated=False)

    def _record(
        self,
        action: str,
        command: StartEvacuation | FinishEvacuation,
        *,
        is_evacuated: bool,
    ) -> None:
        domain = command.failure_domain
        self._changes.add_row('evacuation', [domain, is_evacuated])
        states = (
            ('in use', 'evacuated') if is_evacuated else ('evacuated', 'in use')
        )
        self._changes.record(
            self._now_ms(),
            action,
            domain,
            states,
            command.operator,
            command.operation_id,
        )
