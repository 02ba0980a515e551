"""Measures calls to the control leader: claims and token grants.

Three control replicas run as separate processes on loopback with synced
files. One caller at a time gives the latency that a claim adds to a request;
many callers give the rate and the leader's CPU for each call.
"""

import asyncio
import json
import random
import statistics
import tempfile
import time
import uuid
from dataclasses import asdict, dataclass
from pathlib import Path

import click
from bench.control_slopes import CLUSTER_TOKEN, REPLICAS, Replicas, cpu_s

from kumquatrun.membership.control_client import Session
from kumquatrun.membership.leader_client import LeaderClient
from kumquatrun.peer import Address
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.node_messages import GrantTokens, HostRecord
from kumquatrun.peer.operator_messages import OperatorCall
from kumquatrun.peer.request_messages import ClaimRequest
from kumquatrun.runtime.clock import LoopClock

TIMEOUT_S = 10.0
ACCOUNT = 'acme'
HOST_ID = 'entry-1'
DOCUMENT = {
    'environment': 'bench',
    'accounts': [
        {
            'name': ACCOUNT,
            'rate_tokens_per_s': 1e9,
            'burst_tokens': 1_000_000_000,
        },
    ],
}


@dataclass(frozen=True)
class CallRow:
    """Figures of one kind of call with one number of callers."""

    call: str
    callers: int
    calls_per_s: float
    median_ms: float
    p99_ms: float
    leader_us_per_call: float


class Caller:
    """Sends calls as a registered entry."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._number = 0

    def claim(self) -> ClaimRequest:
        """Return a claim under a new key."""
        return ClaimRequest(
            claim_key=uuid.uuid4().hex,
            body_digest=b'0' * 32,
            host_id=HOST_ID,
            incarnation=self._session.record.incarnation,
            request_id=uuid.uuid4().hex,
        )

    def grant(self) -> GrantTokens:
        """Return a request for 100 tokens."""
        self._number += 1
        return GrantTokens(
            host_id=HOST_ID,
            incarnation=self._session.record.incarnation,
            account=ACCOUNT,
            wanted_tokens=100,
            needed_tokens=100,
            number=self._number,
        )

    async def measure(
        self,
        make_call,
        callers: int,
        seconds: float,
        pids: list[int],
    ) -> CallRow:
        """Send calls from several callers for some seconds."""
        times_ms: list[float] = []
        ends_s = time.perf_counter() + seconds

        async def run() -> None:
            while time.perf_counter() < ends_s:
                started_s = time.perf_counter()
                await self._session.control.call(make_call(), TIMEOUT_S)
                times_ms.append(1000 * (time.perf_counter() - started_s))

        before = [cpu_s(pid) for pid in pids]
        await asyncio.gather(*(run() for _ in range(callers)))
        used_s = max(
            cpu_s(pid) - earlier
            for pid, earlier in zip(pids, before, strict=True)
        )
        quantiles = statistics.quantiles(times_ms, n=100)
        return CallRow(
            call=make_call.__name__,
            callers=callers,
            calls_per_s=round(len(times_ms) / seconds, 1),
            median_ms=round(quantiles[49], 2),
            p99_ms=round(quantiles[98], 2),
            leader_us_per_call=round(1e6 * used_s / len(times_ms), 1),
        )


async def apply_document(
    addresses: tuple[Address, ...],
    operator_token: str,
) -> None:
    """Apply the bench document."""
    client = LeaderClient(
        addresses,
        Hello(node_id='bench', incarnation='1', cluster_token=CLUSTER_TOKEN),
        LoopClock(),
        random.Random(1),
    )
    await client.call(
        OperatorCall(
            action='apply_document',
            operator='bench',
            operation_id=uuid.uuid4().hex,
            operator_token=operator_token,
            arguments={
                'expected_revision': 0,
                'content': json.dumps(DOCUMENT).encode(),
            },
        ),
        TIMEOUT_S,
    )
    await client.close()


async def run(callers: list[int], seconds: float) -> list[CallRow]:
    """Start the replicas and measure all calls."""
    with tempfile.TemporaryDirectory() as folder:
        replicas = Replicas(folder)
        replicas.start()
        addresses = tuple(Address.parse(row) for row in replicas.addresses)
        session = Session(
            HostRecord(
                host_id=HOST_ID,
                incarnation='',
                role='entry',
                address='127.0.0.1:9',
                region='a',
                failure_domain='a',
            ),
            addresses,
            LoopClock(),
            cluster_token=CLUSTER_TOKEN,
        )
        try:
            await asyncio.sleep(REPLICAS)
            await apply_document(addresses, replicas.operator_token)
            await session.start()
            await asyncio.sleep(1)
            caller = Caller(session)
            pids = [process.pid for process in replicas.processes]
            return [
                await caller.measure(make_call, count, seconds, pids)
                for make_call in (caller.claim, caller.grant)
                for count in callers
            ]
        finally:
            await session.stop()
            replicas.stop()


@click.command()
@click.option('--callers', default='1,16,128', help='Numbers of callers.')
@click.option('--seconds', default=5.0, help='Time of one measurement.')
@click.option('--json', 'json_path', type=click.Path(), help='Output file.')
def main(callers: str, seconds: float, json_path: str | None) -> None:
    """Measure claims and token grants through the leader."""
    counts = [int(count) for count in callers.split(',')]
    rows = [asdict(row) for row in asyncio.run(run(counts, seconds))]
    click.echo('  '.join(rows[0]))
    for row in rows:
        click.echo('  '.join(str(figure) for figure in row.values()))
    if json_path:
        Path(json_path).write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    main()
