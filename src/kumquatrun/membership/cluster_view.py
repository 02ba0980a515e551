"""A node's copy of the shared state, kept up to date by the feed.

Bodies of feed items, in msgpack:

- ``document``: ``[revision, digest, base_revision, delta, None]``, or
  ``[revision, digest, base_revision, None, compressed document]`` if a delta
  would be larger
- ``key``: ``[key_id, key_hash, account, revoked]``
- ``host``: ``[host_id, fields of the record, or None if it was removed]``
- ``quarantine``: ``[fingerprint, state]``
- ``batch``: ``[[kind, body], ...]``, all changes of one log entry
- ``configuration``: ``[version, base_version, delta]``, see ``content_delta``;
  base version 0 is empty
- ``adapter_version``: ``[model, adapter, version]``
- ``evacuation``: ``[failure_domain, is_evacuated]``
- ``snapshot``: a map of all of these, with the compressed document
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

import msgpack

from kumquatrun.control.content_delta import apply_content_delta
from kumquatrun.document.keys import hash_key
from kumquatrun.errors import FeedGapError, WireError
from kumquatrun.peer.compression import inflate
from kumquatrun.peer.node_messages import AgentReport, FeedItem, HostRecord
from kumquatrun.runtime.invariants import check_invariant

if TYPE_CHECKING:
    from kumquatrun.document.document import Document

AGENT_ROLE = 'agent'


class ClusterView:
    """Document, keys, hosts and quarantine as of one feed index."""

    def __init__(self) -> None:
        self._applied_index = 0
        # None stands for the empty document. Its modules are imported with the
        # first document: a gateway has none, and they make its start slower.
        self._document: Document | None = None
        self._revision = 0
        self._digest = ''
        self._accounts_by_key: dict[bytes, str] = {}
        self._hosts: dict[str, HostRecord] = {}
        self._agents: dict[str, tuple[HostRecord, ...]] = {}
        self._fingerprints: dict[str, str] = {}
        self._reports: dict[str, AgentReport] = {}
        self._configuration = (0, b'')
        self._adapter_versions: dict[tuple[str, str], int] = {}
        self._evacuated_domains: frozenset[str] = frozenset()
        self._handlers = {
            'adapter_version': self._apply_adapter_version,
            'configuration': self._apply_configuration,
            'batch': self._apply_batch,
            'document': self._apply_document,
            'evacuation': self._apply_evacuation,
            'host': self._apply_host,
            'key': self._apply_key,
            'quarantine': self._apply_quarantine,
            'snapshot': self._apply_snapshot,
        }

    @property
    def applied_index(self) -> int:
        """Return the index of the newest applied feed item."""
        return self._applied_index

    @property
    def document(self) -> 'Document':
        """Return the document in force; empty before the first document."""
        if self._document is None:
            from kumquatrun.document.document import EMPTY_DOCUMENT

            return EMPTY_DOCUMENT
        return self._document

    @property
    def revision(self) -> int:
        """Return the revision of the document in force; 0 before the first."""
        return self._revision

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        return self._digest

    @property
    def hosts(self) -> Sequence[HostRecord]:
        """Return the records of all registered hosts."""
        return tuple(self._hosts.values())

    @property
    def configuration(self) -> tuple[int, bytes]:
        """Return version and content of the routing configuration.

        The version is 0 before the first one.
        """
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """Return the version of the routing configuration; 0 for none."""
        return self._configuration[0]

    def evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains that get no new requests."""
        return self._evacuated_domains

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest named version of an adapter; 0 for none."""
        return self._adapter_versions.get((model, adapter), 0)

    def apply(self, item: FeedItem) -> bool:
        """Apply a feed item; return False if it is not newer than the view.

        Raises
        ------
        FeedGapError
            If the item is a delta to a document or configuration that this
            view lacks.
        WireError
            If the item cannot be decoded.
        """
        if item.index <= self._applied_index:
            return False
        try:
            handler = self._handlers[item.kind]
            body = msgpack.unpackb(item.body)
            handler(body)
        except (LookupError, TypeError, ValueError) as error:
            raise WireError(
                f'cannot decode the {item.kind} item {item.index}: {error}',
            ) from error
        self._applied_index = item.index
        return True

    def account_of_key(self, key: str) -> str | None:
        """Return the account of an issued key.

        Returns None if the key is unknown or revoked, or its account is no
        longer in the document.
        """
        account = self._accounts_by_key.get(hash_key(key))
        if account is None or self.document.index.account(account) is None:
            return None
        return account

    def agents_of(self, service: str) -> Sequence[HostRecord]:
        """Return the agents of a service that are not draining."""
        return self._agents.get(service, ())

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of a host."""
        return self._hosts.get(host_id)

    def update_reports(self, reports: Iterable[AgentReport]) -> None:
        """Store newer agent reports; unregistered hosts are ignored."""
        for report in reports:
            if report.host_id in self._hosts:
                self._reports[report.host_id] = report

    def report_of(self, host_id: str) -> AgentReport | None:
        """Return the newest report of an agent's current incarnation."""
        report = self._reports.get(host_id)
        record = self._hosts.get(host_id)
        if report is None or record is None:
            return None
        return report if report.incarnation == record.incarnation else None

    def fingerprint_state(self, fingerprint: str) -> str:
        """Return ``clear``, ``suspect`` or ``quarantined``."""
        return self._fingerprints.get(fingerprint, 'clear')

    def _apply_batch(self, changes: Any) -> None:
        for kind, body in changes:
            self._handlers[kind](body)

    def _apply_document(self, body: Any) -> None:
        revision, digest, base_revision, delta, compressed = body
        if revision <= self._revision:
            return
        # Guarantee 10: an accepted configuration is never reverted.
        check_invariant(base_revision < revision, 'revision_increases')
        if compressed is not None:
            self._document = _read_compressed(compressed)
        elif base_revision == self._revision:
            self._document = _apply_delta(self.document, delta)
        else:
            raise FeedGapError(
                f'document {revision} builds on revision {base_revision}, '
                f'this view has {self._revision}',
            )
        self._revision = revision
        self._digest = digest

    def _apply_key(self, body: Any) -> None:
        _, key_hash, account, revoked = body
        if revoked:
            self._accounts_by_key.pop(key_hash, None)
        else:
            self._accounts_by_key[key_hash] = account

    def _apply_host(self, body: Any) -> None:
        host_id, fields = body
        self._hosts.pop(host_id, None)
        if fields is None:
            self._reports.pop(host_id, None)
        else:
            self._hosts[host_id] = HostRecord(**fields)
        self._index_agents()

    def _apply_quarantine(self, body: Any) -> None:
        fingerprint, state = body
        if state == 'clear':
            self._fingerprints.pop(fingerprint, None)
        else:
            self._fingerprints[fingerprint] = state

    def _apply_configuration(self, body: Any) -> None:
        version, base_version, delta = body
        known_version, known_content = self._configuration
        if version <= known_version:
            return
        if base_version not in {0, known_version}:
            raise FeedGapError(
                f'configuration {version} builds on version {base_version}, '
                f'this view has {known_version}',
            )
        base = known_content if base_version else b''
        self._configuration = (version, apply_content_delta(base, delta))

    def _apply_adapter_version(self, body: Any) -> None:
        model, adapter, version = body
        name = (model, adapter)
        known = self._adapter_versions.get(name, 0)
        self._adapter_versions[name] = max(known, version)

    def _apply_evacuation(self, body: Any) -> None:
        failure_domain, is_evacuated = body
        domains = {failure_domain}
        if is_evacuated:
            self._evacuated_domains |= domains
        else:
            self._evacuated_domains -= domains

    def _apply_snapshot(self, body: Any) -> None:
        self._apply_configuration(body['configuration'])
        for row in body['adapter_versions']:
            self._apply_adapter_version(row)
        # Snapshots of earlier versions have no evacuated failure domains.
        self._evacuated_domains = frozenset(body.get('evacuated_domains', ()))
        if body['revision'] > self._revision:
            self._document = _read_compressed(body['document'])
            self._revision = body['revision']
            self._digest = body['digest']
        self._accounts_by_key = {}
        for row in body['keys']:
            self._apply_key(row)
        self._hosts = {
            fields['host_id']: HostRecord(**fields) for fields in body['hosts']
        }
        self._fingerprints = dict(body['quarantine'])
        self._reports = {
            host_id: report
            for host_id, report in self._reports.items()
            if host_id in self._hosts
        }
        self._index_agents()

    def _index_agents(self) -> None:
        agents: dict[str, list[HostRecord]] = {}
        for record in self._hosts.values():
            if record.role == AGENT_ROLE and not record.draining:
                agents.setdefault(record.service, []).append(record)
        self._agents = {
            service: tuple(records) for service, records in agents.items()
        }


def _read_compressed(compressed: bytes) -> 'Document':
    from kumquatrun.document.document import MAX_DOCUMENT_BYTES, parse_document

    return parse_document(inflate(compressed, MAX_DOCUMENT_BYTES))


def _apply_delta(document: 'Document', delta: Any) -> 'Document':
    from kumquatrun.document.document import apply_document_delta, decode_delta

    return apply_document_delta(document, decode_delta(delta))
