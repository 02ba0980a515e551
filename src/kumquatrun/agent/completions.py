"""Builds and parses the bodies of completion calls to an engine."""

import json
from dataclasses import dataclass
from typing import Any

from kumquatrun.agent.adapter_slots import AdapterKey
from kumquatrun.agent.json_content import json_object
from kumquatrun.agent.merged_response import can_merge
from kumquatrun.errors import InvalidRequestError


@dataclass(frozen=True, kw_only=True)
class ServedBy:
    """Adapter, version and engine incarnation that ran a request."""

    adapter: str
    version: str
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Tokens that a request used."""

    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class GenerateCall:
    """A completion call for one adapter; ``body`` is the caller's JSON."""

    request_id: str
    path: str
    body: bytes
    key: AdapterKey
    priority: int = 0
    stream: bool = False


@dataclass(frozen=True)
class EngineBody:
    """Request body for the engine, and how its response is forwarded.

    Attributes
    ----------
    wants_usage
        Whether the caller asked for the usage event.
    is_streamed
        Whether the engine is asked for a stream of events.
    is_merged
        Whether the events are merged into one response, because the caller
        did not ask for a stream.
    """

    encoded: bytes
    wants_usage: bool
    is_streamed: bool
    is_merged: bool


def engine_error_code(body: bytes) -> str:
    """Return the ``code`` of an engine's error, or an empty string."""
    return str((json_object(body) or {}).get('code', ''))


def engine_body(call: GenerateCall) -> EngineBody:
    """Return the request body for the engine.

    Its field ``model`` is set to adapter and version, so that the engine never
    resolves a default version itself.

    Raises
    ------
    InvalidRequestError
        If the body is not a JSON object.
    """
    try:
        content = json.loads(call.body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(f'body is not valid JSON: {error}') from error
    if not isinstance(content, dict):
        raise InvalidRequestError('body is not a JSON object')
    content['model'] = str(call.key)
    content['priority'] = call.priority
    is_merged = not call.stream and can_merge(content)
    content['stream'] = call.stream or is_merged
    options = content.pop('stream_options', None)
    options = dict(options) if isinstance(options, dict) else {}
    wants_usage = bool(options.get('include_usage'))
    if content['stream']:
        content['stream_options'] = options | {'include_usage': True}
    return EngineBody(
        json.dumps(content).encode(),
        wants_usage=wants_usage,
        is_streamed=content['stream'],
        is_merged=is_merged,
    )


def parse_served_by(content: dict[str, Any] | None) -> ServedBy | None:
    """Return what ran the request, or None if the response lacks it."""
    fields = (content or {}).get('served_by')
    if not isinstance(fields, dict):
        return None
    return ServedBy(
        adapter=str(fields.get('adapter')),
        version=str(fields.get('version')),
        incarnation=str(fields.get('incarnation')),
    )


def parse_usage(content: dict[str, Any] | None) -> Usage | None:
    """Return the usage in a response or event, or None if it has none."""
    fields = (content or {}).get('usage')
    if not isinstance(fields, dict):
        return None
    return Usage(
        prompt_tokens=int(fields.get('prompt_tokens', 0)),
        output_tokens=int(fields.get('completion_tokens', 0)),
    )
