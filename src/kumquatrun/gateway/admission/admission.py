"""Validates requests against the configuration and charges them."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from aiohttp import web

from kumquatrun.control.part_keys import request_identity
from kumquatrun.errors import (
    ControlUnreachableError,
    InvalidKeyError,
    KumquatrunError,
    RequestTooLargeError,
    RouteNotFoundError,
)
from kumquatrun.gateway.admission.allowances import Allowances
from kumquatrun.gateway.crashes.crash_watch import CrashWatch
from kumquatrun.gateway.crashes.fingerprints import (
    fingerprint_of,
    part_keys_of,
)
from kumquatrun.gateway.forwarding.request_report import RequestReport
from kumquatrun.gateway.routing.configuration import (
    Configuration,
    GatewayAccount,
    GatewayRoute,
)
from kumquatrun.gateway.routing.request_state import RequestState
from kumquatrun.gateway.routing.wire_format import CallerRequest
from kumquatrun.runtime.body_reader import (
    BodyTooLargeError,
    read_body,
)

# Maximum wait for the first configuration: about the time that the control
# hosts need to elect a leader after a full restart. The wait is also limited to
# a fraction of the caller's timeout, which leaves time for the request itself.
CONFIGURATION_WAIT_S = 1.5
CONFIGURATION_WAIT_FRACTION = 0.5
# Maximum duration of a request if its caller states none.
DEFAULT_MAX_WAIT_MS = 60_000
# Time after which a caller may retry if an announced configuration has not
# arrived yet; it arrives within a few round trips.
OUTDATED_RETRY_S = 0.2
MAX_PRIORITY = 9
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Route priorities range from 0 to 2; account priorities take precedence.
ACCOUNT_PRIORITY_STEP = 3


class Admission:
    """Admits the requests of callers or refuses them."""

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        is_outdated: Callable[[], bool],
        allowances: Allowances,
        crash_watch: CrashWatch,
        check_stop: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._is_outdated = is_outdated
        self._allowances = allowances
        self._crash_watch = crash_watch
        self._check_stop = check_stop
        self._rng = rng
        self._is_configured = asyncio.Event()

    @property
    def is_configured(self) -> bool:
        """Return whether an up-to-date configuration has been in force."""
        return self._is_configured.is_set()

    def mark_configured(self) -> None:
        """Release the requests that wait for the first configuration."""
        self._is_configured.set()

    async def admit(
        self,
        request: web.BaseRequest,
        report: RequestReport,
    ) -> RequestState:
        """Validate a request and charge it to its account.

        Sets the deadline in ``report`` once the route is known.

        Raises
        ------
        KumquatrunError
            If the request is refused; it was not run.
        """
        caller = report.caller
        configuration = await self._await_configuration(caller)
        try:
            route = _route_of(configuration, caller)
            account = _account_of(configuration, route, caller)
        except (RouteNotFoundError, InvalidKeyError) as error:
            self._raise_if_outdated(error)
            raise
        max_wait_ms = min(
            caller.max_wait_ms or DEFAULT_MAX_WAIT_MS,
            route.timeout_ms,
        )
        deadline_s = report.received_s + max_wait_ms / 1000
        report.deadline_s = deadline_s
        body = await _read_body(request, configuration.limits.max_body_bytes)
        caller = replace(caller, body=body)
        account_name = account.name if account else ''
        fingerprint = fingerprint_of(caller, account_name)
        part_keys = part_keys_of(caller)
        is_trial = await self._crash_watch.admit(
            caller.request_id, fingerprint, part_keys
        )
        self._check_stop(deadline_s)
        if account is not None:
            await self._allowances.charge(
                account, _charge_amount(account, caller), deadline_s
            )
        return RequestState(
            request=caller,
            route=route,
            service=self._choose_service(route),
            account=account_name,
            priority=_priority(route, account),
            deadline_s=deadline_s,
            fingerprint=fingerprint,
            part_keys=part_keys,
            identity=request_identity(fingerprint, caller.prompt_parts),
            is_trial=is_trial,
        )

    async def _await_configuration(
        self,
        caller: CallerRequest,
    ) -> Configuration:
        max_wait_ms = caller.max_wait_ms or DEFAULT_MAX_WAIT_MS
        limit_s = min(
            CONFIGURATION_WAIT_S,
            CONFIGURATION_WAIT_FRACTION * max_wait_ms / 1000,
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._is_configured.wait()
        configuration = self._configuration()
        if configuration is None or not self.is_configured:
            raise ControlUnreachableError(
                'no configuration has been received yet'
            )
        return configuration

    def _raise_if_outdated(self, refusal: KumquatrunError) -> None:
        """Replace a refusal that may not apply under a newer configuration.

        Raises
        ------
        ControlUnreachableError
            If the leader has announced a newer configuration that has not
            arrived yet.
        """
        if self._is_outdated():
            raise ControlUnreachableError(
                f'a newer configuration has not arrived yet: {refusal.detail}',
                retry_after_s=OUTDATED_RETRY_S,
            )

    def _choose_service(self, route: GatewayRoute) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service


def _route_of(
    configuration: Configuration,
    caller: CallerRequest,
) -> GatewayRoute:
    route = configuration.route_for(caller.host, caller.path)
    if route is None:
        raise RouteNotFoundError(f'no route for {caller.path!r}')
    return route


def _account_of(
    configuration: Configuration,
    route: GatewayRoute,
    caller: CallerRequest,
) -> GatewayAccount | None:
    if route.is_public or not configuration.requires_keys:
        return None
    account = configuration.account_for(caller.key)
    if account is None:
        raise InvalidKeyError('the API key is missing, unknown or revoked')
    return account


def _charge_amount(account: GatewayAccount, caller: CallerRequest) -> float:
    if not account.counts_tokens:
        return 1
    if caller.prompt_tokens is None:
        return account.plain_tokens
    return caller.prompt_tokens + (caller.output_tokens or 0)


def _priority(route: GatewayRoute, account: GatewayAccount | None) -> int:
    level = route.priority
    if account is not None and account.priority is not None:
        level += ACCOUNT_PRIORITY_STEP * account.priority
    return min(MAX_PRIORITY, max(0, level))


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    if not request.can_read_body:
        return b''
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(CONTINUE)
        # The interim response must not count as the start of the response.
        request.writer.output_size = 0
    try:
        async with request.protocol.reading_body():
            return await read_body(request.content, limit_bytes)
    except BodyTooLargeError as error:
        raise RequestTooLargeError(str(error)) from error
