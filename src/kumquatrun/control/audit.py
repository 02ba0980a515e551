"""Audit trail: who changed what and when, with both states in short."""

from collections import deque
from dataclasses import dataclass
from itertools import islice
from operator import attrgetter
from typing import Any

MAX_AUDIT_ENTRIES = 10_000
_MAX_TEXT_LENGTH = 300


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """One change; ``number`` counts all changes from 1."""

    number: int
    time_ms: int
    operator: str
    operation_id: str
    action: str
    subject: str
    before: str
    after: str


_FIELDS = (
    'number',
    'time_ms',
    'operator',
    'operation_id',
    'action',
    'subject',
    'before',
    'after',
)
# Several times faster than ``dataclasses.asdict`` for a full trail.
_entry_row = attrgetter(*_FIELDS)


class AuditTrail:
    """The newest changes, oldest first."""

    def __init__(self, max_entries: int = MAX_AUDIT_ENTRIES) -> None:
        self._entries: deque[AuditEntry] = deque(maxlen=max_entries)
        self._count = 0

    def record(self, **change: Any) -> AuditEntry:
        """Append a change with all fields of ``AuditEntry`` but the number."""
        self._count += 1
        for field_name in ('operator', 'subject', 'before', 'after'):
            change[field_name] = change[field_name][:_MAX_TEXT_LENGTH]
        entry = AuditEntry(number=self._count, **change)
        self._entries.append(entry)
        return entry

    def page(self, before: int | None, limit: int) -> tuple[AuditEntry, ...]:
        """Return up to ``limit`` entries numbered below ``before``.

        Entries are newest first; None starts at the newest.
        """
        newest_first = reversed(self._entries)
        if before is not None:
            skipped = max(0, self._count - before + 1)
            newest_first = islice(newest_first, skipped, None)
        return tuple(islice(newest_first, max(0, limit)))

    def snapshot(self) -> Any:
        """Return the trail as plain values for msgpack."""
        return [self._count, list(map(_entry_row, self._entries))]

    def restore(self, content: Any) -> None:
        """Replace the trail with a snapshot."""
        count, rows = content
        self._count = count
        self._entries.clear()
        self._entries.extend(
            AuditEntry(**dict(zip(_FIELDS, row, strict=True))) for row in rows
        )
