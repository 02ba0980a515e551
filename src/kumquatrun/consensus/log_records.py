"""Checksummed records of the log's files.

A record is a header of content length, CRC-32 of the content and CRC-32 of
these two fields, followed by the content. The header has its own checksum so
that a damaged length is not mistaken for a record that was cut off.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgpack

from kumquatrun.consensus.consensus_messages import EntryKind, LogEntry

_FIELDS = struct.Struct('>II')
_HEADER_CRC = struct.Struct('>I')
HEADER_BYTES = _FIELDS.size + _HEADER_CRC.size


@dataclass(frozen=True)
class Record:
    """A valid record and the offset after it."""

    content: bytes
    end: int


def encode_record(content: bytes) -> bytes:
    """Return a record with its header."""
    fields = _FIELDS.pack(len(content), zlib.crc32(content))
    return fields + _HEADER_CRC.pack(zlib.crc32(fields)) + content


def decode_record(buffer: bytes, offset: int) -> Record | None:
    """Return the record at ``offset``; None if there is no valid one."""
    start = offset + HEADER_BYTES
    fields = buffer[offset : offset + _FIELDS.size]
    header_crc = buffer[offset + _FIELDS.size : start]
    if header_crc != _HEADER_CRC.pack(zlib.crc32(fields)):
        return None
    length, content_crc = _FIELDS.unpack(fields)
    content = buffer[start : start + length]
    if len(content) < length or zlib.crc32(content) != content_crc:
        return None
    return Record(content, start + length)


def read_records(buffer: bytes) -> Iterator[Record]:
    """Yield the valid records from the start of ``buffer``."""
    record = decode_record(buffer, 0)
    while record is not None:
        yield record
        record = decode_record(buffer, record.end)


def has_record_after(buffer: bytes, offset: int) -> bool:
    """Return whether a valid record starts anywhere after ``offset``.

    Distinguishes a damaged record, which has successors, from the torn last
    one.
    """
    return any(
        decode_record(buffer, start) is not None
        for start in range(offset + 1, len(buffer) - HEADER_BYTES + 1)
    )


def encode_entry(entry: LogEntry) -> bytes:
    """Return the record of a log entry."""
    content = msgpack.packb(
        (entry.index, entry.term, entry.kind.value, entry.data),
    )
    return encode_record(content)


def decode_entry(content: bytes) -> LogEntry:
    """Rebuild a log entry from the content of its record."""
    index, term, kind, data = msgpack.unpackb(content, raw=False)
    return LogEntry(index=index, term=term, kind=EntryKind(kind), data=data)
