"""Keeps the table of backend servers of an entry up to date."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

import msgpack

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.backends.backends import (
    BackendRecord,
    BackendTable,
    HeldAdapter,
)
from kumquatrun.peer.address import Address
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.logs import log_event

log = logging.getLogger(__name__)

# The entry reads the listing itself if the leader's is older than this. A
# backend server must not get requests 3 s after the listing shows that it is
# draining.
MAX_AGE_S = 1.6
CHECK_INTERVAL_S = 0.25
# Value of the column that says whether a server is draining, if it is cold.
# Hosts of earlier versions take it for draining and leave the server out.
COLD = 2
# Index of the address in a row of an encoded listing.
ADDRESS_COLUMN = 2


def encode_records(records: Iterable[BackendRecord]) -> bytes:
    """Encode a listing as msgpack; equal listings have equal encodings."""
    rows = [
        (
            record.backend_id,
            record.service,
            str(record.address),
            record.failure_domain,
            record.slots,
            _encode_state(record),
            sorted(record.models),
            sorted(
                (held.model, held.adapter, held.version)
                for held in record.adapters
            ),
        )
        for record in sorted(records, key=lambda row: row.backend_id)
    ]
    return msgpack.packb(rows)


def _encode_state(record: BackendRecord) -> bool | int:
    if record.is_cold and not record.is_draining:
        return COLD
    return record.is_draining


def decode_records(encoded: bytes) -> tuple[BackendRecord, ...]:
    """Decode a listing, skipping rows with an invalid address.

    A leader of an earlier version validates addresses less strictly.
    """
    return tuple(
        _decode_record(*row)
        for row in msgpack.unpackb(encoded)
        if _is_address(row[ADDRESS_COLUMN])
    )


def _is_address(text: str) -> bool:
    try:
        Address.parse(text)
    except ValueError:
        return False
    return True


def _decode_record(
    backend_id: str,
    service: str,
    address: str,
    failure_domain: str,
    slots: int,
    state: bool | int,
    models: list[str],
    adapters: list[tuple[str, str, int]],
) -> BackendRecord:
    return BackendRecord(
        backend_id=backend_id,
        service=service,
        address=Address.parse(address),
        failure_domain=failure_domain,
        slots=slots,
        is_draining=bool(state) and state != COLD,
        is_cold=state == COLD,
        models=frozenset(models),
        adapters=frozenset(
            HeldAdapter(model=model, adapter=adapter, version=version)
            for model, adapter, version in adapters
        ),
    )


class ListingFollower:
    """Applies the leader's listing, or the platform's if that is too old.

    Parameters
    ----------
    table
        Table to update.
    read
        Reads the listing from the platform.
    clock
        Source of time.
    """

    def __init__(
        self,
        table: BackendTable,
        read: Callable[[], Awaitable[bytes]],
        clock: Clock,
    ) -> None:
        self._table = table
        self._read = read
        self._clock = clock
        self._listed_at_s = float('-inf')
        self._reads_platform = False

    @property
    def is_empty(self) -> bool:
        """Return whether no backend server is known."""
        return not self._table.by_id()

    def age_s(self, now_s: float) -> float:
        """Return the age of the listing in the table."""
        return now_s - self._listed_at_s

    def receive(self, encoded: bytes | None, age_s: float) -> None:
        """Apply the listing from the leader; None means unchanged."""
        now_s = self._clock.now_s()
        if encoded is not None:
            self._table.update(decode_records(encoded))
        self._listed_at_s = max(self._listed_at_s, now_s - age_s)
        self._record_source(reads_platform=False)

    async def run(self) -> None:
        """Read the listing whenever it is too old; never returns."""
        while True:
            if self.age_s(self._clock.now_s()) > MAX_AGE_S:
                await self._refresh()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _refresh(self) -> None:
        requested_at_s = self._clock.now_s()
        try:
            encoded = await self._read()
        except KumquatrunError as error:
            log_event(log, 'listing_unreadable', error=str(error))
            await asyncio.sleep(CHECK_INTERVAL_S)
            return
        self._table.update(decode_records(encoded))
        self._listed_at_s = requested_at_s
        self._record_source(reads_platform=True)

    def _record_source(self, *, reads_platform: bool) -> None:
        if reads_platform != self._reads_platform:
            self._reads_platform = reads_platform
            source = 'platform' if reads_platform else 'leader'
            log_event(log, 'listing_source', source=source)
