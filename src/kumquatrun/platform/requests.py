"""Headers of requests and responses in the platform's format."""

import re

from kumquatrun.errors import InvalidRequestError
from kumquatrun.gateway.backends.response_head import (
    RawHeaders,
    ResponseHead,
)
from kumquatrun.gateway.routing.configuration import Configuration
from kumquatrun.gateway.routing.wire_format import (
    CallerRequest,
    ForwardingFields,
    ResponseInfo,
)
from kumquatrun.platform.configuration import decode_configuration

REQUEST_ID = 'x-kumquatrun-attempt-id'
DEADLINE_MS = 'x-kumquatrun-deadline-ms'
API_KEY = 'api-key'
ACCOUNT = 'x-kumquatrun-tenant'
EXPECTED_BACKEND = 'x-kumquatrun-expect-instance'
EXPECTED_VERSION = 'x-kumquatrun-expect-version'
PRIORITY = 'x-kumquatrun-request-priority'
# Base model, optionally followed by a slash and an adapter.
MODEL = 'x-kumquatrun-model'
# Prompt tokens and maximum number of output tokens, separated by a comma.
TOKENS = 'x-kumquatrun-token-usage'
# Parts of the prompt as ID:TOKENS pairs, separated by commas.
PROMPT_PARTS = 'x-kumquatrun-prompt-prefix'
LAST_EVENT_ID = 'last-event-id'
NOT_RUN = 'x-kumquatrun-not-executed'
# In every response of a backend server that is about to stop.
LEAVING = 'server-leaving'
LEAVING_VALUES = {'0': False, '1': True}
# In a refusal: the backend server wants no request from this host so long.
RETRY_AFTER = 'retry-after'
MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
# Encoding of HTTP headers; it maps every byte to one character.
HEADER_ENCODING = 'latin-1'

_SECONDS = re.compile(r'[0-9]+(?:\.[0-9]+)?|\.[0-9]+')

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers of a caller that are not forwarded; the gateway sets some of them.
GATEWAY_HEADERS = frozenset(
    (
        API_KEY,
        ACCOUNT,
        DEADLINE_MS,
        EXPECTED_BACKEND,
        EXPECTED_VERSION,
        PRIORITY,
        'content-length',
        'kv-fetch',
        'kv-from',
        'x-kumquatrun-hold',
        'x-kumquatrun-kv-backup',
        'x-kumquatrun-pin-ms',
    )
)


