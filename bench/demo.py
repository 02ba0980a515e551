"""Demonstration: a whole cluster on loopback, with checked answers.

Run it with ``make demo``. It starts all processes, sends requests, prints the
result of each and exits with 0 if every check passed.
"""

import asyncio
import json
import signal
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
from bench.local_cluster import ClusterError, LocalCluster, Node

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / 'demo-output'
DOCUMENT = ROOT / 'examples' / 'document.json'
TIME_LIMIT_S = 45
REQUEST_TIMEOUT_S = 10
OUTPUT_TOKENS = 8
SERVICE = 'assistant'
# Only ``tides`` names no version: it gets the default version, which is the
# last one in the document.
COMPLETIONS = (
    ('mill-lahore', 'harvest@1', 'harvest', '1'),
    ('mill-lahore', 'harvest@2', 'harvest', '2'),
    ('port-dakar', 'invoices@1', 'invoices', '1'),
    ('port-dakar', 'tides', 'tides', '3'),
    ('mill-lahore', 'harvest@2', 'harvest', '2'),
)
ACCOUNTS = ('mill-lahore', 'port-dakar')
ROW_FORMAT = '{what:<28} {result:<18} {host:<10} {first_byte:>14}'


@dataclass(frozen=True)
class Answer:
    """What a caller received."""

    status: int
    first_byte_s: float
    total_s: float
    body: bytes
    headers: Mapping[str, str]


class Demo:
    """The requests of the demonstration."""

    def __init__(
        self,
        cluster: LocalCluster,
        session: aiohttp.ClientSession,
    ) -> None:
        self._cluster = cluster
        self._session = session
        self._keys: dict[str, str] = {}
        self._key_ids: dict[str, str] = {}
        self._sent = 0

    async def run(self) -> None:
        """Configure the cluster, send the requests and check the answers."""
        await self._configure()
        print(
            ROW_FORMAT.format(
                what='request',
                result='result',
                host='host',
                first_byte='first token',
            ),
        )
        for account, model, adapter, version in COMPLETIONS:
            await self._completion(account, model, adapter, version)
        await self._wrong_key()
        await self._lookup()
        await self._booking_twice()
        await self._revoked_key()
        await self._drained_agent()
        await self._metrics()
        leaking = self._cluster.secrets_in_logs(list(self._keys.values()))
        _check(not leaking, f'logs contain keys or tokens: {leaking}')
        print('no log contains a key or token')

    async def _configure(self) -> None:
        applied = await self._cluster.operate(
            'document',
            'apply',
            str(DOCUMENT),
            '--expected-revision',
            '0',
        )
        print(f'document in force: revision {applied["revision"]}')
        for account in ACCOUNTS:
            issued = await self._cluster.operate('key', 'issue', account)
            self._keys[account] = issued['key']
            self._key_ids[account] = issued['key_id']
            print(f'key {issued["key_id"]} issued for {account}')
        for entry in self._cluster.entries:
            for key in self._keys.values():
                await self._wait_until_applied(entry, key, http_status=200)

    async def _wait_until_applied(
        self,
        entry: Node,
        key: str,
        http_status: int,
    ) -> None:
        # A change takes effect everywhere within 4 s (design page, 1.1).
        until_s = time.monotonic() + 4
        headers = {'Authorization': f'Bearer {key}'}
        url = f'http://{entry.address}/v1/models'
        while True:
            async with self._session.get(url, headers=headers) as answer:
                if answer.status == http_status:
                    return
            _check(
                time.monotonic() < until_s,
                f'{entry.name} has not applied a change within 4 s',
            )
            await asyncio.sleep(0.05)

    async def _completion(
        self,
        account: str,
        model: str,
        adapter: str,
        version: str,
    ) -> None:
        loaded = await self._loaded_adapters()
        body = {
            'model': model,
            'prompt': f'Report for {account}, request {self._sent}',
            'max_tokens': OUTPUT_TOKENS,
            'stream': True,
        }
        answer = await self._send(
            'POST',
            '/v1/completions',
            self._keys[account],
            body,
        )
        _check(answer.status == 200, f'{model}: {answer.body.decode()}')
        events = _events(answer.body)
        text = ''.join(
            choice.get('text', '')
            for event in events
            for choice in event.get('choices', ())
        )
        # The engine stand-in writes adapter, version and number of the token
        # into each token.
        expected = ''.join(
            f'{adapter}@{version}:{number} ' for number in range(OUTPUT_TOKENS)
        )
        _check(text == expected, f'{model}: answered {text!r}')
        host = await self._host_of(events)
        was_loaded = [adapter, version] in loaded.get(host, [])
        _print_row(
            f'{account} {model}',
            f'{adapter}@{version}',
            host,
            answer,
            '' if was_loaded else 'loaded on demand',
        )

    async def _wrong_key(self) -> None:
        answer = await self._send(
            'POST',
            '/v1/completions',
            'kq-this-key-was-never-issued',
            {'model': 'harvest@1', 'prompt': 'x', 'max_tokens': 1},
        )
        error = json.loads(answer.body)['error']
        _check(answer.status == 401, f'wrong key got {answer.status}')
        _check(error['outcome'] == 'not_run', f'wrong key got {error}')
        _print_row('wrong key', error['code'], '-', answer)

    async def _lookup(self) -> None:
        key = self._keys[ACCOUNTS[0]]
        answer = await self._send('GET', '/lookup/silo-7', key, None)
        _check(answer.status == 200, f'lookup: {answer.body.decode()}')
        _print_row('lookup /lookup/silo-7', 'done', 'agent-3', answer)

    async def _booking_twice(self) -> None:
        key = self._keys[ACCOUNTS[1]]
        body = {'id': 'booking-1', 'berth': 4}
        extra = {'Idempotency-Key': 'demo-booking-1'}
        answers = [
            await self._send('POST', '/bookings', key, body, extra)
            for _ in range(2)
        ]
        for answer in answers:
            _check(answer.status == 201, f'booking: {answer.body.decode()}')
            _print_row('booking', 'done', 'agent-3', answer)
        _check(answers[0].body == answers[1].body, 'answers differ')
        url = f'{self._cluster.agents[2].backend}/executions/booking-1'
        async with self._session.get(url) as response:
            count = (await response.json())['count']
        _check(count == 1, f'the booking was executed {count} times')
        print('the booking was sent twice and executed once')

    async def _revoked_key(self) -> None:
        account = ACCOUNTS[0]
        await self._cluster.operate('key', 'revoke', self._key_ids[account])
        for entry in self._cluster.entries:
            await self._wait_until_applied(
                entry,
                self._keys[account],
                http_status=401,
            )
        print(f'key {self._key_ids[account]} revoked: refused by all entries')

    async def _drained_agent(self) -> None:
        agent = self._cluster.agents[0]
        await self._cluster.operate('drain', agent.name)
        code = await self._cluster.wait_for_end(agent.name)
        _check(code == 0, f'{agent.name} ended with code {code}')
        print(f'{agent.name} drained: ended with code 0')
        # The adapter was loaded on the drained agent or is new to the other.
        await self._completion(ACCOUNTS[1], 'tides@2', 'tides', '2')

    async def _metrics(self) -> None:
        totals: dict[str, float] = {}
        for entry in self._cluster.entries:
            async with self._session.get(
                f'http://{entry.admin}/metrics',
            ) as answer:
                for line in (await answer.text()).splitlines():
                    if not line.startswith('#'):
                        name, _, value = line.rpartition(' ')
                        totals[name] = totals.get(name, 0) + float(value)
        refused = 'kumquatrun_refusals_total{cause="",code="invalid_key"}'
        _check(totals.get(refused, 0) >= 1, 'metrics lack the refused key')
        violations = [name for name in totals if 'invariant' in name]
        _check(not violations, f'invariants were violated: {violations}')
        answered = sum(
            count
            for name, count in totals.items()
            if name.startswith('kumquatrun_requests_total')
            and 'outcome="ran"' in name
        )
        print(f'metrics: {answered:.0f} requests ran, no invariant violated')

    async def _send(
        self,
        method: str,
        path: str,
        key: str,
        body: Any,
        extra: Mapping[str, str] | None = None,
    ) -> Answer:
        entries = self._cluster.entries
        entry = entries[self._sent % len(entries)]
        self._sent += 1
        headers = {'Authorization': f'Bearer {key}', **(extra or {})}
        started_s = time.perf_counter()
        async with self._session.request(
            method,
            f'http://{entry.address}{path}',
            json=body,
            headers=headers,
        ) as response:
            first = await response.content.readany()
            first_byte_s = time.perf_counter() - started_s
            rest = await response.read()
            return Answer(
                status=response.status,
                first_byte_s=first_byte_s,
                total_s=time.perf_counter() - started_s,
                body=first + rest,
                headers=dict(response.headers),
            )

    async def _engine_health(self) -> dict[str, dict[str, Any]]:
        health = {}
        for agent in self._cluster.agents[:2]:
            async with self._session.get(f'{agent.backend}/health') as answer:
                health[agent.name] = await answer.json()
        return health

    async def _loaded_adapters(self) -> dict[str, list[list[str]]]:
        health = await self._engine_health()
        return {host: state['adapters'] for host, state in health.items()}

    async def _host_of(self, events: list[dict[str, Any]]) -> str:
        served = [
            event['served_by'] for event in events if 'served_by' in event
        ]
        _check(bool(served), 'no event contains served_by')
        health = await self._engine_health()
        for host, state in health.items():
            if state['incarnation'] == served[0]['incarnation']:
                return host
        raise ClusterError(f'unknown engine {served[0]}')


