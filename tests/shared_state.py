"""Documents and records for tests of the shared state."""

import json

from kumquatrun.control.commands import (
    ApplyDocument,
    decode_results,
    encode_batch,
)
from kumquatrun.control.control_state import ControlState
from kumquatrun.peer.node_messages import HostRecord, RegisterHost
from kumquatrun.runtime.invariants import set_fatal

set_fatal(True)

ACCOUNT = {'name': 'acme', 'rate_tokens_per_s': 20, 'burst_tokens': 100}
PARTS = {
    'environment': 'trial',
    'accounts': [ACCOUNT],
    'services': [
        {'name': 'assistant', 'kind': 'engine'},
        {'name': 'ledger', 'kind': 'plain'},
    ],
    'adapters': [
        {'name': 'sales', 'service': 'assistant', 'versions': ['1', '2']},
        {'name': 'legal', 'service': 'assistant', 'versions': ['1']},
    ],
    'routes': [
        {'path': '/v1/', 'service': 'assistant', 'adapters': ['sales']},
        {'path': '/ledger', 'service': 'ledger', 'access': 'open'},
    ],
}


def content(**parts) -> bytes:
    return json.dumps({**PARTS, **parts}).encode()


def host(host_id='entry-1', incarnation='a', role='entry', **fields):
    return HostRecord(
        host_id=host_id,
        incarnation=incarnation,
        role=role,
        address='127.0.0.1:1',
        region='lahore',
        failure_domain='lahore-1',
        **fields,
    )


def apply_document(revision=0, operation_id=None, **parts):
    return ApplyDocument(
        expected_revision=revision,
        operation_id=operation_id or f'apply-{revision}',
        operator='amina',
        content=content(**parts),
    )


class Cluster:
    """A control state with a log index and the feed items it sent."""

    def __init__(self, *commands, **parts):
        self.state = ControlState()
        self.feed = []
        self.index = 0
        self.run(
            apply_document(**parts), RegisterHost(record=host()), *commands
        )

    def run(self, *commands, elapsed_ms=0):
        """Commit one batch; return its only result or all of them."""
        self.index += 1
        encoded = self.state.apply(
            self.index,
            encode_batch(elapsed_ms, commands),
        )
        self.feed.extend(self.state.drain_changes())
        replies = decode_results(encoded)
        return replies[0] if len(replies) == 1 else replies

    def restored(self):
        """Return a copy that was built from a snapshot."""
        copy = ControlState()
        copy.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot()
        return copy
