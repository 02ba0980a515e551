"""Authenticates, routes and parses HTTP requests for the ``Relay``."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from kumquatrun.document.document import Access, RouteSpec
from kumquatrun.entry.execution import RelayRequest
from kumquatrun.entry.openai_api import (
    CompletionRequest,
    Endpoint,
    endpoint_of,
    parse_completion,
)
from kumquatrun.entry.route_table import RouteTable
from kumquatrun.errors import (
    ControlUnreachableError,
    InvalidKeyError,
    InvalidRequestError,
    RouteNotFoundError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.runtime.clock import Clock

MAX_IDEMPOTENCY_KEY_LENGTH = 256
MAX_API_KEY_LENGTH = 512


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """Parts of an HTTP request; ``path`` includes the query."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''

    @property
    def bare_path(self) -> str:
        """Return the path without the query."""
        return self.path.partition('?')[0]


class Admission:
    """Authenticates, routes and parses requests."""

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        request_timeout_s: float,
    ) -> None:
        self._session = session
        self._clock = clock
        self._request_timeout_s = request_timeout_s
        self._table = RouteTable(session.view.document)

    @property
    def table(self) -> RouteTable:
        """Return the route table of the current document."""
        document = self._session.view.document
        if document is not self._table.document:
            self._table = RouteTable(document)
        return self._table

    def authenticate(self, http: HttpRequest) -> tuple[RouteSpec, str, str]:
        """Return route, key and account; an open route has no key or account.

        Raises
        ------
        KumquatrunError
            If no route matches, the key is invalid, its account has no access
            or this entry has no valid lease.
        """
        route = self.table.find_route(http.bare_path)
        if route.access is Access.OPEN:
            return route, '', ''
        if not self._session.lease_valid():
            raise ControlUnreachableError('this entry has no valid lease')
        key = _bearer_token(http.headers)
        account = self._session.view.account_of_key(key)
        if account is None:
            raise InvalidKeyError('the key is unknown or revoked')
        self.table.check_account(route, account)
        return route, key, account

    def build_request(
        self,
        http: HttpRequest,
        route: RouteSpec,
        key: str,
        account: str,
    ) -> RelayRequest:
        """Return the request for the ``Relay``.

        Raises
        ------
        KumquatrunError
            If the body or a header is malformed or the adapter is unknown.
        """
        common_fields = {
            'request_id': http.request_id,
            'route': route,
            'account': account,
            'key': key,
            'method': http.method,
            'weight': self.table.weight_of(account),
            'deadline_s': self._clock.now_s() + self._request_timeout_s,
            'idempotency_key': _idempotency_key(http.headers),
        }
        if self.table.is_engine_route(route):
            request = self._completion_request(http, route, common_fields)
        else:
            request = RelayRequest(
                path=http.path,
                body=http.body,
                content_type=http.headers.get('Content-Type', ''),
                prompt_tokens=route.cost_tokens,
                fingerprint=_fingerprint(
                    route.service, http.method, http.path, http.body
                ),
                **common_fields,
            )
        self._check_burst(request)
        return request

    def _completion_request(
        self,
        http: HttpRequest,
        route: RouteSpec,
        common_fields: dict,
    ) -> RelayRequest:
        endpoint = endpoint_of(http.bare_path)
        if endpoint in {None, Endpoint.MODELS} or http.method != 'POST':
            raise RouteNotFoundError(
                f'{http.method} {http.bare_path[:100]} '
                'is not a completion endpoint',
            )
        parsed = parse_completion(endpoint, http.body)
        adapter, version = self.table.resolve(
            route, parsed.adapter, parsed.version
        )
        return RelayRequest(
            path=f'/v1{endpoint.value}',
            body=_limited_body(parsed, route, http.body),
            content_type='application/json',
            adapter=adapter,
            version=version,
            priority=parsed.priority,
            stream=parsed.stream,
            prompt_tokens=parsed.prompt_tokens,
            output_tokens=parsed.output_tokens(route.default_max_tokens),
            fingerprint=_fingerprint(
                route.service, adapter, version, parsed.prompt_digest
            ),
            **common_fields,
        )

    def _check_burst(self, request: RelayRequest) -> None:
        burst = self.table.burst_of(request.account)
        if burst is not None and request.cost_tokens > burst:
            raise InvalidRequestError(
                f'the request can use up to {request.cost_tokens} tokens, more '
                f"than the account's burst of {burst}; lower max_tokens",
            )


def _limited_body(
    parsed: CompletionRequest,
    route: RouteSpec,
    body: bytes,
) -> bytes:
    # Without max_tokens in the body the engine could generate more tokens than
    # were reserved.
    if parsed.max_tokens is None:
        return parsed.body_with_limit(route.default_max_tokens)
    return body


def _bearer_token(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    key = key.strip()
    if scheme.lower() != 'bearer' or not 0 < len(key) <= MAX_API_KEY_LENGTH:
        raise InvalidKeyError(
            'no valid bearer token in the Authorization header'
        )
    return key


def _idempotency_key(headers: Mapping[str, str]) -> str:
    key = headers.get('Idempotency-Key')
    if key is None:
        return ''
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        raise InvalidRequestError(
            f'Idempotency-Key is empty or over {MAX_IDEMPOTENCY_KEY_LENGTH} '
            'characters'
        )
    return key


def _fingerprint(*parts: str | bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return digest.hexdigest()
