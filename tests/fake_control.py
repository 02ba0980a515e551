"""A control leader for tests of the operator commands, over ``PeerServer``.

It keeps a document and keys like the state machine does, records results by
operation id and can lose replies or refer callers to another leader.
"""

import asyncio
import hashlib
import threading
from contextlib import contextmanager

from kumquatrun.document.document_transfer import pack_content, unpack_content
from kumquatrun.errors import (
    ControlUnreachableError,
    InvalidKeyError,
    InvalidRequestError,
    KumquatrunError,
    NotFoundError,
    NotLeaderError,
    RevisionConflictError,
)
from kumquatrun.peer import Address, PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.operator_messages import OperatorReply

CLUSTER_TOKEN = 'cluster-token'
OPERATOR_TOKEN = 'operator-token'
FIXED_RESULTS = {
    'get_status': {'leader': 'control-1', 'accounts': {'mill': {'rate': 2}}},
    'list_hosts': {
        'hosts': [{'host_id': 'e1', 'draining': False, 'loaded_on': ['a']}],
    },
    'list_adapters': {'adapters': []},
    'list_audit': {'records': [{'number': 1, 'operator': 'ada'}]},
    'list_replicas': {'replicas': [{'replica_id': 'a', 'voter': True}]},
    'unblock': {'fingerprint': 'part:5c', 'former_state': 'blocked'},
    'drain_host': {'record': {'host_id': 'e1', 'draining': True}},
    'start_evacuation': {'failure_domain': 'a1', 'is_evacuated': True},
    'finish_evacuation': {'failure_domain': 'a1', 'is_evacuated': False},
    'add_replica': {},
    'remove_replica': {},
}


class FakeControl:
    """State and faults of the fake leader.

    ``lose_replies`` is the number of calls that are executed without a reply;
    ``errors`` are raised before anything is executed, ``error_after_loss``
    instead of the second execution.
    """

    def __init__(self):
        self.content = b''
        self.revision = 0
        self.keys = {}
        self.results = {}
        self.calls = []
        self.executions = []
        self.lose_replies = 0
        self.errors = []
        self.error_after_loss = None
        self.leader = ''
        self.address = None
        self._server = None

    async def handle(self, request, context):
        self.calls.append(request)
        if self.leader:
            raise NotLeaderError(f'the leader is {self.leader}')
        if request.operator_token != OPERATOR_TOKEN:
            raise InvalidKeyError('wrong operator token')
        if self.errors:
            raise self.errors.pop(0)
        if self.error_after_loss and self.executions:
            raise self.error_after_loss
        result = self._result(request)
        if self.lose_replies:
            self.lose_replies -= 1
            for link in list(self._server._links):
                link.abort()
            await asyncio.sleep(10)
        return OperatorReply(result=result)

    def _result(self, request):
        recorded = self.results.get(request.operation_id)
        if recorded is None:
            self.executions.append(request.action)
            recorded = self._execute(request.action, request.arguments)
            if request.action in ('apply_document', 'issue_key', 'revoke_key'):
                self.results[request.operation_id] = recorded
        return recorded

    def _execute(self, action, arguments):
        method = getattr(self, action, None)
        if method is not None:
            return method(**arguments)
        if action not in FIXED_RESULTS:
            raise InvalidRequestError(f'unknown action {action}')
        return FIXED_RESULTS[action]

    def apply_document(self, expected_revision, **fields):
        content = unpack_content(fields)
        if expected_revision != self.revision:
            raise RevisionConflictError(f'revision is {self.revision}')
        self.content = content
        self.revision += 1
        return self.get_document()

    def get_document(self):
        digest = hashlib.blake2b(self.content, digest_size=32).hexdigest()
        return {
            'revision': self.revision,
            'digest': digest,
            **pack_content(self.content),
        }

    def issue_key(self, key_id, key_hash, account):
        self.keys[key_id] = {'account': account, 'key_hash': key_hash}
        return {'key_id': key_id, 'account': account}

    def revoke_key(self, key_id):
        if key_id not in self.keys:
            raise NotFoundError(f'no key {key_id}')
        del self.keys[key_id]
        return {'key_id': key_id}

    def list_keys(self):
        rows = [{'key_id': key_id} for key_id in self.keys]
        return {'keys': rows}

    async def serve(self, started, stopped):
        hello = Hello(
            node_id='control-1',
            incarnation='1',
            cluster_token=CLUSTER_TOKEN,
        )
        self._server = PeerServer(hello, self)
        self.address = await self._server.start(Address('127.0.0.1', 0))
        started.set()
        await stopped.wait()
        await self._server.stop()


@contextmanager
def running(control):
    """Serve in a thread, because the commands run their own event loop."""
    started = threading.Event()
    loop = asyncio.new_event_loop()
    stopped = asyncio.Event()
    work = control.serve(started, stopped)
    thread = threading.Thread(target=loop.run_until_complete, args=(work,))
    thread.start()
    try:
        assert started.wait(5)
        yield control
    finally:
        loop.call_soon_threadsafe(stopped.set)
        thread.join(5)
        loop.close()


UNREACHABLE = ControlUnreachableError('no majority')
INTERNAL = KumquatrunError('unexpected KeyError')
