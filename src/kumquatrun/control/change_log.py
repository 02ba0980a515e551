"""Changes of the control state: rows for the feed and the audit trail."""

from typing import Any

from kumquatrun.control.audit import AuditTrail


class ChangeLog:
    """Collects the changes made by commands."""

    def __init__(self) -> None:
        self.audit = AuditTrail()
        self._rows: list[tuple[str, Any]] = []

    def add_row(self, kind: str, body: Any) -> None:
        """Add a row for the followers of the feed."""
        self._rows.append((kind, body))

    def take_rows(self) -> list[tuple[str, Any]]:
        """Return kind and body of the changes since the last call."""
        rows = self._rows
        self._rows = []
        return rows

    def record(
        self,
        time_ms: int,
        action: str,
        subject: str,
        states: tuple[str, str],
        operator: str,
        operation_id: str = '',
    ) -> None:
        """Record a change with the states before and after it."""
        self.audit.record(
            time_ms=time_ms,
            operator=operator,
            operation_id=operation_id,
            action=action,
            subject=subject,
            before=states[0],
            after=states[1],
        )
