"""The operator's configuration in the platform's format."""

from kumquatrun.errors import DocumentError
from kumquatrun.gateway.routing.checks import check_configuration
from kumquatrun.gateway.routing.configuration import (
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
from kumquatrun.platform import decoding

Fields = decoding.Fields
# Units of rate limits that count tokens; all other units count requests.
COUNTS_TOKENS = {'token_route': True}
DEFAULT_LIMITS = CallerLimits()


def decode_configuration(content: bytes) -> Configuration:
    """Decode and validate a configuration.

    Raises
    ------
    DocumentError
        If the content cannot be decoded or the configuration is invalid.
    """
    configuration = decode_unchecked(content)
    check_configuration(configuration)
    return configuration


def decode_unchecked(content: bytes) -> Configuration:
    """Decode a configuration that may break rules.

    Raises
    ------
    DocumentError
        If the content cannot be decoded.
    """
    fields = decoding.parse_object(content)
    try:
        configuration = Configuration(
            version=decoding.integer(fields, 'version'),
            routes=tuple(map(_route, decoding.object_list(fields, 'routes'))),
            services=tuple(
                map(_service, decoding.object_list(fields, 'services'))
            ),
            accounts=tuple(
                map(_account, decoding.object_list(fields, 'tenants', []))
            ),
            requires_keys='tenants' in fields,
            limits=_limits(decoding.json_object(fields, 'limits')),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise DocumentError(f'cannot be read: {error}') from None
    if configuration.version <= 0:
        raise DocumentError('the version is not above 0')
    return configuration


def _route(fields: Fields) -> GatewayRoute:
    return GatewayRoute(
        name=decoding.text(fields, 'name'),
        host=decoding.text(fields, 'host'),
        path_prefix=decoding.text(fields, 'path_prefix'),
        kind=_kind(decoding.text(fields, 'kind')),
        targets=_targets(fields),
        timeout_ms=decoding.number(fields, 'timeout_ms'),
        target_latency_ms=decoding.number(fields, 'target_latency_ms', 1000.0),
        gap_target_ms=decoding.number(fields, 'gap_target_ms', 0.0),
        priority=decoding.integer(fields, 'priority', 0),
        max_attempts=max(1, decoding.integer(fields, 'max_attempts', 1)),
        is_public=decoding.boolean(fields, 'public'),
        is_resumable=decoding.boolean(fields, 'resumable'),
        allowed_regions=_allowed_regions(fields),
    )


def _kind(name: str) -> RouteKind:
    try:
        return RouteKind(name)
    except ValueError:
        raise DocumentError(f'unknown route kind {name!r}') from None


def _targets(fields: Fields) -> tuple[WeightedService, ...]:
    if fields.get('split') is None:
        return (WeightedService(service=decoding.text(fields, 'service')),)
    return tuple(
        WeightedService(
            service=decoding.text(row, 'service'),
            weight=decoding.number(row, 'weight'),
        )
        for row in decoding.object_list(fields, 'split')
    )


def _service(fields: Fields) -> BackendService:
    engine = fields.get('engine')
    return BackendService(
        name=decoding.text(fields, 'name'),
        engine=_engine(fields, engine) if isinstance(engine, dict) else None,
        cold_start_s=max(0.0, decoding.number(fields, 'cold_start_s', 0.0)),
        cold_per_s=max(0.0, decoding.number(fields, 'cold_per_s', 0.0)),
    )


def _engine(service: Fields, fields: Fields) -> EngineSpec:
    return EngineSpec(
        weights_mb=decoding.number(fields, 'weights_mb', 0.0),
        adapter_slots=decoding.integer(fields, 'adapter_slots', 0),
        check_path=_check_path(service.get('health_path')),
        base_models=tuple(
            map(_model, decoding.object_list(fields, 'models', []))
        ),
    )


def _check_path(value: object) -> str:
    """Return a path; empty for anything else, which could name a host."""
    is_path = isinstance(value, str) and value.startswith('/')
    return value if is_path else ''


def _model(fields: Fields) -> BaseModelSpec:
    return BaseModelSpec(
        name=decoding.text(fields, 'name'),
        weights_mb=decoding.number(fields, 'weights_mb', 0.0),
        adapter_mb=decoding.number(fields, 'adapter_mb', 0.0),
    )


def _account(fields: Fields) -> GatewayAccount:
    keys = fields.get('api_keys') or []
    if not isinstance(keys, list):
        raise DocumentError("'api_keys' is not a list")
    if not all(isinstance(key, str) for key in keys):
        raise DocumentError("'api_keys' has an entry that is not a string")
    return GatewayAccount(
        name=decoding.text(fields, 'name'),
        keys=tuple(keys),
        priority=_optional_integer(fields, 'priority'),
        counts_tokens=COUNTS_TOKENS.get(fields.get('unit'), False),
        plain_tokens=decoding.number(fields, 'plain_tokens', 1),
        rate_per_s=decoding.number(fields, 'rate_per_s', 0.0),
        burst=decoding.number(fields, 'burst', 0.0),
        allowed_regions=_allowed_regions(fields),
    )


def _allowed_regions(fields: Fields) -> frozenset[str]:
    names = fields.get('allowed_regions') or []
    if not isinstance(names, list):
        raise DocumentError("'allowed_regions' is not a list")
    if not all(isinstance(name, str) for name in names):
        raise DocumentError(
            "'allowed_regions' has an entry that is not a string"
        )
    return frozenset(names)


def _optional_integer(fields: Fields, name: str) -> int | None:
    return None if fields.get(name) is None else decoding.integer(fields, name)


def _limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        max_body_bytes=decoding.integer(
            fields,
            'max_body_bytes',
            DEFAULT_LIMITS.max_body_bytes,
        ),
        idle_timeout_ms=decoding.number(
            fields,
            'idle_timeout_ms',
            DEFAULT_LIMITS.idle_timeout_ms,
        ),
    )
