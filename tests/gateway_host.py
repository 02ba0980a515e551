"""A running gateway entry with fakes for membership and engines."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import aiohttp
import msgpack
from tests.gateway_fakes import CONFIGURATION, configuration

from kumquatrun.control.allowance_pool import AllowanceReply
from kumquatrun.control.content_delta import encode_delta
from kumquatrun.gateway.backends.backends import BackendRecord
from kumquatrun.gateway.backends.listing_follower import (
    ListingFollower,
    encode_records,
)
from kumquatrun.gateway.crashes.crash_watch import CrashWatch
from kumquatrun.gateway.roles.entry import GatewayEntry
from kumquatrun.gateway.roles.settings import GatewayEntrySettings
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer import Address
from kumquatrun.peer.messages import Ack
from kumquatrun.peer.node_messages import FeedItem, HostRecord
from kumquatrun.platform.requests import PlatformFormat
from kumquatrun.runtime.clock import LoopClock

LOOPBACK = Address('127.0.0.1', 0)


class Session:
    """Fake of the membership session of this host."""

    def __init__(self):
        self.view = ClusterView()
        self.control = self
        self.listeners = []
        self.calls = []
        # An event that delays the replies to charges until it is set.
        self.charges_allowed = None
        self.announced_version = 0
        self.record = HostRecord(
            host_id='entry-1',
            incarnation='i',
            role='entry',
            address='127.0.0.1:1',
            region='r',
            failure_domain='a',
        )

    def renew_shares(self, shares):
        """There is no leader that grants any."""

    @property
    def newest_configuration_version(self):
        return max(self.view.configuration_version, self.announced_version)

    def on_change(self, listener):
        self.listeners.append(listener)

    async def call(self, request, timeout_s):
        self.calls.append(request)
        if hasattr(request, 'amounts'):
            if self.charges_allowed is not None:
                await self.charges_allowed.wait()
            return AllowanceReply(granted=len(request.amounts))
        return Ack()

    def configure(self, content):
        index = self.view.applied_index + 1
        version = json.loads(content)['version']
        body = msgpack.packb([version, 0, encode_delta(b'', content)])
        self.view.apply(
            FeedItem(index=index, kind='configuration', body=body),
        )
        for listener in self.listeners:
            listener()


class NoObserver:
    """Observes no backend server, so each end counts at once."""

    def known_for_s(self, backend_id):
        return None


class Observer:
    """Has observed each backend server for ``known_for_s``, None if it ended."""

    def __init__(self, known_for_s):
        self._known_for_s = known_for_s

    async def known_for_s(self, backend_id):
        return self._known_for_s


def crash_watch(observer=None):
    """Return a watch whose reports are accepted."""
    return CrashWatch(Session(), LoopClock(), observer or NoObserver())


class Served:
    """A running entry with an HTTP session for its callers."""

    def __init__(self, entry, session, http):
        self.entry = entry
        self.session = session
        self.http = http
        self.port = entry._server.sockets[0].getsockname()[1]

    def ask(
        self,
        path,
        key='key-1',
        request_id='attempt-1',
        tokens='',
        parts='',
        **more,
    ):
        headers = {
            'Host': 'shop.example',
            'X-Kumquatrun-Attempt-Id': request_id,
            'X-Kumquatrun-Deadline-Ms': '3000',
        }
        if key:
            headers['Api-Key'] = key
        if tokens:
            headers['X-Kumquatrun-Token-Usage'] = tokens
        if parts:
            headers['X-Kumquatrun-Prompt-Prefix'] = parts
        return self.http.request(
            'POST',
            f'http://127.0.0.1:{self.port}{path}',
            headers=headers,
            **more,
        )

    async def answer(self, path, **more):
        async with self.ask(path, **more) as response:
            return response.status, await response.read()


@asynccontextmanager
async def served(*runners, content=None):
    session = Session()
    started = [await runner.start() for runner in runners]
    records = [
        BackendRecord(
            backend_id=f'i-{number}',
            service='assistant',
            address=runner.address,
            failure_domain='a',
        )
        for number, runner in enumerate(started)
    ]

    async def read():
        return encode_records(records)

    entry = GatewayEntry(
        GatewayEntrySettings(
            host_id='entry-1',
            listing_address=LOOPBACK,
            http_listen=LOOPBACK,
            ready_listen=LOOPBACK,
            operator_listen=LOOPBACK,
            directory_listen=LOOPBACK,
            failure_domain='a',
        ),
        session,
        PlatformFormat(),
        lambda table: ListingFollower(table, read, LoopClock()),
        LoopClock(),
        random.Random(1),
    )
    await entry.start()
    if content is not None:
        session.configure(content)
    await asyncio.sleep(0.01)
    async with aiohttp.ClientSession() as http:
        yield Served(entry, session, http)
    await entry.stop()


def one_service():
    """Return a configuration whose routes all target one service."""
    routes = [dict(row) for row in CONFIGURATION['routes']]
    for row in routes:
        row.pop('split', None)
        row['service'] = 'assistant'
    return configuration(routes=routes)
