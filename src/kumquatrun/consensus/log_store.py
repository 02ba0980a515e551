"""Durable storage of a replica in one data folder.

The folder holds segment files with log entries, the newest snapshot, and a
metadata file with disk identity, term and vote. Snapshot and metadata files
are replaced atomically: written under a temporary name, synced and renamed.

Data that can be read is not necessarily durable. An earlier process may have
ended before a sync. After a failed sync, the page cache can hold bytes that
never reach the disk, although later syncs succeed. ``load`` therefore rewrites
the files that may be affected and syncs them before it returns. These are the
last segment and the metadata file: a segment is synced before the next one is
created, and a snapshot before it is renamed.
"""

import fcntl
import os
import time
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgpack

from kumquatrun.consensus.consensus_messages import Ballot, LogEntry
from kumquatrun.consensus.log_records import (
    Record,
    decode_record,
    encode_record,
)
from kumquatrun.consensus.log_segments import (
    SEGMENT_PATTERN,
    Segment,
    sync_directory,
)
from kumquatrun.consensus.quorum_membership import Membership
from kumquatrun.consensus.quorum_types import (
    HardState,
    ReplicaMeta,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from kumquatrun.errors import CorruptLogError, SettingError
from kumquatrun.runtime.metrics import process_metrics

SEGMENT_BYTES = 4 * 1024 * 1024
SNAPSHOT_PATTERN = 'snapshot-*.bin'
META_NAME = 'replica.meta'
LOCK_NAME = 'lock'


class FileStorage:
    """``Storage`` in files below ``data_dir``."""

    def __init__(
        self,
        data_dir: str | Path,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = Path(data_dir)
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._snapshot: Path | None = None
        self._lock: int | None = None

    def load(self) -> StoredState:
        """Load the content of the folder and make it durable.

        Creates the folder if it is missing.

        Raises
        ------
        CorruptLogError
            If a file is damaged or missing; the message names the file, and
            the offset of the damage.
        SettingError
            If another process uses the folder.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._acquire_lock()
        self._snapshot = None
        for unfinished in self._folder.glob('*.tmp'):
            unfinished.unlink()
        meta = self.load_meta()
        snapshot = self._load_snapshot()
        entries = self._load_entries(snapshot)
        if meta is None and (snapshot is not None or entries):
            raise CorruptLogError(
                f'{self._folder / META_NAME} is missing, but a log exists',
            )
        self._make_durable(meta)
        return StoredState(meta, snapshot, tuple(entries))

    def load_meta(self) -> ReplicaMeta | None:
        """Return the stored metadata without the log, or None if missing.

        Raises
        ------
        CorruptLogError
            If the file is damaged.
        """
        path = self._folder / META_NAME
        if not path.exists():
            return None
        record = decode_record(path.read_bytes(), 0)
        if record is None:
            raise CorruptLogError(f'record at offset 0 of {path} is damaged')
        fields = msgpack.unpackb(record.content)
        disk_id, term, voted_for, initial, formed = fields[:5]
        ballots = [Ballot(number=row[0], proposer=row[1]) for row in fields[5:]]
        members = Membership.decode(initial).members
        return ReplicaMeta(
            disk_id, HardState(term, voted_for), members, formed, *ballots
        )

    def save_meta(self, meta: ReplicaMeta) -> None:
        """Replace the metadata file."""
        content = msgpack.packb(
            (
                meta.disk_id,
                meta.hard_state.term,
                meta.hard_state.voted_for,
                Membership(meta.initial).encode(),
                meta.formed,
                *_ballots(meta),
            ),
        )
        self._replace_file(META_NAME, [encode_record(content)])

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries to the last segment; start a new one if it is full."""
        if not entries:
            return
        if not self._segments:
            self._add_segment(entries[0].index)
        if self._segments[-1].size_bytes >= self._segment_bytes:
            # ``load`` accepts a torn record only in the last segment.
            self._segments[-1].sync()
            self._add_segment(entries[0].index)
        self._segments[-1].append(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        while self._segments and self._segments[-1].first_index >= index:
            self._segments.pop().delete()
        if self._segments:
            self._segments[-1].truncate_from(index)
        sync_directory(self._folder)

    def sync(self) -> None:
        """Make all written entries durable."""
        if self._segments:
            started_s = time.perf_counter()
            self._segments[-1].sync()
            elapsed_s = time.perf_counter() - started_s
            process_metrics().observe('log_sync_seconds', elapsed_s)

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Store a snapshot; delete segments that end before ``first_kept``."""
        self._write_snapshot(snapshot)
        while len(self._segments) > 1 and (
            self._segments[1].first_index <= first_kept
        ):
            self._segments.pop(0).delete()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot from the leader and delete all segments."""
        self._write_snapshot(snapshot)
        while self._segments:
            # The last segment is deleted first, so that a crash leaves no gap
            # in the log.
            self._segments.pop().delete()
        sync_directory(self._folder)

    def read_chunk(
        self,
        last_index: int,
        offset: int,
        size_bytes: int,
    ) -> tuple[bytes, int] | None:
        """Return a part of the newest snapshot, and the snapshot's size."""
        path = self._snapshot
        if path is None or path.name != _snapshot_name(last_index):
            return None
        with path.open('rb') as stored:
            header = _read_header(path, stored.read(_MAX_HEADER_BYTES))
            stored.seek(header.end + offset)
            chunk = stored.read(size_bytes)
        return chunk, path.stat().st_size - header.end

    def close(self) -> None:
        """Close all files and release the lock on the folder."""
        while self._segments:
            self._segments.pop().close()
        if self._lock is not None:
            lock = self._lock
            self._lock = None
            os.close(lock)

    def _make_durable(self, meta: ReplicaMeta | None) -> None:
        if meta is not None:
            self.save_meta(meta)
        if self._segments:
            self._segments[-1].rewrite()
        sync_directory(self._folder)

    def _acquire_lock(self) -> None:
        lock = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise SettingError(
                f'data folder {self._folder} is used by another process',
            ) from None
        self._lock = lock

    def _load_snapshot(self) -> Snapshot | None:
        paths = sorted(self._folder.glob(SNAPSHOT_PATTERN))
        if not paths:
            return None
        for outdated in paths[:-1]:
            outdated.unlink()
        self._snapshot = paths[-1]
        stored = self._snapshot.read_bytes()
        header = _read_header(self._snapshot, stored)
        content = stored[header.end :]
        index, term, rows, content_crc = msgpack.unpackb(header.content)
        if zlib.crc32(content) != content_crc:
            raise CorruptLogError(
                f'content at offset {header.end} of {self._snapshot} is damaged'
            )
        members = Membership.decode(rows).members
        return Snapshot(SnapshotMeta(index, term, members), content)

    def _load_entries(self, snapshot: Snapshot | None) -> list[LogEntry]:
        paths = sorted(self._folder.glob(SEGMENT_PATTERN))
        entries: list[LogEntry] = []
        for path in paths:
            segment = Segment(path)
            self._segments.append(segment)
            if entries and segment.first_index != entries[-1].index + 1:
                raise CorruptLogError(
                    f'entry {entries[-1].index + 1} is missing before '
                    f'offset 0 of {path}',
                )
            entries.extend(segment.read(is_last=path == paths[-1]))
        return self._entries_after(snapshot, entries)

    def _entries_after(
        self,
        snapshot: Snapshot | None,
        entries: list[LogEntry],
    ) -> list[LogEntry]:
        """Return the entries after the snapshot.

        A crash during the installation of a snapshot can leave entries that
        end before the snapshot or conflict with it. They are removed.
        """
        meta = snapshot.meta if snapshot is not None else SnapshotMeta()
        terms = {entry.index: entry.term for entry in entries}
        first = entries[0].index if entries else meta.last_index + 1
        if first > meta.last_index + 1:
            raise CorruptLogError(
                f'entry {meta.last_index + 1} is missing before '
                f'offset 0 of {self._segments[0].path}',
            )
        is_contiguous = first == meta.last_index + 1 or (
            terms.get(meta.last_index) == meta.last_term
        )
        if not is_contiguous:
            while self._segments:
                self._segments.pop().delete()
            return []
        return [entry for entry in entries if entry.index > meta.last_index]

    def _add_segment(self, first_index: int) -> None:
        self._segments.append(Segment.create(self._folder, first_index))

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        meta = snapshot.meta
        header = msgpack.packb(
            (
                meta.last_index,
                meta.last_term,
                Membership(meta.members).encode(),
                zlib.crc32(snapshot.content),
            ),
        )
        previous = self._snapshot
        self._snapshot = self._replace_file(
            _snapshot_name(meta.last_index),
            [encode_record(header), snapshot.content],
        )
        if previous is not None and previous != self._snapshot:
            previous.unlink()

    def _replace_file(self, name: str, parts: Sequence[bytes]) -> Path:
        path = self._folder / name
        temporary = self._folder / f'{name}.tmp'
        with temporary.open('wb') as output:
            output.writelines(parts)
            output.flush()
            os.fsync(output.fileno())
        temporary.rename(path)
        sync_directory(self._folder)
        return path


# The header holds the membership: 64 KiB suffice for several hundred members.
_MAX_HEADER_BYTES = 64 * 1024


def _snapshot_name(last_index: int) -> str:
    return f'snapshot-{last_index:020d}.bin'


def _read_header(path: Path, content: bytes) -> Record:
    record = decode_record(content, 0)
    if record is None:
        raise CorruptLogError(f'record at offset 0 of {path} is damaged')
    return record


def _ballots(meta: ReplicaMeta) -> list[tuple[int, str]]:
    """Return the votes to store; a formed group has no further ballots."""
    if meta.formed:
        return []
    return [row.rank for row in (meta.promised, meta.accepted)]