class PlatformFormat:
    """Implements ``WireFormat``."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
    ) -> CallerRequest:
        """Return the request without its body.

        Raises
        ------
        InvalidRequestError
            If the deadline or the token counts cannot be parsed.
        """
        by_name = _headers_by_name(headers)
        model, _, adapter = by_name.get(MODEL, '').partition('/')
        prompt_tokens, output_tokens = _parse_token_counts(by_name.get(TOKENS))
        return CallerRequest(
            request_id=by_name.get(REQUEST_ID, ''),
            method=method,
            host=by_name.get('host', '').rpartition(':')[0]
            or by_name.get('host', ''),
            target=target,
            headers=headers,
            max_wait_ms=_parse_milliseconds(by_name.get(DEADLINE_MS)),
            key=by_name.get(API_KEY, ''),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event_id=by_name.get(LAST_EVENT_ID, ''),
            prompt_parts=_parse_prompt_parts(headers),
        )

    def write_request(
        self,
        request: CallerRequest,
        forwarding: ForwardingFields,
    ) -> bytes:
        """Return the head of the request for a backend server."""
        lines = [
            f'{request.method} {request.target} HTTP/1.1'.encode(
                HEADER_ENCODING
            )
        ]
        dropped = _hop_by_hop_headers(request.headers) | GATEWAY_HEADERS
        if forwarding.last_event_id:
            dropped |= {LAST_EVENT_ID}
        lines.extend(
            name + b': ' + value
            for name, value in request.headers
            if name.decode(HEADER_ENCODING).lower() not in dropped
        )
        added = {
            DEADLINE_MS: str(forwarding.remaining_ms),
            EXPECTED_BACKEND: forwarding.backend_id,
            ACCOUNT: forwarding.account,
            LAST_EVENT_ID: forwarding.last_event_id,
        }
        if forwarding.priority is not None:
            added[PRIORITY] = str(forwarding.priority)
        if forwarding.adapter_version:
            added[EXPECTED_VERSION] = str(forwarding.adapter_version)
        if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
            added['content-length'] = str(len(request.body))
        lines.extend(
            f'{name}: {value}'.encode(HEADER_ENCODING)
            for name, value in added.items()
            if value
        )
        return b'\r\n'.join((*lines, b'', b''))

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of a response says about its request."""
        is_not_run = bool(head.header(NOT_RUN.encode()))
        is_leaving = _read_leaving(_values_of(head, LEAVING))
        quiet_s: float | None = 0.0
        if head.status == UNAVAILABLE:
            quiet_s = _read_seconds(_values_of(head, RETRY_AFTER))
        unreadable = {LEAVING: is_leaving is None, RETRY_AFTER: quiet_s is None}
        return ResponseInfo(
            answered_id=head.header(REQUEST_ID.encode()),
            is_not_run=is_not_run or head.status == MISDIRECTED_REQUEST,
            is_leaving=bool(is_leaving),
            quiet_s=quiet_s or 0.0,
            unreadable_headers=tuple(
                name for name, is_bad in unreadable.items() if is_bad
            ),
        )

    def response_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the response headers for the caller."""
        dropped = _hop_by_hop_headers(head.headers)
        return [
            (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
            for name, value in head.headers
            if name.decode(HEADER_ENCODING).lower() not in dropped
        ]

    def read_configuration(self, content: bytes) -> Configuration:
        """Decode and validate a configuration."""
        return decode_configuration(content)


def _headers_by_name(headers: RawHeaders) -> dict[str, str]:
    return {
        name.decode(HEADER_ENCODING).lower(): value.decode(
            HEADER_ENCODING
        ).strip()
        for name, value in headers
    }


def _values_of(head: ResponseHead, name: str) -> list[str]:
    return [
        value.decode(HEADER_ENCODING).strip()
        for key, value in head.headers
        if key.lower() == name.encode()
    ]


def _read_leaving(lines: list[str]) -> bool | None:
    """Return whether the backend server leaves; None if malformed."""
    if not lines:
        return False
    return LEAVING_VALUES.get(lines[0]) if len(lines) == 1 else None


def _read_seconds(lines: list[str]) -> float | None:
    """Return a number of seconds, 0 if there is none; None if malformed."""
    if not lines:
        return 0.0
    if len(lines) > 1 or not _SECONDS.fullmatch(lines[0]):
        return None
    return float(lines[0])


def _hop_by_hop_headers(headers: RawHeaders) -> frozenset[str]:
    """Return the headers to drop, with those that ``Connection`` names."""
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for part in value.decode(HEADER_ENCODING).split(',')
    }
    return HOP_BY_HOP_HEADERS | (named - {REQUEST_ID, MODEL, TOKENS})


def _parse_milliseconds(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value))
    except ValueError:
        raise InvalidRequestError(
            f'{DEADLINE_MS} is not a number: {value!r}'
        ) from None


def _parse_prompt_parts(headers: RawHeaders) -> tuple[str, ...]:
    """Return the ids of the parts; a list may be spread over several headers.

    Nothing is refused: the backend server decides what it can read.
    """
    pairs = [
        pair.strip().lower()
        for name, value in headers
        if name.decode(HEADER_ENCODING).lower() == PROMPT_PARTS
        for pair in value.decode(HEADER_ENCODING).split(',')
    ]
    return tuple(pair.partition(':')[0].strip() for pair in pairs if pair)


def _parse_token_counts(value: str | None) -> tuple[int | None, int | None]:
    if value is None:
        return None, None
    try:
        prompt, output = (int(part) for part in value.split(','))
    except ValueError:
        raise InvalidRequestError(
            f'{TOKENS} is not two integers: {value!r}'
        ) from None
    return prompt, output
