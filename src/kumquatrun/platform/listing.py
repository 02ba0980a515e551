"""Reads the platform's list of backend servers."""

import asyncio
from ipaddress import IPv4Address

from kumquatrun.errors import ConnectionLostError, DocumentError
from kumquatrun.gateway.backends.backends import (
    DEFAULT_SLOTS,
    BackendRecord,
    HeldAdapter,
)
from kumquatrun.gateway.backends.listing_follower import encode_records
from kumquatrun.peer.address import Address
from kumquatrun.platform import decoding
from kumquatrun.platform.client import PlatformClient

LIST_PATH = '/instances'
PAGE_QUERY = 'page_token'
IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}
# Raised for fields of an unexpected form.
DECODING_ERRORS = (AttributeError, DocumentError, TypeError, ValueError)
# Limits for the whole list, in case its pages do not end.
MAX_PAGES = 200
MAX_LIST_BYTES = 1024 * 1024
LIST_TIMEOUT_S = 3.0


class BackendLister:
    """Reads all pages of the list."""

    def __init__(self, client: PlatformClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def read(self) -> bytes:
        """Return the encoded list.

        Raises
        ------
        ConnectionLostError
            If a page cannot be read, or the list takes too long, is too
            large or has too many pages.
        """
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                return await self._read_pages()
        except TimeoutError:
            raise ConnectionLostError(
                f'the list did not end within {LIST_TIMEOUT_S} s',
            ) from None

    async def _read_pages(self) -> bytes:
        records: list[BackendRecord] = []
        size_bytes = 0
        query: dict[str, str] = {}
        for _ in range(MAX_PAGES):
            page = await self._client.get(self._address, LIST_PATH, query)
            if not isinstance(page, dict):
                raise ConnectionLostError('the list is not a JSON object')
            decoded = decode_entries(page.get('instances'))
            size_bytes += len(encode_records(decoded))
            if size_bytes > MAX_LIST_BYTES:
                raise ConnectionLostError(
                    f'list above {MAX_LIST_BYTES} bytes, '
                    f'{size_bytes} bytes received',
                )
            records.extend(decoded)
            next_token = page.get('next_token')
            if not next_token:
                return encode_records(records)
            query = {PAGE_QUERY: _page_token(next_token)}
        raise ConnectionLostError(f'the list has more than {MAX_PAGES} pages')


def _page_token(next_token: object) -> str:
    if not isinstance(next_token, str | int):
        raise ConnectionLostError(
            'the token of the next page is not a string or integer'
        )
    return decoding.checked_text(str(next_token), 'next_token')


def decode_entries(entries: object) -> list[BackendRecord]:
    """Return the records of a page.

    Several programs write the list. Entries that lack fields or have fields
    of the wrong type are skipped.
    """
    listed = entries if isinstance(entries, list) else ()
    records = map(_record_or_none, listed)
    return [record for record in records if record is not None]


def _record_or_none(entry: object) -> BackendRecord | None:
    try:
        return _record(entry)
    except DECODING_ERRORS:
        return None


def _record(fields: decoding.Fields) -> BackendRecord:
    state = decoding.text(fields, 'state')
    if state not in IS_DRAINING_BY_STATE:
        raise DocumentError(f'unknown state {state!r}')
    return BackendRecord(
        backend_id=decoding.text(fields, 'id'),
        service=decoding.text(fields, 'service'),
        address=_address(decoding.text(fields, 'address')),
        failure_domain=decoding.text(fields, 'zone', ''),
        slots=decoding.integer(fields, 'slots', DEFAULT_SLOTS),
        is_draining=IS_DRAINING_BY_STATE[state]
        or fields.get('remaining_ms') is not None,
        is_cold=_is_cold(fields),
        models=frozenset(
            decoding.text(model, 'name')
            for model in decoding.object_list(fields, 'models', [])
        ),
        adapters=frozenset(
            HeldAdapter(model=model, adapter=adapter, version=version)
            for model, adapter, version in held_adapters(fields)
        ),
    )


def _is_cold(fields: decoding.Fields) -> bool:
    if fields.get('cold_remaining_ms') is None:
        return False
    return decoding.number(fields, 'cold_remaining_ms') > 0


def _address(listed: str) -> Address:
    """Parse an address; reject one that cannot be connected to."""
    address = Address.parse(listed)
    if IPv4Address(address.host).is_unspecified or not address.port:
        raise DocumentError(f'{listed!r} has no usable host or port')
    return address


def held_adapters(fields: decoding.Fields) -> list[tuple[str, str, int]]:
    """Return model, adapter and version of each adapter an engine holds."""
    held = []
    for model in decoding.object_list(fields, 'models', []):
        name = decoding.text(model, 'name')
        listed = map(split_adapter, model.get('adapters') or [])
        held.extend((name, adapter, version) for adapter, version in listed)
    return held


def split_adapter(listed: str) -> tuple[str, int]:
    """Split ``NAME@VERSION``."""
    name, _, version = listed.partition('@')
    return (
        decoding.checked_text(name, 'adapters'),
        decoding.checked_integer(int(version or 0), 'adapters'),
    )
