"""The operator's configuration in the platform's format."""

from typing import Any

from kumquatrun.errors import DocumentError
from kumquatrun.gateway.checks import check_configuration
from kumquatrun.gateway.configuration import (
    BackendService,
    BaseModelSpec,
    CallerLimits,
    Configuration,
    EngineSpec,
    GatewayAccount,
    GatewayRoute,
    RouteKind,
    WeightedService,
)
from kumquatrun.platform import decoding as read

Fields = read.Fields
# Unit of allowances that are counted in tokens.
TOKEN_UNIT = 'token_route'
DEFAULT_LIMITS = CallerLimits()


def decode_configuration(content: bytes) -> Configuration:
    """Return the checked configuration.

    Raises
    ------
    DocumentError
        If it cannot be read in full or breaks a rule.
    """
    fields = read.parse_object(content)
    try:
        configuration = Configuration(
            version=read.whole(fields, 'version'),
            routes=tuple(map(_route, read.rows(fields, 'routes'))),
            services=tuple(map(_service, read.rows(fields, 'services'))),
            accounts=tuple(map(_account, read.rows(fields, 'tenants', []))),
            requires_keys='tenants' in fields,
            limits=_limits(fields.get('limits') or {}),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise DocumentError(f'cannot be read: {error}') from None
    if configuration.version <= 0:
        raise DocumentError('the version is not above 0')
    check_configuration(configuration)
    return configuration


def _route(fields: Fields) -> GatewayRoute:
    return GatewayRoute(
        name=read.text(fields, 'name'),
        host=read.text(fields, 'host'),
        path_prefix=read.text(fields, 'path_prefix'),
        kind=_kind(read.text(fields, 'kind')),
        targets=_targets(fields),
        timeout_ms=read.whole(fields, 'timeout_ms'),
        target_latency_ms=read.number(fields, 'target_latency_ms', 1000.0),
        gap_target_ms=read.number(fields, 'gap_target_ms', 0.0),
        priority=read.whole(fields, 'priority', 0),
        max_attempts=max(1, read.whole(fields, 'max_attempts', 1)),
        is_public=read.flag(fields, 'public'),
        is_resumable=read.flag(fields, 'resumable'),
    )


def _kind(name: str) -> RouteKind:
    try:
        return RouteKind(name)
    except ValueError:
        raise DocumentError(f'unknown kind of route {name!r}') from None


def _targets(fields: Fields) -> tuple[WeightedService, ...]:
    if fields.get('split') is None:
        return (WeightedService(service=read.text(fields, 'service')),)
    return tuple(
        WeightedService(
            service=read.text(row, 'service'),
            weight=read.number(row, 'weight'),
        )
        for row in read.rows(fields, 'split')
    )


def _service(fields: Fields) -> BackendService:
    engine = fields.get('engine')
    return BackendService(
        name=read.text(fields, 'name'),
        max_connections=read.whole(fields, 'max_connections', 0),
        health_path=read.text(fields, 'health_path', ''),
        engine=_engine(engine) if isinstance(engine, dict) else None,
    )


def _engine(fields: Fields) -> EngineSpec:
    return EngineSpec(
        batch_slots=read.whole(fields, 'slots', 0),
        cache_tokens=read.whole(fields, 'kv_tokens', 0),
        weights_mb=read.number(fields, 'weights_mb', 0.0),
        adapter_slots=read.whole(fields, 'adapter_slots', 0),
        base_models=tuple(map(_model, read.rows(fields, 'models', []))),
    )


def _model(fields: Fields) -> BaseModelSpec:
    return BaseModelSpec(
        name=read.text(fields, 'name'),
        weights_mb=read.number(fields, 'weights_mb', 0.0),
        adapter_mb=read.number(fields, 'adapter_mb', 0.0),
        adapters=read.whole(fields, 'adapters', 0),
        load_s=read.number(fields, 'load_s', 0.0),
    )


def _account(fields: Fields) -> GatewayAccount:
    keys = fields.get('api_keys') or []
    if not all(isinstance(key, str) for key in keys):
        raise DocumentError("'api_keys' has an entry that is no text")
    return GatewayAccount(
        name=read.text(fields, 'name'),
        keys=tuple(keys),
        priority=_optional_whole(fields, 'priority'),
        counts_tokens=fields.get('unit') == TOKEN_UNIT,
        plain_tokens=read.whole(fields, 'plain_tokens', 1),
        rate_per_s=read.number(fields, 'rate_per_s', 0.0),
        burst=read.number(fields, 'burst', 0.0),
    )


def _optional_whole(fields: Fields, name: str) -> int | None:
    return None if fields.get(name) is None else read.whole(fields, name)


def _limits(fields: Any) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=read.whole(
            fields, 'max_header_bytes', DEFAULT_LIMITS.max_header_bytes
        ),
        max_body_bytes=read.whole(
            fields, 'max_body_bytes', DEFAULT_LIMITS.max_body_bytes
        ),
        header_timeout_ms=read.whole(
            fields, 'header_timeout_ms', DEFAULT_LIMITS.header_timeout_ms
        ),
        idle_timeout_ms=read.whole(
            fields, 'idle_timeout_ms', DEFAULT_LIMITS.idle_timeout_ms
        ),
    )
