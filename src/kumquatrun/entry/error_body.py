"""Renders error responses of the OpenAI-compatible API."""

import json
import math
import uuid

from aiohttp import web

from kumquatrun.errors import KumquatrunError

OUTCOME_HEADER = 'x-kumquatrun-outcome'
REQUEST_ID_HEADER = 'x-request-id'
DEFAULT_RETRY_AFTER_S = 1
JSON_TYPE = 'application/json'
HTTP_UNAVAILABLE = 503

_ERROR_TYPES = {
    400: 'invalid_request_error',
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    409: 'conflict_error',
    413: 'invalid_request_error',
    422: 'invalid_request_error',
    429: 'rate_limit_error',
}


def render_error(error: KumquatrunError) -> bytes:
    """Return the JSON body of an error response."""
    status = error.kind.http_status
    return json.dumps(
        {
            'error': {
                'message': error.detail,
                'type': _ERROR_TYPES.get(status, 'server_error'),
                'code': error.code,
                'remedy': error.remedy,
                'outcome': error.outcome.value,
                'cause': error.cause or None,
            },
        },
    ).encode()


def render_error_event(error: KumquatrunError) -> bytes:
    """Return the server-sent event that ends a failed stream."""
    return b'data: ' + render_error(error) + b'\n\n'


def error_headers(error: KumquatrunError, request_id: str) -> dict[str, str]:
    """Return the headers of an error response."""
    headers = {
        OUTCOME_HEADER: error.outcome.value,
        REQUEST_ID_HEADER: request_id,
    }
    retry_after_s = error.retry_after_s
    if retry_after_s is None and error.kind.http_status == HTTP_UNAVAILABLE:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(retry_after_s)))
    return headers


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


def error_response(error: KumquatrunError, request_id: str) -> web.Response:
    """Return the HTTP response for ``error``."""
    return web.Response(
        status=error.kind.http_status,
        headers=error_headers(error, request_id),
        body=render_error(error),
        content_type=JSON_TYPE,
    )
