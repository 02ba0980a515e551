"""State and orders of an engine in the platform's format."""

from kumquatrun.errors import (
    ConnectionLostError,
    KumquatrunError,
)
from kumquatrun.gateway.engine.engine_api import (
    EngineOrder,
    EngineReport,
    HeldModel,
    OrderVerdict,
)
from kumquatrun.peer.address import Address
from kumquatrun.platform import decoding
from kumquatrun.platform.client import PlatformClient
from kumquatrun.platform.listing import DECODING_ERRORS, split_adapter
from kumquatrun.platform.requests import EXPECTED_BACKEND

REPORT_PATH = '/report'
ORDER_PATH = '/order'
LOAD = 'model_load'
UNLOAD = 'model_unload'
# The engine is on the same host, so a later response counts as lost.
ENGINE_TIMEOUT_S = 0.3
DRAINING_STATE = 'draining'
# Header in which an engine names the id of its process.
PROCESS_ID = 'X-Kumquatrun-Instance-Id'
# No process has this id. An engine that treats a health check as a request
# refuses it, and names its own id in the refusal.
NO_PROCESS = '-'
VERDICT_BY_STATUS = {
    200: OrderVerdict.HOLDS,
    202: OrderVerdict.ACCEPTED,
    409: OrderVerdict.CONFLICT,
    412: OrderVerdict.STALE_HOLDER,
    421: OrderVerdict.OTHER_PROCESS,
}


class PlatformEngine:
    """Implements ``ControllableEngine``."""

    def __init__(self, client: PlatformClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def report(self) -> EngineReport:
        """Return the state of the engine."""
        fields = await self._client.get(
            self._address,
            REPORT_PATH,
            timeout_s=ENGINE_TIMEOUT_S,
        )
        try:
            return decode_report(fields)
        except DECODING_ERRORS as error:
            raise ConnectionLostError(f'unreadable report: {error}') from None

    async def identify(self, check_path: str) -> str:
        """Return the id of the engine's process, read with a health check."""
        response = await self._client.check(
            self._address,
            check_path,
            {EXPECTED_BACKEND: NO_PROCESS},
            ENGINE_TIMEOUT_S,
        )
        process_id = response.headers.get(PROCESS_ID, '')
        if not process_id:
            raise ConnectionLostError(
                f'health check answered {response.status} without an id'
            )
        return process_id

    async def order(self, order: EngineOrder) -> OrderVerdict:
        """Send an order and return the engine's verdict."""
        try:
            status = await self._client.post(
                self._address,
                ORDER_PATH,
                encode_order(order),
                ENGINE_TIMEOUT_S,
                order_headers(order),
            )
        except KumquatrunError:
            return OrderVerdict.NO_ANSWER
        return VERDICT_BY_STATUS.get(status, OrderVerdict.REFUSED)


def order_headers(order: EngineOrder) -> dict[str, str]:
    """Return the headers of an order, which name the process it is for."""
    return {EXPECTED_BACKEND: order.process_id} if order.process_id else {}


def encode_order(order: EngineOrder) -> dict[str, object]:
    """Return the body of an order."""
    fields: dict[str, object] = {
        'operation': LOAD if order.is_load else UNLOAD,
        'model': order.model,
        'expected': order.expected_count,
        'holder': order.holder,
        'fence': order.fencing_number,
    }
    if order.adapter:
        fields['adapter'] = order.adapter
    if order.version:
        fields['version'] = order.version
    return fields


def decode_report(fields: decoding.Fields) -> EngineReport:
    """Return the state of an engine.

    ``sequence`` is the number of accepted orders, and ``incoming`` lists the
    adapters that are being loaded. Each entry of ``runs`` starts with the id
    of its request.
    """
    return EngineReport(
        started_ms=decoding.integer(fields, 'born', 0),
        order_count=decoding.integer(fields, 'sequence', 0),
        is_draining=fields.get('state') == DRAINING_STATE
        or fields.get('remaining_ms') is not None,
        is_changing_model=decoding.boolean(fields, 'busy'),
        waiting=decoding.integer(fields, 'waiting', 0),
        running=decoding.integer(fields, 'running', 0),
        models=tuple(
            HeldModel(
                name=decoding.text(model, 'name'),
                version=decoding.integer(model, 'version', 0),
                adapters=dict(map(split_adapter, model.get('adapters') or [])),
            )
            for model in decoding.object_list(fields, 'models', [])
        ),
        loading=tuple(map(_loading_adapter, fields.get('incoming') or [])),
        running_ids=frozenset(
            next(iter(run), '') for run in fields.get('runs') or []
        ),
    )


def _loading_adapter(listed: str) -> tuple[str, str, int]:
    """Split ``MODEL/NAME@VERSION``."""
    model, _, adapter = listed.partition('/')
    return (
        decoding.checked_text(model, 'incoming'),
        *split_adapter(adapter),
    )
