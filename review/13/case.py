"""A request of an impossible size stops all requests of its tenant."""
import asyncio
import os
import sys
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), '11'))
from harness import (  # noqa: E402
    HOST, Cluster, Record, Runner, call, config, headers, now,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TRAFFIC_S = 30.0
TIMEOUT_S = 2.0
LATE_S = 0.5
# Time that clients have; it is longer than the timeout of the routes.
CLIENT_WAIT_S = 8.0
# Prompt tokens, and the largest number of 64 bits as "no limit" for the output.
SIZE = '1460,18446744073709551615'
ERRORS = (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError)


def limited_tenants(version):
    """Return a config with two tenants of the same allotment."""
    fields = config(version, services=('desk', 'assistant'))
    fields['routes'].append(
        {
            'name': 'r-gen', 'host': HOST, 'path_prefix': '/gen/',
            'kind': 'streaming', 'timeout_ms': 8000,
            'target_latency_ms': 1000, 'priority': 1, 'service': 'assistant',
            'max_attempts': 1, 'public': False, 'sticky': True,
            'resumable': False, 'gap_target_ms': 250,
        }
    )
    fields['tenants'] = [
        {
            'name': f'ten{n}', 'api_keys': [f'key-{n}'], 'priority': 1,
            'unit': 'token_route', 'plain_tokens': 200,
            'rate_per_s': 27550, 'burst': 27550,
        }
        for n in (1, 2)
    ]
    return fields


async def ask(cluster, number, ends):
    """Send one booking, of the tenants by turns, and record its time."""
    machine = cluster.machines[number % 3]
    tenant = 1 + number // 3 % 2
    request_id = uuid.uuid4().hex[:16]
    fields = headers(request_id, deadline=int(CLIENT_WAIT_S * 1000))
    fields['Api-Key'] = f'key-{tenant}'
    sent_s = now()
    cluster.record('client', 'sends', request_id, machine.ip, f'ten{tenant}')
    try:
        status, _, _ = await call(
            machine.ip, 8221, 'POST', '/book/1', fields, b'x', CLIENT_WAIT_S
        )
    except ERRORS as error:
        status = type(error).__name__
    took_s = now() - sent_s
    cluster.record('client', 'gets', request_id, status, f'{took_s:.2f} s')
    ends.append((tenant, status, took_s))


async def ask_for_too_much(cluster):
    """Send one generation request that is larger than any runner's memory."""
    machine = cluster.machines[0]
    request_id = uuid.uuid4().hex[:16]
    fields = headers(request_id, deadline=int(CLIENT_WAIT_S * 1000))
    fields['Api-Key'] = 'key-1'
    fields['X-Kumquatrun-Model'] = 'm0/a1'
    fields['X-Kumquatrun-Token-Usage'] = SIZE
    cluster.record('client', 'sends', request_id, machine.ip, 'ten1', SIZE)
    try:
        status, _, _ = await call(
            machine.ip, 8221, 'POST', '/gen/1', fields, b'x', CLIENT_WAIT_S
        )
    except ERRORS as error:
        status = type(error).__name__
    cluster.record('client', 'gets', request_id, status)


async def play(cluster):
    for number in range(3):
        runner = Runner(cluster, number + 1, 'desk', 'abc'[number])
        await runner.start()
        cluster.runners.append(runner)
    await cluster.start()
    if not await cluster.put(limited_tenants(3)) or not await cluster.ready():
        return 2
    await asyncio.sleep(3)
    ends = []
    tasks = []
    stop_s = now() + TRAFFIC_S
    next_large_s = now() + 2
    while now() < stop_s:
        if TROUBLE and now() >= next_large_s:
            tasks.append(asyncio.create_task(ask_for_too_much(cluster)))
            next_large_s = now() + 10
        tasks.append(asyncio.create_task(ask(cluster, len(tasks), ends)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    unanswered = [row for row in ends if row[2] > TIMEOUT_S]
    late = [row for row in unanswered if row[2] > TIMEOUT_S + LATE_S]
    never = sum(not isinstance(status, int) for _, status, _ in late)
    tenants = sorted({tenant for tenant, _, _ in late})
    print(
        f'{len(ends)} bookings, {len(unanswered)} unanswered at timeout_ms, '
        f'{len(late)} of them {LATE_S} s later, {never} never answered, '
        f'tenants {tenants}'
    )
    cluster.record('unanswered', len(unanswered), 'late', len(late))
    return 1 if len(late) >= 8 and len(late) > len(unanswered) / 2 else 0


async def main():
    cluster = Cluster(Record(os.path.join(HERE, 'record.txt')))
    try:
        async with asyncio.timeout(110):
            return await play(cluster)
    except TimeoutError:
        return 2
    finally:
        cluster.stop()


sys.exit(asyncio.run(main()))