def _check(passed: bool, text: str) -> None:
    if not passed:
        raise ClusterError(text)


def _events(body: bytes) -> list[dict[str, Any]]:
    lines = [
        line.removeprefix(b'data: ')
        for line in body.splitlines()
        if line.startswith(b'data: ')
    ]
    _check(
        bool(lines) and lines[-1] == b'[DONE]', 'the stream ended before [DONE]'
    )
    return [json.loads(line) for line in lines[:-1]]


def _print_row(
    what: str,
    result: str,
    host: str,
    answer: Answer,
    remark: str = '',
) -> None:
    row = ROW_FORMAT.format(
        what=what,
        result=result,
        host=host,
        first_byte=f'{answer.first_byte_s * 1000:.1f} ms',
    )
    print(f'{row}  {remark}'.rstrip())


async def _run(cluster: LocalCluster) -> None:
    async with asyncio.timeout(TIME_LIMIT_S):
        await cluster.start()
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await Demo(cluster, session).run()


def main() -> int:
    """Run the demonstration; returns the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started_s = time.monotonic()
    cluster = LocalCluster(OUTPUT)
    failure = ''
    try:
        asyncio.run(_run(cluster))
    except (ClusterError, TimeoutError, OSError, aiohttp.ClientError) as error:
        failure = f'{type(error).__name__}: {error}'
    finally:
        faults = cluster.stop()
    for fault in faults:
        failure = failure or fault
        print(f'stop: {fault}')
    elapsed_s = time.monotonic() - started_s
    if failure:
        print(cluster.log_tails())
        print(f'demo failed after {elapsed_s:.1f} s: {failure}')
        return 1
    count = len(cluster.processes)
    print(f'demo passed in {elapsed_s:.1f} s; {count} processes ended')
    return 0


if __name__ == '__main__':
    sys.exit(main())
