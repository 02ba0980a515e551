"""Segment files: consecutive log entries, each in its own record."""

import os
from collections.abc import Sequence
from pathlib import Path

from kumquatrun.consensus.consensus_messages import LogEntry
from kumquatrun.consensus.log_records import (
    decode_entry,
    encode_entry,
    has_record_after,
    read_records,
)
from kumquatrun.errors import CorruptLogError

SEGMENT_PATTERN = 'log-*.seg'


def sync_directory(path: Path) -> None:
    """Make created, renamed and deleted files in ``path`` durable."""
    directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


class Segment:
    """One segment file, open for appending.

    Attributes
    ----------
    first_index
        Index of the first entry; part of the file name.
    ends
        End offset of each record.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.first_index = int(path.stem.partition('-')[2])
        self.ends: list[int] = []
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o600)
        self.needs_sync = False

    @classmethod
    def create(cls, folder: Path, first_index: int) -> 'Segment':
        """Create an empty segment and make its directory entry durable."""
        segment = cls(folder / f'log-{first_index:020d}.seg')
        sync_directory(folder)
        return segment

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.first_index + len(self.ends) - 1

    @property
    def size_bytes(self) -> int:
        """Return the total size of the records."""
        return self.ends[-1] if self.ends else 0

    def read(self, *, is_last: bool) -> list[LogEntry]:
        """Read all entries; remove a torn record at the end of the log.

        Raises
        ------
        CorruptLogError
            If a record is out of order, or a record other than the last one
            of the log is damaged.
        """
        content = self.path.read_bytes()
        entries = []
        for record in read_records(content):
            entry = decode_entry(record.content)
            if entry.index != self.first_index + len(entries):
                raise self._corrupt(self.size_bytes, 'is out of order')
            entries.append(entry)
            self.ends.append(record.end)
        if self.size_bytes < len(content):
            if not is_last or has_record_after(content, self.size_bytes):
                raise self._corrupt(self.size_bytes, 'is damaged')
            self._truncate(self.size_bytes)
        return entries

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries; they become durable with ``sync``."""
        content = bytearray()
        start = self.size_bytes
        for entry in entries:
            content += encode_entry(entry)
            self.ends.append(start + len(content))
        _write_all(self._file, content)
        self.needs_sync = True

    def truncate_from(self, index: int) -> None:
        """Durably remove the entry at ``index`` and all later ones."""
        kept_count = max(0, index - self.first_index)
        if kept_count < len(self.ends):
            del self.ends[kept_count:]
            self._truncate(self.size_bytes)

    def sync(self) -> None:
        """Make all written entries durable."""
        if self.needs_sync:
            os.fdatasync(self._file)
            self.needs_sync = False

    def rewrite(self) -> None:
        """Replace the file with a synced copy of its records.

        The rename becomes durable with a sync of the folder.
        """
        content = self.path.read_bytes()[: self.size_bytes]
        temporary = self.path.with_suffix('.tmp')
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        copy = os.open(temporary, flags, 0o600)
        try:
            _write_all(copy, content)
            os.fsync(copy)
            temporary.rename(self.path)
        except OSError:
            os.close(copy)
            raise
        replaced = self._file
        self._file = copy
        os.close(replaced)

    def close(self) -> None:
        """Close the file without syncing it."""
        os.close(self._file)

    def delete(self) -> None:
        """Close and delete the file."""
        self.close()
        self.path.unlink()

    def _truncate(self, size_bytes: int) -> None:
        os.ftruncate(self._file, size_bytes)
        os.fsync(self._file)

    def _corrupt(self, offset: int, problem: str) -> CorruptLogError:
        return CorruptLogError(
            f'record at offset {offset} of {self.path} {problem}',
        )


def _write_all(file: int, content: bytes | bytearray) -> None:
    view = memoryview(content)
    written = 0
    while written < len(content):
        written += os.write(file, view[written:])
