"""Fast parser for documents in the usual form.

A replica must apply a document between two heartbeats, which leaves too little
time to pass all adapters, 130,000 at the design size, through ``pydantic`` and
to compare them. This module parses only the rows between the first and the last
difference to the text of the active document. It accepts only what the full
check in ``document`` accepts, with the same result, and returns None for
anything else.
"""

import gc
import json
import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from operator import attrgetter
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json as read_json

from kumquatrun.document.document_checks import (
    duplicate_members,
    non_adapter_errors,
)
from kumquatrun.document.document_types import (
    EMPTY_DOCUMENT,
    NAME_PATTERN,
    AdapterSpec,
    Document,
    ServiceKind,
    replace_adapters,
)

_ADAPTER_MEMBERS = 3
_CHUNK_LENGTH = 64 * 1024
_MARKER = b'"rows of adapters"'
_MEMBER = b'"adapters"'
_rows_start = re.compile(rb'[ \t\r\n]*:[ \t\r\n]*\[[ \t\r\n]*(?=\{)')
_separator = re.compile(rb'[ \t\r\n]*,[ \t\r\n]*(?=\{)')
_rows_end = re.compile(rb'\}(?=[ \t\r\n]*\])')
_is_name = re.compile(NAME_PATTERN).fullmatch
_checker = TypeAdapter(Document)
_by_name = attrgetter('name')
_by_path = attrgetter('path')


class BaseDocument(NamedTuple):
    """The active document with the text it was parsed from, if known."""

    document: Document = EMPTY_DOCUMENT
    content: bytes = b''


NO_BASE = BaseDocument()


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Pause the cyclic garbage collector.

    Reading a large document allocates many objects and frees none, so that
    collections would take about half of the time and free nothing.
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def fast_parse_document(content: bytes, base: BaseDocument) -> Document | None:
    """Return the sorted document, or None if it needs the full check."""
    rows = _find_adapter_rows(content)
    if rows is None:
        return None
    without_adapters = _read_without_adapters(
        content[: rows.start], content[rows.stop :]
    )
    if without_adapters is None:
        return None
    old_rows = _find_adapter_rows(base.content) if base.content else None
    try:
        if old_rows is None:
            adapters = _read_adapters(
                content[rows.start : rows.stop], without_adapters
            )
            document = _with_adapters(without_adapters, adapters)
        else:
            old_text = base.content[old_rows.start : old_rows.stop]
            new_text = content[rows.start : rows.stop]
            document = _read_changes(
                old_text, new_text, without_adapters, base.document
            )
    except (LookupError, TypeError, ValueError):
        return None
    return None if non_adapter_errors(document) else document


def _find_adapter_rows(content: bytes) -> range | None:
    """Return the range of the rows of ``adapters``, from brace to brace.

    A wrong range is harmless: the text is accepted only if the rows and the
    text around them are each valid on their own.
    """
    # A string with an escape may contain quotes and braces.
    if b'\\' in content:
        return None
    starts = []
    position = content.find(_MEMBER)
    while position >= 0:
        found = _rows_start.match(content, position + len(_MEMBER))
        if found:
            starts.append(found.end())
        position = content.find(_MEMBER, position + 1)
    if len(starts) != 1:
        return None
    end = _rows_end.search(content, starts[0])
    return range(starts[0], end.end()) if end else None


def _read_without_adapters(head: bytes, tail: bytes) -> Document | None:
    """Parse the document without its adapters.

    The marker in their place must be the only row of ``adapters``, so that
    nothing else was cut out.
    """
    text = head + _MARKER + tail
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError):
        return None
    if not isinstance(tree, dict) or text.count(_MARKER) != 1:
        return None
    if tree.get('adapters') != [json.loads(_MARKER)]:
        return None
    if duplicate_members(text):
        return None
    try:
        return _checker.validate_json(head + tail)
    except ValidationError:
        return None


def _read_changes(
    old_text: bytes,
    new_text: bytes,
    without_adapters: Document,
    base: Document,
) -> Document:
    """Parse the rows that differ; raise if they need the full check."""
    if without_adapters.services != base.services:
        engines = _engines(without_adapters)
        if not all(spec.service in engines for spec in base.adapters):
            raise ValueError
    if old_text == new_text:
        return replace_adapters(_sorted(without_adapters), base, (), ())
    start = common_prefix_length(old_text, new_text)
    limit = min(len(old_text), len(new_text)) - start
    tail = min(limit, common_suffix_length(old_text, new_text))
    # Every brace delimits a row, as rows are flat and names have no braces.
    start = old_text.rindex(b'{', 0, start + 1)
    stop = old_text.index(b'}', len(old_text) - tail - 1) + 1
    tail = len(old_text) - stop
    removed, added = _differing_rows(
        old_text[start:stop],
        new_text[start : len(new_text) - tail],
    )
    names = {row['name'] for row in read_json(b'[%b]' % removed)}
    changed = _read_adapters(added, without_adapters)
    known = base.index.adapters
    if any(row.name in known and row.name not in names for row in changed):
        raise ValueError
    names.difference_update(row.name for row in changed)
    return replace_adapters(_sorted(without_adapters), base, changed, names)


