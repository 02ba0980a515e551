"""The platform's list of backend servers."""

from kumquatrun.address import Address
from kumquatrun.errors import ConnectionLostError, DocumentError
from kumquatrun.gateway.backends import BackendRecord, HeldAdapter
from kumquatrun.gateway.listing_follower import encode_records
from kumquatrun.platform import decoding as read
from kumquatrun.platform.client import PlatformClient

LIST_PATH = '/instances'
PAGE_QUERY = 'page_token'
DRAINING = {'ready': False, 'draining': True}
# A list that never ends is broken.
MAX_PAGES = 200


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
            If a page cannot be read.
        """
        records: list[BackendRecord] = []
        query: dict[str, str] = {}
        for _ in range(MAX_PAGES):
            page = await self._client.get(self._address, LIST_PATH, query)
            if not isinstance(page, dict):
                raise ConnectionLostError('the list is not a JSON object')
            records.extend(decode_entries(page.get('instances')))
            following = page.get('next_token')
            if not following:
                return encode_records(records)
            query = {PAGE_QUERY: str(following)}
        raise ConnectionLostError(f'the list has more than {MAX_PAGES} pages')


def decode_entries(entries: object) -> list[BackendRecord]:
    """Return the records of a page.

    Entries of other writers may lack fields or have other types; they name no
    backend server.
    """
    records = []
    for entry in entries if isinstance(entries, list) else ():
        try:
            records.append(_record(entry))
        except (AttributeError, DocumentError, TypeError, ValueError):
            continue
    return records


def _record(fields: read.Fields) -> BackendRecord:
    state = read.text(fields, 'state')
    if state not in DRAINING:
        raise DocumentError(f'unknown state {state!r}')
    return BackendRecord(
        backend_id=read.text(fields, 'id'),
        service=read.text(fields, 'service'),
        address=Address.parse(read.text(fields, 'address')),
        failure_domain=read.text(fields, 'zone', ''),
        is_draining=DRAINING[state] or fields.get('remaining_ms') is not None,
        adapters=frozenset(
            HeldAdapter(model=model, adapter=adapter, version=version)
            for model, adapter, version in held_adapters(fields)
        ),
    )


def held_adapters(fields: read.Fields) -> list[tuple[str, str, int]]:
    """Return model, adapter and version of what an engine holds."""
    found = []
    for model in read.rows(fields, 'models', []):
        name = read.text(model, 'name')
        for adapter in model.get('adapters') or []:
            found.append((name, *split_adapter(adapter)))
    return found


def split_adapter(listed: str) -> tuple[str, int]:
    """Split ``NAME@VERSION``."""
    name, _, version = listed.partition('@')
    return name, int(version or 0)
