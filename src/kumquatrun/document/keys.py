"""Register of API keys, by hash; the key itself is never stored or sent."""

import hashlib
from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

from kumquatrun.errors import InvalidRequestError, NotFoundError

_HASH_BYTES = 32
_MAX_KEYS = 100_000


def hash_key(key: str) -> bytes:
    """Return the BLAKE2b hash under which a key is recorded.

    Keys are random and too long to guess, so a plain hash is enough; a slow
    password hash is not needed.
    """
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogatepass'),
        digest_size=_HASH_BYTES,
        person=b'kumquatrun-key',
    ).digest()


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRecord:
    """One issued key."""

    key_id: str
    key_hash: bytes
    account: str
    revoked: bool = False

    def row(self) -> list[Any]:
        """Return the body of the feed item of kind ``key``."""
        return [self.key_id, self.key_hash, self.account, self.revoked]


class KeyRegister:
    """Issued and revoked keys by key id."""

    def __init__(self) -> None:
        self._records: dict[str, KeyRecord] = {}
        self._ids: dict[bytes, str] = {}

    @property
    def records(self) -> Mapping[str, KeyRecord]:
        """Return all records by key id."""
        return self._records

    def issue(self, record: KeyRecord) -> KeyRecord:
        """Record a new key.

        Raises
        ------
        InvalidRequestError
            If the hash is malformed, the id or hash is in use, or the
            register is full.
        """
        if len(record.key_hash) != _HASH_BYTES:
            raise InvalidRequestError(
                f'key hash must have {_HASH_BYTES} bytes',
            )
        if record.key_id in self._records:
            raise InvalidRequestError(f'key id {record.key_id!r} is in use')
        if record.key_hash in self._ids:
            raise InvalidRequestError('this key was issued before')
        if len(self._records) >= _MAX_KEYS:
            raise InvalidRequestError(f'there are {_MAX_KEYS} keys already')
        self._records[record.key_id] = record
        self._ids[record.key_hash] = record.key_id
        return record

    def revoke(self, key_id: str) -> KeyRecord:
        """Revoke a key; its record stays, so that the id is never reused.

        Raises
        ------
        NotFoundError
            If there is no such key.
        """
        record = self._records.get(key_id)
        if record is None:
            raise NotFoundError(f'key {key_id!r} does not exist')
        self._records[key_id] = replace(record, revoked=True)
        return self._records[key_id]

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [asdict(record) for record in self._records.values()]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        records = [KeyRecord(**row) for row in content]
        self._records = {record.key_id: record for record in records}
        self._ids = {record.key_hash: record.key_id for record in records}


def key_summary(record: KeyRecord | None) -> str:
    """Return a short description for the audit log."""
    if record is None:
        return ''
    state = 'revoked' if record.revoked else 'active'
    return f'key of {record.account}, {state}'
