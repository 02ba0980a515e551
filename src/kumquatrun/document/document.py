"""Configuration documents: one per environment, in JSON.

``parse_document`` sorts every part by name, so that the order of the JSON
arrays is ignored and a delta has changed entries only. Paths in error messages
refer to the order in the JSON text.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

from pydantic import TypeAdapter, ValidationError

from kumquatrun.document.document_checks import (
    consistency_errors,
    duplicate_members,
    schema_errors,
)
from kumquatrun.document.document_fast_parser import (
    NO_BASE,
    BaseDocument,
    common_prefix_length,
    common_suffix_length,
    fast_parse_document,
    garbage_collection_paused,
)
from kumquatrun.document.document_types import (
    EMPTY_DOCUMENT,
    Access,
    AccountSpec,
    AdapterSpec,
    Document,
    DocumentIndex,
    RouteSpec,
    ServiceKind,
    ServiceSpec,
    replace_adapters,
)
from kumquatrun.errors import DocumentError

__all__ = (
    'EMPTY_DOCUMENT',
    'MAX_DOCUMENT_BYTES',
    'Access',
    'AccountSpec',
    'AdapterSpec',
    'BaseDocument',
    'Document',
    'DocumentDelta',
    'DocumentIndex',
    'RouteSpec',
    'ServiceKind',
    'ServiceSpec',
    'apply_document_delta',
    'decode_delta',
    'digest_document',
    'document_delta',
    'encode_delta',
    'parse_document',
)

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_MAX_ERRORS_SHOWN = 20
_DIGEST_BYTES = 32


def digest_document(content: bytes) -> str:
    """Return the BLAKE2b digest of the bytes of a document, in hex."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def parse_document(
    content: bytes,
    base: BaseDocument = NO_BASE,
) -> Document:
    """Parse and validate a document.

    ``base`` speeds up a small change to a large document; it does not change
    the result.

    Raises
    ------
    DocumentError
        If the document is too large, malformed or inconsistent. The detail
        names the path to each error.
    """
    if len(content) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f'$: has {len(content)} bytes, the limit is {MAX_DOCUMENT_BYTES}',
        )
    with garbage_collection_paused():
        parsed = fast_parse_document(content, base)
        return parsed or _parse_with_checks(content)


def _parse_with_checks(content: bytes) -> Document:
    try:
        document = _checker.validate_json(content)
    except ValidationError as error:
        rows = error.errors(include_url=False, include_input=False)
        raise _document_error(schema_errors(rows)) from None
    messages = [*duplicate_members(content), *consistency_errors(document)]
    if messages:
        raise _document_error(messages)
    return _sorted_document(document)


_checker = TypeAdapter(Document)


def _document_error(messages: list[str]) -> DocumentError:
    shown = messages[:_MAX_ERRORS_SHOWN]
    if len(messages) > _MAX_ERRORS_SHOWN:
        shown.append(f'and {len(messages) - _MAX_ERRORS_SHOWN} more')
    return DocumentError('; '.join(shown))


_by_name = attrgetter('name')
_by_path = attrgetter('path')


def _sorted_document(document: Document) -> Document:
    interned: dict[Any, Any] = {}
    adapters = sorted(document.adapters, key=_by_name)
    return Document(
        environment=document.environment,
        accounts=tuple(sorted(document.accounts, key=_by_name)),
        services=tuple(sorted(document.services, key=_by_name)),
        adapters=tuple(_interned_spec(spec, interned) for spec in adapters),
        routes=tuple(sorted(document.routes, key=_by_path)),
    )


def _interned_spec(spec: AdapterSpec, interned: dict[Any, Any]) -> AdapterSpec:
    # Thousands of adapters have the same service and versions; interning these
    # values limits the memory of a document of the design size.
    return AdapterSpec(
        name=spec.name,
        service=interned.setdefault(spec.service, spec.service),
        versions=interned.setdefault(spec.versions, spec.versions),
    )


@dataclass(frozen=True, kw_only=True)
class DocumentDelta:
    """Changes between two documents; None marks an unchanged part.

    ``adapters`` has added and changed adapters only.
    """

    environment: str
    accounts: tuple[AccountSpec, ...] | None = None
    services: tuple[ServiceSpec, ...] | None = None
    routes: tuple[RouteSpec, ...] | None = None
    adapters: tuple[AdapterSpec, ...] = ()
    removed_adapters: tuple[str, ...] = ()


def _changed_or_none(old: tuple, new: tuple) -> tuple | None:
    return None if old == new else new


def document_delta(old: Document, new: Document) -> DocumentDelta:
    """Return the delta that turns ``old`` into ``new``."""
    # Most adapters are the same objects, see ``parse_document``, so comparing
    # slices is much faster than comparing adapters one by one.
    start = common_prefix_length(old.adapters, new.adapters)
    limit = min(len(old.adapters), len(new.adapters)) - start
    tail = min(limit, common_suffix_length(old.adapters, new.adapters))
    removed = {
        spec.name: spec
        for spec in old.adapters[start : len(old.adapters) - tail]
    }
    # Afterwards ``removed`` has only the names that ``new`` lacks.
    added = [
        spec
        for spec in new.adapters[start : len(new.adapters) - tail]
        if removed.pop(spec.name, None) != spec
    ]
    return DocumentDelta(
        environment=new.environment,
        accounts=_changed_or_none(old.accounts, new.accounts),
        services=_changed_or_none(old.services, new.services),
        routes=_changed_or_none(old.routes, new.routes),
        adapters=tuple(added),
        removed_adapters=tuple(removed),
    )


def apply_document_delta(old: Document, delta: DocumentDelta) -> Document:
    """Return the document that ``delta`` turns ``old`` into."""
    parts = {
        part: old_value if new_value is None else new_value
        for part, old_value, new_value in (
            ('accounts', old.accounts, delta.accounts),
            ('services', old.services, delta.services),
            ('routes', old.routes, delta.routes),
        )
    }
    parts['environment'] = delta.environment
    return replace_adapters(
        Document(**parts),
        old,
        delta.adapters,
        delta.removed_adapters,
    )


_delta_codec = TypeAdapter(DocumentDelta)


def encode_delta(delta: DocumentDelta) -> dict[str, Any]:
    """Return the delta as plain values for msgpack."""
    return _delta_codec.dump_python(delta, mode='json', exclude_defaults=True)


def decode_delta(encoded: Mapping[str, Any]) -> DocumentDelta:
    """Rebuild a delta from ``encode_delta``."""
    return _delta_codec.validate_json(json.dumps(encoded))
