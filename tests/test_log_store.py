"""The log store: what survives crashes and how damage is reported."""

import os
import random
import re

import pytest

from kumquatrun.consensus import log_segments
from kumquatrun.consensus.consensus_messages import EntryKind, LogEntry, Member
from kumquatrun.consensus.log_records import HEADER_BYTES, encode_entry
from kumquatrun.consensus.log_store import FileStorage
from kumquatrun.consensus.memory_store import MemoryStorage
from kumquatrun.consensus.quorum_types import (
    HardState,
    ReplicaMeta,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from kumquatrun.errors import CorruptLogError, SettingError

MEMBERS = (Member(replica_id='r0', disk_id='d0', address='127.0.0.1:1'),)
META = ReplicaMeta('d0', HardState(3, 'r0/d0'), MEMBERS, formed=True)


def entry(index, term=1):
    data = b'command %d' % index
    return LogEntry(
        index=index, term=term, kind=EntryKind.COMMAND, data=data * 3
    )


def entries(first, last, term=1):
    return [entry(index, term) for index in range(first, last + 1)]


def opened(folder, **options):
    storage = FileStorage(folder, **options)
    storage.load()
    return storage


def loaded(folder):
    storage = FileStorage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


def stored(folder, count=5):
    """Store entries 1 to ``count`` in one segment; returns its path."""
    storage = opened(folder)
    storage.save_meta(META)
    storage.append(entries(1, count))
    storage.sync()
    storage.close()
    return next(folder.glob('log-*.seg'))


def test_load_empty_folder(tmp_path):
    assert loaded(tmp_path / 'new') == StoredState()


def test_folder_lock(tmp_path):
    # Guards against two replicas that write to the same log.
    storage = opened(tmp_path)
    with pytest.raises(SettingError, match='used by another process'):
        opened(tmp_path)
    storage.close()
    opened(tmp_path).close()


def test_sync_calls_fdatasync_once(tmp_path, monkeypatch):
    # Guards against an acknowledgement without a sync of the file.
    synced = []
    real_sync = os.fdatasync
    monkeypatch.setattr(
        os, 'fdatasync', lambda file: (synced.append(file), real_sync(file))
    )
    storage = opened(tmp_path)
    storage.append(entries(1, 50))
    assert not synced
    storage.sync()
    storage.sync()
    assert len(synced) == 1
    storage.close()


RECORD_BYTES = len(encode_entry(entry(5)))


@pytest.mark.parametrize('kept_bytes', range(RECORD_BYTES))
def test_torn_last_record(tmp_path, kept_bytes):
    # Guards against a replica that refuses to start after a power loss.
    path = stored(tmp_path)
    size = path.stat().st_size
    os.truncate(path, size - RECORD_BYTES + kept_bytes)
    storage = FileStorage(tmp_path)
    assert storage.load().entries == tuple(entries(1, 4))
    storage.append(entries(5, 6, term=2))
    storage.sync()
    storage.close()
    assert loaded(tmp_path).entries[4:] == tuple(entries(5, 6, term=2))


@pytest.mark.parametrize('content', [b'\0', b'\xff', b'\0\0\0\5'])
def test_unwritten_space_after_last_record(tmp_path, content):
    # Guards against blocks that were allocated but not written.
    path = stored(tmp_path)
    with path.open('ab') as segment:
        segment.write(content * 1000)
    assert loaded(tmp_path).entries == tuple(entries(1, 5))
    assert path.stat().st_size == 5 * RECORD_BYTES


def flip(path, offset):
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x41
    path.write_bytes(content)


@pytest.mark.parametrize('position', range(RECORD_BYTES))
def test_damaged_earlier_record(tmp_path, position):
    # Guards against acknowledged entries that are dropped as a torn record.
    path = stored(tmp_path)
    offset = 2 * RECORD_BYTES
    flip(path, offset + position)
    expected = f'offset {offset} of {re.escape(str(path))}'
    with pytest.raises(CorruptLogError, match=expected):
        loaded(tmp_path)
    assert path.stat().st_size == 5 * RECORD_BYTES


def test_damage_undetected_without_search_for_later_records(
    tmp_path, monkeypatch
):
    # Shows that the test above fails without the mechanism.
    path = stored(tmp_path)
    flip(path, 2 * RECORD_BYTES + 1)
    monkeypatch.setattr(log_segments, 'has_record_after', lambda *_: False)
    assert len(loaded(tmp_path).entries) == 2


def test_truncated_earlier_segment(tmp_path):
    # Guards against a torn record that is accepted in the middle of the log.
    storage = opened(tmp_path, segment_bytes=3 * RECORD_BYTES)
    storage.save_meta(META)
    for index in range(1, 9):
        storage.append([entry(index)])
    storage.sync()
    storage.close()
    first = min(tmp_path.glob('log-*.seg'))
    os.truncate(first, first.stat().st_size - 1)
    with pytest.raises(CorruptLogError, match=re.escape(str(first))):
        loaded(tmp_path)


def test_missing_segment(tmp_path):
    storage = opened(tmp_path, segment_bytes=RECORD_BYTES)
    storage.save_meta(META)
    for index in range(1, 5):
        storage.append([entry(index)])
    storage.sync()
    storage.close()
    sorted(tmp_path.glob('log-*.seg'))[1].unlink()
    with pytest.raises(CorruptLogError, match='entry 2 is missing'):
        loaded(tmp_path)


def snapshot(index, term=1):
    meta = SnapshotMeta(index, term, MEMBERS)
    return Snapshot(meta, b'state at %d ' % index * 100)


@pytest.mark.parametrize('offset', [0, 5, HEADER_BYTES + 3, -1, -500])
def test_damaged_snapshot(tmp_path, offset):
    storage = opened(tmp_path)
    storage.save_meta(META)
    storage.install_snapshot(snapshot(7))
    storage.close()
    path = next(tmp_path.glob('snapshot-*.bin'))
    flip(path, offset)
    with pytest.raises(CorruptLogError, match=re.escape(str(path))):
        loaded(tmp_path)


@pytest.mark.parametrize('action', ['damage', 'remove'])
def test_damaged_or_missing_meta_file(tmp_path, action):
    # Guards against a second vote in the same term.
    stored(tmp_path)
    path = tmp_path / 'replica.meta'
    flip(path, 20) if action == 'damage' else path.unlink()
    with pytest.raises(CorruptLogError, match=re.escape(str(path))):
        loaded(tmp_path)


def test_leftover_temporary_files(tmp_path):
    # Guards against a crash before the rename.
    stored(tmp_path)
    (tmp_path / 'replica.meta.tmp').write_bytes(b'half')
    (tmp_path / 'snapshot-00000000000000000009.bin.tmp').write_bytes(b'half')
    assert loaded(tmp_path).meta == META
    assert not list(tmp_path.glob('*.tmp'))


def test_read_snapshot_in_chunks(tmp_path):
    storage = opened(tmp_path)
    storage.install_snapshot(snapshot(4))
    storage.save_snapshot(snapshot(9), 1)
    assert storage.read_chunk(4, 0, 10) is None
    parts = [storage.read_chunk(9, offset, 97) for offset in range(0, 1200, 97)]
    assert b''.join(part for part, _ in parts) == snapshot(9).content
    assert {total for _, total in parts} == {len(snapshot(9).content)}
    storage.close()


def test_outdated_snapshot_deleted(tmp_path):
    # Guards against a folder that grows with each crash.
    storage = opened(tmp_path)
    storage.save_meta(META)
    storage.install_snapshot(snapshot(4))
    path = next(tmp_path.glob('snapshot-*.bin'))
    content = path.read_bytes()
    storage.install_snapshot(snapshot(9))
    storage.close()
    path.write_bytes(content)
    assert loaded(tmp_path).snapshot == snapshot(9)
    assert not path.exists()


class CrashError(Exception):
    """Ends the process in the middle of an operation."""


CHANGES = {
    'append': lambda storage: storage.append(entries(7, 9)),
    'truncate': lambda storage: storage.truncate_from(3),
    'snapshot': lambda storage: storage.save_snapshot(snapshot(5), 5),
    'install': lambda storage: storage.install_snapshot(snapshot(20, 2)),
    'meta': lambda storage: storage.save_meta(ReplicaMeta('d0', HardState(9))),
}
CALLS = ('fsync', 'fdatasync', 'ftruncate', 'open', 'write')


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize('number', range(3))
def test_crash_at_system_call(tmp_path, monkeypatch, change, call, number):
    # Guards against a change that is half done after a crash: the state is
    # that of before or of after, or a prefix of the appended entries.
    storage = opened(tmp_path, segment_bytes=2 * RECORD_BYTES)
    storage.save_meta(META)
    for index in range(1, 7):
        storage.append([entry(index)])
    storage.sync()
    calls = iter(range(1000))
    real = getattr(os, call)

    def crash(*arguments, **options):
        if next(calls) == number:
            raise CrashError
        return real(*arguments, **options)

    with monkeypatch.context() as patch:
        patch.setattr(os, call, crash)
        try:
            CHANGES[change](storage)
            storage.sync()
        except CrashError:
            pass
    storage.close()
    state = loaded(tmp_path)
    first = state.snapshot.meta.last_index + 1 if state.snapshot else 1
    expected = {
        'append': [entries(1, last) for last in (6, 7, 8, 9)],
        'truncate': [entries(1, last) for last in range(2, 7)],
        'snapshot': [entries(first, 6)],
        'install': [entries(1, 6), []],
        'meta': [entries(1, 6)],
    }
    assert list(state.entries) in expected[change]
    assert state.meta in {META, ReplicaMeta('d0', HardState(9))}


@pytest.mark.parametrize('seed', range(15))
def test_random_operations_match_memory_storage(tmp_path, seed):
    # Guards against a difference between the store of the simulation and the
    # store of the daemons.
    rng = random.Random(seed)
    files = opened(tmp_path, segment_bytes=4 * RECORD_BYTES)
    model = MemoryStorage()
    last, snapshot_index, term = 0, 0, 1

    def both(name, *arguments):
        getattr(files, name)(*arguments)
        getattr(model, name)(*arguments)

    both('save_meta', META)
    for _ in range(60):
        action = rng.choice(
            ['append', 'append', 'truncate', 'snapshot', 'open']
        )
        if action == 'append':
            count = rng.randrange(1, 6)
            both('append', entries(last + 1, last + count, term))
            both('sync')
            last += count
        elif action == 'truncate' and last > snapshot_index:
            first = rng.randint(snapshot_index + 1, last)
            both('truncate_from', first)
            last, term = first - 1, term + 1
        elif action == 'snapshot' and last > snapshot_index:
            index = rng.randint(snapshot_index + 1, last)
            terms = {row.index: row.term for row in model.durable.entries}
            first_kept = max(1, index - rng.randrange(8))
            both('save_snapshot', snapshot(index, terms[index]), first_kept)
            snapshot_index = index
        elif action == 'open':
            files.close()
            files = FileStorage(tmp_path, segment_bytes=4 * RECORD_BYTES)
            assert files.load() == model.load()
    files.close()
    assert loaded(tmp_path) == model.load()
