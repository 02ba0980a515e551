"""Checksummed records in the files of the log.

A record is a header followed by the content. The header holds the length of
the content, the CRC-32 of the content, and the CRC-32 of these two fields. The
header has its own checksum so that a damaged length is not mistaken for a
record that was cut off.
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
    """Content of a valid record, and the offset of the record's end."""

    content: bytes
    end: int


def encode_record(content: bytes) -> bytes:
    """Return the record of ``content``: header and content."""
    fields = _FIELDS.pack(len(content), zlib.crc32(content))
    return fields + _HEADER_CRC.pack(zlib.crc32(fields)) + content


def decode_record(buffer: bytes, offset: int) -> Record | None:
    """Return the record at ``offset``, or None if it is not valid."""
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
    """Yield records from the start of ``buffer`` until one is invalid."""
    record = decode_record(buffer, 0)
    while record is not None:
        yield record
        record = decode_record(buffer, record.end)


def has_record_after(buffer: bytes, offset: int) -> bool:
    """Return whether a valid record starts anywhere after ``offset``.

    A record that is invalid but has successors is damaged. One without
    successors is the last record, torn by a crash.
    """
    return any(
        decode_record(buffer, start) is not None
        for start in range(offset + 1, len(buffer) - HEADER_BYTES + 1)
    )


def encode_entry(entry: LogEntry) -> bytes:
    """Encode a log entry as a record."""
    content = msgpack.packb(
        (entry.index, entry.term, entry.kind.value, entry.data),
    )
    return encode_record(content)


def decode_entry(content: bytes) -> LogEntry:
    """Decode a log entry from the content of its record."""
    index, term, kind, data = msgpack.unpackb(content, raw=False)
    return LogEntry(index=index, term=term, kind=EntryKind(kind), data=data)