def _differing_rows(old_text: bytes, new_text: bytes) -> tuple[bytes, bytes]:
    """Return the rows that only the old and only the new text has.

    Compares the texts between closing braces, each of which is one row with
    the separator before it. Raises if a separator of the new rows is wrong.
    """
    old_rows = old_text.split(b'}')
    new_rows = new_text.split(b'}')
    old_set, new_set = set(old_rows), set(new_rows)
    if len(new_set) < len(new_rows) or new_rows[-1]:
        raise ValueError
    # Only the first row has no comma before it.
    moved = old_rows[0] in new_set and old_rows[0] != new_rows[0]
    if moved or not new_rows[0].startswith(b'{'):
        raise ValueError
    return (
        _joined_rows(old_rows, new_set),
        _joined_rows(new_rows, old_set),
    )


def _joined_rows(rows: list[bytes], others: set[bytes]) -> bytes:
    texts = []
    for position, text in enumerate(rows):
        if text in others:
            continue
        separator = _separator.match(text) if position else None
        if position and not separator:
            raise ValueError
        start = separator.end() if separator else 0
        texts.append(b'%b}' % text[start:])
    return b','.join(texts)


def common_prefix_length(first: Sequence[Any], second: Sequence[Any]) -> int:
    """Return how many leading items are equal, comparing chunks at once."""
    start = 0
    limit = min(len(first), len(second))
    while start < limit:
        stop = start + _CHUNK_LENGTH
        if first[start:stop] != second[start:stop]:
            break
        start = stop
    # The first difference is within one chunk.
    stop = min(start + _CHUNK_LENGTH, limit)
    while start < stop:
        middle = (start + stop + 1) // 2
        if first[start:middle] == second[start:middle]:
            start = middle
        else:
            stop = middle - 1
    return min(start, limit)


def common_suffix_length(first: Sequence[Any], second: Sequence[Any]) -> int:
    """Return how many trailing items are equal."""
    stop = 0
    limit = min(len(first), len(second))
    while stop < limit and _same_tail(first, second, stop, _CHUNK_LENGTH):
        stop += _CHUNK_LENGTH
    step = _CHUNK_LENGTH
    while step:
        if stop + step <= limit and _same_tail(first, second, stop, step):
            stop += step
        step //= 2
    return min(stop, limit)


def _same_tail(
    first: Sequence[Any],
    second: Sequence[Any],
    skipped: int,
    count: int,
) -> bool:
    ends = len(first) - skipped, len(second) - skipped
    return (
        first[max(0, ends[0] - count) : ends[0]]
        == second[max(0, ends[1] - count) : ends[1]]
    )


def _read_adapters(
    text: bytes, without_adapters: Document
) -> list[AdapterSpec]:
    """Parse rows in JSON; raise if they need the full check."""
    rows = read_json(b'[%b]' % text)
    engines = _engines(without_adapters)
    interned: dict[tuple[str, ...], tuple[str, ...]] = {}
    adapters = []
    for row in rows:
        if len(row) != _ADAPTER_MEMBERS:
            raise ValueError
        adapters.append(
            AdapterSpec(
                name=_checked_name(row['name']),
                service=engines[row['service']],
                versions=_checked_versions(row['versions'], interned),
            ),
        )
    # Each member has one colon and names have none, so the count of colons
    # reveals a member that occurs twice.
    members = _ADAPTER_MEMBERS * len(rows)
    if text.count(b':') != members or text.count(b'}') != len(rows):
        raise ValueError
    if len({spec.name for spec in adapters}) < len(adapters):
        raise ValueError
    return adapters


def _engines(without_adapters: Document) -> dict[str, str]:
    return {
        spec.name: spec.name
        for spec in without_adapters.services
        if spec.kind is ServiceKind.ENGINE
    }


def _with_adapters(
    without_adapters: Document, adapters: list[AdapterSpec]
) -> Document:
    adapters.sort(key=_by_name)
    return _sorted(without_adapters, tuple(adapters))


def _sorted(
    without_adapters: Document,
    adapters: tuple[AdapterSpec, ...] = (),
) -> Document:
    return Document(
        environment=without_adapters.environment,
        accounts=tuple(sorted(without_adapters.accounts, key=_by_name)),
        services=tuple(sorted(without_adapters.services, key=_by_name)),
        adapters=adapters,
        routes=tuple(sorted(without_adapters.routes, key=_by_path)),
    )


def _checked_name(name: Any) -> str:
    if not isinstance(name, str) or not _is_name(name):
        raise ValueError
    return name


def _checked_versions(
    versions: Any,
    interned: dict[tuple[str, ...], tuple[str, ...]],
) -> tuple[str, ...]:
    # Thousands of adapters have the same versions; interning them limits the
    # memory of a document of the design size.
    if not isinstance(versions, list) or not versions:
        raise ValueError
    key = tuple(versions)
    if key not in interned:
        if len(set(key)) < len(key) or not all(map(_checked_name, key)):
            raise ValueError
        interned[key] = key
    return interned[key]
